"""Empties busy machines that a pool with a shortage needs."""

import collections
import typing as t

import logbook

from .machines import MachineTable

__all__ = ["Handovers"]

log = logbook.Logger("streamthread.duties")


class Handovers:
    """Marks the runners that get no new tasks, so that their machines can move.

    The marks are in memory: the next holder decides anew which machines to hand over.

    :param kick: schedules a pass over the queue.
    :param count: the number of machines that were marked.
    """

    def __init__(self, table: MachineTable, kick: t.Callable[[], None]) -> None:
        self._table = table
        self._kick = kick
        self._machine_ids: t.Collection[str] = ()
        self.count = 0

    def may_empty(self, machine_id: str) -> bool:
        """Whether a machine becomes idle by itself: it has no long-running task."""
        runner = self._table.runner_of(self._table.machines[machine_id])
        return runner is not None and not any(
            attempt.task.step.request.lasting for attempt in runner.attempts.values()
        )

    def update(self, machine_ids: t.Collection[str]) -> None:
        """Mark the runners of these machines, and no others."""
        released = [m for m in self._machine_ids if m not in machine_ids]
        added = [m for m in machine_ids if m not in self._machine_ids]
        self._machine_ids = machine_ids
        for machine_id in released:
            self._mark(machine_id, False)
        # A machine that was handed over may have got another runner.
        for machine_id in machine_ids:
            self._mark(machine_id, True)
        if released:
            self._kick()
        if added:
            self.count += len(added)
            pools = collections.Counter(self._table.machines[m].pool for m in added)
            log.info("machines-handed-over", extra={"pools": dict(pools)})

    def _mark(self, machine_id: str, handing_over: bool) -> None:
        machine = self._table.machines.get(machine_id)
        runner = self._table.runner_of(machine) if machine is not None else None
        if runner is not None:
            runner.handing_over = handing_over
