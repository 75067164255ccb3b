"""Who holds the cell: taking it over, following its holder, giving it up."""

import asyncio
import math
import random
import time
import typing as t

import attrs
import logbook
from mode import Service

from ..errors import OutcomeUnknownError
from ..errors import StoreUnavailableError
from ..platform.store import ABSENT
from ..platform.store import Condition
from ..platform.store import Page
from ..platform.store import RowStore
from ..platform.store import StoredRow
from ..platform.table_feed import TableFeed
from . import cell_pb2 as pb
from .answers import AnswerTimes
from .answers import version_written
from .hesitation import Hesitation
from .members import Members
from .peer import HolderDoubtfulError
from .peer import HolderSilentError
from .peer import HolderUnreachableError
from .peer import PeerLinks
from .rows import Head
from .rows import HEAD_KEY
from .rows import new_nonce
from .rows import Owner
from .rows import OWNER_KEY
from .rows import TABLE_HEAD
from .rows import TABLE_OWNER
from .takeover import Standstill
from .takeover import Suspicion
from .takeover import TakenCell
from .times import LeaseTimes

__all__ = ["CellLease"]

log = logbook.Logger("streamthread.cell")

OWNER_RETRY_S = 0.2
"""Pause after the owner row could not be read."""

RECHECK_S = 0.05
"""Pause before a holder that nothing speaks against is followed anew."""

CLOSED_PORT_S = 0.02
"""After a closed port, news of another holder gets so long to arrive first."""

JUST_STARTED_S = 1.0
"""A daemon that is younger has most likely come back with all others."""

OWNER_BACK_S = 0.5
"""So long a daemon that has just started leaves the cell to the one that held it: all
machines start within 0.3 s, and that one need not wait for anybody's late orders."""

HEAD_POLL_S = 0.25
"""Between two looks at a silent holder's commits: each is a read of the store."""

NOBODY_BEFORE = (Suspicion.VACANT, Suspicion.OWN_EARLIER_LIFE)
"""No other daemon can still order anything."""

REFUSED_PAUSE_S = 0.1
"""Pause after the store refused a take-over, or the read before it."""


class CellLease(Service):
    """Follows the cell's holder, and takes over when it is gone.

    :param cores: how much processor this daemon has; the holder uses most of all.
    :param on_taken: called with what was taken; returns when the cell is lost.
    :param on_replaced: called while holding, when another holder is known.
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
        on_taken: t.Callable[[TakenCell], t.Awaitable[None]],
        on_replaced: t.Callable[[], None],
    ) -> None:
        super().__init__()
        self._store = store
        self._part = part
        self._daemon_id = daemon_id
        self._incarnation = incarnation
        self.address = address
        self._peers = peers
        self.times = times
        self._started_at_s = time.monotonic()
        self._on_taken = on_taken
        self._on_replaced = on_replaced
        self.members = Members(store, part, daemon_id, peers, cores, self.hear)
        self._hesitation = Hesitation(
            self.members, daemon_id, times, cores, random.Random(incarnation)
        )
        self._owner_version = ABSENT
        self._told: tuple[Suspicion, Owner | None] = (Suspicion.NONE, None)
        self._suspected_at_s = 0.0
        self._standstill: Standstill | None = None
        self._answers = AnswerTimes()
        self._changed = asyncio.Event()
        self._known = asyncio.Event()
        self.owner: Owner | None = None
        self.holding = False
        self.stopping = False
        self.takeovers = 0

    # What the store says of the owner.

    @Service.task
    async def _run_members(self) -> None:
        await self.wait(self.members.join(self.news))

    @Service.task
    async def _run_watch(self) -> None:
        await self.wait(self._watch_owner())

    async def _watch_owner(self) -> None:
        """Keep the owner row as the store last told it."""
        feed = TableFeed(self._store, TABLE_OWNER, self._part, self.times.feed_wait_s)
        while True:
            try:
                update = await feed.next()
                for row in update.rows:
                    if row.key == OWNER_KEY and row.part in ("", self._part):
                        self._adopt(row)
                self._known.set()
            except (StoreUnavailableError, OutcomeUnknownError) as error:
                log.warning("owner-unreadable", extra={"error": str(error)})
                await asyncio.sleep(OWNER_RETRY_S)

    def _adopt(self, row: StoredRow) -> None:
        if row.version <= self._owner_version or row.value is None:
            return
        self._owner_version = row.version
        owner = Owner.decode(row.value)
        if owner == self.owner:
            return
        self._set_owner(owner, "store")

    def _set_owner(self, owner: Owner, source: str) -> None:
        self.owner = owner
        log.info(
            "owner-known",
            extra={
                "owner": self.owner.daemon_id,
                "token": self.owner.token,
                "released": self.owner.released,
                "source": source,
            },
        )
        self._changed.set()
        mine = (self._daemon_id, self._incarnation)
        if self.holding and (owner.daemon_id, owner.incarnation) != mine:
            self._on_replaced()

    def hear(self, news: pb.OwnerNews) -> None:
        """Take from a peer who holds the cell, if we do not know better."""
        known = self.owner
        heard = Owner(
            news.daemon_id,
            news.incarnation,
            news.address,
            news.token,
            news.released,
            news.successor,
        )
        rank = (heard.token, heard.released)
        if not heard.token or (known and rank <= (known.token, known.released)):
            return
        self._set_owner(heard, "peer")

    def news(self) -> pb.OwnerNews:
        """Return what a peer should know of the holder."""
        if self.owner is None:
            return pb.OwnerNews()
        return pb.OwnerNews(**attrs.asdict(self.owner))

    def hears_holder(self) -> bool:
        """Whether a holder that can commit has been heard just now."""
        return self._peers.heard_within(self.times.beat_lost_s)

    # Following and taking over.

    @Service.task
    async def _run_follow(self) -> None:
        await self.wait(self._follow())

    async def _follow(self) -> None:
        """Follow whoever holds the cell; take over when it may be replaced."""
        await self._known.wait()
        while True:
            self._changed.clear()
            suspicion = await self._observe()
            if suspicion is Suspicion.NONE or self.stopping:
                await asyncio.sleep(RECHECK_S)
                continue
            taken = await self._take(suspicion)
            if taken is not None:
                await self._hold(taken)
            elif self.owner is not None and suspicion is Suspicion.DOUBTFUL:
                # Most likely the store is down for all of us.
                await asyncio.sleep(self.times.retry_s)

    async def _observe(self) -> Suspicion:
        """Return once the holder may be replaced, or when it has changed."""
        suspicion = await self._suspect()
        known = (suspicion, self.owner)
        if known == self._told:
            return suspicion
        self._told = known
        self._suspected_at_s = time.monotonic()
        if suspicion is not Suspicion.NONE:
            log.info(
                "holder-suspected",
                extra={
                    "why": suspicion.value,
                    "holder": self.owner.daemon_id if self.owner else "",
                    "token": self.owner.token if self.owner else 0,
                },
            )
        return suspicion

    async def _suspect(self) -> Suspicion:
        owner = self.owner
        self._standstill = None
        if owner is None:
            return Suspicion.VACANT
        if owner.released:
            return Suspicion.RELEASED
        if owner.daemon_id == self._daemon_id:
            return Suspicion.OWN_EARLIER_LIFE
        try:
            await self._peers.follow(
                owner.address, owner.token, self.times.beat_lost_s, self._changed
            )
            return Suspicion.NONE
        except HolderUnreachableError:
            return await self._confirm_gone(owner)
        except HolderSilentError:
            return await self._confirm_silent()
        except HolderDoubtfulError as error:
            self._standstill = Standstill(error.head_version, time.monotonic())
            return Suspicion.DOUBTFUL

    async def _confirm_gone(self, owner: Owner) -> Suspicion:
        """The holder's port is closed: its process is gone, or about to be."""
        just_started = time.monotonic() - self._started_at_s <= JUST_STARTED_S
        await asyncio.sleep(OWNER_BACK_S if just_started else CLOSED_PORT_S)
        if self.owner is not owner:
            return Suspicion.NONE
        return Suspicion.PROCESS_GONE

    async def _confirm_silent(self) -> Suspicion:
        """Watch the commits stand still for long enough to be sure."""
        first = await self._read_head()
        since_s = time.monotonic()
        owner = self.owner
        while first is not None and self.owner is owner:
            await asyncio.sleep(HEAD_POLL_S)
            asked_at_s = time.monotonic()
            version = await self._read_head()
            if version != first:
                return Suspicion.NONE
            if asked_at_s - since_s >= self.times.silence_s:
                alone_at_s = since_s + self.times.trust_over_s
                self._standstill = Standstill(first, alone_at_s)
                return Suspicion.SILENT
        return Suspicion.NONE

    async def _read_head(self) -> int | None:
        page = await self._read(TABLE_HEAD)
        if page is None:
            return None
        return page.rows[0].version if page.rows else ABSENT

    async def _read(self, table: str) -> Page | None:
        """Read a table of one row, or return None: the store does not answer."""
        try:
            return await self._store.read(table, self._part)
        except (StoreUnavailableError, OutcomeUnknownError):
            return None

    async def _take(self, suspicion: Suspicion) -> TakenCell | None:
        """Try to become the holder; None if somebody else was faster."""
        owner = self.owner
        asked_at_s = time.monotonic()
        if not await self._reread_owner():
            await asyncio.sleep(REFUSED_PAUSE_S)
            return None
        if self.owner is not owner:
            return None
        if suspicion is Suspicion.DOUBTFUL and self._is_slow_for_all(asked_at_s):
            return None
        # Whoever takes the cell from here on changes the row, and ends this try.
        seen_version = self._owner_version
        await asyncio.sleep(self._hesitation.before_taking_s(suspicion, owner))
        if self.owner is not owner or self.stopping:
            return None
        if suspicion is Suspicion.DOUBTFUL and await self._is_sure_again(owner):
            return None
        token = (owner.token if owner else 0) + 1
        mine = Owner(self._daemon_id, self._incarnation, self.address, token)
        began_at_s = time.monotonic()
        standstill = self._standstill
        version = await self._write_owner(mine, seen_version, standstill)
        if version is None and standstill is not None:
            # It has committed since, or its last commit was never confirmed to it.
            standstill = None
            began_at_s = time.monotonic()
            version = await self._write_owner(mine, seen_version)
        if version is None:
            return None
        self._note_taken(mine, version, suspicion, owner)
        alone_at_s = self._alone_at_s(suspicion, standstill, began_at_s)
        return TakenCell(mine, version, began_at_s, suspicion, alone_at_s)

    def _alone_at_s(
        self, suspicion: Suspicion, standstill: Standstill | None, taken_at_s: float
    ) -> float:
        """Return from when on no earlier holder sends an order.

        Its commits end with the take-over, so that its trust in the last of them
        bounds what it orders, unless we know better.
        """
        if suspicion in NOBODY_BEFORE:
            return -math.inf
        if suspicion is Suspicion.RELEASED:
            return taken_at_s
        if standstill is not None:
            return standstill.alone_at_s
        return taken_at_s + self.times.trust_over_s

    def _note_taken(
        self, mine: Owner, version: int, suspicion: Suspicion, before: Owner | None
    ) -> None:
        """Know ourselves as the holder, before the feed tells of it."""
        self.takeovers += 1
        log.info(
            "cell-taken",
            extra={
                "why": suspicion.value,
                "token": mine.token,
                "before": before.daemon_id if before else "",
                "version": version,
            },
        )
        self._owner_version = version
        self.owner = mine
        self._changed.set()

    def _is_slow_for_all(self, asked_at_s: float) -> bool:
        """Whether the store is slow here too, so that a change would not help.

        A doubtful holder is left alone then for a while; it goes on as soon as its
        commit is confirmed, and a new one would have to read all jobs first.
        """
        now_s = time.monotonic()
        slow = now_s - asked_at_s > self.times.slow_read_s
        return slow and now_s - self._suspected_at_s < self.times.slow_patience_s

    async def _is_sure_again(self, owner: Owner | None) -> bool:
        """Whether the holder commits again, since the store serves all of us."""
        if owner is None or not await self._peers.is_sure(owner.address, owner.token):
            return False
        log.info("holder-sure-again", extra={"holder": owner.daemon_id})
        return True

    async def _reread_owner(self) -> bool:
        """Read the owner row: what we know of it may be old, or from a peer."""
        page = await self._read(TABLE_OWNER)
        if page is None:
            return False
        for row in page.rows:
            self._adopt(row)
        return True

    async def _write_owner(
        self, owner: Owner, seen_version: int, standstill: Standstill | None = None
    ) -> int | None:
        """Return the rows' version, or None where another daemon has it.

        The head row is replaced too, which ends all commits from before.

        :param seen_version: of the owner row on which this was decided.
        :param standstill: require that the head row has not changed since.
        """
        head = Head(new_nonce(), owner.token)
        conditions = [Condition(TABLE_OWNER, self._part, OWNER_KEY, seen_version)]
        if standstill is not None:
            version = standstill.head_version
            conditions.append(Condition(TABLE_HEAD, self._part, HEAD_KEY, version))
        puts = [
            StoredRow(TABLE_OWNER, self._part, OWNER_KEY, owner.encode()),
            StoredRow(TABLE_HEAD, self._part, HEAD_KEY, head.encode()),
        ]
        write = self._store.transact(conditions, puts)
        try:
            version = await version_written(
                write, lambda: self._look_at_owner(owner), self._answers
            )
        except StoreUnavailableError:
            await asyncio.sleep(REFUSED_PAUSE_S)
            return None
        return version or None

    async def _look_at_owner(self, owner: Owner) -> int | None:
        """Read back whose row stands there."""
        page = await self._read(TABLE_OWNER)
        if page is None:
            return None
        for row in page.rows:
            if row.key == OWNER_KEY and row.value is not None:
                if Owner.decode(row.value) == owner:
                    return row.version
                self._adopt(row)
        return 0

    async def _hold(self, taken: TakenCell) -> None:
        self.holding = True
        self.members.announce_soon(self.news())
        try:
            await self._on_taken(taken)
        finally:
            self.holding = False
            log.warning("cell-lost", extra={"token": taken.owner.token})

    async def release(self, taken: TakenCell, successor: str) -> bool:
        """Give the cell up in order, naming who should take over.

        :return: whether the store has taken it.
        """
        owner = attrs.evolve(taken.owner, released=True, successor=successor)
        version = await self._write_owner(owner, self._owner_version)
        if version is None:
            log.warning("cell-not-released", extra={"token": owner.token})
            return False
        self.owner = owner
        self.members.announce_soon(self.news())
        log.info(
            "cell-released",
            extra={"token": owner.token, "successor": successor, "version": version},
        )
        return True
