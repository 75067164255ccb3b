"""The lease on a cell: follows its holder, acquires the cell and releases it."""

import asyncio
import functools
import random
import typing as t

import logbook
from mode import Service

from ..loops import Failures
from ..loops import LoopKeeper
from ..platform.store import RowStore
from ..unreadable import UnreadableNotes
from . import cell_pb2 as pb
from .acquisition import OwnerWriter
from .acquisition_delay import AcquisitionDelay
from .members import Members
from .owner_registry import OwnerRegistry
from .peer import PeerLinks
from .rows import Owner
from .takeover import AcquiredCell
from .takeover import Suspicion
from .times import LeaseTimes
from .watch import HolderWatch

__all__ = ["CellLease"]

log = logbook.Logger("streamthread.cell")

RECHECK_S = 0.05
"""Pause before the daemon follows the holder again if it is not suspected."""


class CellLease(Service):
    """Follows the cell's holder, and acquires the cell if it fails or releases it.

    :param cores: the CPU cores of this daemon; the holder uses more CPU than followers.
    :param holding: whether this daemon holds the cell.
    :param stopping: whether the daemon is stopping and must not acquire the cell.
    :param takeovers: number of acquisitions by this daemon.
    :param on_acquired: called with the acquired cell; returns when the cell is lost.
    :param on_replaced: called when another holder is known while this daemon holds the
        cell.
    :param notes: collects the rows of the cell that cannot be decoded.
    :param failures: collects unexpected failures.
    """

    def __init__(
        self,
        store: RowStore,
        part: str,
        daemon_id: str,
        incarnation: str,
        address: str,
        peers: PeerLinks,
        times: LeaseTimes,
        cores: float,
        on_acquired: t.Callable[[AcquiredCell], t.Awaitable[None]],
        on_replaced: t.Callable[[], None],
        notes: UnreadableNotes | None = None,
        failures: Failures | None = None,
    ) -> None:
        super().__init__()
        self._keeper = LoopKeeper(failures or Failures())
        self._daemon_id = daemon_id
        self._incarnation = incarnation
        self.address = address
        self._peers = peers
        self.times = times
        self._on_acquired = on_acquired
        self._on_replaced = on_replaced
        self.registry = OwnerRegistry(store, part, self._on_owner, notes)
        self.members = Members(
            store, part, daemon_id, peers, cores, self.registry.on_peer_report, notes
        )
        delay = AcquisitionDelay(
            self.members,
            daemon_id,
            times,
            cores,
            random.Random(incarnation),
            peers.contacts.hall,
        )
        self._watch = HolderWatch(
            store, part, daemon_id, self.registry, peers, times, self._has_held
        )
        self._writer = OwnerWriter(
            store,
            part,
            self.registry,
            peers,
            times,
            delay.before_acquisition_s,
            self._as_owner,
            lambda: self.stopping,
        )
        self.holding = False
        # The highest fencing token under which this incarnation has held the cell.
        self._held_token = 0
        self.stopping = False
        self.takeovers = 0

    @property
    def owner(self) -> Owner | None:
        """The newest known owner."""
        return self.registry.owner

    def _as_owner(self, token: int) -> Owner:
        return Owner(self._daemon_id, self._incarnation, self.address, token)

    def _has_held(self, owner: Owner) -> bool:
        """Whether this daemon has held the cell as an owner that names it.

        An earlier incarnation that the row names counts as a holder.
        """
        return owner.incarnation != self._incarnation or owner.token <= self._held_token

    def _on_owner(self, owner: Owner) -> None:
        mine = (self._daemon_id, self._incarnation)
        if self.holding and (owner.daemon_id, owner.incarnation) != mine:
            self._on_replaced()

    def news(self) -> pb.OwnerNews:
        """Return the update on the holder that is sent to peers."""
        return self.registry.owner_update()

    def is_holder_alive(self) -> bool:
        """Whether a recent heartbeat came from a holder that can commit."""
        return self._peers.heartbeats.received_within(self.times.beat_lost_s)

    def is_holder_overdue(self, within_s: float) -> bool:
        """Whether the heartbeats of the present holder, a peer, have ceased."""
        owner = self.owner
        if owner is None or self.holding or owner.address == self.address:
            return False
        return self._peers.heartbeats.is_overdue(owner.token, within_s)

    @Service.task
    async def _run_members(self) -> None:
        join = functools.partial(self.members.join, self.news)
        await self.wait(self._keeper.keep("members", join))

    @Service.task
    async def _run_registry(self) -> None:
        watch = functools.partial(self.registry.watch, self.times.feed_wait_s)
        await self.wait(self._keeper.keep("owner", watch))

    @Service.task
    async def _run_follow(self) -> None:
        await self.wait(self._keeper.keep("follow", self._follow))

    async def _follow(self) -> None:
        """Follow the cell's holder; acquire the cell when it may be replaced."""
        await self.registry.known.wait()
        while True:
            self.registry.changed.clear()
            suspicion = await self._watch.observe()
            if suspicion is Suspicion.NONE or self.stopping:
                await asyncio.sleep(RECHECK_S)
                continue
            acquired = await self._writer.acquire(
                suspicion, self._watch.stalled_commits, self._watch.suspected_at_s
            )
            if acquired is not None:
                await self._hold(acquired)
            elif self.owner is not None and suspicion is Suspicion.CANNOT_COMMIT:
                # Most likely the store is unavailable to all daemons.
                await asyncio.sleep(self.times.retry_s)

    async def _hold(self, acquired: AcquiredCell) -> None:
        self.takeovers += 1
        self._held_token = acquired.owner.token
        self.holding = True
        self.members.announce_soon(self.news())
        try:
            await self._on_acquired(acquired)
        finally:
            self.holding = False
            log.warning("cell-lost", extra={"token": acquired.owner.token})

    async def release(self, acquired: AcquiredCell, successor: str) -> bool:
        """Release the cell and name the daemon that should acquire it next.

        :return: whether the store accepted the release.
        """
        released = await self._writer.release(acquired, successor)
        if released:
            self.members.announce_soon(self.news())
        return released
