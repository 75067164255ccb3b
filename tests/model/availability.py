"""Checks that orders let no more long-running tasks be away than their step allows."""

import collections
import typing as t

__all__ = ["MAY_MISS", "Availability"]

MAY_MISS = 1
"""How many tasks of a step may be away, in the workloads of `schedule.Workload`."""


class Availability:
    """The long-running tasks that orders have ended and that are not at work again.

    A run is at work once its runner has listed it with all of its progress. One that
    ends before was not: a start whose answer was lost is stopped if it is refused when
    it is sent again, whatever its step can miss.

    :param violations: descriptions of the orders that ended one task too many.
    """

    def __init__(self, record: t.Callable[[str], None]) -> None:
        self._record = record
        self._long_running: set[str] = set()
        self._listed: set[tuple[str, int]] = set()
        self._away: dict[str, set[str]] = collections.defaultdict(set)
        self._cancelled: set[str] = set()
        self.violations: list[str] = []

    def note_cancel(self, job_id: str) -> None:
        """Note that a job's cancel is sent: from now on all of its tasks may end."""
        self._cancelled.add(job_id)

    def note_started(self, task: str) -> None:
        """Note that a long-running task is started."""
        self._long_running.add(task)

    def note_listed(self, task: str, run: int) -> None:
        """Note that a runner lists a run with all of its progress."""
        if (task, run) not in self._listed:
            self._listed.add((task, run))
            self._away[_step_of(task)].discard(task)

    def note_ended(self, task: str, run: int) -> None:
        """Note that an order which takes effect ends a run."""
        if task not in self._long_running or (task, run) not in self._listed:
            return
        if task.split(".")[0] in self._cancelled:
            return
        away = self._away[_step_of(task)]
        others = sorted(away - {task})
        away.add(task)
        if len(others) >= MAY_MISS:
            violation = f"an order ends {task} while {', '.join(others)} are away"
            self._record(f"VIOLATED: {violation}")
            self.violations.append(violation)


def _step_of(task: str) -> str:
    return task.rpartition(".")[0]
