"""Tests reading a table page by page while some of its rows can't be decoded.

Guards against a table that is never read: the next page began after the last row that
could be decoded, so that a page without such a row was read again and again.
"""

import asyncio
import json
import typing as t

import pytest
from aiohttp import web

from streamthread.errors import OutcomeUnknownError
from streamthread.platform.documents import RUNNERS_TABLE
from streamthread.platform.store import RowStore
from streamthread.standins.cell.port import HttpPort

Row = dict[str, t.Any]


def _row(key: str, ver: object = 1) -> Row:
    return {"table": RUNNERS_TABLE, "part": "", "key": key, "value": "", "ver": ver}


class _Pages:
    """A store that answers two rows at once.

    :param starts: the key from which each page was requested.
    """

    def __init__(self, rows: list[Row]) -> None:
        self._rows = rows
        self.starts: list[str] = []

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        start = request.query.get("from", "")
        self.starts.append(start)
        left = [row for row in self._rows if (row["key"] or "~") >= start]
        page = {"rows": left[:2], "more": len(left) > 2, "ver": 9}
        return web.Response(text=json.dumps(page))


async def _read_all(pages: _Pages) -> list[str]:
    """Return the keys of all rows."""
    port = HttpPort(pages.serve)
    await port.open()
    store = RowStore(port.address, 5.0)
    try:
        async with asyncio.timeout(5):
            page = await store.read_all(RUNNERS_TABLE, "")
    finally:
        await store.close()
        await port.close()
    return [row.key for row in page.rows]


class TestPages:
    async def test_go_on_after_rows_that_cannot_be_decoded(self) -> None:
        rows = [_row(key, "bad" if key in "bcd" else 1) for key in "abcde"]
        assert await _read_all(_Pages(rows)) == ["a", "e"]

    async def test_may_begin_with_rows_that_cannot_be_decoded(self) -> None:
        rows = [_row(key, "bad" if key in "ab" else 1) for key in "abc"]
        assert await _read_all(_Pages(rows)) == ["c"]

    async def test_are_not_the_whole_table_if_the_next_one_is_unknown(self) -> None:
        nameless = _row("b") | {"key": None}
        pages = _Pages([_row("a"), nameless, _row("c")])
        with pytest.raises(OutcomeUnknownError):
            await _read_all(pages)
