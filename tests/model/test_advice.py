"""Jobs of queues with a policy end, whatever the policy's figures are."""

import math

import logbook
from hypothesis import example
from hypothesis import given
from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import strategies as st

from streamthread.platform.manifest import AdvicePolicy

from .advice import AdvicePlan
from .advice import AdviceSimulation
from .advice import Outage
from .clock import virtual_time

MAX_EXAMPLES = 60

LONGEST_S = 200.0
"""Plans that may take longer are left out."""


def _logarithmic(least: float, most: float) -> st.SearchStrategy[float]:
    """Draw figures of all magnitudes alike."""
    exponents = st.floats(math.log(least), math.log(most))
    return exponents.map(lambda exponent: round(math.exp(exponent), 4))


TIMES_S = st.floats(0.0, 20.0).map(lambda at_s: round(at_s, 2))
FIGURES_S = st.one_of(st.just(0.0), _logarithmic(0.001, 3.0))

PLANS = st.builds(
    AdvicePlan,
    policy=st.builds(AdvicePolicy, FIGURES_S, FIGURES_S, _logarithmic(0.1, 120.0)),
    runners=_logarithmic(1, 300).map(round),
    one_in=st.sampled_from([1, 2, 8, 1000]),
    jobs_at_s=st.lists(TIMES_S, min_size=1, max_size=12).map(tuple),
    steps=_logarithmic(1, 40).map(round),
    tasks=st.integers(1, 8),
    cpu=st.sampled_from([1, 4, 16]),
    run_s=_logarithmic(0.05, 2.0),
    chained=st.booleans(),
    outages=st.lists(
        st.builds(
            Outage, TIMES_S, st.floats(0.5, 8.0), st.sampled_from([None, 2.0, 5.0])
        ),
        max_size=3,
    ).map(tuple),
    holders_at_s=st.lists(TIMES_S, max_size=3).map(tuple),
    exits_at_s=st.lists(TIMES_S, max_size=3).map(tuple),
).filter(lambda plan: plan.needed_s() < LONGEST_S)


def _plan(
    policy: AdvicePolicy, runners: int, one_in: int, *jobs_at_s: float
) -> AdvicePlan:
    return AdvicePlan(
        policy, runners, one_in, jobs_at_s, 1, 8, 4, 2.0, False, (), (), ()
    )


class TestJobs:
    # Guards against accepted jobs that never start beside permitted idle runners.
    @settings(
        max_examples=MAX_EXAMPLES,
        suppress_health_check=[HealthCheck.too_slow, HealthCheck.filter_too_much],
    )
    @given(PLANS)
    # A burst, with a policy whose calls for 30 runners take 2.5 s.
    @example(_plan(AdvicePolicy(0.05, 0.082, 20.0), 44, 1, 0.0, *[1.7] * 8))
    # Each call takes longer than any constant limit would allow.
    @example(_plan(AdvicePolicy(2.5, 0.01, 20.0), 4, 1, 0.0))
    # Only one of many runners is permitted.
    @example(_plan(AdvicePolicy(0.02, 0.002, 10.0), 300, 1000, 0.0, 5.0))
    # Tickets expire before the next call for the step.
    @example(_plan(AdvicePolicy(0.0, 0.0, 0.1), 4, 2, 0.0, 0.1, 0.2))
    def test_of_any_policy_end(self, plan: AdvicePlan) -> None:
        async def run() -> list[str]:
            return await AdviceSimulation(plan).execute()

        with virtual_time() as runner, logbook.NullHandler().applicationbound():
            assert runner.run(run()) == [], plan
