"""How far the members that were granted away have come, as seen by the holder."""

import typing as t

from ..clocks import boot_s
from ..leases import LeaseService
from .drains import DrainTracker
from .drains import Reports
from .pools import MemberState
from .rows import LoadedPool

__all__ = ["Progress"]


class Progress:
    """Follows drains and reboots on this daemon's own boot clock.

    :param reports: what each daemon reports of a draining instance.
    """

    def __init__(
        self,
        leases: LeaseService,
        reports: Reports,
        drain_limit_s: float,
        reboot_limit_s: float,
        clock_s: t.Callable[[], float] = boot_s,
    ) -> None:
        self.busy: t.Callable[[str], bool] = lambda instance_id: False
        self._leases = leases
        self._reports = reports
        self._drains = DrainTracker(drain_limit_s, clock_s)
        self._reboot_limit_s = reboot_limit_s
        self._clock_s = clock_s
        self._rebooting_since_s: dict[str, float] = {}

    def note(self, loaded: LoadedPool) -> None:
        """Note the states in a row that was read or committed."""
        for instance_id, member in loaded.row.members.items():
            if member.state is MemberState.DRAINING:
                self._drains.note(instance_id, loaded.version)
            else:
                self._drains.forget(instance_id)
            if member.state is MemberState.REBOOTING:
                self._rebooting_since_s.setdefault(instance_id, self._clock_s())
            else:
                self._rebooting_since_s.pop(instance_id, None)

    def is_overdue(self, instance_id: str) -> bool:
        """Whether a reboot has taken too long."""
        since_s = self._rebooting_since_s.get(instance_id)
        if since_s is None:
            return False
        return self._clock_s() - since_s > self._reboot_limit_s

    def is_idle(self, instance_id: str) -> bool:
        """Whether nothing runs on a draining instance, as all confirm."""
        if self.busy(instance_id):
            return False
        daemons = self._leases.live_ids()
        return self._drains.is_idle(instance_id, daemons, self._reports)
