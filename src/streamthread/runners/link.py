"""The loop that holds one life of a runner and reads what runs there."""

import asyncio
from abc import ABC
from abc import abstractmethod

import attrs
import logbook

from ..clocks import boot_s
from ..clocks import SLOWEST_CLOCK
from ..errors import NoAnswerError
from ..errors import OutcomeUnknownError
from ..errors import StoreUnavailableError
from ..platform.runners import HoldReply
from ..platform.runners import IncarnationEndedError
from ..platform.runners import Refusal
from ..platform.runners import RunnerClient
from ..scheduler.fleet import RunnerState
from .clock import RunnerClock

__all__ = ["LinkOwner", "LinkSettings", "RunnerLink"]

log = logbook.Logger("streamthread.runners")

OLDEST_ANSWER_S = 3.0
"""A deadline is reckoned from a runner's clock as its last answer told it. No answer
before a deadline is older: runs are held for 3.2 s from call to call."""

CLOCK_ERROR_S = OLDEST_ANSWER_S * (1 / SLOWEST_CLOCK - 1)
"""A runner whose clock runs slow reaches such a deadline so much later."""


@attrs.frozen
class LinkSettings:
    """How runners are held.

    :param hold_s: how long one call extends what runs there; what is out of
        reach can run elsewhere after this time.
    :param most_hold_s: the longest that runners are asked to be held.
    :param cut_hold_s: runners cut holds that are longer to this.
    :param wait_s: how long a runner may wait for an end before it answers.
    :param idle_wait_s: the same for a runner that has nothing to end. A start that is
        sent meanwhile holds for ``start_within_s``, a second longer.
    :param answer_s: an answer takes no longer than this, beside ``wait_s``.
    :param start_within_s: a start that is carried out later is refused.
    :param retry_s: pause after a call without answer.
    """

    hold_s: float = 3.2
    most_hold_s: float = 10.0
    cut_hold_s: float = 10.0
    wait_s: float = 0.8
    idle_wait_s: float = 1.5
    answer_s: float = 0.7
    start_within_s: float = 2.5
    retry_s: float = 0.1

    @property
    def other_clock_s(self) -> float:
        """So much longer than asked for, a deadline by another clock may hold runs.

        An order that was reckoned by a former life's clock, and comes to the next one,
        may lie far ahead there; the runner cuts it.
        """
        return max(0.0, self.cut_hold_s - self.most_hold_s) / SLOWEST_CLOCK

    @property
    def lapse_bound_s(self) -> float:
        """So long after an earlier holder's last order, what it held has lapsed.

        How long the order is on its way adds nothing: a deadline is a time on the
        runner's clock, which the holder reckoned when it sent the order.
        """
        return self.most_hold_s / SLOWEST_CLOCK + CLOCK_ERROR_S


class LinkOwner(ABC):
    """What a link needs of the holder."""

    token: int

    @abstractmethod
    def may_extend_s(self, wanted_s: float) -> float:
        """Return for how long runs may be extended now; 0: not at all."""

    @abstractmethod
    async def on_lists(self, link: "RunnerLink", reply: HoldReply) -> None:
        """Take a runner's lists; return once the ends are durable."""

    @abstractmethod
    def pause_after_ends_s(self) -> float:
        """Return for how long a runner that told ends is left alone."""

    @abstractmethod
    def on_ready(self, link: "RunnerLink") -> None:
        """Learn that a runner may get tasks, new or after a silence."""

    @abstractmethod
    def on_life_over(self, link: "RunnerLink", why: str) -> None:
        """Learn that this life of the runner has ended."""

    @abstractmethod
    def on_restarted(self, link: "RunnerLink", born_ms: int) -> None:
        """Learn that the next life of the runner answers, under its id."""

    @abstractmethod
    def on_lapsed(self, link: "RunnerLink") -> None:
        """Learn that all runs there have surely lapsed."""

    @abstractmethod
    def on_fenced(self, link: "RunnerLink") -> None:
        """Learn that the runner has seen a higher fencing token."""


class RunnerLink:
    """Holds one life of a runner until it is over.

    :param held_since_s: when it was taken to be held, on the boot clock.
    :param heard_at_s: when it answered a call last, on the boot clock; 0: not yet.
    :param last_hold_at_s: when an earlier holder may have extended runs last; its
        deadlines end no later than ``most_hold_s`` after it.
    :param listed: its entry is known.
    """

    def __init__(
        self,
        runner: RunnerState,
        client: RunnerClient,
        owner: LinkOwner,
        settings: LinkSettings,
        last_hold_at_s: float,
        listed: bool = True,
    ) -> None:
        self.runner = runner
        self.clock = RunnerClock()
        self.listed = listed
        self.over = False
        self.held_since_s = boot_s()
        self.heard_at_s = 0.0
        self._client = client
        self._owner = owner
        self._settings = settings
        self._last_hold_at_s = last_hold_at_s
        self._confirmed = 0

    @property
    def silent(self) -> bool:
        """Whether the last call got no answer.

        Nothing that carries a deadline may be sent then: each one could extend
        what runs there, and its end would never be sure.
        """
        return self.runner.silent_at_s is not None

    async def run(self) -> None:
        """Hold until this life is over."""
        while not self.over:
            try:
                await self._hold_once()
            except IncarnationEndedError:
                self._end("another life answers at its address")
            except (StoreUnavailableError, OutcomeUnknownError) as error:
                self._on_silence(str(error), isinstance(error, NoAnswerError))
                await asyncio.sleep(self._settings.retry_s)

    async def _hold_once(self) -> None:
        extend_s = self._owner.may_extend_s(self._settings.hold_s)
        if extend_s <= 0:
            await asyncio.sleep(self._settings.retry_s)
            self._check_lapse()
            return
        deadline_ms = None
        wait_s = 0.0
        if self.clock.known and not self.silent:
            deadline_ms = self.clock.deadline_ms(boot_s(), extend_s)
            busy = bool(self.runner.attempts)
            wait_s = self._settings.wait_s if busy else self._settings.idle_wait_s
        reply = await self._client.hold(
            self.runner.address,
            self.runner.runner_id,
            self._owner.token,
            self._confirmed,
            deadline_ms,
            wait_s,
            self._settings.answer_s,
        )
        if self.over:
            return
        if isinstance(reply, Refusal):
            await self._on_refusal(reply)
            return
        if self.runner.is_next_life(reply.born_ms):
            assert reply.born_ms is not None
            self._owner.on_restarted(self, reply.born_ms)
            return
        await self._on_reply(reply)

    async def extend_once(self) -> None:
        """Extend what runs there now, beside the call that may be waiting."""
        extend_s = self._owner.may_extend_s(self._settings.hold_s)
        if extend_s <= 0 or not self.clock.known or self.over or self.silent:
            return
        deadline_ms = self.clock.deadline_ms(boot_s(), extend_s)
        try:
            reply = await self._client.hold(
                self.runner.address,
                self.runner.runner_id,
                self._owner.token,
                self._confirmed,
                deadline_ms,
                0.0,
                self._settings.answer_s,
            )
        except (
            IncarnationEndedError,
            StoreUnavailableError,
            OutcomeUnknownError,
        ) as error:
            # The loop beside this one meets the same and draws the conclusions.
            log.info(
                "extension-unanswered",
                extra={"runner": self.runner.runner_id, "error": str(error)},
            )
            return
        if isinstance(reply, HoldReply) and not self.runner.is_next_life(reply.born_ms):
            self.runner.on_clock(reply.clock_ms)

    async def _on_reply(self, reply: HoldReply) -> None:
        now_s = boot_s()
        self.heard_at_s = now_s
        self.runner.heard = True
        first = not self.clock.known
        if self.runner.born_ms is None:
            self.runner.born_ms = reply.born_ms
        self.clock.sync(reply.clock_ms, now_s)
        if first:
            left_s = self._last_hold_at_s + self._settings.most_hold_s - now_s
            self.clock.deadline_ms(now_s, max(0.0, left_s))
        if self.silent:
            log.info("runner-heard-again", extra={"runner": self.runner.runner_id})
        self.runner.silent_at_s = None
        was_ready = self.runner.ready
        self.runner.ready = self.listed
        if reply.remaining_ms is not None:
            self.runner.draining = True
        if self.runner.ready and not was_ready:
            self._owner.on_ready(self)
        await self._owner.on_lists(self, reply)
        self._confirmed = max((ended.number for ended in reply.ended), default=0)
        if reply.ended:
            await asyncio.sleep(self._owner.pause_after_ends_s())

    def on_order_unanswered(self, sent_at_s: float) -> None:
        """Place nothing more on a runner that has said nothing since an order.

        One that answers other calls is well: the order's answer was lost.

        :param sent_at_s: on the boot clock.
        """
        if self.heard_at_s < sent_at_s:
            self.runner.ready = False

    async def _on_refusal(self, refusal: Refusal) -> None:
        if refusal is Refusal.FENCED:
            self._owner.on_fenced(self)
        self._on_silence(refusal.value, hung=True)
        await asyncio.sleep(self._settings.retry_s)

    def _on_silence(self, why: str, hung: bool) -> None:
        """Place nothing more on a runner that does not answer.

        :param hung: its process may be there as it was, for all that is known.
        """
        if self.over:
            return
        now_s = boot_s()
        # Who answers next may be another life, whose ends count from 1 again.
        self._confirmed = 0
        if not self.silent:
            self.runner.silent_at_s = now_s
            self.runner.hung = hung
            log.warning(
                "runner-unanswered",
                extra={"runner": self.runner.runner_id, "why": why},
            )
        # One unanswered call is enough: a runner that is well answers each one in time.
        self.runner.ready = False
        self._check_lapse()

    def _check_lapse(self) -> None:
        now_s = boot_s()
        if self.clock.known:
            lapsed = self.clock.all_lapsed(now_s)
        else:
            lapsed = now_s > self._last_hold_at_s + self._settings.lapse_bound_s
        if not lapsed:
            return
        if self.listed:
            self._owner.on_lapsed(self)
        else:
            self._end("silent, lapsed and no longer listed")

    def _end(self, why: str) -> None:
        if self.over:
            return
        self.over = True
        self._owner.on_life_over(self, why)

    def start_deadline_ms(self) -> int:
        """Return until when a start that is sent now may be carried out."""
        return self.clock.deadline_ms(boot_s(), self._settings.start_within_s)
