"""Fetches the tickets of steps that only some runners may run."""

import asyncio
import functools
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
from ..scheduler import Job
from ..scheduler import RunnerState
from ..scheduler import StepRun
from ..scheduler.free_capacity import needed
from ..scheduler.free_capacity import Resources
from .advice_choice import count_fitting
from .advice_choice import free_beside
from .advice_choice import NOTHING
from .advice_choice import RunnerAnswer
from .advice_choice import RunnerChooser
from .advice_coverage import Coverage
from .advice_coverage import step_coverage
from .advice_odds import PolicyOdds
from .advice_times import AdviceTimes
from .advice_turns import TurnQueue

__all__ = ["AdviceCache"]

log = logbook.Logger("streamthread.advice")

USABLE_SHARE = 0.8
"""A ticket is used for this share of its validity, as the start that carries it must
still arrive while it is valid."""

MIN_AHEAD_S = 1.0
"""Tickets that are usable for a shorter time are not fetched ahead of need."""

MIN_DENIAL_S = 10.0
"""A runner that was not permitted is not asked about again for this time, at least."""

RETRY_S = 0.1
"""Pause after a call that failed."""

LOOK_AGAIN_S = 0.1
"""A step without a runner to ask about is looked at again after this time."""

MAX_LOOKS_AHEAD = 8
"""Number of steps for which one decision looks at all runners of their pool, which
takes 0.7 ms for 300 runners."""

LOOK_PAUSE_S = 0.05
"""Pause until the next of these steps are looked at."""

CLAIM_S = 1.0
"""For this time, at most, room counts as taken by tasks that have got tickets for it. A
scheduling pass, which places them, runs every 0.5 s."""

MAX_STEPS = 2000
"""Above this number of cached steps, those that have ended are dropped."""


PoolRunners = t.Callable[[str, bool], list[RunnerState]]
"""Returns the runners of a pool that may receive work. If the second argument is set,
those that may receive it only as a last resort are included."""


@attrs.define(eq=False)
class _StepAdvice:
    """What is known about the runners of one step.

    :param answers: the last answer about each runner incarnation, also if expired.
    :param rejected: runners that have rejected a ticket.
    :param may_have_room: there may be a runner with room for the step's tasks that it
        was not asked about.
    :param looked_at_s: when no runner with room was found to ask about, on the boot
        clock.
    :param claims: how many of the step's tasks the next pass is expected to place on
        each runner.
    :param claimed_at_s: when this was estimated, on the boot clock.
    :param max_count: the next call names at most this number of runners, since the last
        one was given up without an answer; None: it was answered.
    """

    answers: dict[str, RunnerAnswer] = attrs.field(factory=dict)
    rejected: set[str] = attrs.field(factory=set)
    may_have_room: bool = False
    looked_at_s: float = 0.0
    claims: dict[str, int] = attrs.field(factory=dict)
    claimed_at_s: float = 0.0
    max_count: int | None = None

    def tickets(self, now_s: float) -> dict[str, str]:
        """Return the tickets that may be used now, by runner id."""
        return {
            runner_id: answer.ticket
            for runner_id, answer in self.answers.items()
            if answer.ticket and now_s < answer.until_s
        }


@attrs.frozen
class _Turn:
    """A step that waits for a call."""

    step: StepRun
    entry: _StepAdvice
    policy: AdvicePolicy


@attrs.frozen
class _Call(_Turn):
    """The next call for a step."""

    runner_ids: tuple[str, ...]


class _Fleet:
    """The runners of the pools, for the time of one decision.

    :param runners: returns the runners of a pool.
    """

    def __init__(self, runners: PoolRunners) -> None:
        self._runners = functools.cache(runners)
        self._with_room = functools.cache(self._find_with_room)

    def all(self, step: StepRun) -> list[RunnerState]:
        """Return the runners that may get a step's tasks."""
        return self._runners(step.occurrence.job.service, False)

    def last_resort(self, step: StepRun) -> list[RunnerState]:
        """Return these and those that may get them only as a last resort."""
        return self._runners(step.occurrence.job.service, True)

    def with_room(self, step: StepRun) -> list[RunnerState]:
        """Return those that may have room for a task of the step.

        In a busy pool these are few, so that many steps can be looked at.
        """
        if not step.reserved_cpu:
            return self.all(step)
        return self._with_room(step.occurrence.job.service)

    def _find_with_room(self, pool: str) -> list[RunnerState]:
        return [runner for runner in self._runners(pool, False) if runner.free_cpu > 0]


class AdviceCache:
    """Asks about the runners of steps, with one call at a time.

    Each answer counts for the runners that the call named. Steps take turns: those
    that have runners with room go first, then those whose runners are all busy, then
    those that wait for other steps.

    :param policy: returns a job's policy, or None if any runner may run its steps.
    :param runners: returns the runners of a pool.
    :param on_change: called when tickets have arrived.
    """

    def __init__(
        self,
        client: AdviceClient,
        policy: t.Callable[[Job], AdvicePolicy | None],
        runners: PoolRunners,
        on_change: t.Callable[[], None],
    ) -> None:
        self._client = client
        self._policy = policy
        self._runners = runners
        self._on_change = on_change
        self._times = AdviceTimes()
        self._odds = PolicyOdds()
        self._by_step: dict[StepRun, _StepAdvice] = {}
        self._turns = TurnQueue()
        # The entries with claims.
        self._claiming: dict[StepRun, _StepAdvice] = {}
        self._max_steps = MAX_STEPS
        self._wake = asyncio.Event()

    # Tickets.

    def request(self, step: StepRun) -> None:
        """Give a step a turn, after those that have one already."""
        if self._policy(step.occurrence.job) is not None:
            self._queue(step, self._entry(step))

    def _queue(self, step: StepRun, entry: _StepAdvice) -> None:
        entry.may_have_room = True
        self._turns.add(step)
        self._wake.set()

    def allowed(self, step: StepRun) -> t.Collection[str] | None:
        """Return the runners that a step has tickets for; None means any runner.

        This is asked by each scheduling pass that may have room for the step.
        """
        if self._policy(step.occurrence.job) is None:
            return None
        entry = self._entry(step)
        entry.claims = {}
        self._claiming.pop(step, None)
        now_s = boot_s()
        if now_s - entry.looked_at_s >= LOOK_AGAIN_S:
            self._queue(step, entry)
        return entry.tickets(now_s) or ()

    def ticket(self, step: StepRun, runner_id: str) -> str:
        """Return a step's ticket for a runner, or an empty string."""
        entry = self._by_step.get(step)
        answer = entry.answers.get(runner_id) if entry is not None else None
        return answer.ticket if answer is not None else ""

    def reject(self, step: StepRun, runner_id: str) -> None:
        """Discard a ticket that the runner has rejected.

        It may have expired on its way. If the runner rejects the next one, too, it is
        not asked about for a while.
        """
        entry = self._by_step.get(step)
        if entry is None or entry.answers.pop(runner_id, None) is None:
            return
        if runner_id in entry.rejected:
            entry.answers[runner_id] = RunnerAnswer("", boot_s() + MIN_DENIAL_S)
        entry.rejected.add(runner_id)

    def forget_runner(self, runner_id: str) -> None:
        """Discard the answers about an exited runner incarnation."""
        self._odds.forget(runner_id)
        for step, entry in self._by_step.items():
            entry.rejected.discard(runner_id)
            answer = entry.answers.pop(runner_id, None)
            if answer is not None and answer.ticket and not step.done:
                self._queue(step, entry)

    def coverage(self) -> dict[str, Coverage]:
        """Return by pool what is known of the waiting step that lacks most.

        Pools without a waiting step are left out. So is what exceeds an account's
        share, which gets only machines that no pool needs.
        """
        by_id = functools.cache(self._runners_by_id)
        found: dict[str, Coverage] = {}
        for step, entry in self._by_step.items():
            job = step.occurrence.job
            worst = found.get(job.service, Coverage.PERMITTED)
            if worst is Coverage.DENIED or not _may_start(step):
                continue
            if self._policy(job) is not None and not job.excess:
                state = step_coverage(step, by_id(job.service), entry.answers)
                found[job.service] = max(worst, state)
        return found

    def _runners_by_id(self, pool: str) -> dict[str, RunnerState]:
        return {runner.runner_id: runner for runner in self._runners(pool, True)}

    # Turns.

    def _entry(self, step: StepRun) -> _StepAdvice:
        entry = self._by_step.get(step)
        if entry is None:
            if len(self._by_step) >= self._max_steps:
                self._prune()
            entry = self._by_step[step] = _StepAdvice()
        return entry

    def _prune(self) -> None:
        """Drop the entries of steps that have ended."""
        for step in [step for step in self._by_step if _has_ended(step)]:
            self._drop(step)
        self._max_steps = max(MAX_STEPS, 2 * len(self._by_step))

    def _drop(self, step: StepRun) -> None:
        self._by_step.pop(step, None)
        self._turns.leave(step)
        self._claiming.pop(step, None)

    async def run(self) -> None:
        """Make the calls that are needed until the cell is lost."""
        while True:
            await self._wake.wait()
            call = self._next_call()
            if call is not None:
                await self._make(call)
            elif self._turns:
                await asyncio.sleep(LOOK_PAUSE_S)
            else:
                # Each scheduling pass gives the steps that still wait another turn.
                self._wake.clear()

    async def _make(self, call: _Call) -> None:
        """Make a call, and give the step its next turn.

        A step without a ticket almost keeps its place, so that the first ones start
        soon under load: a few newer steps overtake it with each call in vain.
        """
        step, entry = call.step, call.entry
        place = self._turns.take(step)
        answered = await self._fetch(call)
        if not _has_ended(step):
            if answered and not entry.tickets(boot_s()):
                self._turns.keep(step, place)
            self._queue(step, entry)
        if not answered:
            await asyncio.sleep(RETRY_S)

    def _next_call(self) -> _Call | None:
        """Return the next call, or None if no step has runners to ask about."""
        self._expire_claims()
        fleet = _Fleet(self._runners)
        in_turn: list[_Turn] = []
        for step in self._turns.in_order():
            policy = self._policy(step.occurrence.job)
            if policy is None or _has_ended(step):
                # A step whose route has a policy again is requested again.
                self._drop(step)
            else:
                in_turn.append(_Turn(step, self._entry(step), policy))
        return self._next_with_room(in_turn, fleet) or self._next_ahead(in_turn, fleet)

    def _next_with_room(
        self, in_turn: t.Iterable[_Turn], fleet: _Fleet
    ) -> _Call | None:
        """Return the next call that most likely leads to starts at once."""
        for turn in in_turn:
            step, entry = turn.step, turn.entry
            if not entry.may_have_room:
                continue
            chooser = self._chooser(turn)
            chosen = chooser.with_room(fleet.with_room(step))
            if not chosen and step.request.lasting:
                chosen = chooser.with_room(fleet.last_resort(step))
            if chosen:
                return self._call(turn, chosen)
            entry.may_have_room = False
            entry.looked_at_s = boot_s()
        return None

    def _next_ahead(self, in_turn: t.Sequence[_Turn], fleet: _Fleet) -> _Call | None:
        """Return the next call for tickets that are needed later.

        Steps that wait for others come last. Those without a call lose their turn.
        """
        by_turn = sorted(in_turn, key=lambda turn: bool(turn.step.blocked_by()))
        for turn in by_turn[:MAX_LOOKS_AHEAD]:
            chosen: tuple[str, ...] = ()
            if turn.policy.valid_s * USABLE_SHARE >= MIN_AHEAD_S:
                chosen = self._chooser(turn).ahead(fleet.all(turn.step))
            if chosen:
                return self._call(turn, chosen)
            self._turns.leave(turn.step)
        return None

    def _chooser(self, turn: _Turn) -> RunnerChooser:
        return RunnerChooser(
            turn.step,
            turn.entry.answers,
            self._odds.of(turn.step.occurrence.job.route),
            self._claimed(turn.step),
            sum(turn.entry.claims.values()),
            self._times.extra_count(turn.policy),
            boot_s(),
        )

    def _call(self, turn: _Turn, runner_ids: tuple[str, ...]) -> _Call:
        """Return a call for as many of the runners as it may name."""
        count = self._times.max_count(turn.policy)
        if turn.entry.max_count is not None:
            count = min(count, turn.entry.max_count)
        return _Call(turn.step, turn.entry, turn.policy, runner_ids[:count])

    # Claims.

    def _claimed(self, but: StepRun) -> dict[str, Resources]:
        """Return what the tasks of other steps will take, by runner id."""
        claimed: dict[str, Resources] = {}
        for step, entry in self._claiming.items():
            if step is but:
                continue
            cpu, memory_mb, gpu = needed(step)
            for runner_id, count in entry.claims.items():
                old = claimed.get(runner_id, (0, 0, 0))
                claimed[runner_id] = (
                    old[0] + count * cpu,
                    old[1] + count * memory_mb,
                    old[2] + count * gpu,
                )
        return claimed

    def _expire_claims(self) -> None:
        """Drop the claims of steps that no pass has looked at, or that have ended."""
        now_s = boot_s()
        for step, entry in list(self._claiming.items()):
            if now_s - entry.claimed_at_s > CLAIM_S or _has_ended(step):
                entry.claims = {}
                del self._claiming[step]

    def _claim(self, call: _Call, tickets: t.Mapping[str, str]) -> None:
        """Note the room that the next pass will use with new tickets."""
        if call.step.blocked_by():
            return
        step, entry = call.step, call.entry
        claimed = self._claimed(step)
        left = len(step.waiting()) - sum(entry.claims.values())
        for runner in self._runners(step.occurrence.job.service, False):
            if left <= 0:
                break
            if runner.runner_id not in tickets:
                continue
            free = free_beside(runner, claimed.get(runner.runner_id, NOTHING))
            count = count_fitting(step, free, left)
            if count:
                entry.claims[runner.runner_id] = count
                left -= count
        if entry.claims:
            entry.claimed_at_s = boot_s()
            self._claiming[step] = entry

    # Calls.

    async def _fetch(self, call: _Call) -> bool:
        """Make a call; return whether it was answered."""
        began_at_s = boot_s()
        advice = await self._ask(call)
        if advice is None:
            return False
        stated_s = call.policy.duration_s(len(call.runner_ids))
        issued_at_s = min(began_at_s + stated_s, boot_s())
        self._record(call, advice, issued_at_s)
        self._on_change()
        return True

    def _record(self, call: _Call, advice: Advice, issued_at_s: float) -> None:
        """Record an answer, which counts for the runners that the call named."""
        tickets = {ticket.runner_id: ticket.text for ticket in advice.tickets}
        valid_s = call.policy.valid_s if advice.valid_s is None else advice.valid_s
        usable_s = valid_s * USABLE_SHARE
        answers = call.entry.answers
        for runner_id in call.runner_ids:
            ticket = tickets.get(runner_id, "")
            valid_for_s = usable_s if ticket else max(usable_s, MIN_DENIAL_S)
            answers[runner_id] = RunnerAnswer(ticket, issued_at_s + valid_for_s)
        self._odds.add(call.step.occurrence.job.route, call.runner_ids, tickets)
        self._claim(call, tickets)

    async def _ask(self, call: _Call) -> Advice | None:
        """Make a call; return None if it was not answered.

        A call that was given up is followed by one for fewer runners.
        """
        step, count = call.step, len(call.runner_ids)
        name = f"{step.occurrence.job.job_id}.{step.occurrence.number}.{step.number}"
        limit_s = self._times.time_limit_s(call.policy, count)
        details = {"step": name, "asked": count, "limit_s": round(limit_s, 3)}
        began_at_s = boot_s()
        try:
            advice = await self._client.advise(name, call.runner_ids, limit_s)
        except (StoreUnavailableError, OutcomeUnknownError) as error:
            if isinstance(error, NoAnswerError):
                self._times.on_no_answer()
                call.entry.max_count = max(1, count // 2)
            log.warning("advice-unanswered", extra={**details, "error": str(error)})
            return None
        took_s = boot_s() - began_at_s
        self._times.on_answer(call.policy, count, took_s)
        call.entry.max_count = None
        details |= {"good": len(advice.tickets), "took_s": round(took_s, 4)}
        log.info("advice", extra=details)
        return advice


def _may_start(step: StepRun) -> bool:
    """Whether a step has tasks whose turn has come."""
    return not _has_ended(step) and step.has_waiting() and not step.blocked_by()


def _has_ended(step: StepRun) -> bool:
    return step.done or step.occurrence.job.over
