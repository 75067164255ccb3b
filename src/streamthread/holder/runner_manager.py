"""Manages the links to runners: listing, reported runs, restarts, silence and exits."""

from abc import abstractmethod

import logbook

from ..clocks import boot_s
from ..errors import NotHolderError
from ..loops import LoopKeeper
from ..platform.documents import RunnerEntry
from ..platform.runners import HoldReply
from ..runners import EndBatching
from ..runners import LinkOwner
from ..runners import RunnerLink
from ..scheduler import Phase
from ..scheduler import RunnerState
from ..scheduler.model import job_id_of_task
from ..scheduler.orders import OrderSender
from ..sharing import plan_paces
from .listing import RunnerListHandler
from .owner import DutyOwner
from .queue import QueueLoop

__all__ = ["RunnerManager", "RunnerManagerOwner"]

log = logbook.Logger("streamthread.holder")


class RunnerManagerOwner(DutyOwner):
    """What the runner manager needs from the holder.

    :param sender: sends orders to runners.
    :param queue: runs a scheduling pass when something has changed.
    """

    sender: OrderSender
    queue: QueueLoop

    @abstractmethod
    def may_extend_s(self, wanted_s: float) -> float:
        """Return for how long runs may be extended now; 0 means not at all."""

    @abstractmethod
    def forget_tickets(self, runner_id: str) -> None:
        """Discard the tickets for a runner incarnation that has exited."""

    @abstractmethod
    def is_excluded(self, job_id: str) -> bool:
        """Whether a job is excluded because one of its rows can't be decoded."""

    @abstractmethod
    def on_fenced(self, link: RunnerLink) -> None:
        """Handle a runner's report that it has seen a higher fencing token."""


class RunnerManager(LinkOwner, RunnerListHandler):
    """Keeps a link to each listed runner, and handles what the links report."""

    def __init__(self, owner: RunnerManagerOwner) -> None:
        self.token = owner.token
        self._owner = owner
        self._engine = owner.engine
        self._batching = EndBatching(owner.engine.runners.values)
        # The latest runner that each machine is known to have had, by machine id.
        self._latest: dict[str, tuple[int, str]] = {}

    def add_runner(self, entry: RunnerEntry) -> None:
        """Open a link to a runner that is listed and has none yet."""
        runner = RunnerState.from_entry(entry)
        self._engine.add_runner(runner)
        log.info(
            "runner-listed",
            extra={
                "runner": entry.runner_id,
                "service": entry.service,
                "address": entry.address,
                "draining": entry.draining,
            },
        )
        self._open_link(runner, self._owner.taken.last_hold_at_s)
        self._find_replaced(entry)

    def _find_replaced(self, entry: RunnerEntry) -> None:
        """Tell the link of a machine's former runner that there is a later one.

        Start times decide which of two runners is the later one, as entries may be
        written late.
        """
        if not entry.machine_id or entry.born_ms is None:
            return
        added = (entry.born_ms, entry.runner_id)
        known = self._latest.get(entry.machine_id, added)
        former, latest = sorted((known, added))
        self._latest[entry.machine_id] = latest
        former_id, latest_ms = former[1], latest[0]
        link = self._owner.links.get(former_id)
        if link is None or former_id == latest[1] or link.runner.born_ms is None:
            return
        if link.runner.born_ms < latest_ms:
            link.on_replaced()

    def restart_runner(self, link: RunnerLink, entry: RunnerEntry) -> None:
        """Replace a runner's link, given the entry of the runner's next incarnation."""
        self._restart(link, RunnerState.from_entry(entry), listed=True)
        self._find_replaced(entry)

    def on_restarted(self, link: RunnerLink, born_ms: int) -> None:
        """Handle an answer of the runner's next incarnation under the same id.

        It receives nothing until its entry is known, as it may have less capacity.
        """
        self._restart(link, link.runner.next_incarnation(born_ms), listed=False)

    def _restart(self, link: RunnerLink, after: RunnerState, listed: bool) -> None:
        link.over = True
        self._engine.runner_restarted(link.runner, after)
        self._owner.forget_tickets(after.runner_id)
        # This incarnation may have received an order whose deadline refers to the clock
        # of the previous one.
        former_clock_margin_s = self._owner.context.settings.links.former_clock_margin_s
        self._open_link(after, boot_s() + former_clock_margin_s, listed)
        self._owner.kick()

    def _open_link(
        self, runner: RunnerState, last_hold_at_s: float, listed: bool = True
    ) -> None:
        context = self._owner.context
        link = RunnerLink(
            runner,
            context.runners,
            self,
            context.settings.links,
            last_hold_at_s,
            listed,
        )
        self._owner.links[runner.runner_id] = link
        # Unexpected answers of a single runner are no reason to release the cell.
        supervisor = LoopKeeper(context.failures, (NotHolderError,))
        self._owner.spawn(supervisor.keep("link", link.run))
        self._resend_orders(runner)

    def _resend_orders(self, runner: RunnerState) -> None:
        """Send the unanswered orders of an earlier holder again."""
        sender = self._owner.sender
        for attempt in list(runner.attempts.values()):
            if attempt.phase is Phase.SENT:
                self._owner.spawn(sender.start(attempt))
            elif attempt.stop is not None and not attempt.stop.under_way:
                self._owner.spawn(sender.stop(attempt))

    def may_extend_s(self, wanted_s: float) -> float:
        """Return for how long runs may be extended now; 0 means not at all."""
        return self._owner.may_extend_s(wanted_s)

    async def on_hold_reply(self, link: RunnerLink, reply: HoldReply) -> None:
        """Handle the reply to a hold call; return once the reported ends are durable.

        A hold call renews the leases of a runner's runs and returns what has ended.
        """
        sender = self._owner.sender
        for stray in self._engine.on_hold(link.runner, reply):
            if not self._owner.is_excluded(job_id_of_task(stray.task)):
                self._owner.spawn(sender.stop_stray(stray))
        for order in plan_paces(link.runner, self._owner.context.settings.sharing):
            self._owner.spawn(sender.pace(order.attempt, order.percent))
        if self._engine.stops.waiting:
            self._owner.kick()
        if not reply.ended:
            return
        self._owner.queue.run_pass_soon()
        await self._owner.log.flushed()

    def pause_after_ends_s(self) -> float:
        """Return the pause before a runner that reported ends is called again."""
        return self._batching.pause_s()

    def on_ready(self, link: RunnerLink) -> None:
        """Have waiting tasks placed on a runner that has just become usable."""
        self._owner.kick()

    def on_runner_exit(self, link: RunnerLink, why: str) -> None:
        """Handle the exit of this runner incarnation."""
        self._owner.on_runner_exit(link, why)

    def on_all_expired(self, link: RunnerLink) -> None:
        """Handle the certain expiry of all runs on an unreachable runner."""
        self._engine.attempts_expired(link.runner.runner_id, "out of reach")
        self._owner.kick()

    def on_fenced(self, link: RunnerLink) -> None:
        """Handle the runner's report that it has seen a higher fencing token."""
        self._owner.on_fenced(link)
