"""A short soak with fixed seeds: real processes, faults from outside.

``REGRESSIONS`` keeps each seed that ever failed, with a line on the cause.
"""

import pathlib

import pytest
from tools.soak import run_soak
from tools.soak import SoakPlan

SEEDS = (1, 2)
REGRESSIONS: tuple[int, ...] = (
    # The stand-in's runner told a lapse when it was next called, not when it was.
    210,
)


class TestSoak:
    @pytest.mark.parametrize("seed", [*SEEDS, *REGRESSIONS])
    async def test_breaks_no_promise(self, seed: int, tmp_path: pathlib.Path) -> None:
        broken, faults = await run_soak(SoakPlan(seed, seconds=5.0), tmp_path)
        assert broken == [], faults
