"""Periodic checks of the holder: its commits, all runs, and jobs that have ended."""

import asyncio
import time

import logbook

from ..clocks import boot_s
from .hall_watch import HallWatch
from .inbox import InboxReader
from .intake import Intake
from .outage_watch import OutageWatch
from .owner import DutyOwner

__all__ = ["Housekeeping"]

log = logbook.Logger("streamthread.holder")

COMMIT_FAILURE_POLL_S = 0.1
"""Interval between checks whether commits have begun to fail or have recovered."""

FORGET_INTERVAL_S = 1.0
"""Interval between checks for ended jobs."""

WATCH_RUNS_INTERVAL_S = 0.25
"""Interval between checks of the runs; runners report on them every 0.8 s."""


class Housekeeping:
    """The holder's loops that run at intervals and not on updates.

    :param outages: watches for lost halls; None where no loss is to be tolerated.
    """

    def __init__(
        self,
        owner: DutyOwner,
        inbox: InboxReader,
        intake: Intake,
        outages: OutageWatch | None = None,
    ) -> None:
        self._outages = outages
        self._owner = owner
        self._intake = intake
        self._engine = owner.engine
        self._inbox = inbox

    async def watch_runs(self) -> None:
        """Copy or move lagging runs, copy runs on silent runners, log what is late."""
        hall_watch = HallWatch(self._engine, self._engine.halls)
        while True:
            await asyncio.sleep(WATCH_RUNS_INTERVAL_S)
            await self._owner.until_trusted()
            if self._outages is not None:
                self._outages.check()
            for link in self._owner.links.values():
                if link.silent and self._engine.request_copies(link.runner.runner_id):
                    self._owner.kick()
            self._engine.log_overdue_stops()
            hall_watch.watch()
            if self._engine.handle_lagging_runs():
                self._owner.kick()

    async def extend_while_commits_fail(self) -> None:
        """Extend all runs when commits begin to fail; refuse overdue submissions."""
        failing = False
        while True:
            due_at_s = boot_s() + COMMIT_FAILURE_POLL_S
            await asyncio.sleep(COMMIT_FAILURE_POLL_S)
            self._intake.refuse_overdue(max(0.0, boot_s() - due_at_s))
            before, failing = failing, self._owner.log.is_degraded()
            if failing and not before and self._owner.trusted:
                log.warning("commits-fail", extra={"runners": len(self._owner.links)})
                for link in list(self._owner.links.values()):
                    self._owner.spawn(link.extend_once())
            elif before and not failing:
                log.info("commits-work-again")

    async def forget_ended_jobs(self) -> None:
        """Delete jobs that ended long enough ago, and retry the waiting inbox rows."""
        settings = self._owner.context.settings
        while True:
            await asyncio.sleep(FORGET_INTERVAL_S)
            self._inbox.retry()
            for job in self._engine.forget(time.time() - settings.forget_s):
                self._owner.rows.forget(job)
            self._owner.rows.sweep(self._engine.jobs)

    async def drop_orphans(self) -> None:
        """Drop the runs on runners that were never listed here, once they have expired.

        This happens without delay, as a long-running task whose run has expired runs
        nowhere until that run is dropped.
        """
        bound_s = self._owner.context.settings.links.expiry_bound_s
        expired_at_s = self._owner.taken.last_hold_at_s + bound_s
        await asyncio.sleep(max(0.0, expired_at_s - boot_s()))
        for attempt in self._engine.orphans():
            self._engine.drop_orphan(attempt)
            self._owner.kick()
