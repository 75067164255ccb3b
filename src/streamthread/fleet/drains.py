"""Tells when an instance that drains is idle, as all daemons confirm it."""

import typing as t

import attrs

from ..clocks import boot_s

__all__ = ["DrainReport", "DrainTracker"]


@attrs.frozen
class DrainReport:
    """What one daemon says of one draining instance.

    :param view_version: the version of the pool's row that the daemon knows.
    """

    view_version: int
    in_flight: int


@attrs.frozen
class _Drain:
    version: int
    since_s: float


Reports = t.Callable[[str, str], DrainReport | None]
"""Returns a daemon's report (daemon id, instance id), or None without one."""


class DrainTracker:
    """Follows the drains of the pools held here.

    An instance is idle when every live daemon has reported that it knows of the
    drain and has nothing in flight. A daemon that cannot be heard takes no new
    work after a while and ends what it has by its deadline, so after
    ``limit_s`` its silence counts as idle.
    """

    def __init__(self, limit_s: float, clock_s: t.Callable[[], float] = boot_s) -> None:
        self._limit_s = limit_s
        self._clock_s = clock_s
        self._drains: dict[str, _Drain] = {}

    def note(self, instance_id: str, version: int) -> None:
        """Note a drain, as of the row's version; later notes change nothing."""
        self._drains.setdefault(instance_id, _Drain(version, self._clock_s()))

    def forget(self, instance_id: str) -> None:
        """Forget an instance that does not drain."""
        self._drains.pop(instance_id, None)

    def is_idle(
        self, instance_id: str, daemons: t.Iterable[str], reports: Reports
    ) -> bool:
        """Whether nothing runs on an instance any more."""
        drain = self._drains.get(instance_id)
        if drain is None:
            return False
        timed_out = self._clock_s() - drain.since_s >= self._limit_s
        for daemon_id in daemons:
            report = reports(daemon_id, instance_id)
            if report is None or report.view_version < drain.version:
                if not timed_out:
                    return False
            elif report.in_flight and not timed_out:
                return False
        return True
