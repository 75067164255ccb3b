"""A stand-in for the row store: in memory, with the documented protocol."""

import asyncio
import base64
import json
import time
import typing as t

import attrs
from aiohttp import web

from .odd import response_with
from .port import HttpPort
from .port import PLAY_DEAD_S

__all__ = ["StoreFaults", "StoreStandin"]

Json = dict[str, t.Any]
Key = tuple[str, str, str]

MAX_NAME_BYTES = 200
"""Documented limit on the length of a table's, a part's or a key's name."""

MAX_TABLES = 100
"""Documented limit on the number of tables."""

MAX_ENTRIES = 100
"""Documented limit on the conditions, rows and removals of one transaction."""

MAX_BODY_BYTES = 1_000_000
"""Documented limit on a transaction and on a page of rows."""

MAX_PAGE_ROWS = 500
"""Documented limit on the rows of one page."""

PIECE_BYTES = 4096
"""Size of the pieces in which an answer is sent over a simulated slow link."""


@attrs.frozen
class Refusal:
    """A transaction that the store does not take, whoever repeats it.

    :param keys: the tables and keys of the rows that it would have written.
    """

    reason: str
    keys: tuple[tuple[str, str], ...]


@attrs.define
class StoreFaults:
    """The simulated faults; tests change the fields.

    :param refuse: HTTP status with which every call is refused; 0: none.
    :param silent: calls get no answer and have no effect.
    :param lose_answers: number of next writes that take effect but get no answer.
    :param late_s: delay until these writes take effect.
    :param delay_s: additional delay of every answer.
    :param forget_before: the feed has lost the history before this version.
    :param answer_bytes_per_s: rate of each answer, as over a slow link; 0: unlimited.
    :param stall_after_bytes: answers stop after this number of bytes while their
        connections stay open; 0: never.
    :param silent_feed: name of a table whose feed gives no answer; empty: none.
    :param silent_read: name of a table whose reads get no answer; empty: none.
    :param refuse_key: no row with this in its key is written; empty: none.
    :param odd_parts: stand among the rows of each answer, by table.
    """

    refuse: int = 0
    silent: bool = False
    lose_answers: int = 0
    late_s: float = 0.0
    delay_s: float = 0.0
    forget_before: int = 0
    answer_bytes_per_s: float = 0.0
    stall_after_bytes: int = 0
    silent_feed: str = ""
    silent_read: str = ""
    refuse_key: str = ""
    odd_parts: dict[str, str] = attrs.field(factory=dict)


class StoreStandin:
    """Tables of rows with one version counter, transactions, reads and a feed.

    :param row_bytes: maximum size of a row's value.
    :param refused: the transactions that exceeded a documented limit.
    """

    def __init__(self, row_bytes: int = 65_536) -> None:
        self.row_bytes = row_bytes
        self.refused: list[Refusal] = []
        self.rows: dict[Key, tuple[str, int]] = {}
        self.faults = StoreFaults()
        self.version = 0
        self.writes = 0
        self.late_writes = 0
        self.waiting_writes = 0
        self.waiting_feeds = 0
        self.history: list[tuple[int, Key]] = []
        self._changed = asyncio.Condition()
        self.port = HttpPort(self._serve)

    # For tests.

    async def put(self, table: str, key: str, value: str, part: str = "") -> None:
        """Write a row, as the operator or a runner would."""
        async with self._changed:
            self.version += 1
            self._set((table, part, key), value)
            self._changed.notify_all()

    async def drop(self, table: str, key: str, part: str = "") -> None:
        """Remove a row."""
        async with self._changed:
            self.version += 1
            self._drop((table, part, key))
            self._changed.notify_all()

    def keys(self, table: str) -> list[str]:
        """Return the keys of a table."""
        return sorted(key for name, _, key in self.rows if name == table)

    def version_of(self, table: str, key: str, part: str = "") -> int:
        """Return the version of a row, or 0 if there is none."""
        return self.rows.get((table, part, key), ("", 0))[1]

    def _set(self, key: Key, value: str) -> None:
        self.rows[key] = (value, self.version)
        self.history.append((self.version, key))

    def _drop(self, key: Key) -> None:
        if self.rows.pop(key, None) is not None:
            self.history.append((self.version, key))

    # Request handlers.

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        faults = self.faults
        if faults.delay_s:
            await asyncio.sleep(faults.delay_s)
        if faults.silent:
            await asyncio.sleep(PLAY_DEAD_S)
        if faults.refuse:
            return web.Response(status=faults.refuse)
        response = await self._answer(request)
        if faults.answer_bytes_per_s or faults.stall_after_bytes:
            return await self._send_in_pieces(request, response)
        return response

    async def _answer(self, request: web.BaseRequest) -> web.Response:
        if request.path == "/-/rows-tx":
            return await self._transact(await _json(request))
        if request.path == "/-/rows-get":
            if request.query["table"] == self.faults.silent_read:
                await asyncio.sleep(PLAY_DEAD_S)
            return self._get(request.query)
        if request.path == "/-/rows-feed":
            return await self._feed(request.query)
        return web.Response(status=404)

    async def _send_in_pieces(
        self, request: web.BaseRequest, response: web.Response
    ) -> web.StreamResponse:
        """Send an answer with the present faults, which may change while it is sent."""
        body = t.cast(bytes, response.body)
        stream = web.StreamResponse(status=response.status)
        stream.content_type = response.content_type
        stream.content_length = len(body)
        await stream.prepare(request)
        for start in range(0, len(body), PIECE_BYTES):
            stall_after_bytes = self.faults.stall_after_bytes
            if stall_after_bytes and start >= stall_after_bytes:
                await asyncio.sleep(PLAY_DEAD_S)
            if self.faults.answer_bytes_per_s:
                await asyncio.sleep(PIECE_BYTES / self.faults.answer_bytes_per_s)
            await stream.write(body[start : start + PIECE_BYTES])
        return stream

    async def _transact(self, body: Json) -> web.Response:
        self.writes += 1
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            asyncio.get_running_loop().create_task(
                self._apply_late(body, self.faults.late_s)
            )
            await asyncio.sleep(PLAY_DEAD_S)
        status, answer = await self._apply(body)
        return web.json_response(answer, status=status)

    async def _apply_late(self, body: Json, late_s: float) -> None:
        self.waiting_writes += 1
        await asyncio.sleep(late_s)
        self.waiting_writes -= 1
        await self._apply(body)
        self.late_writes += 1

    async def _apply(self, body: Json) -> tuple[int, Json]:
        reason = self._exceeded_limit(body)
        if reason:
            keys = tuple((row["table"], row["key"]) for row in body.get("put", ()))
            self.refused.append(Refusal(reason, keys))
            return 400, {"reason": reason}
        async with self._changed:
            conditions = body.get("expectedRev", ())
            if any(self._version_of(row) != row["ver"] for row in conditions):
                return 412, {"rows": [], "ver": self.version}
            self.version += 1
            for row in body.get("put", ()):
                self._set(_key(row), row["value"])
            for row in body.get("remove", ()):
                self._drop(_key(row))
            self._changed.notify_all()
        return 200, {"ver": self.version, "now_ms": _now_ms()}

    def _exceeded_limit(self, body: Json) -> str:
        """Return which documented limit a transaction exceeds, or an empty string."""
        puts, drops = body.get("put", ()), body.get("remove", ())
        entries = [*body.get("expectedRev", ()), *puts, *drops]
        if len(entries) > MAX_ENTRIES:
            return "entries"
        if len(json.dumps(body)) > MAX_BODY_BYTES:
            return "bytes"
        if len({row.get("part", "") for row in entries}) > 1:
            return "parts"
        for row in entries:
            names = (row["table"], row.get("part", ""), row["key"])
            if any(len(name.encode()) > MAX_NAME_BYTES for name in names):
                return "name"
        if any(len(base64.b64decode(row["value"])) > self.row_bytes for row in puts):
            return "row"
        refuse_key = self.faults.refuse_key
        if refuse_key and any(refuse_key in row["key"] for row in puts):
            return "fault"
        tables = {key[0] for key in self.rows} | {row["table"] for row in puts}
        return "tables" if len(tables) > MAX_TABLES else ""

    def _version_of(self, row: Json) -> int:
        found = self.rows.get(_key(row))
        return found[1] if found else 0

    def _get(self, query: t.Mapping[str, str]) -> web.Response:
        table, part = query["table"], query.get("part", "")
        limit = min(int(query.get("limit", MAX_PAGE_ROWS)), MAX_PAGE_ROWS)
        names = sorted(
            key
            for key in self.rows
            if key[:2] == (table, part) and key[2] >= query.get("from", "")
        )
        rows: list[Json] = []
        size_bytes = 0
        for key in names[:limit]:
            row = self._row(key)
            size_bytes += len(json.dumps(row))
            if rows and size_bytes > MAX_BODY_BYTES:
                break
            rows.append(row)
        answer = {
            "rows": rows,
            "more": len(names) > len(rows),
            "ver": self.version,
            "now_ms": _now_ms(),
        }
        return response_with(answer, self.faults.odd_parts.get(table, ""), "rows")

    def _row(self, key: Key) -> Json:
        found = self.rows.get(key)
        row: Json = {"table": key[0], "part": key[1], "key": key[2]}
        if found is None:
            return row | {"gone": True, "ver": self.version}
        return row | {"value": found[0], "ver": found[1]}

    async def _feed(self, query: t.Mapping[str, str]) -> web.Response:
        table, after = query["table"], int(query["after"])
        if after < self.faults.forget_before:
            return web.Response(status=410)
        until_s = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        self.waiting_feeds += 1
        try:
            async with self._changed:
                await self._wait_for_change(table, after, until_s)
            if table == self.faults.silent_feed:
                await asyncio.sleep(PLAY_DEAD_S)
            async with self._changed:
                # Read rows and version together: a change may arrive at the timeout.
                answer = {
                    "rows": [
                        self._row(key) for key in self._changed_since(table, after)
                    ],
                    "ver": self.version,
                    "now_ms": _now_ms(),
                }
            odd_part = self.faults.odd_parts.get(table, "")
            return response_with(answer, odd_part, "rows")
        finally:
            self.waiting_feeds -= 1

    async def _wait_for_change(self, table: str, after: int, until_s: float) -> None:
        while not self._changed_since(table, after):
            left_s = until_s - time.monotonic()
            if left_s <= 0:
                return
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                return

    def _changed_since(self, table: str, after: int) -> list[Key]:
        found: dict[Key, None] = {}
        for version, key in reversed(self.history):
            if version <= after:
                break
            if key[0] == table:
                found[key] = None
        return list(reversed(found))


def _key(row: Json) -> Key:
    return row["table"], row.get("part", ""), row["key"]


def _now_ms() -> int:
    return int(time.monotonic() * 1000)


async def _json(request: web.BaseRequest) -> Json:
    value = await request.json()
    return t.cast(Json, value)
