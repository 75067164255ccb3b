"""Long-running tasks stay available while a wave and holders' changes end some."""

import math

import attrs
import logbook
import pytest
from hypothesis import example
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from .clock import virtual_time
from .schedule import Event
from .schedule import EventKind
from .schedule import JobPlan
from .schedule import Outcome
from .schedule import REFUSALS
from .schedule import Schedule
from .schedule import schedules
from .schedule import SETTLED_AT_S
from .schedule import Workload
from .test_stops import cancel_schedule
from .test_stops import explore
from .waves import WavePlan
from .waves import WaveSimulation

BEGINS_AFTER_S = 3.0
"""When the wave begins; the tasks are at work by then."""

DURATION_S = 13.0
"""Five machines, two at a time: the wave is urgent from its beginning."""

SPREAD_JOB = JobPlan(Workload.SPREAD, 3, 0.0, SETTLED_AT_S, False, False)


def simulate(
    schedule: Schedule,
    plan: WavePlan,
    must_end: bool = False,
    earlier_orders_s: float | None = None,
) -> None:
    """Simulate a schedule; fail with its trace if it violates a property."""

    async def run() -> WaveSimulation:
        simulation = WaveSimulation(schedule, plan, must_end, earlier_orders_s)
        await simulation.execute()
        return simulation

    with virtual_time() as runner, logbook.NullHandler().applicationbound():
        simulation = runner.run(run())
    trace = "\n".join(simulation.trace)
    assert not simulation.violations, (
        f"{simulation.violations}\n{schedule}\n{plan}\n{trace}"
    )


PLAIN_JOB = JobPlan(Workload.PLAIN, 1, 1.7, SETTLED_AT_S, False, False)
"""It ends at 3.2 s. Until then the machine of the first task has the highest load."""

PLAN = WavePlan(BEGINS_AFTER_S, DURATION_S, 2)


def _schedule(*events: Event, **faults: object) -> Schedule:
    """Return a step of three long-running tasks on runners of their own.

    The first holder stops the second task at 3.04 s, since the machine of the first one
    has more load. A holder that takes over later empties the machine of the first task
    first, since all three have the same load then.
    """
    schedule = cancel_schedule(SETTLED_AT_S, events=events, **faults)
    return attrs.evolve(schedule, jobs=[SPREAD_JOB, PLAIN_JOB])


def _event(kind: EventKind, after_s: float, for_s: float, runner: int = 0) -> Event:
    """Return an event that is timed from the beginning of the wave."""
    return Event(kind, None, BEGINS_AFTER_S + after_s, for_s, runner)


RELEASED = _event(EventKind.RELEASE, 0.1, 0.01)


def test_ends_in_time_without_faults() -> None:
    simulate(_schedule(), PLAN, must_end=True)


@pytest.mark.parametrize("earlier_orders_s", [0.0, -math.inf])
@pytest.mark.parametrize("after_s", [0.05, 0.1, 0.2, 0.4])
def test_counts_tasks_that_an_earlier_holder_stopped_as_away(
    after_s: float, earlier_orders_s: float
) -> None:
    """Guards against the successor taking a run that is being stopped for at work.

    The first holder stops a task and releases the cell. The run is listed as at work
    until the stop takes effect 0.9 s later, and the successor may order duties 0.5 s
    after the release, or at once if it is the same daemon, which has restarted.
    """
    released = _event(EventKind.RELEASE, after_s, 0.01)
    simulate(_schedule(released), PLAN, True, earlier_orders_s)


def test_counts_them_as_away_after_two_changes_in_a_row() -> None:
    again = _event(EventKind.RELEASE, 0.3, 0.01)
    simulate(_schedule(RELEASED, again), PLAN, True, -math.inf)


def test_counts_them_as_away_if_the_store_was_down_in_between() -> None:
    down = _event(EventKind.STORE_DOWN, 0.15, 0.3)
    simulate(_schedule(RELEASED, down), PLAN, True, -math.inf)


@pytest.mark.parametrize("for_s", [0.4, 1.0])
def test_counts_them_as_away_if_their_runner_is_silent(for_s: float) -> None:
    """Guards against counting what a silent runner had as at work."""
    silent = _event(EventKind.UNREACHABLE, 0.09, for_s, runner=1)
    simulate(_schedule(RELEASED, silent), PLAN, must_end=True)


def test_ends_in_time_although_the_holder_changes_often() -> None:
    """Guards against a wait that each change of the holder begins anew for long."""
    changes = [_event(EventKind.RELEASE, at_s, 0.01) for at_s in (0.1, 3.0, 6.0)]
    simulate(_schedule(*changes), PLAN, must_end=True)


def _wave_plans() -> st.SearchStrategy[WavePlan]:
    return st.builds(
        WavePlan,
        after_s=st.sampled_from([1.0, 2.5, 3.0]),
        duration_s=st.sampled_from([DURATION_S, 20.0]),
        most_at_once=st.integers(1, 3),
        order_s=st.sampled_from([0.005, 0.4]),
    )


@settings(explore, max_examples=60)
@given(
    schedules(
        stop_refusals=REFUSALS,
        workloads=[Workload.SPREAD, Workload.SPREAD, Workload.PLAIN],
        cancel_delays_s=[SETTLED_AT_S],
    ),
    _wave_plans(),
)
@example(_schedule(RELEASED), PLAN)
@example(_schedule(RELEASED, stops=[Outcome.SLOW]), PLAN)
@example(_schedule(_event(EventKind.REPLACE, 0.1, 1.0)), PLAN)
@example(_schedule(_event(EventKind.KILL, 0.1, 0.01)), PLAN)
def test_no_change_of_the_holder_lets_too_many_tasks_be_away(
    schedule: Schedule, plan: WavePlan
) -> None:
    simulate(schedule, plan)
