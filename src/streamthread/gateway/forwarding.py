"""Forwards a caller's request to the holder, or writes it to the store's inbox."""

import asyncio
import enum
import time
import typing as t

import attrs
import logbook

from ..cell import cell_pb2 as pb
from ..cell import CellLease
from ..cell import PeerLinks
from ..cell import TABLE_INBOX
from ..cell import version_written
from ..clocks import boot_s
from ..errors import BadInputError
from ..errors import NotHolderError
from ..errors import OutcomeUnknownError
from ..errors import PeerUnavailableError
from ..errors import StoreUnavailableError
from ..holder import Holder
from ..holder.inbox import inbox_key
from ..holder.inbox import InboxEntry
from ..holder.inbox import RequestKind
from ..platform.callers import decode_job
from ..platform.store import ABSENT
from ..platform.store import Condition
from ..platform.store import DEFAULT_ROW_BYTES
from ..platform.store import RowStore
from ..platform.store import StoredRow
from ..response_times import ResponseTimes
from ..scheduler import JobTerms
from .reachability import Reachability
from .stored_states import StoredStates

__all__ = ["ForwardSettings", "Forwarder", "Persisted"]

log = logbook.Logger("streamthread.forwarding")


MIN_HOP_S = 0.1
"""Every request gets one attempt of this length, even past its caller's deadline."""

RETRY_AFTER_S = 1.0
"""A refused caller is asked to retry after this time."""


TAKE_BACK_S = 0.1
"""How long a caller's answer waits for the end of a call that was given up. Resetting
its connection takes a few steps of the event loop."""

UNRESOLVED_S = 10.0
"""How long a request without an outcome is remembered. Callers retry within 3 s."""

MAX_UNRESOLVED = 10_000
"""Maximum number of these requests; 700 a second for the time that callers retry, and
three times as many."""


READ_INTERVAL_S = 0.3
"""A failed read of a job's state is repeated no sooner. A store that refuses all reads
gets five for a request then."""

OVERDUE_CHECK_S = 0.02
"""Interval between checks of the heartbeats while a forwarded call has no answer."""


_KINDS = {pb.SUBMIT: RequestKind.SUBMIT, pb.CANCEL: RequestKind.CANCEL}
"""The changes that can be left in the inbox."""


class Persisted(enum.Enum):
    """Whether a change is in the inbox.

    UNKNOWN means that it may be there already or arrive later.
    """

    YES = "yes"
    NO = "no"
    UNKNOWN = "unknown"


@attrs.frozen
class ForwardSettings:
    """How a caller's request is forwarded to the holder.

    :param hop_s: timeout of one attempt to call the holder.
    :param inbox_after_s: after this time, a change that no holder has accepted goes to
        the inbox, from which the next holder reads it. This does not happen while the
        holder's heartbeats arrive: in a slow store, writes to the inbox would queue
        ahead of the holder's commits.
    :param give_up_s: after this time without heartbeats of a holder, or with a holder
        that has only an older configuration, the caller gets its final answer. It may
        ask again, at any daemon.
    :param retry_s: pause between attempts.
    :param overdue_s: after this time without a heartbeat, calls to the holder are given
        up, changes go to the inbox and states are read from the store; None: calls wait
        for their answers. A heartbeat comes every 0.25 s, up to 50 ms late.
    :param max_row_bytes: a change that takes a larger row is not left in the inbox.
    """

    hop_s: float = 1.0
    inbox_after_s: float = 0.4
    give_up_s: float = 1.6
    retry_s: float = 0.06
    overdue_s: float | None = None
    max_row_bytes: int = DEFAULT_ROW_BYTES


@attrs.define
class _Progress:
    """How far a request has come.

    :param uncertain: an earlier attempt may have been carried out.
    :param in_attempt: an attempt has begun and has no answer yet.
    :param state_read: the job's state was looked up in the store.
    :param read_not_before_s: boot clock time before which it is not looked up again.
    """

    uncertain: bool = False
    in_attempt: bool = False
    state_read: bool = False
    read_not_before_s: float = 0.0

    @property
    def may_have_arrived(self) -> bool:
        """Whether anything of the request may have left this daemon."""
        return self.uncertain or self.in_attempt


class _Unresolved:
    """The changes that recently ended without an outcome, by kind, route and job."""

    def __init__(self) -> None:
        self._at_s: dict[tuple[int, str, str], float] = {}

    def add(self, request: pb.CallRequest) -> None:
        """Remember a request; the oldest ones are forgotten."""
        key = _key_of(request)
        self._at_s.pop(key, None)
        self._at_s[key] = boot_s()
        while len(self._at_s) > MAX_UNRESOLVED or self._is_oldest_over():
            del self._at_s[next(iter(self._at_s))]

    def _is_oldest_over(self) -> bool:
        return boot_s() - next(iter(self._at_s.values())) > UNRESOLVED_S

    def has(self, request: pb.CallRequest) -> bool:
        """Whether the same change may have been accepted a short time ago."""
        at_s = self._at_s.get(_key_of(request))
        return at_s is not None and boot_s() - at_s <= UNRESOLVED_S


def _key_of(request: pb.CallRequest) -> tuple[int, str, str]:
    return int(request.kind), request.route, request.job_id


class Forwarder:
    """Calls the holder, in this daemon or on a peer; falls back to the inbox.

    :param reachability: tells whether this daemon is cut off, in which case requests
        are answered at once; None if it never counts as cut off.
    :param states: reads states from the store while the holder's heartbeats are
        overdue; None if they are not read.
    :param given_up: number of calls that were given up for overdue heartbeats.
    """

    def __init__(
        self,
        lease: CellLease,
        peers: PeerLinks,
        store: RowStore,
        part: str,
        holder: t.Callable[[], Holder | None],
        settings: ForwardSettings,
        reachability: Reachability | None = None,
        states: StoredStates | None = None,
    ) -> None:
        self._states = states
        self.given_up = 0
        self._reachability = reachability
        self._unresolved = _Unresolved()
        self._lease = lease
        self._peers = peers
        self._store = store
        self._part = part
        self._holder = holder
        self._settings = settings
        self._response_times = ResponseTimes()

    async def ask(self, request: pb.CallRequest, until_s: float) -> pb.CallReply:
        """Return the holder's answer, or UNCERTAIN if none came in time.

        :param until_s: when the caller stops waiting, on the boot clock.
        """
        if self._reachability is None:
            return await self._ask(request, until_s, _Progress())
        reply = await self._ask_unless_cut_off(request, until_s, self._reachability)
        if reply.outcome == pb.UNCERTAIN and request.kind in (pb.SUBMIT, pb.CANCEL):
            self._unresolved.add(request)
        return reply

    async def _ask_unless_cut_off(
        self, request: pb.CallRequest, until_s: float, reachability: Reachability
    ) -> pb.CallReply:
        progress = _Progress()
        if reachability.cut_off:
            # An earlier try of the same change may have been accepted.
            progress.uncertain = self._unresolved.has(request)
            return _cut_off_reply(request, progress)
        answer = asyncio.ensure_future(self._ask(request, until_s, progress))
        leaving = asyncio.ensure_future(reachability.until_cut_off())
        try:
            await asyncio.wait((answer, leaving), return_when=asyncio.FIRST_COMPLETED)
            if answer.done():
                return answer.result()
            return _cut_off_reply(request, progress)
        finally:
            leaving.cancel()
            if not answer.done():
                # What was not delivered is taken back before the caller is answered.
                answer.cancel()
                await asyncio.wait((answer,), timeout=TAKE_BACK_S)

    async def _ask(
        self, request: pb.CallRequest, until_s: float, progress: _Progress
    ) -> pb.CallReply:
        began_at_s = boot_s()
        inbox_at_s = began_at_s + self._settings.inbox_after_s
        changes = request.kind in (pb.SUBMIT, pb.CANCEL)
        while True:
            left_s = max(until_s - boot_s(), MIN_HOP_S)
            if self._is_holder_overdue():
                reply = pb.CallReply(outcome=pb.NOT_HOLDER)
            else:
                progress.in_attempt = True
                reply = await self._ask_holder(request, left_s)
                progress.in_attempt = False
            if _is_final(reply, progress.uncertain):
                return reply
            progress.uncertain |= reply.outcome == pb.UNCERTAIN
            stored = await self._find_stored(request, progress)
            if stored is not None:
                return stored
            if changes and self._may_use_inbox(inbox_at_s):
                if request.kind == pb.SUBMIT and not _is_job(request.job):
                    reason = "the body is not a valid job"
                    return pb.CallReply(outcome=pb.INVALID, reason=reason)
                progress.in_attempt = True
                persisted = await self._write_to_inbox(request)
                progress.in_attempt = False
                if persisted is Persisted.YES:
                    return pb.CallReply(outcome=pb.OK, state="pending")
                if persisted is Persisted.NO and not self._may_be_made(
                    request, progress
                ):
                    if not self._has_healthy_holder():
                        return _refused(
                            "no holder answers, nor can the next one be told"
                        )
                else:
                    progress.uncertain = True
            if self._should_give_up(began_at_s, until_s, reply.outcome):
                break
            await asyncio.sleep(self._settings.retry_s)
        if not changes or self._may_be_made(request, progress):
            return pb.CallReply(outcome=pb.UNCERTAIN, reason="no holder answered")
        if reply.outcome == pb.BEHIND:
            return _refused("the holder knows only an older configuration")
        return _refused("no holder is known")

    def _is_holder_overdue(self) -> bool:
        """Whether the heartbeats of the holder, a peer, have ceased."""
        within_s = self._settings.overdue_s
        return within_s is not None and self._lease.is_holder_overdue(within_s)

    async def _find_stored(
        self, request: pb.CallRequest, progress: _Progress
    ) -> pb.CallReply | None:
        """Return a state from the store, which is read once for each request.

        A read that failed, as it may beside a stall of the event loop, is repeated.
        """
        states = self._states
        if request.kind != pb.STATE or states is None or progress.state_read:
            return None
        if states.busy or not self._is_holder_overdue():
            return None
        if boot_s() < progress.read_not_before_s:
            return None
        progress.read_not_before_s = boot_s() + READ_INTERVAL_S
        try:
            reply = await states.find(request)
        except StoreUnavailableError:
            return None
        progress.state_read = True
        return reply

    def _may_use_inbox(self, inbox_at_s: float) -> bool:
        """Whether a change that got no answer may be written to the inbox now."""
        if self._is_holder_overdue():
            return True
        return boot_s() >= inbox_at_s and not self._has_healthy_holder()

    def _may_be_made(self, request: pb.CallRequest, progress: _Progress) -> bool:
        """Whether this try or a recent one without an outcome may have been accepted.

        This daemon must not refuse such a change on its own.
        """
        return progress.uncertain or self._unresolved.has(request)

    def _should_give_up(
        self, began_at_s: float, until_s: float, outcome: pb.CallOutcome
    ) -> bool:
        """Whether to answer the caller without an answer of the holder.

        A healthy holder still works on the request, however slow the store is, unless
        it reports that it has only an older configuration.
        """
        now_s = boot_s()
        if now_s >= until_s:
            return True
        elapsed_s = now_s - began_at_s
        in_progress = outcome != pb.BEHIND and self._has_healthy_holder()
        return elapsed_s >= self._settings.give_up_s and not in_progress

    def _has_healthy_holder(self) -> bool:
        """Whether the holder is here, or its last heartbeat is recent.

        A heartbeat that says that others may acquire the cell doesn't count.
        """
        holder = self._holder()
        if holder is not None and holder.active:
            return True
        return self._lease.is_holder_alive()

    async def _ask_holder(self, request: pb.CallRequest, left_s: float) -> pb.CallReply:
        """Ask the holder once; UNCERTAIN if it may have carried the request out."""
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
        return await self._call_peer(owner.address, request, timeout_s)

    async def _call_peer(
        self, address: str, request: pb.CallRequest, timeout_s: float
    ) -> pb.CallReply:
        """Call the holder; give up as soon as its heartbeats are overdue."""
        if self._settings.overdue_s is None:
            return await self._peers.call(address, request, timeout_s)
        answer = asyncio.ensure_future(self._peers.call(address, request, timeout_s))
        try:
            while True:
                await asyncio.wait((answer,), timeout=OVERDUE_CHECK_S)
                if answer.done():
                    return answer.result()
                if self._is_holder_overdue():
                    self.given_up += 1
                    log.info("forward-given-up", extra={"job": request.job_id})
                    return pb.CallReply(outcome=pb.UNCERTAIN)
        finally:
            answer.cancel()

    async def _write_to_inbox(self, request: pb.CallRequest) -> Persisted:
        """Write a change to the store's inbox, for the next holder."""
        entry = InboxEntry(
            _KINDS[request.kind],
            request.job_id,
            request.route,
            request.job.decode() if request.kind == pb.SUBMIT else "",
            request.configuration_version,
            request.pool,
            request.account,
            time.time(),
            self._terms_of(request),
        )
        value = entry.encode()
        if len(value) > self._settings.max_row_bytes:
            log.info(
                "too-large-for-inbox",
                extra={"job": request.job_id, "size_bytes": len(value)},
            )
            return Persisted.NO
        row = StoredRow(TABLE_INBOX, self._part, inbox_key(entry), value)
        condition = Condition(TABLE_INBOX, self._part, row.key, ABSENT)
        write = self._store.transact([condition], [row])
        try:
            version = await version_written(
                write, lambda: self._find_written(row), self._response_times
            )
        except (StoreUnavailableError, BadInputError) as error:
            log.warning(
                "inbox-failed", extra={"job": request.job_id, "error": str(error)}
            )
            return Persisted.NO
        if not version:
            log.warning("inbox-unanswered", extra={"job": request.job_id})
            return Persisted.UNKNOWN
        log.info(
            "left-in-inbox",
            extra={"job": request.job_id, "kind": entry.kind.value},
        )
        return Persisted.YES

    @staticmethod
    def _terms_of(request: pb.CallRequest) -> JobTerms | None:
        """Return the terms of a submitted job, None for other requests."""
        if not request.terms:
            return None
        return JobTerms.decode(request.terms, request.job_id)

    async def _find_written(self, row: StoredRow) -> int | None:
        """Return a row's version, 0 if it is not there, or None if this is unknown."""
        try:
            page = await self._store.read(row.table, row.part, start=row.key, limit=1)
        except (StoreUnavailableError, OutcomeUnknownError):
            return None
        return next((r.version for r in page.rows if r.key == row.key), 0)


def _is_final(reply: pb.CallReply, uncertain: bool) -> bool:
    """Whether a caller may get this answer.

    :param uncertain: an earlier attempt may have been accepted, so a refusal of this
        attempt does not prove that the request was refused.
    """
    if reply.outcome == pb.REFUSED:
        return not uncertain
    if reply.outcome == pb.UNCERTAIN and reply.reason:
        # The holder gives a reason for not knowing, and a retry would not change it.
        return True
    return reply.outcome not in (pb.UNCERTAIN, pb.NOT_HOLDER, pb.BEHIND)


def _is_job(body: bytes) -> bool:
    try:
        decode_job(body)
    except BadInputError:
        return False
    return True


def _refused(reason: str) -> pb.CallReply:
    return pb.CallReply(outcome=pb.REFUSED, reason=reason, retry_after_s=RETRY_AFTER_S)


def _cut_off_reply(request: pb.CallRequest, progress: _Progress) -> pb.CallReply:
    """Return the answer of a daemon that is cut off.

    A change of which nothing left this daemon is refused: it is certainly not made.
    """
    reason = "this daemon is cut off from the store and from other halls"
    if request.kind in (pb.SUBMIT, pb.CANCEL) and not progress.may_have_arrived:
        return _refused(reason)
    return pb.CallReply(outcome=pb.UNCERTAIN, reason=reason)
