"""Nothing is started in an evacuated hall, however late a holder reads of it."""

import attrs
import logbook
import pytest
from hypothesis import example
from hypothesis import given
from hypothesis import strategies as st

from .clock import virtual_time
from .halls import evacuation_plans
from .halls import EvacuationPlan
from .halls import HallSimulation
from .schedule import CANCEL_DELAYS_S
from .schedule import Event
from .schedule import EventKind
from .schedule import Outcome
from .schedule import REFUSALS
from .schedule import Schedule
from .schedule import schedules
from .schedule import SETTLED_AT_S
from .schedule import Workload
from .test_stops import cancel_schedule
from .test_stops import explore

LATE_S = (0.0, 0.01, 0.4, 1.8, 3.0, 4.0)
"""How late a holder may know what it has read. A view may be 3.75 s old."""


def simulate(
    schedule: Schedule, plans: list[EvacuationPlan], late_s: list[float]
) -> None:
    """Simulate a schedule; fail with its trace if it violates a property."""

    async def run() -> HallSimulation:
        simulation = HallSimulation(schedule, plans, late_s)
        await simulation.execute()
        return simulation

    with virtual_time() as runner, logbook.NullHandler().applicationbound():
        simulation = runner.run(run())
    trace = "\n".join(simulation.trace)
    assert not simulation.violations, (
        f"{simulation.violations}\n{schedule}\n{plans} {late_s}\n{trace}"
    )


def _schedule(*events: Event, **faults: object) -> Schedule:
    """Return a job with two long-running tasks, and another one a second later."""
    schedule = cancel_schedule(SETTLED_AT_S, events=events, **faults)
    first = attrs.evolve(schedule.jobs[0], count=2)
    second = attrs.evolve(first, submit_after_s=1.0, workload=Workload.PLAIN)
    return attrs.evolve(schedule, jobs=[first, second])


BOTH_HALLS = [EvacuationPlan(0, 0.3, 7.0), EvacuationPlan(1, 0.05, 7.0)]
KILLED = Event(EventKind.KILL, None, 0.3, 0.3, 0)
REPLACED = Event(EventKind.REPLACE, None, 0.3, 2.5, 0)


@pytest.mark.parametrize("late_s", LATE_S)
def test_an_evacuation_is_read_late(late_s: float) -> None:
    """Guards against starts on a view that is older than allowed."""
    simulate(_schedule(), BOTH_HALLS, [late_s])


@pytest.mark.parametrize("event", [KILLED, REPLACED], ids=["killed", "replaced"])
@pytest.mark.parametrize("late_s", LATE_S)
def test_a_new_holder_is_the_first_to_read_an_evacuation(
    event: Event, late_s: float
) -> None:
    """Guards against a new holder that sends recorded starts before it has read."""
    schedule = _schedule(event, starts=[Outcome.LOST] * 3)
    simulate(schedule, BOTH_HALLS, [4.0, late_s])


@pytest.mark.parametrize("late_s", LATE_S)
@pytest.mark.parametrize("for_s", [0.0, 0.01])
def test_an_evacuation_is_withdrawn_at_once(for_s: float, late_s: float) -> None:
    """Guards against work that waits for a hall which may be used again."""
    plans = [EvacuationPlan(hall, 0.0, for_s) for hall in (0, 1)]
    simulate(_schedule(), plans, [late_s])


@explore
@given(
    schedules(REFUSALS, cancel_delays_s=[*CANCEL_DELAYS_S, SETTLED_AT_S, SETTLED_AT_S]),
    evacuation_plans(),
    st.lists(st.sampled_from(LATE_S), min_size=1, max_size=3),
)
@example(_schedule(KILLED, starts=[Outcome.UNANSWERED] * 2), BOTH_HALLS, [0.0, 1.8])
def test_nothing_is_started_in_an_evacuated_hall(
    schedule: Schedule, plans: list[EvacuationPlan], late_s: list[float]
) -> None:
    simulate(schedule, plans, late_s)
