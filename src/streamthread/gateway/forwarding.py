"""Brings a caller's request to the holder, or leaves it in the store."""

import asyncio
import enum
import typing as t

import attrs
import logbook

from ..cell import cell_pb2 as pb
from ..cell import CellLease
from ..cell import PeerLinks
from ..cell import TABLE_INBOX
from ..clocks import boot_s
from ..errors import BadInputError
from ..errors import NotHolderError
from ..errors import OutcomeUnknownError
from ..errors import PeerUnavailableError
from ..errors import StoreUnavailableError
from ..holder import Holder
from ..holder.inbox import inbox_key
from ..holder.inbox import InboxEntry
from ..platform.callers import decode_job
from ..platform.store import ABSENT
from ..platform.store import Condition
from ..platform.store import RowStore
from ..platform.store import StoredRow

__all__ = ["ForwardSettings", "Forwarder", "Kept"]

log = logbook.Logger("streamthread.forwarding")


LEAST_HOP_S = 0.1
"""Every request gets one try, also when its caller will wait no longer."""

COME_BACK_S = 1.0
"""A refused caller is asked to come back after so long."""


class Kept(enum.Enum):
    """Whether a change is in the inbox; UNKNOWN: it may be, or get there later."""

    YES = "yes"
    NO = "no"
    UNKNOWN = "unknown"


@attrs.frozen
class ForwardSettings:
    """How a caller's request is brought to the holder.

    :param hop_s: one try at the holder takes at most this.
    :param inbox_after_s: a change that no holder took for longer goes into the
        inbox, from which the next holder takes it; not while the holder's beats are
        heard, since the inbox's writes queue before its commits in a slow store.
    :param give_up_s: after so long without a holder that is heard, or with one that
        knows only an older configuration, the caller gets its final answer; it may ask
        again, at any daemon.
    :param retry_s: pause between tries.
    """

    hop_s: float = 1.0
    inbox_after_s: float = 0.4
    give_up_s: float = 1.6
    retry_s: float = 0.06


class Forwarder:
    """Asks the holder, here or on a peer; falls back to the inbox."""

    def __init__(
        self,
        lease: CellLease,
        peers: PeerLinks,
        store: RowStore,
        part: str,
        holder: t.Callable[[], Holder | None],
        settings: ForwardSettings,
    ) -> None:
        self._lease = lease
        self._peers = peers
        self._store = store
        self._part = part
        self._holder = holder
        self._settings = settings

    async def ask(self, request: pb.CallRequest, until_s: float) -> pb.CallReply:
        """Return the holder's answer, or UNCERTAIN when none came in time.

        :param until_s: on the boot clock: when the caller stops waiting.
        """
        began_at_s = boot_s()
        inbox_at_s = began_at_s + self._settings.inbox_after_s
        changes = request.kind in (pb.SUBMIT, pb.CANCEL)
        uncertain = False
        while True:
            now_s = boot_s()
            left_s = max(until_s - now_s, LEAST_HOP_S)
            reply = await self._ask_holder(request, left_s)
            if _is_final(reply, uncertain):
                return reply
            uncertain = uncertain or reply.outcome == pb.UNCERTAIN
            now_s = boot_s()
            if changes and now_s >= inbox_at_s and not self._hears_holder():
                if request.kind == pb.SUBMIT and not _is_job(request.job):
                    return _refused("the body is no job")
                kept = await self._leave_in_inbox(request)
                if kept is Kept.YES:
                    return pb.CallReply(outcome=pb.OK, state="pending")
                if kept is Kept.NO and not uncertain:
                    return _refused("neither a holder nor the store answers")
                uncertain = True
            if self._gives_up(began_at_s, until_s, reply.outcome):
                break
            await asyncio.sleep(self._settings.retry_s)
        if uncertain or not changes:
            return pb.CallReply(outcome=pb.UNCERTAIN, reason="no holder answered")
        if reply.outcome == pb.BEHIND:
            return _refused("the holder knows only an older configuration")
        return _refused("no holder is known")

    def _gives_up(
        self, began_at_s: float, until_s: float, outcome: pb.CallOutcome
    ) -> bool:
        """Whether to answer without a holder's answer.

        A holder that is heard still works on it, however slow the store is, unless it
        says that the configuration has not come to it.
        """
        now_s = boot_s()
        if now_s >= until_s:
            return True
        lasted_s = now_s - began_at_s
        at_work = outcome != pb.BEHIND and self._hears_holder()
        return lasted_s >= self._settings.give_up_s and not at_work

    def _hears_holder(self) -> bool:
        """Whether there is a holder here, or one whose beats tell of no doubt."""
        holder = self._holder()
        if holder is not None and holder.active:
            return True
        return self._lease.is_holder_alive()

    async def _ask_holder(self, request: pb.CallRequest, left_s: float) -> pb.CallReply:
        """Ask the holder once; UNCERTAIN when it may have carried it out."""
        try:
            return await self._ask_once(request, left_s)
        except (PeerUnavailableError, NotHolderError) as error:
            log.info(
                "holder-unanswered",
                extra={
                    "job": request.job_id,
                    "error": str(error),
                    "cause": repr(error.__cause__),
                },
            )
            if isinstance(error.__cause__, ConnectionRefusedError):
                return pb.CallReply(outcome=pb.NOT_HOLDER)
            return pb.CallReply(outcome=pb.UNCERTAIN)

    async def _ask_once(self, request: pb.CallRequest, left_s: float) -> pb.CallReply:
        timeout_s = min(left_s, self._settings.hop_s)
        holder = self._holder()
        if holder is not None and holder.active:
            try:
                async with asyncio.timeout(timeout_s):
                    return await holder.handle(request)
            except TimeoutError:
                return pb.CallReply(outcome=pb.UNCERTAIN)
        owner = self._lease.owner
        if owner is None or owner.released or self._lease.holding:
            return pb.CallReply(outcome=pb.NOT_HOLDER)
        if owner.address == self._lease.address:
            return pb.CallReply(outcome=pb.NOT_HOLDER)
        return await self._peers.call(owner.address, request, timeout_s)

    async def _leave_in_inbox(self, request: pb.CallRequest) -> Kept:
        """Keep a change in the store, for the next holder."""
        entry = InboxEntry(
            request.job_id,
            request.route,
            request.job.decode(),
            request.configuration_version,
            request.pool,
            request.account,
        )
        key = inbox_key(entry)
        condition = Condition(TABLE_INBOX, self._part, key, ABSENT)
        row = StoredRow(TABLE_INBOX, self._part, key, entry.encode())
        try:
            result = await self._store.transact([condition], [row])
        except (StoreUnavailableError, OutcomeUnknownError) as error:
            log.warning(
                "inbox-failed", extra={"job": request.job_id, "error": str(error)}
            )
            sure = isinstance(error, StoreUnavailableError)
            return Kept.NO if sure else Kept.UNKNOWN
        log.info(
            "left-in-inbox",
            extra={"job": request.job_id, "cancel": entry.is_cancel},
        )
        return Kept.YES if result.committed else Kept.UNKNOWN


def _is_final(reply: pb.CallReply, uncertain: bool) -> bool:
    """Whether a caller may be told this answer.

    :param uncertain: an earlier try may have been accepted, so that a refusal of
        this one does not say that the request is surely refused.
    """
    if reply.outcome == pb.REFUSED:
        return not uncertain
    if reply.outcome == pb.UNCERTAIN and reply.reason:
        # The holder says why it can't tell, and no later try changes that.
        return True
    return reply.outcome not in (pb.UNCERTAIN, pb.NOT_HOLDER, pb.BEHIND)


def _is_job(body: bytes) -> bool:
    try:
        decode_job(body)
    except BadInputError:
        return False
    return True


def _refused(reason: str) -> pb.CallReply:
    return pb.CallReply(outcome=pb.REFUSED, reason=reason, retry_after_s=COME_BACK_S)
