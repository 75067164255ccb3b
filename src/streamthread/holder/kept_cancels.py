"""Cancels that find no job: kept for as long as their jobs may still come."""

import time

__all__ = ["KeptCancels", "kept_key"]

MOST_KEPT = 500
"""Each is looked at every second, in some 5 microseconds. Callers rarely cancel what is
not known; one that does so all the time must not slow the holder down."""


def kept_key(job_id: str) -> str:
    """Return the key of a kept cancel in the inbox: each replaces the one before."""
    return f"{job_id}.kept"


class KeptCancels:
    """The jobs that are cancelled should they come.

    A hand-in may come after its cancel: a caller repeats it, or the store writes its
    row late. Times count from when this holder learnt of a cancel, so that no clock
    of another daemon matters; the next holder counts anew.

    :param keep_s: a cancel is kept for so long. An ended job is, too, and turns away
        the hand-ins that come after its cancel for no longer. Of more than
        ``MOST_KEPT`` the oldest are given up sooner.
    """

    def __init__(self, keep_s: float) -> None:
        self._keep_s = keep_s
        self._since_s: dict[str, float] = {}
        # Until their rows are looked at again and dropped.
        self._given_up: set[str] = set()

    def keep(self, job_id: str) -> None:
        """Keep a cancel from now on."""
        self.forget(job_id)
        self._since_s[job_id] = time.monotonic()
        if len(self._since_s) > MOST_KEPT:
            oldest = next(iter(self._since_s))
            del self._since_s[oldest]
            self._given_up.add(oldest)

    def covers(self, job_id: str) -> bool:
        """Whether a job is cancelled, should it come."""
        since_s = self._since_s.get(job_id)
        return since_s is not None and time.monotonic() - since_s < self._keep_s

    def knows(self, job_id: str) -> bool:
        """Whether a cancel is kept, or was until its time was over."""
        return job_id in self._since_s or job_id in self._given_up

    def forget(self, job_id: str) -> None:
        """Keep a cancel no more: its job has come, or its time is over."""
        self._since_s.pop(job_id, None)
        self._given_up.discard(job_id)
