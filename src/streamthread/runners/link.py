"""The loop that sends hold calls to one incarnation of a runner and reads its lists."""

import asyncio
import math
from abc import ABC
from abc import abstractmethod

import attrs
import logbook

from ..clocks import boot_s
from ..clocks import SLOWEST_CLOCK
from ..errors import NoAnswerError
from ..errors import OutcomeUnknownError
from ..errors import StoreUnavailableError
from ..platform.runners import CONNECTIONS_PER_RUNNER
from ..platform.runners import HoldReply
from ..platform.runners import IncarnationEndedError
from ..platform.runners import Refusal
from ..platform.runners import RunnerClient
from ..scheduler.fleet import RunnerState
from .clock import RunnerClock

__all__ = ["LinkOwner", "LinkSettings", "RunnerLink"]

log = logbook.Logger("streamthread.runners")

MAX_SYNC_AGE_S = 3.0
"""Maximum age of the answer from which a deadline is computed. Deadlines are based on
the clock in the runner's last answer, which cannot be older because leases are only
renewed by 3.2 s from one call to the next."""

MAX_CLOCK_ERROR_S = MAX_SYNC_AGE_S * (1 / SLOWEST_CLOCK - 1)
"""Maximum delay with which a runner whose clock runs slow reaches such a deadline."""

MAX_CONCURRENT_STARTS = CONNECTIONS_PER_RUNNER - 2
"""Starts sent to one runner at the same time. One connection is left for the pending
hold call, and one for stops and probes."""

MAX_RECORDING_S = 0.2
"""If recording the listed ends takes longer, the runner may have restarted meanwhile,
and its next incarnation numbers its ends from 1. They are confirmed only once it has
answered again."""


@attrs.frozen
class LinkSettings:
    """Durations of hold calls, which renew the leases of a runner's runs.

    To extend a run means to renew its lease.

    :param hold_s: for how long one call renews the leases; the runs of an unreachable
        runner can be started elsewhere after this time.
    :param most_hold_s: the longest renewal that a holder requests.
    :param cut_hold_s: runners truncate longer renewals to this.
    :param wait_s: how long a runner may wait for a run to end before it answers.
    :param idle_wait_s: the same for a runner without runs. A start that is sent during
        this wait is valid for ``start_within_s``, which is a second longer.
    :param answer_s: time-out of an answer, in addition to ``wait_s``.
    :param start_within_s: runners refuse a start that they would carry out later.
    :param retry_s: pause after a call without an answer.
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
    def former_clock_margin_s(self) -> float:
        """How much longer than requested a deadline of another clock may extend runs.

        A deadline that was computed from the clock of the previous incarnation can be
        far in the future on the clock of the next one. The runner truncates it to
        ``cut_hold_s``.
        """
        return max(0.0, self.cut_hold_s - self.most_hold_s) / SLOWEST_CLOCK

    @property
    def expiry_bound_s(self) -> float:
        """Time after an earlier holder's last order when all its runs have expired.

        The order's transmission time does not count: a deadline is a time on the
        runner's clock, which the holder computes when it sends the order.
        """
        return self.most_hold_s / SLOWEST_CLOCK + MAX_CLOCK_ERROR_S


class LinkOwner(ABC):
    """The interface of the holder that a link uses."""

    token: int

    @abstractmethod
    def may_extend_s(self, wanted_s: float) -> float:
        """Return for how long runs may be extended now, or 0 if not at all."""

    @abstractmethod
    async def on_hold_reply(self, link: "RunnerLink", reply: HoldReply) -> None:
        """Process a runner's lists; return once the ended runs are durable."""

    @abstractmethod
    def pause_after_ends_s(self) -> float:
        """Return the pause before a runner that reported ended runs is called again."""

    @abstractmethod
    def on_ready(self, link: "RunnerLink") -> None:
        """Handle that a runner can get new tasks, initially or after a silence."""

    @abstractmethod
    def on_runner_exit(self, link: "RunnerLink", why: str) -> None:
        """Handle the exit of this runner incarnation."""

    @abstractmethod
    def on_restarted(self, link: "RunnerLink", born_ms: int) -> None:
        """Handle that the next incarnation of the runner answers under the same id."""

    @abstractmethod
    def on_all_expired(self, link: "RunnerLink") -> None:
        """Handle that all runs there have expired for certain."""

    @abstractmethod
    def on_fenced(self, link: "RunnerLink") -> None:
        """Handle a runner's report that it has seen a higher fencing token."""


class RunnerLink:
    """Sends hold calls to one incarnation of a runner until it exits.

    :param over: whether this incarnation has exited, so that no more calls are sent.
    :param held_since_s: when this link was created, on the boot clock.
    :param heard_at_s: when the runner last answered a call, on the boot clock; 0 if it
        has not answered yet.
    :param last_hold_at_s: the latest time at which an earlier holder may have extended
        runs; its deadlines end at most ``most_hold_s`` later.
    :param listed: whether the runner's entry is known.
    :param start_slots: limits the starts that are sent at the same time. Without a
        limit, a start would wait for one of the runner's connections while its time
        limit passes, and count as unanswered.
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
        self.start_slots = asyncio.Semaphore(MAX_CONCURRENT_STARTS)
        self.over = False
        self.held_since_s = boot_s()
        self.heard_at_s = 0.0
        self._client = client
        self._owner = owner
        self._settings = settings
        self._last_hold_at_s = last_hold_at_s
        # The numbers of the last end to be confirmed and of the last durable one.
        self._confirmed = 0
        self._recorded = 0
        self._recorded_late = False
        # The runner has more ended runs than the last answer listed.
        self._ends_truncated = False
        # This process stood still while the last call was pending, so that the estimate
        # of the runner's clock is as late as its answer was read.
        self._read_late = False

    @property
    def silent(self) -> bool:
        """Whether the last call got no answer.

        While this is true, no call may carry a deadline: each one could renew the
        leases there, and it could never be established that the runs have expired.
        """
        return self.runner.silent_at_s is not None

    async def run(self) -> None:
        """Send hold calls until this incarnation exits."""
        while not self.over:
            try:
                await self._hold_once()
            except IncarnationEndedError:
                self._end("another incarnation answers at its address")
            except (StoreUnavailableError, OutcomeUnknownError) as error:
                self._on_silence(str(error), isinstance(error, NoAnswerError))
                await asyncio.sleep(self._settings.retry_s)

    async def _hold_once(self) -> None:
        extend_s = self._owner.may_extend_s(self._settings.hold_s)
        if extend_s <= 0:
            await asyncio.sleep(self._settings.retry_s)
            self._check_expiry()
            return
        deadline_ms = None
        wait_s = 0.0
        if self.clock.known and not self.silent:
            deadline_ms = self.clock.deadline_ms(boot_s(), extend_s)
            busy = bool(self.runner.attempts)
            wait_s = self._settings.wait_s if busy else self._settings.idle_wait_s
        if self._recorded_late or self._read_late or self._ends_truncated:
            # The next call confirms the ends if the same incarnation answers this one,
            # and the runner has nothing to wait for while it has ends to list.
            wait_s = 0.0
        asked_at_s = boot_s()
        reply = await self._client.hold(
            self.runner.address,
            self.runner.runner_id,
            self._owner.token,
            self._confirmed,
            deadline_ms,
            wait_s,
            self._settings.answer_s,
        )
        # The call would have timed out if this process had not stood still.
        self._read_late = boot_s() - asked_at_s > wait_s + self._settings.answer_s
        if self.over:
            return
        if isinstance(reply, Refusal):
            await self._on_refusal(reply)
            return
        if self.runner.is_next_incarnation(reply.born_ms):
            assert reply.born_ms is not None
            self._owner.on_restarted(self, reply.born_ms)
            return
        await self._on_reply(reply)

    async def extend_once(self) -> None:
        """Renew the leases of the current runs, beside a pending hold call."""
        await self.probe()

    async def probe(self) -> bool:
        """Renew the leases as well, and return whether this incarnation answered."""
        extend_s = self._owner.may_extend_s(self._settings.hold_s)
        if extend_s <= 0 or not self.clock.known or self.over or self.silent:
            return False
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
            # The hold loop gets the same error and handles it.
            log.info(
                "extension-unanswered",
                extra={"runner": self.runner.runner_id, "error": str(error)},
            )
            return False
        if isinstance(reply, Refusal) or self.runner.is_next_incarnation(reply.born_ms):
            return False
        self.runner.on_clock(reply.clock_ms)
        return True

    async def _on_reply(self, reply: HoldReply) -> None:
        now_s = boot_s()
        # The answered call has confirmed them.
        self._confirmed = 0
        self.heard_at_s = now_s
        self.runner.heard = True
        self.runner.fenced_ms = self.runner.fenced_ms or reply.clock_ms
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
        listed = max((ended.number for ended in reply.ended), default=0)
        await self._owner.on_hold_reply(self, self._without_recorded(reply))
        if reply.confirmable is not None:
            # A confirmed end is not listed again, not even one that was unreadable.
            listed = min(listed, reply.confirmable)
        self._recorded = max(self._recorded, listed)
        self._recorded_late = boot_s() - now_s > MAX_RECORDING_S
        self._confirmed = 0 if self._recorded_late else listed
        self._ends_truncated = reply.ends_truncated
        if reply.confirmable is not None:
            # The runner has ends to list, so that it never waits with its answer.
            await asyncio.sleep(self._settings.retry_s)
        elif reply.ended and not reply.ends_truncated:
            await asyncio.sleep(self._owner.pause_after_ends_s())

    def _without_recorded(self, reply: HoldReply) -> HoldReply:
        """Return a reply without the ends that are durable already."""
        ended = tuple(end for end in reply.ended if end.number > self._recorded)
        if len(ended) == len(reply.ended):
            return reply
        return attrs.evolve(reply, ended=ended)

    def on_order_unanswered(self, sent_at_s: float) -> None:
        """Place no more tasks on a runner that has not answered since an order.

        A runner that answered another call since then is healthy: only the answer to
        the order was lost.

        :param sent_at_s: when the order was sent, on the boot clock.
        """
        if self.heard_at_s < sent_at_s:
            self.runner.ready = False

    def await_answer(self, since_s: float) -> None:
        """Place no more tasks on a runner that has not answered since then.

        :param since_s: when other runners of its hall became silent, on the boot clock.
        """
        if self.heard_at_s < since_s:
            self.runner.ready = False

    async def _on_refusal(self, refusal: Refusal) -> None:
        if refusal is Refusal.FENCED:
            self._owner.on_fenced(self)
        self._on_silence(refusal.value, hung=True)
        await asyncio.sleep(self._settings.retry_s)

    def _on_silence(self, why: str, hung: bool) -> None:
        """Place no more tasks on a runner that does not answer.

        :param hung: the connection stayed open or the runner refused the call, so its
            process may still exist, and when the silence began is unknown.
        """
        if self.over:
            return
        now_s = boot_s()
        # The next answer may come from another incarnation, which numbers its ended
        # runs from 1 again.
        self._confirmed = self._recorded = 0
        if not self.silent:
            self.runner.silent_at_s = now_s
            self.runner.hung = hung
            log.warning(
                "runner-unanswered",
                extra={"runner": self.runner.runner_id, "why": why},
            )
        # One unanswered call is enough: a healthy runner answers every call in time.
        self.runner.ready = False
        self._check_expiry()

    def _check_expiry(self) -> None:
        if self.over:
            # The next incarnation under this id has runs of its own.
            return
        now_s = boot_s()
        if self.clock.known:
            expired = self.clock.all_expired(now_s)
        else:
            expired = now_s > self._last_hold_at_s + self._settings.expiry_bound_s
        if not expired:
            return
        if self.listed:
            self._owner.on_all_expired(self)
        else:
            self._end("silent, expired and no longer listed")

    def _end(self, why: str) -> None:
        if self.over:
            return
        self.over = True
        self._owner.on_runner_exit(self, why)

    def start_deadline_ms(self, within_s: float = math.inf) -> int:
        """Return the latest time at which a start sent now may be carried out.

        The time is on the runner's clock.

        :param within_s: a limit in addition to that of the settings; it may be past.
        """
        within_s = min(within_s, self._settings.start_within_s)
        return self.clock.deadline_ms(boot_s(), within_s)
