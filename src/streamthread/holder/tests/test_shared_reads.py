"""Callers share reads of the inbox, which run one at a time."""

import asyncio

from .test_inbox import _begun
from .test_inbox import _reader
from .test_inbox import _row
from .test_inbox import _Store
from .test_inbox import JOB_ID

ROUNDS = 20


class TestSharedRead:
    async def test_continues_if_one_waiting_caller_is_cancelled(self) -> None:
        store = _Store()
        store.rows.append(_row("key", 1, "body"))
        reader, owner = _reader(store)
        before = asyncio.ensure_future(reader.catch_up())
        await _begun(store, 1)
        first = asyncio.ensure_future(reader.catch_up())
        second = asyncio.ensure_future(reader.catch_up())
        await asyncio.sleep(0)
        first.cancel()
        await asyncio.sleep(0)
        store.may_answer.set()
        await asyncio.gather(before, second)
        assert owner.jobs == {JOB_ID}
        assert store.reads == 2

    async def test_does_not_begin_during_another(self) -> None:
        store = _Store()
        reader, _ = _reader(store)
        first = asyncio.ensure_future(reader.catch_up())
        await _begun(store, 1)
        second = asyncio.ensure_future(reader.catch_up())
        for _ in range(ROUNDS):
            await asyncio.sleep(0)
        assert store.reads == 1
        store.may_answer.set()
        await asyncio.gather(first, second)
        assert store.reads == 2
