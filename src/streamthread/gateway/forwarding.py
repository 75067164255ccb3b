"""Brings a caller's request to the holder, or leaves it in the store."""

import asyncio
import time
import typing as t

import attrs
import logbook

from ..cell import cell_pb2 as pb
from ..cell import CellLease
from ..cell import PeerLinks
from ..cell import TABLE_INBOX
from ..errors import NotHolderError
from ..errors import OutcomeUnknownError
from ..errors import PeerUnavailableError
from ..errors import StoreUnavailableError
from ..holder import Holder
from ..holder.inbox import inbox_key
from ..holder.inbox import InboxEntry
from ..platform.store import ABSENT
from ..platform.store import Condition
from ..platform.store import RowStore
from ..platform.store import StoredRow

__all__ = ["ForwardSettings", "Forwarder"]

log = logbook.Logger("streamthread.forwarding")


@attrs.frozen
class ForwardSettings:
    """How a caller's request is brought to the holder.

    :param hop_s: one try at the holder takes at most this.
    :param inbox_after_s: a change that no holder took for longer goes into the
        inbox, from which the next holder takes it.
    :param retry_s: pause between tries.
    """

    hop_s: float = 1.2
    inbox_after_s: float = 0.7
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

        :param until_s: on the monotonic clock.
        """
        inbox_at_s = time.monotonic() + self._settings.inbox_after_s
        changes = request.kind in (pb.SUBMIT, pb.CANCEL)
        uncertain = False
        while (now_s := time.monotonic()) < until_s:
            if changes and now_s >= inbox_at_s and self._no_holder_here():
                if await self._leave_in_inbox(request):
                    return pb.CallReply(outcome=pb.OK, state="pending")
                uncertain = True
            try:
                reply = await self._ask_once(request, until_s - now_s)
            except (PeerUnavailableError, NotHolderError) as error:
                uncertain = True
                log.info(
                    "holder-unanswered",
                    extra={
                        "job": request.job_id,
                        "error": str(error),
                        "cause": repr(error.__cause__),
                    },
                )
            else:
                if reply.outcome == pb.UNCERTAIN:
                    uncertain = True
                elif reply.outcome != pb.NOT_HOLDER:
                    return reply
            await asyncio.sleep(self._settings.retry_s)
        if uncertain or not changes:
            return pb.CallReply(outcome=pb.UNCERTAIN, reason="no holder answered")
        return pb.CallReply(
            outcome=pb.REFUSED, reason="no holder is known", retry_after_s=1.0
        )

    def _no_holder_here(self) -> bool:
        holder = self._holder()
        return holder is None or not holder.active

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

    async def _leave_in_inbox(self, request: pb.CallRequest) -> bool:
        """Keep a change in the store; return whether it is surely kept."""
        entry = InboxEntry(request.job_id, request.route, request.job.decode())
        key = inbox_key(entry)
        condition = Condition(TABLE_INBOX, self._part, key, ABSENT)
        row = StoredRow(TABLE_INBOX, self._part, key, entry.encode())
        try:
            result = await self._store.transact([condition], [row])
        except (StoreUnavailableError, OutcomeUnknownError) as error:
            log.warning(
                "inbox-failed", extra={"job": request.job_id, "error": str(error)}
            )
            return False
        log.info(
            "left-in-inbox",
            extra={"job": request.job_id, "cancel": entry.is_cancel},
        )
        return result.committed
