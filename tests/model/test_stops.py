"""Whatever goes wrong meanwhile: what a job started is gone once it is cancelled."""

import attrs
import logbook
from hypothesis import example
from hypothesis import given
from hypothesis import HealthCheck
from hypothesis import Phase
from hypothesis import settings
from hypothesis import strategies as st

from .clock import virtual_time
from .schedule import CANCELS_S
from .schedule import CRASHING_WORK
from .schedule import Event
from .schedule import Fate
from .schedule import JobPlan
from .schedule import Kind
from .schedule import LONG_QUIET_S
from .schedule import REFUSALS
from .schedule import Schedule
from .schedule import schedules
from .schedule import Work
from .world import TASK_CPU
from .world import World

PLAYS = 120
"""Of each test; one takes some 60 ms."""

explored = settings(
    max_examples=PLAYS,
    phases=(Phase.explicit, Phase.generate, Phase.shrink),
    suppress_health_check=[HealthCheck.too_slow],
)


def play(schedule: Schedule, limit_cpu: int = 0) -> None:
    """Play a schedule; fail with its trace where it breaks a property."""

    async def run() -> World:
        world = World(schedule, limit_cpu)
        await world.play()
        return world

    with virtual_time() as runner, logbook.NullHandler().applicationbound():
        world = runner.run(run())
    trace = "\n".join(world.trace)
    assert not world.broken, f"{world.broken}\n{schedule}\n{trace}"


def plain(cancel_after_s: float = 1.0, **parts: object) -> Schedule:
    """Return the cancel of a lasting job, with only some things going wrong."""
    kinds = ("starts", "stops", "holds", "commits", "feeds", "events")
    job = JobPlan(Work.LASTING, 1, 0.0, cancel_after_s, False, False)
    return Schedule([job], 0.0, **dict.fromkeys(kinds, ()) | parts)


STOP_LOST_WITH_ITS_HOLDER = plain(
    stops=[Fate.LOST], events=[Event(Kind.KILL, 0, 0.05, 0.01, 0)]
)
HOLDER_DIES_BEFORE_ITS_STOP = plain(events=[Event(Kind.KILL, 0, 0.0055, 0.01, 0)])
CANCELLED_IN_A_RELEASE = plain(events=[Event(Kind.RELEASE, 0, 0.0, 0.3, 0)])
STOP_REFUSED = plain(stops=[Fate.UNHEALTHY])
STOP_OF_NOTHING_REFUSED = plain(starts=[Fate.LOST] * 5, stops=[Fate.UNHEALTHY])
START_AND_STOP_REFUSED = plain(
    cancel_after_s=LONG_QUIET_S,
    starts=[Fate.LOST, Fate.UNHEALTHY],
    stops=[Fate.UNHEALTHY],
)


@explored
@given(schedules(stop_refusals=[]))
@example(STOP_LOST_WITH_ITS_HOLDER)
@example(HOLDER_DIES_BEFORE_ITS_STOP)
@example(CANCELLED_IN_A_RELEASE)
def test_nothing_of_a_cancelled_job_is_left(schedule: Schedule) -> None:
    play(schedule)


@explored
@given(schedules(stop_refusals=REFUSALS))
@example(STOP_REFUSED)
@example(STOP_OF_NOTHING_REFUSED)
@example(START_AND_STOP_REFUSED)
def test_nothing_is_left_where_runners_refuse_stops(schedule: Schedule) -> None:
    play(schedule)


def restarts(for_s: float, *more: Event) -> Schedule:
    """Return two lasting tasks whose runner starts again under its id, twice."""
    events = [
        Event(Kind.REBOOT, None, 1.0, for_s, 0),
        Event(Kind.REBOOT, None, 2.5, for_s, 0),
    ]
    schedule = plain(LONG_QUIET_S, events=[*events, *more], keeps_ids=True)
    job = attrs.evolve(schedule.jobs[0], count=2)
    return attrs.evolve(schedule, jobs=[job])


RESTARTED_BEHIND_A_CUT = restarts(0.3, Event(Kind.UNREACHABLE, None, 0.3, 2.5, 0))
RESTARTED_UNDER_THE_NEXT_HOLDER = restarts(0.3, Event(Kind.KILL, None, 1.0, 0.3, 0))


@explored
@given(schedules(REFUSALS, cancels_s=[LONG_QUIET_S], keeps_ids=st.just(True)))
@example(restarts(0.01))
@example(restarts(1.0))
@example(RESTARTED_BEHIND_A_CUT)
@example(RESTARTED_UNDER_THE_NEXT_HOLDER)
def test_lasting_tasks_run_once_on_runners_that_keep_their_ids(
    schedule: Schedule,
) -> None:
    play(schedule)


@explored
@given(schedules(REFUSALS, CRASHING_WORK, [LONG_QUIET_S]))
def test_a_task_that_crashes_its_runners_is_given_up(schedule: Schedule) -> None:
    """Whatever is lost, late or replaced: five runners at most go down under it."""
    play(schedule)


@explored
@given(schedules(REFUSALS, cancels_s=[*CANCELS_S, LONG_QUIET_S, LONG_QUIET_S]))
def test_no_account_is_over_its_limit(schedule: Schedule) -> None:
    """Two of up to six tasks may run: orders come late, runs are copied and stopped,
    and holders are replaced, while the others wait."""
    play(schedule, limit_cpu=2 * TASK_CPU)


def left_in_the_inbox(cancel_after_s: float) -> JobPlan:
    """Return a lasting job that no holder took from its caller, but its cancel."""
    return JobPlan(Work.LASTING, 1, 0.0, cancel_after_s, True, False)


def test_a_holder_denies_no_job_that_waits_in_the_inbox() -> None:
    schedule = attrs.evolve(
        plain(feeds=[Fate.LOST]), jobs=[left_in_the_inbox(cancel_after_s=0.05)]
    )
    play(schedule)


def test_a_replaced_holder_denies_no_job_that_the_next_one_has() -> None:
    """It is cut off from the store, and does not know yet that it was replaced."""
    schedule = attrs.evolve(
        plain(events=[Event(Kind.OUST, None, 0.3, 2.5, 0)]),
        jobs=[left_in_the_inbox(cancel_after_s=3.0)],
    )
    play(schedule)
