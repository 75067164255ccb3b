"""Tickets for steps that only some runners may run, fetched ahead of need."""

import asyncio
import collections
import typing as t

import attrs
import logbook

from ..clocks import boot_s
from ..errors import OutcomeUnknownError
from ..errors import StoreUnavailableError
from ..platform.advice import AdviceClient
from ..platform.manifest import AdvicePolicy
from ..scheduler import RunnerState
from ..scheduler import StepRun

__all__ = ["AdviceDesk"]

log = logbook.Logger("streamthread.advice")

RUNNERS_PER_CALL = 30
"""A call takes longer for each runner; objectives allow for one call on 30."""

USED_SHARE = 0.8
"""A ticket is used for so much of its time: the start has to arrive in it too."""

RETRY_S = 0.1
MOST_KNOWN = 2000
"""Steps; beyond that, those that are over are dropped."""


@attrs.define
class _Known:
    """What the service said of one step.

    :param asked: the step waits for its turn or for an answer.
    """

    tickets: dict[str, str] = attrs.field(factory=dict)
    valid_until_s: float = 0.0
    asked: bool = False


class AdviceDesk:
    """Asks for tickets, one call at a time, the step that is needed first.

    :param policy: returns a route's policy, or None where any runner will do.
    :param runners: returns the runners of a pool that may get work.
    :param changed: called when tickets have come.
    """

    def __init__(
        self,
        client: AdviceClient,
        policy: t.Callable[[str], AdvicePolicy | None],
        runners: t.Callable[[str], list[RunnerState]],
        changed: t.Callable[[], None],
    ) -> None:
        self._client = client
        self._policy = policy
        self._runners = runners
        self._changed = changed
        self._known: dict[StepRun, _Known] = {}
        self._wanted: collections.deque[StepRun] = collections.deque()
        self._wake = asyncio.Event()

    def want(self, step: StepRun) -> None:
        """Fetch tickets for a step, after those that are wanted already."""
        if self._policy(step.occurrence.job.route) is None:
            return
        if len(self._known) > MOST_KNOWN:
            self._prune()
        known = self._known.setdefault(step, _Known())
        if not known.asked:
            known.asked = True
            self._wanted.append(step)
            self._wake.set()

    def _prune(self) -> None:
        """Drop what is known of steps that run no more."""
        self._known = {
            step: known
            for step, known in self._known.items()
            if not step.done and not step.occurrence.job.over
        }

    def allowed(self, step: StepRun) -> t.Collection[str] | None:
        """Return the runners that a step has tickets for; None: any will do."""
        if self._policy(step.occurrence.job.route) is None:
            return None
        known = self._known.get(step)
        if known is not None and boot_s() < known.valid_until_s:
            return known.tickets
        self.want(step)
        return ()

    def ticket(self, step: StepRun, runner_id: str) -> str:
        """Return a step's ticket for a runner, or an empty text."""
        known = self._known.get(step)
        return known.tickets.get(runner_id, "") if known is not None else ""

    def reject(self, step: StepRun, runner_id: str) -> None:
        """A runner has turned a ticket away: do not use it again."""
        known = self._known.get(step)
        if known is not None:
            known.tickets.pop(runner_id, None)

    def forget_runner(self, runner_id: str) -> None:
        """Ask anew for the steps with a ticket for a life of a runner that is over."""
        for step, known in list(self._known.items()):
            if known.tickets.pop(runner_id, None) is not None and not step.done:
                self.want(step)

    async def run(self) -> None:
        """Ask for what is wanted until the cell is lost."""
        while True:
            await self._wake.wait()
            if not self._wanted:
                self._wake.clear()
                continue
            step = self._wanted.popleft()
            if step.done or step.occurrence.job.over:
                self._known.pop(step, None)
                continue
            if not await self._ask(step):
                self._wanted.append(step)
                await asyncio.sleep(RETRY_S)

    async def _ask(self, step: StepRun) -> bool:
        """Ask for one step; return whether there was an answer."""
        job = step.occurrence.job
        policy = self._policy(job.route)
        runners = self._runners(job.service)[:RUNNERS_PER_CALL]
        if policy is None:
            # Forgotten, so that it is asked for once its route has a policy again.
            self._known.pop(step, None)
            return True
        if not runners:
            return False
        name = f"{job.job_id}.{step.occurrence.number}.{step.number}"
        began_at_s = boot_s()
        try:
            advice = await self._client.advise(name, [r.runner_id for r in runners])
        except (StoreUnavailableError, OutcomeUnknownError) as error:
            log.warning("advice-unanswered", extra={"step": name, "error": str(error)})
            return False
        known = self._known.setdefault(step, _Known())
        known.tickets = {ticket.runner_id: ticket.text for ticket in advice.tickets}
        valid_s = policy.valid_s if advice.valid_s is None else advice.valid_s
        known.valid_until_s = began_at_s + valid_s * USED_SHARE
        known.asked = False
        log.info(
            "advice",
            extra={
                "step": name,
                "asked": len(runners),
                "good": len(known.tickets),
                "took_s": round(boot_s() - began_at_s, 4),
            },
        )
        self._changed()
        return True
