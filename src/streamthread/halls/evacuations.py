"""The evacuations that the operator has requested, as one daemon has read them."""

import math
import time
import typing as t

import attrs
import logbook

from ..clocks import boot_s
from ..errors import UnreadableError
from ..platform.documents import check_evacuation
from ..platform.documents import evacuated_hall
from ..platform.store import StoredRow
from ..platform.table_feed import Update
from ..unreadable import Source
from ..unreadable import UnreadableNotes

__all__ = ["Evacuation", "Evacuations"]

log = logbook.Logger("streamthread.halls")


@attrs.frozen
class Evacuation:
    """One evacuation that is in force.

    :param version: the version of the operator's row.
    :param since_s: wall time at which this daemon first read that version.
    """

    hall: str
    version: int
    since_s: float


class Evacuations:
    """Follows the operator's rows, with one evacuation per hall at most.

    The key alone names the hall: an evacuation whose value can't be decoded is in force
    as any other.

    :param in_force: the evacuations by hall.
    :param withdrawn_at_s: boot clock times at which withdrawn evacuations were last
        seen to be gone, by hall.
    :param changes: the number of evacuations that were read or withdrawn.
    :param is_read: the operator's table has been read in full at least once.
    :param as_of_s: boot clock time; all rows that were acknowledged before are known.
    """

    def __init__(self, notes: UnreadableNotes | None = None) -> None:
        self._notes = notes or UnreadableNotes()
        self.in_force: dict[str, Evacuation] = {}
        self.withdrawn_at_s: dict[str, float] = {}
        self.changes = 0
        self.is_read = False
        self.as_of_s = -math.inf

    def apply(self, update: Update, as_of_s: float) -> None:
        """Apply rows of the operator's table that were read together.

        An evacuation that a full read does not show was withdrawn while the store could
        not say so any more.

        :param as_of_s: boot clock time up to which the table is now known.
        """
        named: set[str] = set()
        for row in update.rows:
            hall = evacuated_hall(row.part, row.key)
            if hall is None:
                continue
            if row.value is None:
                self._withdraw(hall, row.key)
            else:
                named.add(hall)
                self._enforce(hall, row)
        if update.whole:
            for hall in [hall for hall in self.in_force if hall not in named]:
                self._withdraw(hall)
            self.is_read = True
        self.as_of_s = as_of_s

    def _enforce(self, hall: str, row: StoredRow) -> None:
        try:
            check_evacuation(row.key, row.value or b"")
        except UnreadableError as error:
            self._notes.note(Source.EVACUATION, error)
        else:
            self._notes.clear(Source.EVACUATION, row.key)
        known = self.in_force.get(hall)
        if known is not None and known.version == row.version:
            return
        self.changes += 1
        self.in_force[hall] = Evacuation(hall, row.version, time.time())
        self.withdrawn_at_s.pop(hall, None)
        log.warning(
            "hall-evacuation-seen", extra={"hall": hall, "version": row.version}
        )

    def _withdraw(self, hall: str, key: str = "") -> None:
        if key:
            self._notes.clear(Source.EVACUATION, key)
        known = self.in_force.pop(hall, None)
        if known is None:
            return
        self.changes += 1
        self.withdrawn_at_s[hall] = boot_s()
        log.warning(
            "hall-taken-back",
            extra={
                "hall": hall,
                "version": known.version,
                "after_s": round(time.time() - known.since_s, 3),
            },
        )

    def known_halls(self) -> t.Collection[str]:
        """Return the halls that are or were evacuated."""
        return {*self.in_force, *self.withdrawn_at_s}
