"""The faults and events of one simulation, and when they happen."""

import collections
import enum
import time
import typing as t

import attrs
from hypothesis import strategies as st

from .clock import BEGAN_AT_S

FAULTS_END_AT_S = 14.0
"""From this time of a simulation on, no further faults occur."""

SETTLED_AT_S = 30.0
"""By then no effect of the faults is left: see `simulation.CLEANUP_WITHIN_S`."""

SUBMIT_TIMES_S = (0.0, 1.0, 2.5)
"""When jobs are submitted."""

FAULT_FREE_TIMES_S = (0.0, 0.05, 1.0, 3.0)
"""How long the store and the holds work without faults at first."""

CANCEL_DELAYS_S = (0.0, 0.001, 0.002, 0.005, 0.05, 0.3, 1.0, 3.0, SETTLED_AT_S)
"""How long after the answer to its submission a job is cancelled. Its starts are sent
during the shortest of these delays."""

EVENT_DELAYS_S = (0.0, 0.002, 0.0055, 0.05, 0.3, 1.0, 2.5)
"""When events begin. A cancel is recorded after 5 ms, and its stop is sent then."""

EVENT_DURATIONS_S = (0.01, 0.3, 1.0, 2.5, 5.0)
"""How long events last. Runs are held for 3.2 s."""


class Outcome(enum.Enum):
    """What happens to one call."""

    FINE = "fine"
    SLOW = "slow"
    """Carried out at once, answered late: newer answers overtake this one."""
    LOST = "lost"
    UNANSWERED = "unanswered"
    """Carried out at once, never answered."""
    LATE = "late"
    """Carried out seconds later, after newer calls, and never answered."""
    UNSENT = "unsent"
    """Certainly not sent."""
    UNHEALTHY = "unhealthy"
    """Refused by an unhealthy runner with status 429 or 503."""
    UNHEALTHY_CLOCK = "unhealthy-clock"
    """The same, with the runner's clock in the answer."""
    MALFORMED = "malformed"
    NO_CAPACITY = "room"


class EventKind(enum.Enum):
    """What happens to the cell."""

    KILL = "kill"
    """The holder is killed; the next one acquires the cell after the event."""
    RELEASE = "release"
    """The holder orders nothing new, and releases the cell after the event."""
    REPLACE = "replace"
    """The holder is cut off from the store and replaced, but goes on running."""
    STORE_DOWN = "store-down"
    UNREACHABLE = "unreachable"
    """The runner is up, but no call reaches it."""
    UNLISTED = "unlisted"
    REBOOT = "reboot"
    """The runner is terminated; its next incarnation starts after the event."""
    RUNS_FAIL = "runs-fail"
    SHRINK = "shrink"
    """The runner's cpu is a third for a while; its runs go on."""


class Workload(enum.Enum):
    """The step of the job that is cancelled."""

    LONG_RUNNING = {"longRunning": True, "may_miss": 1}
    SPREAD = {"longRunning": True, "may_miss": 1, "antiAffinity": 1}
    """Each task runs on a runner of its own."""
    PLAIN = {"estimateMs": 100}
    SPECULATIVE = {"estimateMs": 100, "speculative": True}
    CRASHING = {"estimateMs": 200}
    """Each runner that starts it crashes at once."""
    CRASHING_SPECULATIVE = {"estimateMs": 200, "speculative": True}


@attrs.frozen
class Event:
    """An event that happens once.

    :param after_cancel_of: the number of the job whose cancel precedes the event; None
        if the event is timed from the start of the simulation.
    """

    kind: EventKind
    after_cancel_of: int | None
    after_s: float
    for_s: float
    runner: int


@attrs.frozen
class JobPlan:
    """A job that is submitted and cancelled.

    :param isolated_submit: it is submitted to a daemon that has no contact to a holder,
        so that it goes through the inbox.
    :param isolated_cancel: the same for its cancel.
    """

    workload: Workload
    count: int
    submit_after_s: float
    cancel_after_s: float
    isolated_submit: bool
    isolated_cancel: bool


@attrs.frozen
class Schedule:
    """The faults and events of one simulation.

    The outcomes of each kind of call are applied in order; all further calls succeed.

    :param fault_free_s: before this time, holds and calls of the store succeed.
    :param keeps_ids: a runner's next incarnation has the same id, but its clock and the
        numbers of its ends start anew.
    :param max_listed_ends: how many ended runs a runner lists at once; None for all.
    """

    jobs: list[JobPlan]
    fault_free_s: float
    starts: list[Outcome]
    stops: list[Outcome]
    holds: list[Outcome]
    commits: list[Outcome]
    feeds: list[Outcome]
    events: list[Event]
    keeps_ids: bool = False
    max_listed_ends: int | None = None

    @property
    def size(self) -> int:
        """The number of failing calls and events."""
        calls = (self.starts, self.stops, self.holds, self.commits, self.feeds)
        failing = sum(
            outcome is not Outcome.FINE for outcomes in calls for outcome in outcomes
        )
        return failing + len(self.events)


class Outcomes:
    """Yields the call outcomes of a schedule, as long as its calls may fail.

    :param schedule: None if no call fails.
    """

    def __init__(self, schedule: Schedule | None) -> None:
        self._left: dict[str, collections.deque[Outcome]] = {}
        if schedule is None:
            return
        self._fault_free_until_s = BEGAN_AT_S + schedule.fault_free_s
        self._left = {
            "start": collections.deque(schedule.starts),
            "stop": collections.deque(schedule.stops),
            "hold": collections.deque(schedule.holds),
            "commit": collections.deque(schedule.commits),
            "feed": collections.deque(schedule.feeds),
        }

    def next(self, kind: str) -> Outcome:
        """Return the outcome of the next call of a kind."""
        left = self._left.get(kind)
        now_s = time.monotonic()
        if not left or now_s >= BEGAN_AT_S + FAULTS_END_AT_S:
            return Outcome.FINE
        if kind not in ("start", "stop") and now_s < self._fault_free_until_s:
            return Outcome.FINE
        return left.popleft()


CALL_OUTCOMES = [
    Outcome.FINE,
    Outcome.SLOW,
    Outcome.LOST,
    Outcome.UNANSWERED,
    Outcome.LATE,
    Outcome.UNSENT,
]
REFUSALS = [Outcome.UNHEALTHY, Outcome.UNHEALTHY_CLOCK, Outcome.MALFORMED]
STORE_CALL_OUTCOMES = [
    Outcome.FINE,
    Outcome.LOST,
    Outcome.UNANSWERED,
    Outcome.LATE,
    Outcome.UNSENT,
]


def _outcomes(
    outcomes: list[Outcome], max_count: int
) -> st.SearchStrategy[list[Outcome]]:
    return st.lists(st.sampled_from(outcomes), max_size=max_count)


ANY_WORKLOAD = (
    Workload.LONG_RUNNING,
    *(workload for workload in Workload if workload is not Workload.SPREAD),
)
"""The workloads that fit on two runners in any number."""

ANY_KEEPS_IDS = st.booleans()

CRASHING_WORKLOADS = (Workload.CRASHING, Workload.CRASHING_SPECULATIVE, Workload.PLAIN)


def schedules(
    stop_refusals: list[Outcome],
    workloads: t.Sequence[Workload] = ANY_WORKLOAD,
    cancel_delays_s: t.Sequence[float] = CANCEL_DELAYS_S,
    keeps_ids: st.SearchStrategy[bool] = ANY_KEEPS_IDS,
) -> st.SearchStrategy[Schedule]:
    """Return schedules in which runners answer stops with the given refusals.

    :param keeps_ids: whether restarted runners keep their ids.
    """
    job = st.builds(
        JobPlan,
        workload=st.sampled_from(workloads),
        count=st.integers(1, 2),
        submit_after_s=st.sampled_from(SUBMIT_TIMES_S),
        cancel_after_s=st.sampled_from(cancel_delays_s),
        isolated_submit=st.booleans(),
        isolated_cancel=st.booleans(),
    )
    event = st.builds(
        Event,
        kind=st.sampled_from([EventKind.KILL, *EventKind]),
        after_cancel_of=st.sampled_from([None, 0, 1, 2]),
        after_s=st.sampled_from(EVENT_DELAYS_S),
        for_s=st.sampled_from(EVENT_DURATIONS_S),
        runner=st.integers(0, 1),
    )
    return st.builds(
        Schedule,
        jobs=st.lists(job, min_size=1, max_size=3),
        fault_free_s=st.sampled_from(FAULT_FREE_TIMES_S),
        starts=_outcomes([*CALL_OUTCOMES, *REFUSALS, Outcome.NO_CAPACITY], 6),
        stops=_outcomes([*CALL_OUTCOMES, *stop_refusals], 8),
        holds=_outcomes([*CALL_OUTCOMES, *REFUSALS], 8),
        commits=_outcomes(STORE_CALL_OUTCOMES, 6),
        feeds=_outcomes([Outcome.FINE, Outcome.LOST, Outcome.UNSENT], 3),
        events=st.lists(event, max_size=4),
        keeps_ids=keeps_ids,
    )
