"""What a holder does as runners come, tell what runs there, fall silent and go."""

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
    """The holder, as its runners' desk sees it.

    :param sender: sends orders to runners.
    :param queue: is looked at once something has changed.
    """

    sender: OrderSender
    queue: QueueLoop

    @abstractmethod
    def may_extend_s(self, wanted_s: float) -> float:
        """Return for how long runs may be extended now; 0: not at all."""

    @abstractmethod
    def forget_tickets(self, runner_id: str) -> None:
        """Use no ticket more for a life of a runner that is over."""

    @abstractmethod
    def is_excluded(self, job_id: str) -> bool:
        """Whether a job is left alone since a row of it can't be read."""

    @abstractmethod
    def on_fenced(self, link: RunnerLink) -> None:
        """Learn that a runner has seen a higher fencing token."""


class RunnerManager(LinkOwner, RunnerListHandler):
    """Keeps a link to each listed runner, and takes what the links tell."""

    def __init__(self, owner: RunnerManagerOwner) -> None:
        self.token = owner.token
        self._owner = owner
        self._engine = owner.engine
        self._batching = EndBatching(owner.engine.runners.values)

    def add_runner(self, entry: RunnerEntry) -> None:
        """Take a runner that the list shows; it is held from now on."""
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

    def restart_runner(self, link: RunnerLink, entry: RunnerEntry) -> None:
        """Take the entry of the life that follows the one which is held."""
        self._restart(link, RunnerState.from_entry(entry), listed=True)

    def on_restarted(self, link: RunnerLink, born_ms: int) -> None:
        """Learn that the next life of the runner answers, under its id.

        It gets nothing before its entry tells what it is: it may have less room.
        """
        self._restart(link, link.runner.next_life(born_ms), listed=False)

    def _restart(self, link: RunnerLink, after: RunnerState, listed: bool) -> None:
        link.over = True
        self._engine.runner_restarted(link.runner, after)
        self._owner.forget_tickets(after.runner_id)
        # An order with a deadline by the former life's clock may have come to this one.
        other_clock_s = self._owner.context.settings.links.other_clock_s
        self._open_link(after, boot_s() + other_clock_s, listed)
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
        # One runner's odd answers are no reason to hand the cell over.
        supervisor = LoopKeeper(context.failures, (NotHolderError,))
        self._owner.spawn(supervisor.keep("link", link.run))
        self._resend_orders(runner)

    def _resend_orders(self, runner: RunnerState) -> None:
        """Have the orders answered that an earlier holder recorded."""
        sender = self._owner.sender
        for attempt in list(runner.attempts.values()):
            if attempt.phase is Phase.SENT:
                self._owner.spawn(sender.start(attempt))
            elif attempt.stop is not None and not attempt.stop.under_way:
                self._owner.spawn(sender.stop(attempt))

    def may_extend_s(self, wanted_s: float) -> float:
        """Return for how long runs may be extended now; 0: not at all."""
        return self._owner.may_extend_s(wanted_s)

    async def on_lists(self, link: RunnerLink, reply: HoldReply) -> None:
        """Take a runner's lists; return once the ends are durable."""
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
        """Return for how long a runner that told ends is left alone."""
        return self._batching.pause_s()

    def on_ready(self, link: RunnerLink) -> None:
        """Have waiting tasks placed on a runner that has just become usable."""
        self._owner.kick()

    def on_life_over(self, link: RunnerLink, why: str) -> None:
        """Learn that this life of the runner has ended."""
        self._owner.on_life_over(link, why)

    def on_lapsed(self, link: RunnerLink) -> None:
        """Learn that all runs there have surely lapsed."""
        self._engine.attempts_lapsed(link.runner.runner_id, "out of reach")
        self._owner.kick()

    def on_fenced(self, link: RunnerLink) -> None:
        """Learn that the runner has seen a higher fencing token."""
        self._owner.on_fenced(link)
