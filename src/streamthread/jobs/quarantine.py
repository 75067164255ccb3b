"""Quarantines workers that fail job after job, up to a part of the pool."""

__all__ = ["Quarantine"]

FAILURES_BEFORE_QUARANTINE = 3
"""Number of distinct jobs that a worker fails in a row before it is quarantined."""

MAX_QUARANTINED_FRACTION = 0.2
"""Maximum fraction of a pool's workers in quarantine.

Even a small pool may have one worker in quarantine, but never all of its workers.
"""


class Quarantine:
    """Counts the distinct jobs that failed since a worker's last success or reboot."""

    def __init__(self) -> None:
        self._failed_jobs: dict[str, set[str]] = {}
        self._boots: dict[str, int] = {}

    def record_boot(self, worker_id: str, boot: int) -> None:
        """Record a worker's boot number. A reboot clears its failures."""
        if self._boots.get(worker_id, boot) != boot:
            self._failed_jobs.pop(worker_id, None)
        self._boots[worker_id] = boot

    def boot_of(self, worker_id: str) -> int | None:
        """Return a worker's last recorded boot number, or None."""
        return self._boots.get(worker_id)

    def record(self, worker_id: str, job_id: str, succeeded: bool) -> None:
        """Record the result of an attempt. A success clears the worker's failures."""
        if succeeded:
            self._failed_jobs.pop(worker_id, None)
        else:
            self._failed_jobs.setdefault(worker_id, set()).add(job_id)

    def members(self, pool_workers: list[str]) -> set[str]:
        """Return the workers in quarantine: those with most failures, up to the cap."""
        failing = [
            worker_id
            for worker_id in pool_workers
            if len(self._failed_jobs.get(worker_id, ())) >= FAILURES_BEFORE_QUARANTINE
        ]
        cap = max(1, int(len(pool_workers) * MAX_QUARANTINED_FRACTION))
        cap = min(cap, len(pool_workers) - 1)
        failing.sort(key=lambda name: (-len(self._failed_jobs[name]), name))
        return set(failing[:cap])
