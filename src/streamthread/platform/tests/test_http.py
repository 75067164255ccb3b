"""Calls with answers that are long or that stop before their end."""

import asyncio
import typing as t

import pytest

from streamthread.errors import OutcomeUnknownError
from streamthread.platform import http
from streamthread.platform.store import CONNECTIONS
from streamthread.platform.store import RowStore
from streamthread.standins.cell import StoreStandin

TABLE = "table"
LONG_VALUE = "a" * 200_000
RATE_BYTES_PER_S = 200_000.0
"""The long value takes one second, more than three times the timeout of the calls."""

ANSWER_S = 0.3


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


class TestSilentConnections:
    async def test_cost_only_one_call_in_total(
        self, store: StoreStandin, client: RowStore
    ) -> None:
        store.faults.delay_s = ANSWER_S / 2
        await asyncio.gather(*(client.read(TABLE, "") for _ in range(4)))
        store.faults.delay_s = 0.0
        assert store.port.silence_connections() == 4
        with pytest.raises(OutcomeUnknownError, match=r"TimeoutError .* 0 bytes"):
            await client.read(TABLE, "")
        (row,) = (await client.read(TABLE, "")).rows
        assert row.key == "key"

    async def test_are_named_in_the_error(
        self, store: StoreStandin, client: RowStore
    ) -> None:
        await client.read(TABLE, "")
        store.port.silence_connections()
        with pytest.raises(OutcomeUnknownError, match="on a reused connection"):
            await client.read(TABLE, "")

    async def test_that_are_all_in_use_are_named_in_the_error(
        self, store: StoreStandin, client: RowStore
    ) -> None:
        feeds = [
            asyncio.ensure_future(client.feed(TABLE, store.version, 10.0))
            for _ in range(CONNECTIONS)
        ]
        while store.waiting_feeds < CONNECTIONS:
            await asyncio.sleep(0.01)
        with pytest.raises(OutcomeUnknownError, match="without a free connection"):
            await client.read(TABLE, "")
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
