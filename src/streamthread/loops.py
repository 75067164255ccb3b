"""Keeps a process's loops going through failures that nobody foresaw.

What is known to fail has a typed error and an answer where it arises. Anything else is
a mistake here, most likely met by input that nobody thought of: the daemon
that takes over reads the same input. So a loop that fails is begun again, with growing
pauses, and the others go on; ending the process would end all daemons in turn.
"""

import asyncio
import collections
import typing as t

import logbook

from .clocks import boot_s

__all__ = ["Failures", "LoopKeeper", "RecentCount"]

log = logbook.Logger("streamthread.loops")

PAUSE_FIRST_S = 0.1
"""Before a loop that failed is begun again; doubled with each failure in a row."""

PAUSE_MOST_S = 2.0
"""The longest pause: the work of a loop that fails once is waited for no longer."""

LASTED_S = 10.0
"""A loop that ran for so long has recovered: its next pause is the first one again."""

Loop = t.Callable[[], t.Coroutine[t.Any, t.Any, None]]
"""Begins a loop, anew each time."""


class Failures:
    """The failures in a process that nobody foresaw.

    :param counts: by the loop or the call that failed.
    """

    def __init__(self) -> None:
        self.counts: dict[str, int] = {}

    def note(self, name: str, error: BaseException) -> None:
        """Count a failure and log it with its traceback.

        :param name: of the loop or call.
        """
        self.counts[name] = self.counts.get(name, 0) + 1
        log.error(
            "unforeseen-failure",
            extra={"loop": name, "error": repr(error), "count": self.counts[name]},
            exc_info=(type(error), error, error.__traceback__),
        )


class RecentCount:
    """Counts how often something has happened in the last seconds."""

    def __init__(self) -> None:
        self._at_s: collections.deque[float] = collections.deque()

    def add(self) -> None:
        """Count one more."""
        self._at_s.append(boot_s())

    def within(self, period_s: float) -> int:
        """Return how many there were in the last seconds; older ones are forgotten."""
        oldest_s = boot_s() - period_s
        while self._at_s and self._at_s[0] < oldest_s:
            self._at_s.popleft()
        return len(self._at_s)


class LoopKeeper:
    """Begins loops again that end by a failure that nobody foresaw.

    :param failures: is told of each.
    :param foreseen: errors that end a loop for good, and go on to whoever runs it.
    :param failed: called after each failure; may end the loop's task.
    """

    def __init__(
        self,
        failures: Failures,
        foreseen: tuple[type[Exception], ...] = (),
        failed: t.Callable[[str], None] = lambda name: None,
    ) -> None:
        self._failures = failures
        self._foreseen = foreseen
        self._failed = failed

    async def keep(self, name: str, loop: Loop) -> None:
        """Run a loop until it ends by itself, is cancelled or fails as foreseen."""
        pause_s = PAUSE_FIRST_S
        while True:
            began_at_s = boot_s()
            try:
                await loop()
                return
            except self._foreseen:
                raise
            except Exception as error:
                self._failures.note(name, error)
            self._failed(name)
            if boot_s() - began_at_s > LASTED_S:
                pause_s = PAUSE_FIRST_S
            await asyncio.sleep(pause_s)
            pause_s = min(pause_s * 2, PAUSE_MOST_S)

    async def once(self, name: str, call: t.Coroutine[t.Any, t.Any, None]) -> None:
        """Await a call; one that fails is told of and not made again."""
        try:
            await call
        except self._foreseen:
            raise
        except Exception as error:
            self._failures.note(name, error)
            self._failed(name)
