"""Ends a call whose answer is overdue, but not one whose answer is read late."""

import asyncio

__all__ = ["LateLoopGuard", "OverdueTimer"]

MAX_LOOP_DELAY_S = 0.02
"""If the event loop runs a timer later than this, it is busy, and answers that have
arrived may not have been read yet."""

RECHECK_S = 0.1
"""When a timer that ran late runs again."""


class OverdueTimer:
    """Ends the time limit of a call early, once its answer is overdue.

    A holder that sends hundreds of orders at once reads their answers late. As long as
    its event loop is late, the timer is extended.

    :param limit: the time limit of the call.
    :param overdue_s: how long the answer may take.
    :param expired: whether the timer has ended the call.
    """

    def __init__(self, limit: asyncio.Timeout, overdue_s: float) -> None:
        self.expired = False
        self._limit = limit
        self._loop = asyncio.get_running_loop()
        self._schedule(overdue_s)

    def _schedule(self, after_s: float) -> None:
        self._due_at_s = self._loop.time() + after_s
        self._handle = self._loop.call_at(self._due_at_s, self._on_due)

    def _on_due(self) -> None:
        if self._loop.time() - self._due_at_s > MAX_LOOP_DELAY_S:
            self._schedule(RECHECK_S)
            return
        if self._limit.expired():
            # The call has ended by its time limit in this step of the loop.
            return
        self.expired = True
        self._limit.reschedule(self._loop.time())

    def cancel(self) -> None:
        """Let the call go on: its answer has begun, or the call is over."""
        self.expired = False
        self._handle.cancel()


class LateLoopGuard:
    """Extends the time limit of a call once if the event loop is late when it ends.

    An answer that arrived while the loop stood still is unread then, and the call would
    end without it.

    :param limit: the time limit of the call.
    """

    def __init__(self, limit: asyncio.Timeout) -> None:
        self._limit = limit
        self._loop = asyncio.get_running_loop()
        now_s = self._loop.time()
        self._end_at_s = limit.when()
        self._due_at_s = max(now_s, (self._end_at_s or now_s) - MAX_LOOP_DELAY_S)
        self._handle = self._loop.call_at(self._due_at_s, self._on_due)

    def _on_due(self) -> None:
        """Check the loop, shortly before the limit or, if the loop is late, with it."""
        now_s = self._loop.time()
        if self._limit.expired() or self._limit.when() != self._end_at_s:
            return
        if now_s - self._due_at_s > MAX_LOOP_DELAY_S:
            self._limit.reschedule(now_s + RECHECK_S)

    def cancel(self) -> None:
        """Let the limit be: the answer has begun, or the call is over."""
        self._handle.cancel()
