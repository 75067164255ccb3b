"""Sends start and stop orders until their outcome is known."""

import asyncio
from abc import ABC
from abc import abstractmethod

import attrs
import logbook

from ..clocks import boot_s
from ..errors import AnswerOverdueError
from ..errors import OutcomeUnknownError
from ..errors import StoreUnavailableError
from ..errors import StreamthreadError
from ..platform.runners import IncarnationEndedError
from ..platform.runners import OrderReply
from ..platform.runners import Refusal
from ..platform.runners import RunnerClient
from ..platform.runners import StartOrder
from ..runners import RunnerLink
from .engine import Engine
from .model import Attempt
from .model import Phase
from .model import Stop
from .outcomes import Stray

__all__ = ["OrderSender", "OrderSettings", "SenderOwner"]

log = logbook.Logger("streamthread.orders")

SURVIVAL_CHECK_S = 0.06
"""The delay after its start at which a suspect task's run is checked. A run that
crashes its runner does so within some 10 ms."""

MAX_ORDER_DELAY_S = 12.0
"""An unanswered order may be carried out this much later, according to the failures
that the users describe. Lists do not contain the pace, so nothing shows earlier whether
a pace order was carried out."""


@attrs.frozen
class OrderSettings:
    """Timing of orders.

    :param answer_s: an order that has not been answered for longer is sent again.
    :param overdue_s: a start that has not been answered for longer is sent again on a
        new connection, within ``answer_s``.
    :param retry_s: the pause before an order is sent again.
    :param silent_retry_s: the pause before a stop is sent again while its runner
        answers nothing. Without this longer pause, eleven runners that were gone were
        sent 145 stops a second.
    :param leaves_silent: a start of which nothing was sent is placed elsewhere once its
        runner may get no tasks any more; it waits for the runner otherwise.
    """

    answer_s: float = 0.8
    overdue_s: float = 0.3
    retry_s: float = 0.06
    silent_retry_s: float = 0.25
    leaves_silent: bool = False


@attrs.define
class _Tries:
    """What is known of the tries to send one start.

    :param uncertain: one of them may have been carried out, or may still be.
    :param overdue: the answer to the last one is overdue, most likely because its
        connection has stopped responding.
    :param sent_at_s: boot clock time of the last one; 0 if this holder has sent none.
    """

    uncertain: bool
    overdue: bool = False
    sent_at_s: float = 0.0


class SenderOwner(ABC):
    """The holder as seen by the order sender."""

    token: int
    links: dict[str, RunnerLink]

    @abstractmethod
    async def until_trusted(self) -> None:
        """Return once this daemon may rely on holding the cell."""

    @abstractmethod
    async def until_durable(self) -> None:
        """Return once all changes that were recorded before are durable."""

    @abstractmethod
    def ticket_for(self, attempt: Attempt) -> str:
        """Return the ticket that a start must carry, or an empty string."""

    @abstractmethod
    def on_bad_ticket(self, attempt: Attempt) -> None:
        """Handle a runner's rejection of a ticket."""

    @abstractmethod
    def on_fenced(self, link: RunnerLink) -> None:
        """Handle a runner's report that it has seen a higher fencing token."""

    @abstractmethod
    def on_runner_exit(self, link: RunnerLink, why: str) -> None:
        """Handle the exit of this runner incarnation."""

    @abstractmethod
    def kick(self) -> None:
        """Schedule a pass over the queue soon."""


class OrderSender:
    """Sends orders to runners for one holder."""

    def __init__(
        self,
        client: RunnerClient,
        engine: Engine,
        owner: SenderOwner,
        settings: OrderSettings,
    ) -> None:
        self._client = client
        self._engine = engine
        self._owner = owner
        self._settings = settings

    # Starts.

    async def start(self, attempt: Attempt) -> None:
        """Send the start of a persisted attempt until the runner has answered it."""
        tries = _Tries(uncertain=attempt.phase is Phase.SENT)
        while self._is_start_pending(attempt):
            link = self._owner.links.get(attempt.runner_id)
            if link is None:
                return
            if not await self._may_start(attempt, link, tries):
                continue
            try:
                reply = await self._try_in_turn(attempt, link, tries)
            except IncarnationEndedError:
                self._on_exit(link, "another incarnation answered a start")
                return
            if reply is not None and self._process_answer(
                attempt, link, reply, tries.uncertain
            ):
                await self._check_survival(attempt, link)
                return
            if not tries.overdue:
                await asyncio.sleep(self._settings.retry_s)

    async def _may_start(
        self, attempt: Attempt, link: RunnerLink, tries: _Tries
    ) -> bool:
        """Wait until a start may be sent; return False if that must be asked again."""
        if not await self._is_hall_usable(attempt, link, tries):
            return False
        if self._is_placed_elsewhere(attempt, link):
            return False
        if not link.clock.known or link.silent:
            await asyncio.sleep(self._settings.retry_s)
            return False
        await self._owner.until_trusted()
        if not self._is_start_pending(attempt) or link.silent:
            return False
        # An evacuation may have been read during the waits.
        return await self._is_hall_usable(attempt, link, tries)

    def _is_placed_elsewhere(self, attempt: Attempt, link: RunnerLink) -> bool:
        """Withdraw an unsent start; the members of a gang are only placed together."""
        unsent = attempt.phase is Phase.PLANNED and not attempt.task.step.request.gang
        if link.runner.ready or not (unsent and self._settings.leaves_silent):
            return False
        self._engine.withdraw_attempt(attempt)
        self._owner.kick()
        return True

    async def _is_hall_usable(
        self, attempt: Attempt, link: RunnerLink, tries: _Tries
    ) -> bool:
        """Whether a start may be sent to a runner's hall as far as is known now.

        If the hall is evacuated, the start is given up for this runner. One that may
        have been sent is given up only once the runner has listed its runs since: a run
        that has begun there continues. If it is not known whether the hall is
        evacuated, the start waits.
        """
        halls = self._engine.halls
        if halls.are_known() and halls.may_start(link.runner.zone):
            return True
        if halls.may_start(link.runner.zone) or not (
            attempt.phase is Phase.PLANNED
            or not tries.uncertain
            or link.heard_at_s > tries.sent_at_s
        ):
            await asyncio.sleep(self._settings.retry_s)
            return False
        self._engine.leave_hall(attempt, surely_unsent=not tries.uncertain)
        self._owner.kick()
        return False

    async def _try_in_turn(
        self, attempt: Attempt, link: RunnerLink, tries: _Tries
    ) -> OrderReply | None:
        """Send a start once the runner has a slot for it.

        :return: None if that proves nothing, or if the start may not be sent any more.
        """
        waits = link.start_slots.locked()
        async with link.start_slots:
            if waits and not await self._may_start(attempt, link, tries):
                return None
            if attempt.cleared:
                # Not before its turn: an exit counts against the task from then on.
                if not await self._prepare_start(attempt, link):
                    return None
                if not await self._is_hall_usable(attempt, link, tries):
                    return None
            return await self._try_start(attempt, link, tries)

    async def _try_start(
        self, attempt: Attempt, link: RunnerLink, tries: _Tries
    ) -> OrderReply | None:
        """Send a start once; return the answer, or None if it proves nothing.

        :raises IncarnationEndedError: another incarnation of the runner answered.
        """
        was_overdue, tries.overdue = tries.overdue, False
        tries.sent_at_s = sent_at_s = boot_s()
        sent_before_s = attempt.sent_at_s
        # Also one that an earlier holder recorded: the runner has not listed the run.
        attempt.sent_at_s = sent_before_s or sent_at_s
        attempt.phase = Phase.SENT
        attempt.open_starts += 1
        try:
            reply = await self._send_start(attempt, link, was_overdue)
            attempt.open_starts -= 1
        except (IncarnationEndedError, StoreUnavailableError) as error:
            attempt.open_starts -= 1
            # This try certainly began nowhere, so no exit is attributed to it.
            attempt.sent_at_s = sent_before_s
            if isinstance(error, IncarnationEndedError):
                raise
            return None
        except AnswerOverdueError as error:
            tries.uncertain = tries.overdue = True
            log.info("start-overdue", extra=_describe_order(attempt, error))
            return None
        except OutcomeUnknownError:
            tries.uncertain = True
            self._on_unanswered(attempt, link, sent_at_s)
            return None
        # Otherwise either incarnation of the runner may have answered.
        return reply if not link.over else None

    async def _prepare_start(self, attempt: Attempt, link: RunnerLink) -> bool:
        """Prepare the start of a suspect task's run; return whether to send it.

        An exit of its runner counts against the task from then on. The runner must
        therefore have just answered: if it was silent before, its exit proves nothing.
        """
        asked_at_s = boot_s()
        if not await link.probe():
            link.on_order_unanswered(asked_at_s)
            await asyncio.sleep(self._settings.retry_s)
            if attempt.phase is Phase.PLANNED and self._is_start_pending(attempt):
                self._engine.withdraw_attempt(attempt)
                self._owner.kick()
            return False
        if self._is_start_pending(attempt):
            self._engine.record_start(attempt)
            await self._owner.until_durable()
        return self._is_start_pending(attempt) and not link.silent

    @staticmethod
    def _is_start_pending(attempt: Attempt) -> bool:
        return attempt in attempt.task.attempts and attempt.phase in (
            Phase.PLANNED,
            Phase.SENT,
        )

    @staticmethod
    def _on_unanswered(attempt: Attempt, link: RunnerLink, sent_at_s: float) -> None:
        link.on_order_unanswered(sent_at_s)
        log.warning(
            "start-unanswered",
            extra={"task": attempt.task.name, "runner": attempt.runner_id},
        )

    async def _send_start(
        self, attempt: Attempt, link: RunnerLink, was_overdue: bool
    ) -> OrderReply:
        """Send a start once, with the time that an overdue try has left over."""
        answer_s, overdue_s = self._settings.answer_s, self._settings.overdue_s
        task = attempt.task
        order = StartOrder(
            task=task.name,
            run=attempt.run,
            spec=task.step.occurrence.job.request.spec,
            deadline_ms=link.start_deadline_ms(self._engine.halls.start_within_s()),
            fencing_token=self._owner.token,
            checkpoint=task.checkpoint,
            ticket=self._owner.ticket_for(attempt),
        )
        return await self._client.start(
            link.runner.address,
            attempt.runner_id,
            order,
            timeout_s=answer_s - overdue_s if was_overdue else answer_s,
            overdue_s=None if was_overdue else overdue_s,
        )

    def _process_answer(
        self,
        attempt: Attempt,
        link: RunnerLink,
        reply: OrderReply,
        uncertain: bool,
    ) -> bool:
        """Process an answer; return whether the order needs no further try."""
        refusal = reply.refusal
        if refusal is None or refusal is Refusal.OLD_RUN:
            # An old run has ended there: the lists show how, or that it is gone.
            self._engine.confirm(attempt, reply.clock_ms or 0)
            return True
        if refusal is Refusal.FENCED:
            self._owner.on_fenced(link)
            return True
        if refusal is Refusal.TOO_LATE:
            return False
        if refusal is Refusal.BAD_TICKET:
            self._owner.on_bad_ticket(attempt)
        if uncertain:
            # An earlier try may still be carried out; a stop prevents that.
            self._engine.stop(attempt, f"refused-{refusal.value}")
        else:
            self._engine.refuse(attempt, refusal.value)
        if refusal in (Refusal.UNHEALTHY, Refusal.NO_CAPACITY):
            link.runner.ready = False
        self._owner.kick()
        return True

    async def _check_survival(self, attempt: Attempt, link: RunnerLink) -> None:
        """Check soon whether the runner of a suspect task survived its start.

        The next list arrives only after the wait of the open hold call. By then, a
        runner that exited on its own could not be told apart from one that the run
        crashed.
        """
        task = attempt.task
        if not task.suspect and not task.lost_runners:
            return
        if attempt.phase is not Phase.CONFIRMED:
            return
        await asyncio.sleep(SURVIVAL_CHECK_S)
        if attempt not in task.attempts or not await link.probe():
            return
        if not link.over:
            # Otherwise the next incarnation has this id.
            self._engine.clear_if_outlived(attempt)

    def _on_exit(self, link: RunnerLink, why: str) -> None:
        link.over = True
        self._owner.on_runner_exit(link, why)

    # Stops.

    async def stop(self, attempt: Attempt) -> None:
        """Send a stop until the runner has answered it.

        The runner's lists show whether the stop has worked; the answer does not.
        """
        stop = attempt.stop
        if stop is None:
            return
        stop.under_way = True
        try:
            while attempt in attempt.task.attempts:
                if await self._send_stop_once(attempt, stop):
                    return
                await asyncio.sleep(self._retry_stop_s(attempt))
        finally:
            stop.under_way = False

    def _retry_stop_s(self, attempt: Attempt) -> float:
        """Return the pause before an unanswered stop is sent again."""
        link = self._owner.links.get(attempt.runner_id)
        silent = link is not None and link.silent
        return self._settings.silent_retry_s if silent else self._settings.retry_s

    async def _send_stop_once(self, attempt: Attempt, stop: Stop) -> bool:
        """Send a stop once; return whether to end the tries for now.

        They end once the runner has answered, or if this holder has no link to it.
        """
        link = self._owner.links.get(attempt.runner_id)
        if link is None:
            return True
        reply = await self._send_stop(
            link, attempt.task.name, attempt.run, log_unanswered=not stop.uncertain
        )
        if reply is None or link.over:
            stop.uncertain = True
            return False
        if reply.refusal is Refusal.FENCED:
            self._owner.on_fenced(link)
            return True
        if reply.refusal is not None:
            self._engine.stops.on_refused(attempt, reply.refusal.value)
            return True
        stop.answered_ms = attempt.confirmed_clock_ms = reply.clock_ms or 0
        return True

    async def pace(self, attempt: Attempt, percent: int) -> None:
        """Send one order that sets a run's pace; a lost one is not sent again.

        The next list from the runner leads to a new order if one is needed. While an
        earlier, unanswered order may still take effect after the newest one, each list
        does.
        """
        link = self._owner.links.get(attempt.runner_id)
        if link is None or link.silent:
            return
        await self._owner.until_trusted()
        sent_at_s = boot_s()
        try:
            reply = await self._client.pace(
                link.runner.address,
                attempt.runner_id,
                attempt.task.name,
                attempt.run,
                percent,
                self._owner.token,
                self._settings.answer_s,
            )
        except IncarnationEndedError:
            link.over = True
            self._owner.on_runner_exit(link, "another incarnation answered a pace")
            return
        except (StoreUnavailableError, OutcomeUnknownError) as error:
            log.warning(
                "pace-unanswered",
                extra={"task": attempt.task.name, "error": str(error)},
            )
            if isinstance(error, OutcomeUnknownError):
                attempt.pace_unanswered(boot_s() + MAX_ORDER_DELAY_S)
            return
        if reply.refusal is Refusal.FENCED:
            self._owner.on_fenced(link)
        elif reply.refusal is None:
            attempt.pace_answered(percent, sent_at_s)

    async def stop_stray(self, stray: Stray) -> None:
        """Stop a run that should not exist, once.

        If the run is still there, the next list reports it again.
        """
        link = self._owner.links.get(stray.runner_id)
        if link is None:
            return
        log.warning(
            "stray-run",
            extra={"task": stray.task, "run": stray.run, "runner": stray.runner_id},
        )
        await self._send_stop(link, stray.task, stray.run)

    async def _send_stop(
        self, link: RunnerLink, task: str, run: int, log_unanswered: bool = True
    ) -> OrderReply | None:
        """Send a stop once; return None if it got no answer.

        :param log_unanswered: whether to log a missing answer. Of a stop that is sent
            repeatedly, only the first try is logged: with 11 runners that were gone,
            338 of 529 log lines in 2.3 s were such tries.
        """
        await self._owner.until_trusted()
        try:
            return await self._client.stop(
                link.runner.address,
                link.runner.runner_id,
                task,
                run,
                self._owner.token,
                self._settings.answer_s,
            )
        except IncarnationEndedError:
            self._on_exit(link, "another incarnation answered a stop")
        except (StoreUnavailableError, OutcomeUnknownError) as error:
            if log_unanswered:
                _log_unanswered_stop(link, task, run, error)
        return None


def _describe_order(attempt: Attempt, error: StreamthreadError) -> dict[str, str]:
    """Return the log fields for an order that has not been answered."""
    return {
        "task": attempt.task.name,
        "runner": attempt.runner_id,
        "why": str(error),
    }


def _log_unanswered_stop(
    link: RunnerLink, task: str, run: int, error: StreamthreadError
) -> None:
    log.warning(
        "stop-unanswered",
        extra={
            "task": task,
            "run": run,
            "runner": link.runner.runner_id,
            "why": str(error),
        },
    )
