"""Workers that fail everything they start take no more jobs, under a cap."""

__all__ = ["Quarantine"]

FAILURES_BEFORE_QUARANTINE = 3
"""Distinct jobs in a row that a worker fails before it is quarantined."""

MAX_QUARANTINED_FRACTION = 0.2
"""At most this part of a pool is quarantined; one may always be, never all."""


class Quarantine:
    """Counts failures of distinct jobs since each worker's last success."""

    def __init__(self) -> None:
        self._failed_jobs: dict[str, set[str]] = {}
        self._boots: dict[str, int] = {}

    def record_boot(self, worker_id: str, boot: int) -> None:
        """Trust a worker again after a reboot."""
        if self._boots.get(worker_id, boot) != boot:
            self._failed_jobs.pop(worker_id, None)
        self._boots[worker_id] = boot

    def record(self, worker_id: str, job_id: str, succeeded: bool) -> None:
        """Note the end of an attempt."""
        if succeeded:
            self._failed_jobs.pop(worker_id, None)
        else:
            self._failed_jobs.setdefault(worker_id, set()).add(job_id)

    def members(self, pool_workers: list[str]) -> set[str]:
        """Return the quarantined workers of a pool: the worst, up to the cap."""
        failing = [
            worker_id
            for worker_id in pool_workers
            if len(self._failed_jobs.get(worker_id, ())) >= FAILURES_BEFORE_QUARANTINE
        ]
        cap = max(1, int(len(pool_workers) * MAX_QUARANTINED_FRACTION))
        cap = min(cap, len(pool_workers) - 1)
        failing.sort(key=lambda name: (-len(self._failed_jobs[name]), name))
        return set(failing[:cap])
