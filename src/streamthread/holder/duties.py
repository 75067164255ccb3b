"""Decides on moves and upkeeps, and orders at most one duty per machine at a time."""

import asyncio
import typing as t

import logbook

from ..capacity import count_present
from ..capacity import MachineView
from ..capacity import Move
from ..capacity import plan_handovers
from ..capacity import plan_moves
from ..capacity import PoolView
from ..clocks import boot_s
from ..errors import OrderAbortedError
from ..errors import OutcomeUnknownError
from ..errors import StreamthreadError
from ..platform.cloud import CloudClient
from ..platform.cloud import DutyReply
from ..platform.cloud import Machine
from ..platform.documents import Wave
from ..platform.http import SendPermit
from ..platform.manifest import Pool
from .context import DutySettings
from .forecasts import CapacityParts
from .handovers import Handovers
from .machine_evidence import LostRunners
from .machines import DutyKind
from .machines import MachineTable
from .machines import PendingDuty
from .owner import DutyOwner
from .policy_search import PolicySearch
from .policy_search import PoolCount
from .pool_capacity import PoolCapacity
from .sizes import PoolSizes
from .waves import WavePlanner
from .waves import WaveRegistry

__all__ = ["DutyLoop"]

log = logbook.Logger("streamthread.duties")

MAX_ORDER_LATENCY_S = 0.5
"""A sent order has reached the cloud after this time: a call takes 5 ms, and 0.25 s
while the cloud is 50 times slower."""

MAX_CONNECT_S = 0.5
"""An order is decided anew if it takes longer to open a connection for it: the first
packet was lost, and the next one is sent after a second."""

POLICY_SEARCH_S = 0.5
"""Interval between looks at the coverage of policies; one takes 5 ms for 500 waiting
steps and 300 runners."""


def _of_open_halls(views: t.Collection[MachineView]) -> t.Collection[MachineView]:
    """Return the machines by which pools are sized: those of halls that may be used.

    If there are none, all are returned: sizes need some machine as their measure.
    """
    return [view for view in views if not view.closed] or views


def in_flight_wait_s(exclusive_from_s: float, now_s: float) -> float:
    """Return for how long an earlier holder's orders may still reach the cloud.

    The cloud does not reject them, so the new holder orders nothing in that time.

    :param exclusive_from_s: on the boot clock; no earlier holder sends an order after
        it.
    :param now_s: on the same clock.
    """
    return max(0.0, exclusive_from_s + MAX_ORDER_LATENCY_S - now_s)


class DutyLoop:
    """Runs the fleet's duties for one holder.

    :param moves: number of moves ordered.
    :param upkeeps: number of upkeeps ordered.
    :param aborted: number of these orders that were under way when the lease on the
        cell was no longer certainly valid.
    """

    def __init__(
        self, owner: DutyOwner, cloud: CloudClient, settings: DutySettings
    ) -> None:
        self._owner = owner
        self._cloud = cloud
        self._settings = settings
        self._table = MachineTable(
            owner.engine,
            owner.context.documents,
            cloud,
            settings,
            self._on_runner_exit,
            owner.context.notes,
        )
        self._lost_runners = LostRunners(owner, self._table.had_before)
        self._sizes = PoolSizes(owner.engine, settings.capacity)
        self._capacity = PoolCapacity(settings.capacity.move_s)
        self._policy_search = PolicySearch()
        self._searched_at_s = 0.0
        self._registry = WaveRegistry(owner, settings.tick_s)
        self._handovers = Handovers(self._table, owner.kick)
        self._waves = WavePlanner(
            owner,
            self._registry,
            self._table,
            settings.upkeep,
            owner.taken.exclusive_from_s + MAX_ORDER_LATENCY_S,
        )
        self.moves = 0
        self.upkeeps = 0
        self.aborted = 0

    @property
    def handovers(self) -> int:
        """The number of busy machines that were emptied for other pools."""
        return self._handovers.count

    @property
    def machines_age_s(self) -> float:
        """How old the list of machines is, or how long it has been missing."""
        return self._table.age_s

    @property
    def machines(self) -> t.Collection[Machine]:
        """The machines in the latest list."""
        return self._table.machines.values()

    async def run(self) -> None:
        """Run the duties until the cell is lost."""
        await self._registry.restore()
        await asyncio.sleep(
            in_flight_wait_s(self._owner.taken.exclusive_from_s, boot_s())
        )
        while True:
            await self._owner.until_trusted()
            if await self._read_list():
                self._decide()
            else:
                self._stand_by()
            await asyncio.sleep(self._settings.tick_s)

    async def _read_list(self) -> bool:
        """Read the list when it is due; return whether decisions may rely on it.

        What pools need is observed while an answer takes long.
        """
        reading = asyncio.ensure_future(self._table.refresh())
        try:
            while not reading.done():
                await asyncio.wait((reading,), timeout=self._settings.list_s)
                if not reading.done():
                    self._observe()
            reliable = reading.result()
        finally:
            reading.cancel()
        if self._table.listed is not None and self._owner.trusted:
            self._lost_runners.check(self._table.listed)
        return reliable

    def arriving(self, pool: str) -> CapacityParts:
        """Return the cpu that is on its way into a pool, and when it will be there."""
        return self._capacity.arriving(pool)

    def obtainable(self, pool: str) -> CapacityParts | None:
        """Return the most cpu that a pool gets or may get; None if it is unknown."""
        return self._capacity.obtainable(pool)

    def record_job(self, service: str, work: float, at_s: float) -> None:
        """Add a job's work to its pool's arrivals.

        :param work: thousandths of a core times seconds.
        :param at_s: when it arrived, on the boot clock.
        """
        self._sizes.record_job(service, work, at_s)

    @property
    def delayed_stops(self) -> int:
        """How many stops of long-running tasks waited for earlier orders."""
        return self._waves.delayed_stops

    # Decisions.

    def _stand_by(self) -> None:
        """Decide nothing while the list of machines can't be read.

        Runners that are emptied get tasks again, as no upkeep can be ordered for them.
        """
        self._waves.pause()
        self._observe()

    def _observe(self) -> None:
        """Record what pools need and which machines are idle, and decide nothing.

        The decisions after an outage of the cloud would otherwise take machines out of
        pools that needed them just before. Machines that were handed over get tasks
        again, since no move can be decided for them now.
        """
        self._handovers.update(set())
        manifest = self._owner.context.documents.manifest
        if manifest is not None and self._table.machines:
            views = self._views()
            open_views = _of_open_halls(views.values())
            targets = self._sizes.targets(manifest.pools.values(), open_views)
            self._sizes.log_sizes(targets, open_views)

    def _views(self) -> dict[str, MachineView]:
        """Return all machines as input for the decisions, by machine id."""
        return {
            machine.machine_id: self._table.view(
                machine, self._waves.is_due(machine.machine_id)
            )
            for machine in self._table.machines.values()
        }

    def _decide(self) -> None:
        """Order the upkeeps that the waves need now, then the moves."""
        documents = self._owner.context.documents
        if documents.manifest is None or self._owner.releasing:
            return
        if not self._owner.trusted:
            return
        pools = documents.manifest.pools.values()
        self._waves.begin_round()
        views = self._views()
        open_views = _of_open_halls(views.values())
        self._capacity.update(open_views)
        targets = self._sizes.targets(pools, open_views)
        for wave in documents.waves.values():
            plan = self._waves.plan(wave, views, self._sizes.recent_max)
            if plan is not None:
                for machine_id in plan.begin:
                    self._begin_upkeep(wave, machine_id)
                self._waves.empty(plan.empty)
        self._waves.end_round()
        self._sizes.log_sizes(targets, open_views)
        self._decide_moves(pools, targets, views)

    def _decide_moves(
        self,
        pools: t.Iterable[Pool],
        targets: dict[str, int],
        views: dict[str, MachineView],
    ) -> None:
        """Order moves from the machines' state after the orders of the waves.

        :param views: the machines before those orders, which affect due machines only.
        """
        retained_machines = self._sizes.retained_machines(
            _of_open_halls(views.values())
        )
        recent_max = self._sizes.recent_max
        self._update_policy_search(views.values())
        searched = self._policy_search.sizes()
        pool_views: list[PoolView] = []
        for pool in pools:
            name = pool.name
            least = searched.get(name, 0)
            target = max(self._wanted_size(name, targets), least)
            kept = max(retained_machines.get(name, 0), recent_max.get(name, 0), least)
            excess = self._sizes.with_excess.get(name, 0)
            pool_views.append(PoolView(name, pool.is_spare, target, kept, excess))
        machines = [
            self._table.view(self._table.machines[view.machine_id], view.due)
            if view.due
            else view
            for view in views.values()
        ]
        moves = plan_moves(pool_views, machines, self._settings.capacity)
        for move in moves:
            self._begin_move(move)
        self._hand_over(pool_views, machines, moves)

    def _update_policy_search(self, views: t.Collection[MachineView]) -> None:
        """Size the pools that lack a machine which a policy permits."""
        now_s = boot_s()
        if now_s - self._searched_at_s < POLICY_SEARCH_S:
            return
        self._searched_at_s = now_s
        coverage = self._owner.policy_coverage()
        counts = {
            pool: PoolCount(
                count_present(pool, views),
                sum(view.pool == pool and view.arriving for view in views),
            )
            for pool in coverage
        }
        self._policy_search.update(coverage, counts, now_s)

    def _hand_over(
        self,
        pools: t.Sequence[PoolView],
        machines: t.Sequence[MachineView],
        moves: t.Sequence[Move],
    ) -> None:
        """Place nothing new on busy machines that pools with a shortage need.

        Only where accounts have weights, since pools are sized there for the work that
        can still be in time.
        """
        if not self._owner.engine.shares.in_force:
            self._handovers.update(set())
            return
        self._handovers.update(
            plan_handovers(pools, machines, moves, self._handovers.may_empty)
        )

    def _wanted_size(self, pool: str, targets: dict[str, int]) -> int:
        """Return a pool's target size, plus one while a machine awaits its upkeep.

        The additional machine replaces the one that goes into upkeep.
        """
        target = targets.get(pool, 0)
        return target + 1 if self._waves.has_unordered_upkeep(pool) else target

    # Orders.

    def _begin_move(self, move: Move) -> None:
        machine = self._table.machines[move.machine_id]
        pending = self._table.reserve(machine, DutyKind.MOVE, move.target)
        self.moves += 1
        log.info(
            "machine-moves",
            extra={
                "machine": move.machine_id,
                "from": move.source,
                "to": move.target,
                "token": self._owner.token,
            },
        )
        self._owner.spawn(
            self._order(
                machine,
                pending,
                lambda permit: self._cloud.move(
                    move.machine_id,
                    move.target,
                    self._owner.context.daemon_id,
                    self._owner.token,
                    permit,
                ),
            )
        )

    def _begin_upkeep(self, wave: Wave, machine_id: str) -> None:
        machine = self._table.machines[machine_id]
        pending = self._table.reserve(machine, DutyKind.UPKEEP, machine.pool)
        pending.wave = wave.number
        self.upkeeps += 1
        log.info(
            "upkeep-begins",
            extra={
                "machine": machine_id,
                "wave": wave.number,
                "pool": machine.pool,
                "token": self._owner.token,
            },
        )
        self._owner.spawn(
            self._order(
                machine,
                pending,
                lambda permit: self._cloud.upkeep(
                    machine_id,
                    wave.number,
                    self._owner.context.daemon_id,
                    self._owner.token,
                    permit,
                ),
            )
        )

    async def _order(
        self,
        machine: Machine,
        pending: PendingDuty,
        call: t.Callable[[SendPermit], t.Coroutine[t.Any, t.Any, DutyReply]],
    ) -> None:
        """Send an order, and abort it once the lease is no longer certainly valid.

        It is discarded instead if the cell is being released, the machine has become
        busy, or the order is no longer pending.
        """
        await self._owner.until_trusted()
        if not self._may_leave(machine, pending):
            self._table.discard(machine, pending, "no longer free")
            return
        permit = SendPermit(lambda: self._may_leave(machine, pending), MAX_CONNECT_S)
        try:
            reply = await self._owner.while_trusted(call(permit))
        except OrderAbortedError as error:
            # It may have been carried out, as any order without an answer.
            self.aborted += 1
            log.warning(
                "duty-aborted",
                extra={"machine": machine.machine_id, "error": str(error)},
            )
            return
        except OutcomeUnknownError as error:
            # The list of machines shows whether the order was carried out.
            log.warning(
                "duty-unanswered",
                extra={"machine": machine.machine_id, "error": str(error)},
            )
            return
        except StreamthreadError as error:
            self._table.discard(machine, pending, str(error))
            return
        self._on_answer(machine, pending, reply)

    def _may_leave(self, machine: Machine, pending: PendingDuty) -> bool:
        """Whether an order may be sent now; if so, the time is recorded."""
        if not self._owner.trusted or self._owner.releasing:
            return False
        if not self._table.may_send(machine, pending):
            return False
        pending.sent_at_s = boot_s()
        return True

    def _on_answer(
        self, machine: Machine, pending: PendingDuty, reply: DutyReply
    ) -> None:
        """Handle the answer to an order; it does not mark any runner as exited.

        The cloud also confirms an order that it carried out before, and then the
        current runner on the machine is healthy. The list shows which incarnation has
        exited.
        """
        if reply is not DutyReply.DONE:
            self._table.discard(machine, pending, reply.value)
            if reply is DutyReply.NOT_IN_WAVE:
                self._registry.mark_begun(pending.wave, machine.machine_id)
            return
        if pending.kind is DutyKind.UPKEEP:
            self._registry.mark_begun(pending.wave, machine.machine_id)

    def _on_runner_exit(self, runner_id: str, since_s: float, why: str) -> None:
        link = self._owner.links.get(runner_id)
        # An incarnation whose link is newer than the list request started after the
        # duty.
        if link is not None and link.held_since_s < since_s:
            link.over = True
            self._owner.on_runner_exit(link, why)
