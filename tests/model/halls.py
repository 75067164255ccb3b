"""A simulation in which halls are evacuated, and holders read that late."""

import asyncio
import time
import typing as t

import attrs
from hypothesis import strategies as st

from streamthread.clocks import boot_s
from streamthread.errors import StreamthreadError
from streamthread.halls import Evacuations
from streamthread.halls import HallPolicy
from streamthread.halls import HallRegistry
from streamthread.platform.documents import OPERATOR_TABLE
from streamthread.platform.runners import StartOrder
from streamthread.platform.store import StoredRow
from streamthread.platform.table_feed import TableFeed

from .clock import BEGAN_AT_S
from .runners import address_of
from .runners import FakeRunners
from .runners import Incarnation
from .runners import Run
from .schedule import EVENT_DELAYS_S
from .schedule import FAULTS_END_AT_S
from .schedule import Schedule
from .simulation import Simulation

__all__ = ["EvacuationPlan", "HallSimulation", "evacuation_plans"]

HALLS = ("north", "south")
"""The hall of each runner."""

EVACUATE_S = 5.0
"""No run may start in a hall later than this after its evacuation was written."""

MAX_AGE_S = 0.75 * EVACUATE_S
"""No start is sent on an older view of the evacuations."""

FEED_WAIT_S = 0.5
RETRY_S = 0.1

MAX_LATE_S = 4.0
"""Maximum delay until a holder knows what it has read; longer than the view's age may
be."""


@attrs.frozen
class EvacuationPlan:
    """An evacuation that is written once and withdrawn once.

    :param hall: the number of the hall.
    """

    hall: int
    after_s: float
    for_s: float

    @property
    def ends_at_s(self) -> float:
        """When it is withdrawn."""
        return BEGAN_AT_S + self.after_s + self.for_s


def evacuation_plans() -> st.SearchStrategy[list[EvacuationPlan]]:
    """Return evacuations, some of which are withdrawn at once."""
    plan = st.builds(
        EvacuationPlan,
        hall=st.integers(0, 1),
        after_s=st.sampled_from([*EVENT_DELAYS_S, 4.0]),
        for_s=st.sampled_from([0.0, 0.01, 0.3, 1.0, 7.0]),
    )
    return st.lists(plan, min_size=1, max_size=4)


class HallRunners(FakeRunners):
    """Runners in halls, whose starts are checked when they are sent.

    :param policies: what each holder knows of the halls, by its fencing token.
    :param check_sent: called with the address, the runner's id and the order of each
        start that is sent.
    """

    def __init__(
        self, outcomes, record, check_sent: t.Callable[[str, str, StartOrder], None]
    ):
        super().__init__(outcomes, record)
        self._check_sent = check_sent

    async def start(self, address, runner_id, order, timeout_s, overdue_s=None):
        self._check_sent(address, runner_id, order)
        return await super().start(address, runner_id, order, timeout_s, overdue_s)


class HallSimulation(Simulation):
    """Evacuates halls, and checks each start when it is sent and when it begins.

    :param late_s: how late each holder in turn knows what it has read of the rows.
    """

    def __init__(
        self,
        schedule: Schedule,
        plans: t.Sequence[EvacuationPlan],
        late_s: t.Sequence[float],
    ) -> None:
        super().__init__(schedule)
        self._runners = HallRunners(self._outcomes, self.record, self._check_sent)
        self._evacuation_plans = plans
        self._late_s = late_s
        self._policies: dict[int, HallRegistry] = {}
        # When the evacuations that are in force were written, by hall.
        self._evacuated_at_s: dict[str, dict[int, float]] = {hall: {} for hall in HALLS}

    async def execute(self) -> None:
        """Run the schedule and the evacuations."""
        ends_s = [plan.ends_at_s + MAX_LATE_S for plan in self._evacuation_plans]
        self._faults_until_s = max(self._faults_until_s, *ends_s)
        for number, plan in enumerate(self._evacuation_plans):
            self._reboots.append(asyncio.ensure_future(self._evacuate(number, plan)))
        await super().execute()

    async def _evacuate(self, number: int, plan: EvacuationPlan) -> None:
        hall = HALLS[plan.hall]
        row = StoredRow(OPERATOR_TABLE, "", f"evacuate/{hall}", b"{}")
        await asyncio.sleep(plan.after_s)
        self._store.write([], [row])
        self._evacuated_at_s[hall][number] = time.monotonic()
        self.record(f"{hall} is evacuated")
        await asyncio.sleep(plan.for_s)
        del self._evacuated_at_s[hall][number]
        if not self._evacuated_at_s[hall]:
            self._store.write([], [], [attrs.evolve(row, value=None)])
            self.record(f"{hall} is taken back")

    def _hall_of(self, number: int) -> str:
        return HALLS[number]

    def _make_policy(self) -> HallPolicy:
        """Return the policy of the next holder, which has not read any row yet."""
        registry = HallRegistry(Evacuations(), EVACUATE_S)
        self._policies[self._token] = registry
        late_s = self._late_s[len(self._holders) % len(self._late_s)]
        follow = self._follow(registry.evacuations, late_s)
        self._reboots.append(asyncio.ensure_future(follow))
        return registry

    async def _follow(self, evacuations: Evacuations, late_s: float) -> None:
        feed = TableFeed(self._view, OPERATOR_TABLE, "", FEED_WAIT_S)
        while True:
            try:
                update = await feed.next()
            except StreamthreadError:
                await asyncio.sleep(RETRY_S)
                continue
            if time.monotonic() < BEGAN_AT_S + FAULTS_END_AT_S:
                await asyncio.sleep(late_s)
            evacuations.apply(update, feed.as_of_s)

    def _check_sent(self, address: str, runner_id: str, order: StartOrder) -> None:
        """Check a start against what its holder knows, and against the rows.

        It must be sent on a view that is recent enough, and must no longer be valid at
        its runner once the evacuation has to be in force.
        """
        hall, token = _hall_at(address), order.fencing_token
        policy = self._policies[token]
        if not (policy.are_known() and policy.may_start(hall)):
            self._add_violation(f"holder {token} sends a start to {hall}")
        evacuated_for_s = self._evacuated_for_s(hall)
        if evacuated_for_s > MAX_AGE_S:
            self._add_violation(f"holder {token} sends a start to {hall} too late")
        incarnation = self._runners.incarnations.get(address)
        # Only the incarnation that the order is meant for carries it out.
        if incarnation is None or incarnation.runner_id != runner_id:
            return
        valid_s = incarnation.left_s(order.deadline_ms)
        if evacuated_for_s > 0 and evacuated_for_s + valid_s > EVACUATE_S:
            self._add_violation(
                f"a start of holder {token} is valid too long in {hall}"
            )

    def _on_started(
        self, incarnation: Incarnation, run: Run, sent_at_s: float, late: bool
    ) -> None:
        super()._on_started(incarnation, run, sent_at_s, late)
        incarnations = self._runners.incarnations
        hall = next(
            _hall_at(address)
            for address in incarnations
            if incarnations[address] is incarnation
        )
        if self._evacuated_for_s(hall) > EVACUATE_S:
            self._add_violation(f"{run[0]} run {run[1]} begins in {hall}")

    def _evacuated_for_s(self, hall: str) -> float:
        written_s = min(self._evacuated_at_s[hall].values(), default=boot_s())
        return boot_s() - written_s


def _hall_at(address: str) -> str:
    return next(
        hall for number, hall in enumerate(HALLS) if address == address_of(number)
    )
