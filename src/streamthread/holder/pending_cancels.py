"""Cancels that find no job: kept for as long as their jobs may still come."""

import zlib

import attrs

from ..clocks import boot_s

__all__ = ["PENDING_CANCEL_SUFFIX", "Cancel", "PendingCancels", "pending_cancel_key"]

PENDING_CANCEL_SUFFIX = ".kept"
"""What the keys of kept cancels end in."""

MAX_PENDING_CANCELS = 500
"""Each is looked at every second, in some 5 microseconds. Callers rarely cancel what is
not known; one that does so all the time must not slow the holder down."""


@attrs.frozen
class Cancel:
    """A cancel that found no job: its id, and who named it by which route.

    :param account: the client account; empty: the route needs no key.
    """

    job_id: str
    route: str
    account: str = ""


def pending_cancel_key(cancel: Cancel) -> str:
    """Return the key of a kept cancel in the inbox: each replaces the one before."""
    caller = cancel.route
    if cancel.account:
        caller = f"{cancel.route}\n{cancel.account}"
    return f"{cancel.job_id}.{zlib.crc32(caller.encode()):08x}{PENDING_CANCEL_SUFFIX}"


class PendingCancels:
    """The jobs that are cancelled should they come.

    A hand-in may come after its cancel: a caller repeats it, or the store writes its
    row late. Times count from when this holder learnt of a cancel, so that no clock
    of another daemon matters; the next holder counts anew.

    :param keep_s: a cancel is kept for so long. An ended job is, too, and turns away
        the hand-ins that come after its cancel for no longer. Of more than
        ``MAX_PENDING_CANCELS`` the oldest are given up sooner.
    """

    def __init__(self, retention_s: float) -> None:
        self._retention_s = retention_s
        self._since_s: dict[Cancel, float] = {}
        # Until their rows are looked at again and dropped.
        self._evicted: set[Cancel] = set()

    def add(self, cancel: Cancel) -> None:
        """Keep a cancel from now on."""
        self.forget(cancel)
        self._since_s[cancel] = boot_s()
        if len(self._since_s) > MAX_PENDING_CANCELS:
            oldest = next(iter(self._since_s))
            del self._since_s[oldest]
            self._evicted.add(oldest)

    def of_job(self, job_id: str) -> list[Cancel]:
        """Return the cancels that count for a job, should it come."""
        return [c for c in self._since_s if c.job_id == job_id and self.covers(c)]

    def covers(self, cancel: Cancel) -> bool:
        """Whether a cancel counts still."""
        since_s = self._since_s.get(cancel)
        return since_s is not None and boot_s() - since_s < self._retention_s

    def knows(self, cancel: Cancel) -> bool:
        """Whether a cancel is kept, or was until its time was over."""
        return cancel in self._since_s or cancel in self._evicted

    def forget(self, cancel: Cancel) -> None:
        """Keep a cancel no more: its time is over."""
        self._since_s.pop(cancel, None)
        self._evicted.discard(cancel)

    def forget_job(self, job_id: str) -> None:
        """Keep no cancel of a job any more: it has come."""
        for cancel in [c for c in self._since_s if c.job_id == job_id]:
            self.forget(cancel)
