"""Answers to callers while holders are lost, replaced or slow."""

import asyncio
import typing as t

import attrs
import pytest

from streamthread.cell import cell_pb2 as pb
from streamthread.clocks import boot_s
from streamthread.errors import BadInputError
from streamthread.errors import OutcomeUnknownError
from streamthread.errors import PeerUnavailableError
from streamthread.errors import StoreUnavailableError
from streamthread.gateway import forwarding
from streamthread.gateway.forwarding import Forwarder
from streamthread.gateway.forwarding import ForwardSettings
from streamthread.gateway.reachability import Reachability
from streamthread.holder.inbox import InboxEntry
from streamthread.holder.inbox import RequestKind
from streamthread.platform.store import Page
from streamthread.platform.store import TransactResult

NEVER_S = 60.0
SOON_S = 5.0

SETTINGS = ForwardSettings(hop_s=0.05, inbox_after_s=0.0, give_up_s=0.15, retry_s=0.01)
BODY = b'{"steps":[{}]}'
SUBMIT = pb.CallRequest(kind=pb.SUBMIT, route="r", job_id="1" * 16, job=BODY)


class _Owner:
    address = "peer:1"
    released = False


class _Lease:
    owner = _Owner()
    holding = False
    address = "me:1"

    def __init__(self, healthy: bool) -> None:
        self._healthy = healthy

    def is_holder_alive(self) -> bool:
        return self._healthy

    def is_holder_overdue(self, within_s: float) -> bool:
        return self.overdue

    overdue = False


class _Peers:
    """Gives a test's answers in order, and repeats the last one."""

    def __init__(self, *replies: t.Any) -> None:
        self._replies = list(replies)

    async def call(self, address: str, request: t.Any, timeout_s: float) -> t.Any:
        reply = self._replies[0]
        if len(self._replies) > 1:
            self._replies.pop(0)
        if isinstance(reply, Exception):
            raise reply
        return reply


class _Store:
    def __init__(self, error: Exception | None = None) -> None:
        self._error = error
        self.written: list[t.Any] = []

    async def transact(self, conditions: t.Any, rows: t.Any) -> t.Any:
        if self._error is not None:
            raise self._error
        self.written.extend(rows)
        return TransactResult(committed=True, version=1)

    async def read(self, table: str, part: str, start: str, limit: int) -> Page:
        return Page((), version=0)


class _SilentStore(_Store):
    """Carries out writes without answering them."""

    async def transact(self, conditions: t.Any, rows: t.Any) -> t.Any:
        self.written.extend(rows)
        await asyncio.sleep(NEVER_S)

    async def read(self, table: str, part: str, start: str, limit: int) -> Page:
        rows = (attrs.evolve(row, version=1) for row in self.written)
        return Page(tuple(row for row in rows if row.key >= start), version=1)


def _unanswered() -> PeerUnavailableError:
    return PeerUnavailableError("no answer", remedy="-")


def _store_down() -> StoreUnavailableError:
    return StoreUnavailableError("refused", remedy="-")


async def _ask(
    peers: _Peers, store: _Store, healthy: bool = False, wait_s: float = 3.0
) -> pb.CallReply:
    args: t.Any = (_Lease(healthy), peers, store, "main", lambda: None, SETTINGS)
    return await Forwarder(*args).ask(SUBMIT, boot_s() + wait_s)


class TestSubmit:
    async def test_that_may_have_been_accepted_is_never_reported_as_refused(
        self,
    ) -> None:
        refused = pb.CallReply(outcome=pb.REFUSED)
        reply = await _ask(_Peers(_unanswered(), refused), _Store(_store_down()))
        assert reply.outcome == pb.UNCERTAIN

    async def test_that_no_holder_can_have_accepted_is_refused_at_once(self) -> None:
        began_at_s = boot_s()
        not_holder = pb.CallReply(outcome=pb.NOT_HOLDER)
        reply = await _ask(_Peers(not_holder), _Store(_store_down()))
        assert reply.outcome == pb.REFUSED
        assert reply.retry_after_s > 0
        assert boot_s() - began_at_s < SETTINGS.give_up_s

    async def test_is_written_to_the_inbox_if_no_holder_answers(self) -> None:
        store = _Store()
        reply = await _ask(_Peers(_unanswered()), store)
        assert reply.outcome == pb.OK
        assert len(store.written) == 1

    async def test_that_the_inbox_never_takes_is_refused_for_now(self) -> None:
        """Guards against an exception instead of an answer; a holder may take it."""
        not_holder = pb.CallReply(outcome=pb.NOT_HOLDER)
        store = _Store(BadInputError("400", remedy="-"))
        reply = await _ask(_Peers(not_holder), store)
        assert reply.outcome == pb.REFUSED and reply.retry_after_s > 0

    async def test_that_does_not_fit_into_the_inbox_is_not_left_there(self) -> None:
        store = _Store()
        settings = attrs.evolve(SETTINGS, max_row_bytes=20)
        peers = _Peers(pb.CallReply(outcome=pb.NOT_HOLDER))
        args: t.Any = (_Lease(False), peers, store, "main", lambda: None, settings)
        reply = await Forwarder(*args).ask(SUBMIT, boot_s() + 3.0)
        assert reply.outcome == pb.REFUSED and reply.retry_after_s > 0
        assert store.written == []

    async def test_whose_inbox_row_may_be_persisted_is_uncertain(self) -> None:
        not_holder = pb.CallReply(outcome=pb.NOT_HOLDER)
        unknown = OutcomeUnknownError("no answer", remedy="-")
        reply = await _ask(_Peers(not_holder), _Store(unknown))
        assert reply.outcome == pb.UNCERTAIN

    # Guards against callers that wait for the time limit of a silent connection.
    async def test_is_acknowledged_if_its_unanswered_inbox_row_is_read_back(
        self,
    ) -> None:
        not_holder = pb.CallReply(outcome=pb.NOT_HOLDER)
        store = _SilentStore()
        async with asyncio.timeout(SOON_S):
            reply = await _ask(_Peers(not_holder), store, wait_s=NEVER_S)
        assert reply.outcome == pb.OK
        assert len(store.written) == 1

    async def test_gets_its_final_answer_long_before_the_callers_deadline(self) -> None:
        began_at_s = boot_s()
        reply = await _ask(_Peers(_unanswered()), _Store(_store_down()))
        assert reply.outcome == pb.UNCERTAIN
        assert boot_s() - began_at_s < 1.0

    async def test_is_not_written_to_the_inbox_while_the_holder_is_healthy(
        self,
    ) -> None:
        store = _Store()
        done = pb.CallReply(outcome=pb.OK)
        reply = await _ask(
            _Peers(_unanswered(), _unanswered(), done), store, healthy=True
        )
        assert reply.outcome == pb.OK
        assert not store.written

    async def test_waits_for_a_slow_but_healthy_holder(self) -> None:
        began_at_s = boot_s()
        wait_s = 2 * SETTINGS.give_up_s
        reply = await _ask(_Peers(_unanswered()), _Store(), healthy=True, wait_s=wait_s)
        assert reply.outcome == pb.UNCERTAIN
        assert boot_s() - began_at_s >= wait_s

    async def test_is_refused_while_the_holder_has_an_older_configuration(
        self,
    ) -> None:
        began_at_s = boot_s()
        store = _Store()
        behind = pb.CallReply(outcome=pb.BEHIND)
        reply = await _ask(_Peers(behind), store, healthy=True)
        assert reply.outcome == pb.REFUSED
        assert "older configuration" in reply.reason
        assert boot_s() - began_at_s >= SETTINGS.give_up_s
        assert not store.written

    async def test_waits_for_the_holders_configuration(self) -> None:
        behind = pb.CallReply(outcome=pb.BEHIND)
        done = pb.CallReply(outcome=pb.OK)
        reply = await _ask(_Peers(behind, behind, done), _Store(), healthy=True)
        assert reply.outcome == pb.OK


class TestKindOfInboxRow:
    # Guards against a cancel whose body makes the next holder take it for a job.
    @pytest.mark.parametrize("body", [b"", b"{}", BODY, b"\xff\xfe", b"x" * 100_000])
    async def test_of_a_cancel_is_independent_of_its_body(self, body: bytes) -> None:
        store = _Store()
        cancel = pb.CallRequest(kind=pb.CANCEL, route="r", job_id="1" * 16, job=body)
        peers = _Peers(pb.CallReply(outcome=pb.NOT_HOLDER))
        args: t.Any = (_Lease(False), peers, store, "main", lambda: None, SETTINGS)
        reply = await Forwarder(*args).ask(cancel, boot_s() + 3.0)
        assert reply.outcome == pb.OK
        entry = InboxEntry.decode(store.written[0].value)
        assert entry.kind is RequestKind.CANCEL and entry.body == ""


class _HangingOnce:
    """Does not answer a call; the heartbeats are overdue from then on."""

    def __init__(self, lease: _Lease) -> None:
        self._lease = lease
        self.calls = 0

    async def call(self, address: str, request: t.Any, timeout_s: float) -> t.Any:
        self.calls += 1
        self._lease.overdue = True
        await asyncio.sleep(NEVER_S)


class _States:
    """Finds a state in the store, or nothing."""

    def __init__(
        self, reply: pb.CallReply | None, busy: bool = False, failures: int = 0
    ) -> None:
        self.reply = reply
        self.busy = busy
        self.failures = failures
        self.reads = 0

    async def find(self, request: pb.CallRequest) -> pb.CallReply | None:
        self.reads += 1
        if self.reads <= self.failures:
            raise StoreUnavailableError("not read in time", remedy="-")
        return self.reply


def _forwarder_with_overdue_holder(
    store: _Store, states: _States, healthy: bool = True, overdue: bool = False
) -> tuple[Forwarder, _HangingOnce]:
    lease = _Lease(healthy)
    lease.overdue = overdue
    peers = _HangingOnce(lease)
    settings = attrs.evolve(
        SETTINGS, hop_s=NEVER_S, inbox_after_s=NEVER_S, overdue_s=0.4
    )
    args: t.Any = (lease, peers, store, "main", lambda: None, settings, None, states)
    return Forwarder(*args), peers


STATE = pb.CallRequest(kind=pb.STATE, route="r", job_id="1" * 16)


class TestOverdueHeartbeats:
    # Guards against callers that wait for a holder whose hall is lost.
    async def test_end_a_forward_and_the_change_goes_to_the_inbox(self) -> None:
        store = _Store()
        forwarder, peers = _forwarder_with_overdue_holder(store, _States(None))
        async with asyncio.timeout(SOON_S):
            reply = await forwarder.ask(SUBMIT, boot_s() + NEVER_S)
        assert reply.outcome == pb.OK and len(store.written) == 1
        assert (peers.calls, forwarder.given_up) == (1, 1)

    async def test_before_a_request_cause_no_call(self) -> None:
        store = _Store()
        forwarder, peers = _forwarder_with_overdue_holder(
            store, _States(None), overdue=True
        )
        reply = await forwarder.ask(SUBMIT, boot_s() + NEVER_S)
        assert reply.outcome == pb.OK and len(store.written) == 1
        assert peers.calls == 0

    # Guards against a refusal of a job that the holder may have accepted.
    async def test_leave_a_change_uncertain_that_the_store_refuses(self) -> None:
        forwarder, _ = _forwarder_with_overdue_holder(
            _Store(_store_down()), _States(None), healthy=False
        )
        async with asyncio.timeout(SOON_S):
            reply = await forwarder.ask(SUBMIT, boot_s() + NEVER_S)
        assert reply.outcome == pb.UNCERTAIN

    async def test_refuse_nothing_while_the_holder_may_return(self) -> None:
        forwarder, peers = _forwarder_with_overdue_holder(
            _Store(_store_down()), _States(None), overdue=True
        )
        asking = asyncio.ensure_future(forwarder.ask(SUBMIT, boot_s() + NEVER_S))
        await asyncio.sleep(5 * SETTINGS.retry_s)
        assert not asking.done()
        t.cast(t.Any, forwarder._lease)._healthy = False
        async with asyncio.timeout(SOON_S):
            assert (await asking).outcome == pb.REFUSED
        assert peers.calls == 0

    async def test_have_a_state_read_from_the_store(self) -> None:
        found = pb.CallReply(outcome=pb.OK, state="completed")
        forwarder, _ = _forwarder_with_overdue_holder(_Store(), _States(found))
        async with asyncio.timeout(SOON_S):
            assert await forwarder.ask(STATE, boot_s() + NEVER_S) == found

    # Guards against reads that burden the store from which the next holder replays.
    async def test_have_an_unknown_state_read_once(self) -> None:
        states = _States(None)
        forwarder, _ = _forwarder_with_overdue_holder(_Store(), states, healthy=False)
        async with asyncio.timeout(SOON_S):
            reply = await forwarder.ask(STATE, boot_s() + NEVER_S)
        assert reply.outcome == pb.UNCERTAIN and states.reads == 1

    # Guards against callers that get a 504 since one read was late beside a stall.
    async def test_have_a_state_read_again_if_it_was_not_read(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(forwarding, "READ_INTERVAL_S", 0.02)
        found = pb.CallReply(outcome=pb.OK, state="completed")
        states = _States(found, failures=2)
        forwarder, _ = _forwarder_with_overdue_holder(_Store(), states)
        async with asyncio.timeout(SOON_S):
            assert await forwarder.ask(STATE, boot_s() + NEVER_S) == found
        assert states.reads == 3

    # Guards against a refusing store that gets reads without a pause.
    async def test_have_few_reads_while_the_store_refuses_them(self) -> None:
        states = _States(None, failures=1000)
        forwarder, _ = _forwarder_with_overdue_holder(_Store(), states, healthy=False)
        async with asyncio.timeout(SOON_S):
            await forwarder.ask(STATE, boot_s() + NEVER_S)
        assert 1 <= states.reads <= 2

    async def test_have_no_state_read_while_many_are(self) -> None:
        states = _States(None, busy=True)
        forwarder, _ = _forwarder_with_overdue_holder(_Store(), states, healthy=False)
        async with asyncio.timeout(SOON_S):
            await forwarder.ask(STATE, boot_s() + NEVER_S)
        assert states.reads == 0


class _Cut(Reachability):
    """Is cut off once a test says so."""

    def __init__(self, cut_off: bool = False) -> None:
        self._event = asyncio.Event()
        if cut_off:
            self.leave()

    def leave(self) -> None:
        self._event.set()

    @property
    def cut_off(self) -> bool:
        return self._event.is_set()

    async def until_cut_off(self) -> None:
        await self._event.wait()


class _HangingPeers:
    """Never answers a call; counts them."""

    def __init__(self, reachability: _Cut) -> None:
        self._reachability = reachability
        self.calls = 0

    async def call(self, address: str, request: t.Any, timeout_s: float) -> t.Any:
        self.calls += 1
        self._reachability.leave()
        await asyncio.sleep(NEVER_S)


def _forwarder(peers: t.Any, store: t.Any, reachability: _Cut) -> Forwarder:
    args: t.Any = (_Lease(False), peers, store, "main", lambda: None, SETTINGS)
    return Forwarder(*args, reachability)


class TestCutOff:
    """Guards against callers that wait at a daemon that reaches nothing."""

    async def test_changes_are_refused_and_nothing_is_sent(self) -> None:
        reachability = _Cut(cut_off=True)
        peers = _HangingPeers(reachability)
        store = _Store()
        forwarder = _forwarder(peers, store, reachability)
        for kind in (pb.SUBMIT, pb.CANCEL):
            request = pb.CallRequest(kind=kind, route="r", job_id="1" * 16, job=BODY)
            reply = await forwarder.ask(request, boot_s() + NEVER_S)
            assert reply.outcome == pb.REFUSED and reply.retry_after_s > 0
        assert not peers.calls and not store.written

    async def test_states_are_uncertain(self) -> None:
        reachability = _Cut(cut_off=True)
        forwarder = _forwarder(_HangingPeers(reachability), _Store(), reachability)
        for kind in (pb.STATE, pb.PENDING):
            request = pb.CallRequest(kind=kind, route="r", job_id="1" * 16)
            reply = await forwarder.ask(request, boot_s() + NEVER_S)
            assert reply.outcome == pb.UNCERTAIN

    async def test_a_call_under_way_is_uncertain_at_once(self) -> None:
        reachability = _Cut()
        forwarder = _forwarder(_HangingPeers(reachability), _Store(), reachability)
        async with asyncio.timeout(SOON_S):
            reply = await forwarder.ask(SUBMIT, boot_s() + NEVER_S)
        assert reply.outcome == pb.UNCERTAIN

    async def test_an_inbox_write_under_way_is_uncertain_at_once(self) -> None:
        reachability = _Cut()

        class Store(_Store):
            async def transact(self, conditions: t.Any, rows: t.Any) -> t.Any:
                reachability.leave()
                await asyncio.sleep(NEVER_S)

        not_holder = pb.CallReply(outcome=pb.NOT_HOLDER)
        forwarder = _forwarder(_Peers(not_holder), Store(), reachability)
        async with asyncio.timeout(SOON_S):
            reply = await forwarder.ask(SUBMIT, boot_s() + NEVER_S)
        assert reply.outcome == pb.UNCERTAIN

    # Guards against a write that is still sent once its caller has been answered.
    async def test_an_inbox_write_is_taken_back_before_the_caller_is_answered(
        self,
    ) -> None:
        reachability = _Cut()
        taken_back = False

        class Store(_Store):
            async def transact(self, conditions: t.Any, rows: t.Any) -> t.Any:
                nonlocal taken_back
                reachability.leave()
                try:
                    await asyncio.sleep(NEVER_S)
                finally:
                    taken_back = True

        not_holder = pb.CallReply(outcome=pb.NOT_HOLDER)
        forwarder = _forwarder(_Peers(not_holder), Store(), reachability)
        reply = await forwarder.ask(SUBMIT, boot_s() + NEVER_S)
        assert reply.outcome == pb.UNCERTAIN
        assert taken_back

    # Guards against an answer that waits for a call that can't be taken back.
    async def test_the_caller_is_answered_although_a_call_does_not_end(
        self,
    ) -> None:
        reachability = _Cut()
        end = asyncio.Event()

        class Store(_Store):
            async def transact(self, conditions: t.Any, rows: t.Any) -> t.Any:
                reachability.leave()
                try:
                    await asyncio.sleep(NEVER_S)
                finally:
                    await end.wait()

        not_holder = pb.CallReply(outcome=pb.NOT_HOLDER)
        forwarder = _forwarder(_Peers(not_holder), Store(), reachability)
        async with asyncio.timeout(SOON_S):
            reply = await forwarder.ask(SUBMIT, boot_s() + NEVER_S)
        end.set()
        assert reply.outcome == pb.UNCERTAIN

    # Guards against a 504 for a request of which nothing has left the daemon.
    async def test_a_request_without_a_holder_is_refused_at_once(self) -> None:
        reachability = _Cut()
        not_holder = pb.CallReply(outcome=pb.NOT_HOLDER)
        forwarder = _forwarder(_Peers(not_holder), _Store(), reachability)
        forwarder._settings = attrs.evolve(SETTINGS, inbox_after_s=NEVER_S)
        asking = asyncio.ensure_future(forwarder.ask(SUBMIT, boot_s() + NEVER_S))
        await asyncio.sleep(SETTINGS.retry_s)
        reachability.leave()
        async with asyncio.timeout(SOON_S):
            assert (await asking).outcome == pb.REFUSED

    # Guards against a refusal of a job that an earlier try may have handed in.
    async def test_a_change_without_outcome_is_not_refused_when_it_is_retried(
        self,
    ) -> None:
        reachability = _Cut()
        forwarder = _forwarder(_HangingPeers(reachability), _Store(), reachability)
        until_s = boot_s() + NEVER_S
        for _ in range(2):
            reply = await forwarder.ask(SUBMIT, until_s)
            assert reply.outcome == pb.UNCERTAIN
        other = pb.CallRequest(kind=pb.SUBMIT, route="r", job_id="2" * 16, job=BODY)
        assert (await forwarder.ask(other, until_s)).outcome == pb.REFUSED

    # Guards against a refusal by a daemon that is not cut off any more.
    async def test_a_change_without_outcome_is_not_refused_after_the_return(
        self,
    ) -> None:
        reachability = _Cut()
        forwarder = _forwarder(_HangingPeers(reachability), _Store(), reachability)
        until_s = boot_s() + NEVER_S
        assert (await forwarder.ask(SUBMIT, until_s)).outcome == pb.UNCERTAIN
        not_holder = pb.CallReply(outcome=pb.NOT_HOLDER)
        args: t.Any = (_Peers(not_holder), _Store(_store_down()), _Cut())
        forwarder._peers, forwarder._store, forwarder._reachability = args
        assert (await forwarder.ask(SUBMIT, until_s)).outcome == pb.UNCERTAIN
        other = pb.CallRequest(kind=pb.SUBMIT, route="r", job_id="2" * 16, job=BODY)
        assert (await forwarder.ask(other, until_s)).outcome == pb.REFUSED

    def test_changes_without_outcome_are_forgotten(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        unresolved = forwarding._Unresolved()
        monkeypatch.setattr(forwarding, "MAX_UNRESOLVED", 3)
        requests = [pb.CallRequest(kind=pb.SUBMIT, job_id=f"{n}") for n in range(5)]
        for request in requests:
            unresolved.add(request)
        assert [unresolved.has(r) for r in requests] == [False] * 2 + [True] * 3
        monkeypatch.setattr(forwarding, "UNRESOLVED_S", -1.0)
        assert not unresolved.has(requests[-1])
