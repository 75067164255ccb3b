"""Virtual time: an event loop whose clock jumps to the next timer."""

import asyncio
import contextlib
import selectors
import time
import typing as t

import pytest

BEGAN_AT_S = 1000.0
"""The virtual monotonic clock's first reading."""

WALL_S = 1_700_000_000.0
"""The virtual wall clock is this far ahead of the monotonic one."""


class JumpingSelector(selectors.SelectSelector):
    """Waits for nothing: the time that a wait would take passes at once."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = BEGAN_AT_S

    def select(self, timeout: float | None = None) -> list[t.Any]:
        """Let the time pass; there is no input or output to be ready."""
        assert timeout is not None, "all tasks wait and no timer is set"
        self.now_s += max(0.0, timeout)
        return []


@contextlib.contextmanager
def virtual_time() -> t.Iterator[asyncio.Runner]:
    """Provide a runner of tasks for which `time` tells virtual time."""
    selector = JumpingSelector()
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(time, "monotonic", lambda: selector.now_s)
        patch.setattr(time, "clock_gettime", lambda clock: selector.now_s)
        patch.setattr(time, "time", lambda: selector.now_s + WALL_S)
        with asyncio.Runner(
            loop_factory=lambda: asyncio.SelectorEventLoop(selector)
        ) as runner:
            yield runner
