"""Virtual time: an event loop whose clock jumps to the next timer."""

import asyncio
import contextlib
import selectors
import time
import typing as t

import pytest

BEGAN_AT_S = 1000.0
"""The virtual monotonic clock's first reading."""

WALL_OFFSET_S = 1_700_000_000.0
"""How far the virtual wall clock is ahead of the monotonic one."""


class JumpingSelector(selectors.SelectSelector):
    """Advances the virtual clock by the time of each wait, without waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = BEGAN_AT_S

    def select(self, timeout: float | None = None) -> list[t.Any]:
        """Advance the clock; there is no input or output that could become ready."""
        assert timeout is not None, "all tasks wait and no timer is set"
        self.now_s += max(0.0, timeout)
        return []


@contextlib.contextmanager
def virtual_time() -> t.Iterator[asyncio.Runner]:
    """Provide an asyncio runner in which `time` returns virtual time."""
    selector = JumpingSelector()
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(time, "monotonic", lambda: selector.now_s)
        patch.setattr(time, "clock_gettime", lambda clock: selector.now_s)
        patch.setattr(time, "time", lambda: selector.now_s + WALL_OFFSET_S)
        with asyncio.Runner(
            loop_factory=lambda: asyncio.SelectorEventLoop(selector)
        ) as runner:
            yield runner
