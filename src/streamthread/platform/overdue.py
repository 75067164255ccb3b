"""Ends a call whose answer is overdue, but not one whose answer is read late."""

import asyncio

__all__ = ["OverdueTimer"]

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
        self.expired = True
        self._limit.reschedule(self._loop.time())

    def cancel(self) -> None:
        """Let the call go on: its answer has begun, or the call is over."""
        self.expired = False
        self._handle.cancel()
