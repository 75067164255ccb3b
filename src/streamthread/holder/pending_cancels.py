"""Cancels of unknown jobs, retained for as long as their jobs may still arrive."""

import zlib

import attrs

from ..clocks import boot_s

__all__ = ["PENDING_CANCEL_SUFFIX", "Cancel", "PendingCancels", "pending_cancel_key"]

PENDING_CANCEL_SUFFIX = ".kept"
"""Suffix of the keys of persisted cancels."""

MAX_PENDING_CANCELS = 500
"""Each cancel is checked every second, which takes about 5 microseconds. Callers rarely
cancel unknown jobs; a caller that does so all the time must not slow the holder
down."""


@attrs.frozen
class Cancel:
    """A cancel of a job, with the route and account of its caller.

    :param account: the client account; empty if the route needs no key.
    """

    job_id: str
    route: str
    account: str = ""


def pending_cancel_key(cancel: Cancel) -> str:
    """Return a cancel's key in the inbox; a repeated cancel replaces the row."""
    caller = cancel.route
    if cancel.account:
        caller = f"{cancel.route}\n{cancel.account}"
    return f"{cancel.job_id}.{zlib.crc32(caller.encode()):08x}{PENDING_CANCEL_SUFFIX}"


class PendingCancels:
    """The cancels that apply to jobs which may still arrive.

    A job may arrive after its cancel, if its caller repeats the submission or the store
    writes its row late. The retention period starts when this holder learns of a
    cancel, so that the clocks of other daemons don't matter. The next holder starts a
    new period.

    :param retention_s: how long a cancel is retained. The cancel of a known job does
        not apply longer either: the ended job is retained for the same time, and
        rejects later submissions only until then. Above ``MAX_PENDING_CANCELS`` the
        oldest cancels are evicted sooner.
    """

    def __init__(self, retention_s: float) -> None:
        self._retention_s = retention_s
        self._since_s: dict[Cancel, float] = {}
        # Evicted cancels whose rows still have to be deleted.
        self._evicted: set[Cancel] = set()

    def add(self, cancel: Cancel) -> None:
        """Retain a cancel; its retention period starts now."""
        self.forget(cancel)
        self._since_s[cancel] = boot_s()
        if len(self._since_s) > MAX_PENDING_CANCELS:
            oldest = next(iter(self._since_s))
            del self._since_s[oldest]
            self._evicted.add(oldest)

    def of_job(self, job_id: str) -> list[Cancel]:
        """Return the active cancels of a job."""
        return [c for c in self._since_s if c.job_id == job_id and self.covers(c)]

    def covers(self, cancel: Cancel) -> bool:
        """Whether a cancel is still active."""
        since_s = self._since_s.get(cancel)
        return since_s is not None and boot_s() - since_s < self._retention_s

    def knows(self, cancel: Cancel) -> bool:
        """Whether a cancel is retained, evicted, or past its retention period."""
        return cancel in self._since_s or cancel in self._evicted

    def forget(self, cancel: Cancel) -> None:
        """Forget a cancel that no longer applies."""
        self._since_s.pop(cancel, None)
        self._evicted.discard(cancel)

    def forget_job(self, job_id: str) -> None:
        """Forget all cancels of a job that has arrived."""
        for cancel in [c for c in self._since_s if c.job_id == job_id]:
            self.forget(cancel)
