"""Chooses which runners the next call for a step's tickets names."""

import typing as t

import attrs

from ..scheduler import RunnerState
from ..scheduler import StepRun
from ..scheduler.fleet import count_in
from ..scheduler.free_capacity import is_within
from ..scheduler.free_capacity import needed
from ..scheduler.free_capacity import Resources
from ..scheduler.placement import has_required_label

__all__ = ["NOTHING", "RunnerAnswer", "RunnerChooser", "count_fitting", "free_beside"]

DENIED_ODDS = 0.01
"""Odds of a runner that was denied for the same step earlier. By the service's
documentation the answer does not change, but an unreadable row is also a denial."""

NOTHING: Resources = (0, 0, 0)


@attrs.frozen
class RunnerAnswer:
    """What the service has answered about one runner and one step.

    :param ticket: empty if the runner was not permitted.
    :param until_s: when the answer expires, on the boot clock.
    """

    ticket: str
    until_s: float


class _Candidate(t.NamedTuple):
    """A runner that may be asked about; lower ones are better.

    :param denied: it was denied for this step earlier.
    :param far: it is not in the rack of the step's data.
    :param against: the odds that it is not permitted.
    :param tasks: how many of the step's tasks it takes.
    """

    denied: bool
    far: bool
    against: float
    tasks: int
    runner_id: str


@attrs.frozen
class RunnerChooser:
    """Chooses as many runners as a step's waiting tasks are expected to need.

    :param answers: the last answers about the step's runners, also if expired.
    :param odds: returns how likely a runner is to be permitted, from 0 to 1.
    :param claims: what the waiting tasks of other steps will take on each runner.
    :param promised: how many of the step's tasks the next placement can place.
    :param extra: how many more runners the call may name than are expected to do.
    :param now_s: boot clock time.
    """

    step: StepRun
    answers: t.Mapping[str, RunnerAnswer]
    odds: t.Callable[[str], float]
    claims: t.Mapping[str, Resources]
    promised: int
    extra: int
    now_s: float

    def with_room(self, runners: t.Iterable[RunnerState]) -> tuple[str, ...]:
        """Return runners with room now, so that tickets lead to starts at once.

        Runners that were denied for the step are left out.
        """
        waiting = len(self.step.waiting())
        missing = waiting - self.promised
        if missing <= 0 or self.step.blocked_by():
            return ()
        found: list[_Candidate] = []
        for runner in runners:
            answer = self.answers.get(runner.runner_id)
            if answer is not None and (self._holds(answer) or not answer.ticket):
                continue
            free = free_beside(runner, self.claims.get(runner.runner_id, NOTHING))
            room = count_fitting(self.step, free, waiting)
            if room and has_required_label(self.step, runner):
                found.append(self._candidate(runner, answer, room))
        return self._take(found, missing)

    def ahead(self, runners: t.Iterable[RunnerState]) -> tuple[str, ...]:
        """Return runners that the step may need later, if its tickets are too few.

        Those that were denied for the step are asked about again after all others.
        """
        waiting = len(self.step.waiting())
        found: list[_Candidate] = []
        permitted = 0
        for runner in runners:
            answer = self.answers.get(runner.runner_id)
            valid = answer is not None and self._holds(answer)
            if valid and answer is not None and not answer.ticket:
                continue
            capacity = (runner.cpu, runner.memory_mb, runner.gpu)
            count = count_fitting(self.step, capacity, waiting)
            if not count or not has_required_label(self.step, runner):
                continue
            if valid:
                permitted += count
                if permitted >= waiting:
                    return ()
            else:
                found.append(self._candidate(runner, answer, count))
        return self._take(found, waiting - max(self.promised, permitted))

    def _holds(self, answer: RunnerAnswer) -> bool:
        return self.now_s < answer.until_s

    def _candidate(
        self, runner: RunnerState, answer: RunnerAnswer | None, count: int
    ) -> _Candidate:
        denied = answer is not None and not answer.ticket
        if answer is None:
            odds = self.odds(runner.runner_id)
        else:
            odds = DENIED_ODDS if denied else 1.0
        rack = self.step.request.near_rack
        far = bool(rack) and runner.rack != rack
        return _Candidate(denied, far, 1.0 - odds, count, runner.runner_id)

    def _take(
        self, candidates: t.Iterable[_Candidate], missing: int
    ) -> tuple[str, ...]:
        """Return the best candidates that together are expected to take all tasks."""
        best = sorted(candidates, key=lambda c: c[:3])
        expected = 0.0
        enough = 0
        while enough < len(best) and expected < missing:
            expected += (1.0 - best[enough].against) * best[enough].tasks
            enough += 1
        if not enough:
            return ()
        return tuple(c.runner_id for c in best[: enough + self.extra])


def free_beside(runner: RunnerState, claimed: Resources) -> Resources:
    """Return what a runner has free if some of it is taken soon."""
    return (
        runner.cpu - runner.used_cpu - claimed[0],
        runner.memory_mb - runner.used_memory_mb - claimed[1],
        runner.gpu - runner.used_gpu - claimed[2],
    )


def count_fitting(step: StepRun, free: Resources, max_count: int) -> int:
    """Return how many tasks of a step fit into a runner's free resources."""
    wanted = needed(step)
    if not is_within(wanted, free):
        return 0
    most = step.request.most_per_runner
    return count_in(free, wanted, min(max_count, most) if most else max_count)
