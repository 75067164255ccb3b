"""Writes the owner row, to acquire the cell from another holder or to release it."""

import asyncio
import math
import typing as t

import attrs
import logbook

from ..clocks import boot_s
from ..errors import StoreUnavailableError
from ..platform.store import Condition
from ..platform.store import RowStore
from ..platform.store import StoredRow
from ..response_times import ResponseTimes
from .answers import version_written
from .owner_registry import OwnerRegistry
from .peer import PeerLinks
from .rows import Head
from .rows import HEAD_KEY
from .rows import new_nonce
from .rows import Owner
from .rows import OWNER_KEY
from .rows import TABLE_HEAD
from .rows import TABLE_OWNER
from .takeover import AcquiredCell
from .takeover import StalledCommits
from .takeover import Suspicion
from .times import LeaseTimes

__all__ = ["OwnerWriter"]

log = logbook.Logger("streamthread.cell")

NO_EARLIER_HOLDER = (Suspicion.VACANT, Suspicion.OWN_EARLIER_INCARNATION)
"""Suspicions under which no other daemon can still send orders."""

REFUSED_PAUSE_S = 0.1
"""Pause after the store refused an acquisition or the read before it."""

GetDelay = t.Callable[[Suspicion, Owner | None], float]
"""Returns for how long to leave the cell to better candidates, in seconds."""


class OwnerWriter:
    """Acquires the cell for one daemon and releases it.

    :param get_delay_s: returns for how long to leave the cell to better candidates.
    :param as_owner: returns this daemon as the owner under a fencing token.
    :param stopping: whether the daemon is stopping and must not acquire the cell.
    """

    def __init__(
        self,
        store: RowStore,
        part: str,
        registry: OwnerRegistry,
        peers: PeerLinks,
        times: LeaseTimes,
        get_delay_s: GetDelay,
        as_owner: t.Callable[[int], Owner],
        stopping: t.Callable[[], bool],
    ) -> None:
        self._store = store
        self._part = part
        self._registry = registry
        self._peers = peers
        self._times = times
        self._get_delay_s = get_delay_s
        self._as_owner = as_owner
        self._stopping = stopping
        self._response_times = ResponseTimes()

    async def acquire(
        self,
        suspicion: Suspicion,
        stalled_commits: StalledCommits | None = None,
        suspected_at_s: float = 0.0,
    ) -> AcquiredCell | None:
        """Try to become the holder; return None if the cell is left to another daemon.

        :param stalled_commits: evidence that the holder's commits have stalled.
        :param suspected_at_s: when the suspicion arose, on the boot clock.
        """
        owner = self._registry.owner
        if not await self._may_acquire(suspicion, owner, suspected_at_s):
            return None
        # Another daemon that acquires the cell from here on changes the row, so that
        # this attempt fails.
        seen_version = self._registry.version
        await asyncio.sleep(self._get_delay_s(suspicion, owner))
        if self._registry.owner is not owner or self._stopping():
            return None
        if suspicion is Suspicion.CANNOT_COMMIT and await self._has_recovered(owner):
            return None
        return await self._write(suspicion, stalled_commits, owner, seen_version)

    async def _may_acquire(
        self, suspicion: Suspicion, owner: Owner | None, suspected_at_s: float
    ) -> bool:
        """Whether the suspected holder is still the owner, and a new one would help."""
        asked_at_s = boot_s()
        if not await self._registry.reread():
            await asyncio.sleep(REFUSED_PAUSE_S)
            return False
        if self._registry.owner is not owner:
            return False
        cannot_commit = suspicion is Suspicion.CANNOT_COMMIT
        return not cannot_commit or not self._is_slow_for_all(
            asked_at_s, suspected_at_s
        )

    def _is_slow_for_all(self, asked_at_s: float, suspected_at_s: float) -> bool:
        """Whether the store is slow here too, so that a new holder would not help.

        Then a holder that cannot commit keeps the cell for a while. It continues as
        soon as its commit is confirmed; a new one would have to read all jobs first.
        """
        now_s = boot_s()
        slow = now_s - asked_at_s > self._times.slow_read_s
        return slow and now_s - suspected_at_s < self._times.slow_patience_s

    async def _has_recovered(self, owner: Owner | None) -> bool:
        """Whether the holder can commit again, as the store now serves all daemons."""
        if owner is None or not await self._peers.can_commit(
            owner.address, owner.token
        ):
            return False
        log.info("holder-sure-again", extra={"holder": owner.daemon_id})
        return True

    async def _write(
        self,
        suspicion: Suspicion,
        stalled_commits: StalledCommits | None,
        before: Owner | None,
        seen_version: int,
    ) -> AcquiredCell | None:
        """Write the acquisition; return None if it did not take effect.

        :param before: the holder to replace, if there was one.
        """
        mine = self._as_owner((before.token if before else 0) + 1)
        began_at_s = boot_s()
        version = await self._write_owner(mine, seen_version, stalled_commits)
        if version is None and stalled_commits is not None:
            # The holder has committed since, or its last commit took effect but was
            # never confirmed to it, so that it reported an older version.
            stalled_commits = None
            began_at_s = boot_s()
            version = await self._write_owner(mine, seen_version)
        if version is None:
            return None
        log.info(
            "cell-taken",
            extra={
                "why": suspicion.value,
                "token": mine.token,
                "before": before.daemon_id if before else "",
                "version": version,
                "stood_still": stalled_commits is not None,
            },
        )
        self._registry.on_written(mine, version)
        exclusive_from_s = self._exclusive_from_s(
            suspicion, stalled_commits, began_at_s
        )
        return AcquiredCell(mine, version, began_at_s, exclusive_from_s)

    def _exclusive_from_s(
        self,
        suspicion: Suspicion,
        stalled_commits: StalledCommits | None,
        acquired_at_s: float,
    ) -> float:
        """Return the time after which no earlier holder sends orders.

        The acquisition ends the earlier holder's commits, so the validity of its lease
        after the last commit is the bound if no better one is known.
        """
        if suspicion in NO_EARLIER_HOLDER:
            return -math.inf
        if suspicion is Suspicion.RELEASED:
            return acquired_at_s
        if stalled_commits is not None:
            return stalled_commits.exclusive_from_s
        return acquired_at_s + self._times.max_validity_s

    async def release(self, acquired: AcquiredCell, successor: str) -> bool:
        """Release the cell and name the daemon that should acquire it next.

        :return: whether the store accepted the release.
        """
        owner = attrs.evolve(acquired.owner, released=True, successor=successor)
        version = await self._write_owner(owner, self._registry.version)
        if version is None:
            log.warning("cell-not-released", extra={"token": owner.token})
            return False
        self._registry.on_written(owner, version)
        log.info(
            "cell-released",
            extra={"token": owner.token, "successor": successor, "version": version},
        )
        return True

    async def _write_owner(
        self,
        owner: Owner,
        seen_version: int,
        stalled_commits: StalledCommits | None = None,
    ) -> int | None:
        """Write the owner row; return its version, or None if that had no effect.

        The transaction replaces the head row too, which ends all commits of earlier
        holders.

        :param seen_version: the version of the owner row that the decision is based on.
        :param stalled_commits: if given, requires that the head row is unchanged since.
        """
        head = Head(new_nonce(), owner.token)
        conditions = [Condition(TABLE_OWNER, self._part, OWNER_KEY, seen_version)]
        if stalled_commits is not None:
            version = stalled_commits.head_version
            conditions.append(Condition(TABLE_HEAD, self._part, HEAD_KEY, version))
        puts = [
            StoredRow(TABLE_OWNER, self._part, OWNER_KEY, owner.encode()),
            StoredRow(TABLE_HEAD, self._part, HEAD_KEY, head.encode()),
        ]
        write = self._store.transact(conditions, puts)
        try:
            written = await version_written(
                write, lambda: self._registry.find_version(owner), self._response_times
            )
        except StoreUnavailableError:
            await asyncio.sleep(REFUSED_PAUSE_S)
            return None
        return written or None
