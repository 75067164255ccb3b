"""Decides which leases have expired, using this daemon's own boot clock."""

import typing as t

import attrs

__all__ = ["LeaseObserver", "LeaseRecord"]


@attrs.frozen
class LeaseRecord:
    """The value of one daemon's lease row; each renewal increments ``counter``."""

    daemon_id: str
    incarnation: str
    counter: int
    peers_address: str
    operators_address: str
    hall: str
    stopping: bool = False


@attrs.define
class _Observation:
    record: LeaseRecord
    unchanged_since_s: float


class LeaseObserver:
    """Watches lease rows for changes.

    A lease has expired when its row has not changed for a full term in which
    this daemon read the rows and renewed its own lease without interruption.
    An interruption (the store is down, or this process was paused) restarts all
    observations. Otherwise, after an outage in which no daemon could renew, the
    daemons would acquire each other's shards.

    :param term_s: the lease term.
    """

    def __init__(self, term_s: float) -> None:
        self._term_s = term_s
        self._observations: dict[str, _Observation] = {}
        self._last_cycle_s: float | None = None

    def observe(self, records: t.Iterable[LeaseRecord], now_s: float) -> None:
        """Record the lease rows read in a cycle that also renewed the lease."""
        if self._has_gap(now_s):
            self._observations.clear()
        self._last_cycle_s = now_s
        by_id = {record.daemon_id: record for record in records}
        for removed_id in set(self._observations) - set(by_id):
            del self._observations[removed_id]
        for daemon_id, record in by_id.items():
            observation = self._observations.get(daemon_id)
            if observation is None or observation.record != record:
                self._observations[daemon_id] = _Observation(record, now_s)

    def mark_interrupted(self) -> None:
        """Record that a cycle failed, which restarts all observations."""
        self._last_cycle_s = None

    def is_expired(self, daemon_id: str, now_s: float) -> bool:
        """Whether a lease has expired, or its row is gone."""
        observation = self._observations.get(daemon_id)
        return (
            observation is None or now_s - observation.unchanged_since_s >= self._term_s
        )

    def live(self, now_s: float) -> list[LeaseRecord]:
        """Return the records of the daemons whose leases have not expired."""
        return [
            observation.record
            for daemon_id, observation in self._observations.items()
            if not self.is_expired(daemon_id, now_s)
        ]

    def _has_gap(self, now_s: float) -> bool:
        """Return whether the last cycle failed or is more than half a term ago."""
        if self._last_cycle_s is None:
            return True
        return now_s - self._last_cycle_s > self._term_s / 2
