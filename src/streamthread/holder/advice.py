"""Fetches tickets ahead of need for steps that only some runners may run."""

import asyncio
import collections
import typing as t

import attrs
import logbook

from ..clocks import boot_s
from ..errors import NoAnswerError
from ..errors import OutcomeUnknownError
from ..errors import StoreUnavailableError
from ..platform.advice import Advice
from ..platform.advice import AdviceClient
from ..platform.manifest import AdvicePolicy
from ..scheduler import RunnerState
from ..scheduler import StepRun
from .advice_times import AdviceTimes

__all__ = ["AdviceCache"]

log = logbook.Logger("streamthread.advice")

RUNNERS_PER_CALL = 30
"""Maximum number of runners in a call. A call takes longer for each runner, and the
objectives allow for one call on 30."""

USABLE_SHARE = 0.8
"""A ticket is used for this share of its validity, as the start that carries it must
still arrive while it is valid."""

RETRY_S = 0.1
"""Pause after a fetch that failed or found no runners."""

MAX_STEPS = 2000
"""Above this number of cached steps, those that have ended are dropped."""


@attrs.define
class _StepTickets:
    """The service's answer for one step.

    :param requested: the step is queued for a call, or waits for its answer.
    :param max_count: the next call names fewer runners than the last one, which was
        given up without an answer; None: it was answered.
    """

    tickets: dict[str, str] = attrs.field(factory=dict)
    valid_until_s: float = 0.0
    requested: bool = False
    max_count: int | None = None


class AdviceCache:
    """Requests tickets with one call at a time, in the order in which steps need them.

    :param policy: returns a route's policy, or None if any runner may run its steps.
    :param runners: returns the runners of a pool that may receive work.
    :param on_change: called when tickets have arrived.
    """

    def __init__(
        self,
        client: AdviceClient,
        policy: t.Callable[[str], AdvicePolicy | None],
        runners: t.Callable[[str], list[RunnerState]],
        on_change: t.Callable[[], None],
    ) -> None:
        self._client = client
        self._policy = policy
        self._runners = runners
        self._on_change = on_change
        self._by_step: dict[StepRun, _StepTickets] = {}
        self._queue: collections.deque[StepRun] = collections.deque()
        self._wake = asyncio.Event()
        self._times = AdviceTimes()

    def request(self, step: StepRun) -> None:
        """Queue a request for a step's tickets, after the requests already queued."""
        if self._policy(step.occurrence.job.route) is None:
            return
        if len(self._by_step) > MAX_STEPS:
            self._prune()
        entry = self._by_step.setdefault(step, _StepTickets())
        if not entry.requested:
            entry.requested = True
            self._queue.append(step)
            self._wake.set()

    def _prune(self) -> None:
        """Drop the entries of steps that have ended."""
        self._by_step = {
            step: entry
            for step, entry in self._by_step.items()
            if not step.done and not step.occurrence.job.over
        }

    def allowed(self, step: StepRun) -> t.Collection[str] | None:
        """Return the runners that a step has tickets for; None means any runner."""
        if self._policy(step.occurrence.job.route) is None:
            return None
        entry = self._by_step.get(step)
        if entry is not None and boot_s() < entry.valid_until_s:
            return entry.tickets
        self.request(step)
        return ()

    def ticket(self, step: StepRun, runner_id: str) -> str:
        """Return a step's ticket for a runner, or an empty string."""
        entry = self._by_step.get(step)
        return entry.tickets.get(runner_id, "") if entry is not None else ""

    def reject(self, step: StepRun, runner_id: str) -> None:
        """Discard a ticket that the runner has rejected."""
        entry = self._by_step.get(step)
        if entry is not None:
            entry.tickets.pop(runner_id, None)

    def forget_runner(self, runner_id: str) -> None:
        """Discard the tickets of an exited runner incarnation and request new ones."""
        for step, entry in list(self._by_step.items()):
            if entry.tickets.pop(runner_id, None) is not None and not step.done:
                self.request(step)

    async def run(self) -> None:
        """Fetch the requested tickets until the cell is lost."""
        while True:
            await self._wake.wait()
            if not self._queue:
                self._wake.clear()
                continue
            step = self._queue.popleft()
            if step.done or step.occurrence.job.over:
                self._by_step.pop(step, None)
                continue
            if not await self._fetch(step):
                self._queue.append(step)
                await asyncio.sleep(RETRY_S)

    async def _fetch(self, step: StepRun) -> bool:
        """Request tickets for one step; return False to queue the step again."""
        job = step.occurrence.job
        policy = self._policy(job.route)
        if policy is None:
            # Without an entry, the step is requested again once its route has a policy.
            self._by_step.pop(step, None)
            return True
        entry = self._by_step.setdefault(step, _StepTickets())
        count = RUNNERS_PER_CALL if entry.max_count is None else entry.max_count
        runner_ids = [r.runner_id for r in self._runners(job.service)[:count]]
        if not runner_ids:
            return False
        began_at_s = boot_s()
        advice = await self._ask(step, entry, policy, runner_ids)
        if advice is None:
            return False
        issued_at_s = min(began_at_s + policy.duration_s(len(runner_ids)), boot_s())
        entry.tickets = {ticket.runner_id: ticket.text for ticket in advice.tickets}
        valid_s = policy.valid_s if advice.valid_s is None else advice.valid_s
        entry.valid_until_s = issued_at_s + valid_s * USABLE_SHARE
        entry.requested = False
        self._on_change()
        return True

    async def _ask(
        self,
        step: StepRun,
        entry: _StepTickets,
        policy: AdvicePolicy,
        runner_ids: t.Sequence[str],
    ) -> Advice | None:
        """Make one call; return None if it was not answered.

        A call that was given up is followed by one for fewer runners.
        """
        name = f"{step.occurrence.job.job_id}.{step.occurrence.number}.{step.number}"
        limit_s = self._times.time_limit_s(policy, len(runner_ids))
        details = {"step": name, "asked": len(runner_ids), "limit_s": round(limit_s, 3)}
        began_at_s = boot_s()
        try:
            advice = await self._client.advise(name, runner_ids, limit_s)
        except (StoreUnavailableError, OutcomeUnknownError) as error:
            if isinstance(error, NoAnswerError):
                self._times.on_no_answer()
                entry.max_count = max(1, len(runner_ids) // 2)
            log.warning("advice-unanswered", extra={**details, "error": str(error)})
            return None
        took_s = boot_s() - began_at_s
        self._times.on_answer(policy, len(runner_ids), took_s)
        entry.max_count = None
        details |= {"good": len(advice.tickets), "took_s": round(took_s, 4)}
        log.info("advice", extra=details)
        return advice
