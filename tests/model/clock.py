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


MIN_WAIT_S = 1e-9
"""Each wait takes at least the resolution of asyncio's clock. Timers fire early by up
to this, so that two loops that wait for the rest of the same time could go on for ever.
"""

MAX_DURATION_S = 300.0
"""A simulation that takes longer is taken not to end."""


class JumpingSelector(selectors.SelectSelector):
    """Advances the virtual clock by the time of each wait, without waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = BEGAN_AT_S

    def select(self, timeout: float | None = None) -> list[t.Any]:
        """Advance the clock; there is no input or output that could become ready."""
        assert timeout is not None, "all tasks wait and no timer is set"
        self.now_s += max(MIN_WAIT_S, timeout)
        assert self.now_s < BEGAN_AT_S + MAX_DURATION_S, "the simulation does not end"
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
