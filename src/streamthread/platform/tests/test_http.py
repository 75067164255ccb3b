"""Calls with answers that are long or that stop before their end."""

import asyncio
import typing as t

import pytest
from aiohttp import web

from streamthread.errors import OutcomeUnknownError
from streamthread.platform import http
from streamthread.platform.store import CONNECTIONS
from streamthread.platform.store import RowStore
from streamthread.platform.store import StoredRow
from streamthread.standins.cell import StoreStandin
from streamthread.standins.cell.port import HttpPort

TABLE = "table"
OTHER_TABLE = "other"
LONG_VALUE = "a" * 200_000
RATE_BYTES_PER_S = 200_000.0
"""The long value takes one second, more than three times the timeout of the calls."""

ANSWER_S = 0.3
DELAY_S = 0.05
"""Delays answers without making them overdue."""

PATIENCE_S = 60.0
"""A time limit that no test waits for."""

SOON_S = 10.0

LONG_WAIT_S = 1.5
"""A feed's wait that is longer than the slack its answer has afterwards."""


@pytest.fixture
async def store() -> t.AsyncIterator[StoreStandin]:
    standin = StoreStandin()
    await standin.port.open()
    await standin.put(TABLE, "key", LONG_VALUE)
    yield standin
    await standin.port.close()


@pytest.fixture
async def client(store: StoreStandin) -> t.AsyncIterator[RowStore]:
    client = RowStore(store.port.address, ANSWER_S)
    yield client
    await client.close()


@pytest.fixture
async def patient_client(store: StoreStandin) -> t.AsyncIterator[RowStore]:
    client = RowStore(store.port.address, PATIENCE_S)
    yield client
    await client.close()


async def until(condition: t.Callable[[], bool]) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(SOON_S):
        while not condition():
            await asyncio.sleep(0.01)


async def _open_connections(store: StoreStandin, client: RowStore, count: int) -> None:
    """Leave this number of idle connections, however slow this machine is."""
    limit_s, client._timeout_s = client._timeout_s, PATIENCE_S
    store.faults.delay_s = DELAY_S
    # Writes are never repeated, so that each one leaves one connection.
    rows = [StoredRow(OTHER_TABLE, "", f"key-{n}", b"value") for n in range(count)]
    await asyncio.gather(*(client.transact([], [row]) for row in rows))
    store.faults.delay_s = 0.0
    client._timeout_s = limit_s


def _row(number: int) -> StoredRow:
    return StoredRow(TABLE, "", f"key-{number}", b"value")


class TestLongAnswers:
    async def test_are_read_as_long_as_data_arrives(
        self, store: StoreStandin, client: RowStore
    ) -> None:
        store.faults.answer_bytes_per_s = RATE_BYTES_PER_S
        (row,) = (await client.read(TABLE, "")).rows
        assert row.value is not None
        assert len(row.value) == len(LONG_VALUE) * 3 // 4

    async def test_time_out_when_no_more_data_arrives(
        self,
        store: StoreStandin,
        client: RowStore,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        monkeypatch.setattr(http, "SILENCE_S", ANSWER_S)
        store.faults.stall_after_bytes = len(LONG_VALUE) // 2
        with pytest.raises(
            OutcomeUnknownError, match=r"TimeoutError .* [1-9]\d+ bytes"
        ):
            await client.read(TABLE, "")

    async def test_must_begin_in_time(
        self, store: StoreStandin, client: RowStore
    ) -> None:
        store.faults.silent = True
        with pytest.raises(OutcomeUnknownError, match=r"TimeoutError .* 0 bytes"):
            await client.read(TABLE, "")


class TestBusyService:
    # Guards against a refusal of the second attempt that hides the answer to the first.
    async def test_answers_the_first_attempt_though_it_refuses_the_second(self) -> None:
        calls: list[str] = []

        async def serve(request: web.BaseRequest) -> web.StreamResponse:
            calls.append(request.path)
            if len(calls) > 1:
                return web.Response(status=503)
            await until(lambda: len(calls) > 1)
            await asyncio.sleep(DELAY_S)
            return web.json_response({"ver": 1})

        port = HttpPort(serve)
        await port.open()
        client = RowStore(port.address, PATIENCE_S)
        try:
            assert (await client.read(TABLE, "")).version == 1
            assert len(calls) == 2
        finally:
            await client.close()
            await port.close()


class TestSilentConnections:
    # Guards against reads that wait for their time limit on a connection that has
    # stopped responding.
    async def test_do_not_delay_a_read_by_its_time_limit(
        self, store: StoreStandin, patient_client: RowStore
    ) -> None:
        await _open_connections(store, patient_client, 4)
        assert store.port.silence_connections() == 4
        async with asyncio.timeout(SOON_S):
            (row,) = (await patient_client.read(TABLE, "")).rows
        assert row.key == "key"

    # Guards against feeds that learn of the silence one by one, each at its own limit.
    async def test_are_noticed_by_a_feed_with_the_first_read(
        self, store: StoreStandin, patient_client: RowStore
    ) -> None:
        feed = asyncio.ensure_future(
            patient_client.feed(TABLE, store.version, PATIENCE_S)
        )
        await until(lambda: store.waiting_feeds == 1)
        await patient_client.read(TABLE, "")
        store.port.silence_connections()
        await patient_client.read(TABLE, "")
        async with asyncio.timeout(SOON_S):
            assert (await feed).rows == ()

    # Guards against a second attempt that waits for as long as the first one, and ends
    # with the time limit of both.
    async def test_are_noticed_by_a_feed_that_is_overdue(
        self, store: StoreStandin, client: RowStore
    ) -> None:
        await client.read(TABLE, "")
        store.port.silence_connections()
        page = await client.feed(TABLE, store.version, LONG_WAIT_S)
        assert page.rows == ()

    # Guards against calls that can't be repeated and hold all connections for their
    # time limit, so that later calls wait for a free one.
    async def test_are_not_held_by_writes_once_a_read_was_answered(
        self, store: StoreStandin, patient_client: RowStore
    ) -> None:
        await _open_connections(store, patient_client, CONNECTIONS)
        assert store.port.silence_connections() == CONNECTIONS
        writes = [
            asyncio.ensure_future(patient_client.transact([], [_row(n)]))
            for n in range(CONNECTIONS - 1)
        ]
        late = asyncio.ensure_future(patient_client.transact([], [_row(CONNECTIONS)]))
        async with asyncio.timeout(SOON_S):
            # The read takes the remaining connection.
            await patient_client.read(TABLE, "")
            for write in writes:
                with pytest.raises(OutcomeUnknownError, match="a reused connection"):
                    await write
            assert (await late).committed

    async def test_cost_only_one_write_in_total(
        self, store: StoreStandin, client: RowStore
    ) -> None:
        await _open_connections(store, client, 4)
        assert store.port.silence_connections() == 4
        with pytest.raises(OutcomeUnknownError, match=r"TimeoutError .* 0 bytes"):
            await client.transact([], [_row(1)])
        assert (await client.transact([], [_row(1)])).committed

    async def test_are_named_in_the_error(
        self, store: StoreStandin, client: RowStore
    ) -> None:
        await client.read(TABLE, "")
        store.port.silence_connections()
        with pytest.raises(OutcomeUnknownError, match="on a reused connection"):
            await client.transact([], [_row(1)])

    async def test_that_are_all_in_use_are_named_in_the_error(
        self, store: StoreStandin, client: RowStore
    ) -> None:
        feeds = [
            asyncio.ensure_future(client.feed(TABLE, store.version, 10.0))
            for _ in range(CONNECTIONS)
        ]
        await until(lambda: store.waiting_feeds == CONNECTIONS)
        with pytest.raises(OutcomeUnknownError, match="without a free connection"):
            await client.transact([], [_row(1)])
        for feed in feeds:
            feed.cancel()

    async def test_are_not_closed_while_in_use(
        self, store: StoreStandin, client: RowStore
    ) -> None:
        await client.read(TABLE, "")
        feed = asyncio.ensure_future(client.feed(TABLE, store.version, 10.0))
        while not store.waiting_feeds:
            await client.read(TABLE, "")
        store.faults.silent = True
        with pytest.raises(OutcomeUnknownError):
            await client.read(TABLE, "")
        await store.put(TABLE, "other", LONG_VALUE)
        (row,) = (await feed).rows
        assert row.key == "other"
