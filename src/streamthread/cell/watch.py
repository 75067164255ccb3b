"""Watches the cell's holder, and reports when and why it may be replaced."""

import asyncio
import typing as t

import attrs
import logbook

from ..clocks import boot_s
from ..platform.store import ABSENT
from ..platform.store import RowStore
from .owner_registry import OwnerRegistry
from .peer import HolderCannotCommitError
from .peer import HolderSilentError
from .peer import HolderUnreachableError
from .peer import PeerLinks
from .reading import head_or_none
from .reading import read_or_none
from .rows import Owner
from .rows import TABLE_HEAD
from .takeover import StalledCommits
from .takeover import Suspicion
from .times import LeaseTimes
from .times import on_slowest_clock_s

__all__ = ["HolderWatch"]

log = logbook.Logger("streamthread.cell")

CLOSED_PORT_DELAY_S = 0.02
"""How long to wait, after a closed port, for an update that names another holder."""

STARTUP_PERIOD_S = 1.0
"""A daemon that has run for less than this was most likely restarted together with all
other daemons."""

OWNER_RETURN_DELAY_S = 0.5
"""How long a daemon that has just started leaves the cell to its previous holder. All
machines start within 0.3 s, and the previous holder does not have to wait for the late
orders of another daemon."""

HEAD_POLL_S = 0.25
"""Interval between checks of a silent holder's commits; each is a read of the store."""


@attrs.frozen
class _HeadState:
    """The head row as it was read: its version and its term."""

    version: int
    term_s: float


class HolderWatch:
    """Follows the current holder of the cell.

    :param has_held: whether this daemon, or an earlier incarnation of it, has held the
        cell as the given owner.
    :param stalled_commits: evidence from the last suspicion that the holder's commits
        have stalled.
    :param suspected_at_s: when the current suspicion arose, on the boot clock.
    """

    def __init__(
        self,
        store: RowStore,
        part: str,
        daemon_id: str,
        registry: OwnerRegistry,
        peers: PeerLinks,
        times: LeaseTimes,
        has_held: t.Callable[[Owner], bool],
    ) -> None:
        self._store = store
        self._part = part
        self._daemon_id = daemon_id
        self._has_held = has_held
        self._registry = registry
        self._peers = peers
        self._times = times
        self._started_at_s = boot_s()
        self._reported: tuple[Suspicion, Owner | None] = (Suspicion.NONE, None)
        self.suspected_at_s = 0.0
        self.stalled_commits: StalledCommits | None = None

    async def observe(self) -> Suspicion:
        """Follow the holder until it may be replaced or has to be followed anew.

        :return: ``NONE`` unless the holder may be replaced.
        """
        suspicion = await self._suspect()
        known = (suspicion, self._registry.owner)
        if known == self._reported:
            return suspicion
        self._reported = known
        self.suspected_at_s = boot_s()
        if suspicion is not Suspicion.NONE:
            owner = self._registry.owner
            log.info(
                "holder-suspected",
                extra={
                    "why": suspicion.value,
                    "holder": owner.daemon_id if owner else "",
                    "token": owner.token if owner else 0,
                },
            )
        return suspicion

    async def _suspect(self) -> Suspicion:
        owner = self._registry.owner
        self.stalled_commits = None
        if owner is None:
            return Suspicion.VACANT
        if owner.released:
            return Suspicion.RELEASED
        if owner.daemon_id == self._daemon_id:
            if self._has_held(owner):
                return Suspicion.OWN_EARLIER_INCARNATION
            return Suspicion.OWN_LATE_ACQUISITION
        try:
            await self._peers.follow(
                owner.address,
                owner.token,
                self._times.beat_lost_s,
                self._registry.changed,
            )
            return Suspicion.NONE
        except HolderUnreachableError:
            return await self._confirm_gone(owner)
        except HolderSilentError:
            return await self.confirm_silent()
        except HolderCannotCommitError as error:
            if error.head_version:
                self.stalled_commits = StalledCommits(error.head_version, boot_s())
            return Suspicion.CANNOT_COMMIT

    async def _confirm_gone(self, owner: Owner) -> Suspicion:
        """Handle a closed port: the holder's process has exited or is about to exit.

        :return: ``NONE`` if an update names another holder in the meantime.
        """
        just_started = boot_s() - self._started_at_s <= STARTUP_PERIOD_S
        await asyncio.sleep(
            OWNER_RETURN_DELAY_S if just_started else CLOSED_PORT_DELAY_S
        )
        head = await self._read_head()
        if self._registry.owner is not owner:
            return Suspicion.NONE
        if head is not None:
            self.stalled_commits = self._stalled_commits(head, boot_s())
        return Suspicion.PROCESS_GONE

    @staticmethod
    def _stalled_commits(head: _HeadState, seen_at_s: float) -> StalledCommits:
        """Return the evidence that a holder's commits have stalled.

        While its head row stays unchanged, the holder sends no orders once the last
        lease term has passed on the slowest clock since the row was seen.
        """
        return StalledCommits(head.version, seen_at_s + on_slowest_clock_s(head.term_s))

    async def confirm_silent(self) -> Suspicion:
        """Poll the head row until the holder's commits have stalled for long enough.

        :return: ``NONE`` if the head row or the owner changes, or cannot be read.
        """
        first = await self._read_head()
        since_s = boot_s()
        owner = self._registry.owner
        while first is not None and self._registry.owner is owner:
            await asyncio.sleep(HEAD_POLL_S)
            asked_at_s = boot_s()
            head = await self._read_head()
            if head != first:
                return Suspicion.NONE
            silence_s = first.term_s + self._times.silence_margin_s
            if asked_at_s - since_s >= silence_s:
                self.stalled_commits = self._stalled_commits(first, since_s)
                return Suspicion.SILENT
        return Suspicion.NONE

    async def _read_head(self) -> _HeadState | None:
        page = await read_or_none(self._store, TABLE_HEAD, self._part)
        if page is None:
            return None
        if not page.rows:
            return _HeadState(ABSENT, self._times.trust_s)
        row = page.rows[0]
        return _HeadState(row.version, self._term_s(row.value or b""))

    def _term_s(self, value: bytes) -> float:
        """Return the longest lease term that a head row's transaction may have."""
        head = head_or_none(value)
        if head is None:
            return self._times.most_trust_s
        return self._times.trust_s if head.term_s is None else head.term_s
