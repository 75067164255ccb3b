"""Judges other daemons' leases by this daemon's own boot clock."""

import typing as t

import attrs

__all__ = ["LeaseObserver", "LeaseRecord"]


@attrs.frozen
class LeaseRecord:
    """The value of one daemon's lease row, renewed by counting up."""

    daemon_id: str
    incarnation: str
    counter: int
    peers_address: str
    operators_address: str
    hall: str
    stopping: bool = False


@attrs.define
class _Sighting:
    record: LeaseRecord
    since_s: float


class LeaseObserver:
    """Watches lease rows for change.

    A lease has expired when its row did not change for a full term during
    which this daemon itself read and renewed without a break. Any break (store
    down, or this process paused) starts every observation anew, so that nobody
    takes a shard because nobody could renew.

    :param term_s: the lease term.
    """

    def __init__(self, term_s: float) -> None:
        self._term_s = term_s
        self._sightings: dict[str, _Sighting] = {}
        self._last_cycle_s: float | None = None

    def observe(self, records: t.Iterable[LeaseRecord], now_s: float) -> None:
        """Note the lease rows as read in a cycle that also renewed."""
        if self._was_broken(now_s):
            self._sightings.clear()
        self._last_cycle_s = now_s
        seen = {record.daemon_id: record for record in records}
        for gone in set(self._sightings) - set(seen):
            del self._sightings[gone]
        for daemon_id, record in seen.items():
            sighting = self._sightings.get(daemon_id)
            if sighting is None or sighting.record != record:
                self._sightings[daemon_id] = _Sighting(record, now_s)

    def interrupt(self) -> None:
        """Note that a cycle failed: observations begin anew."""
        self._last_cycle_s = None

    def is_expired(self, daemon_id: str, now_s: float) -> bool:
        """Whether a lease lapsed, or its row is gone."""
        sighting = self._sightings.get(daemon_id)
        return sighting is None or now_s - sighting.since_s >= self._term_s

    def live(self, now_s: float) -> list[LeaseRecord]:
        """Return the records of the daemons whose leases have not expired."""
        return [
            sighting.record
            for daemon_id, sighting in self._sightings.items()
            if not self.is_expired(daemon_id, now_s)
        ]

    def _was_broken(self, now_s: float) -> bool:
        if self._last_cycle_s is None:
            return True
        return now_s - self._last_cycle_s > self._term_s / 2
