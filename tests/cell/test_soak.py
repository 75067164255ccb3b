"""A short soak with fixed seeds: real processes, faults from outside.

``REGRESSIONS`` keeps each seed that ever failed, with a line on the cause.
"""

import pathlib

import pytest
from tools.soak import run_soak
from tools.soak import SoakPlan

PLANS = (SoakPlan(1, seconds=5.0), SoakPlan(2, seconds=5.0))
REGRESSIONS: tuple[SoakPlan, ...] = (
    # The stand-in's runner told a lapse when it was next called, not when it was.
    SoakPlan(210, seconds=5.0, first_faults=True),
    # A task was done on a silent runner and started again elsewhere once what ran there
    # had lapsed; then the runner told of the end. That is allowed: the check counted an
    # end that was confirmed after a lapse as one that had been known.
    SoakPlan(11001),
    # A runner was gone before the ends that it had told were confirmed, once with the
    # store down and once with its holder paused. That is allowed, too.
    SoakPlan(12014),
    SoakPlan(12025),
)


class TestSoak:
    @pytest.mark.parametrize("plan", [*PLANS, *REGRESSIONS], ids=lambda p: str(p.seed))
    async def test_breaks_no_promise(
        self, plan: SoakPlan, tmp_path: pathlib.Path
    ) -> None:
        broken, faults = await run_soak(plan, tmp_path)
        assert broken == [], faults
