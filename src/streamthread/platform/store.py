"""The platform's row store: conditional transactions, reads and a feed."""

import base64
import binascii
import typing as t

import attrs
import msgspec

from ..decoding import Count
from ..decoding import Decoder
from ..decoding import LenientDecoder
from ..errors import BadInputError
from ..errors import UnreadableError
from ..unreadable import Source
from ..unreadable import UnreadableNotes
from .documents import WRITTEN_BY_OTHERS
from .http import Answer
from .http import JsonObject
from .http import refuse_status
from .http import ServiceClient

__all__ = [
    "ABSENT",
    "MAX_ID_BYTES",
    "Condition",
    "HistoryGoneError",
    "Page",
    "RowStore",
    "StoredRow",
    "TransactResult",
]

ABSENT = 0
"""The version of a row that does not exist."""

CONNECTIONS = 8
"""Each feed keeps one; the others carry commits and reads."""

MAX_ID_BYTES = 100
"""Of an id that becomes part of a row's key: keys take 200 bytes, and the store refuses
a transaction with a longer one whole, which would end a holder's commits."""

PAGE_ROWS = 100
"""The most rows that one read asks for: 300 KB of jobs take half a second over the
smallest links, of 5 Mbit/s."""

CONDITION_FAILED_STATUS = 412
"""The answer to a transaction of which a condition does not hold."""

HISTORY_GONE_STATUS = 410
"""The feed's answer to a version from which it cannot go on."""

FEED_SLACK_S = 0.8
"""How long after its own waiting time the store's answer to a feed may take: a read
takes 4 ms, and 0.25 s in a store 60 times slower. A connection that has fallen silent
shows only by this."""

MOST_TOLD_BYTES = 200
"""Of an answer that tells of a mistake, in the error."""

_TRANSACT = "/-/rows-tx"
_GET = "/-/rows-get"
_FEED = "/-/rows-feed"


@attrs.frozen
class Condition:
    """Requires that a row has this version; :data:`ABSENT`: that there is none."""

    table: str
    part: str
    key: str
    version: int


@attrs.frozen
class StoredRow:
    """One row. A row that was dropped has no value; only the feed shows it."""

    table: str
    part: str
    key: str
    value: bytes | None = None
    version: int = 0


@attrs.frozen
class Page:
    """Rows as of one moment; ``version`` is the newest in the whole store."""

    rows: tuple[StoredRow, ...]
    version: int
    more: bool = False


@attrs.frozen
class TransactResult:
    """Whether the transaction took effect.

    :param version: that the written rows now have, where it did.
    """

    committed: bool
    version: int = 0


class HistoryGoneError(Exception):
    """The feed cannot go on from this version: read the table whole."""


class _RowAnswer(msgspec.Struct):
    key: str
    table: str = ""
    part: str = ""
    value: str = ""
    ver: Count = 0
    gone: bool = False


class _PageAnswer(msgspec.Struct):
    ver: Count
    rows: list[_RowAnswer] = []
    more: bool = False


class _PageByRowsAnswer(msgspec.Struct):
    ver: Count
    rows: list[t.Any] = []
    more: bool = False


class _WrittenAnswer(msgspec.Struct):
    ver: Count


_PAGES = Decoder[_PageAnswer](_PageAnswer)
_PAGES_BY_ROWS = LenientDecoder[_PageByRowsAnswer](_PageByRowsAnswer)
_ROWS = Decoder[_RowAnswer](_RowAnswer)
_WRITTEN = Decoder[_WrittenAnswer](_WrittenAnswer)


class RowStore(ServiceClient):
    """The store's client.

    :param address: ``host:port``.
    :param timeout_s: the answer to a transaction or a read begins within this time.
    """

    def __init__(
        self, address: str, timeout_s: float, notes: UnreadableNotes | None = None
    ) -> None:
        self._notes = notes or UnreadableNotes()
        super().__init__(address, timeout_s, CONNECTIONS, self._notes)
        self.calls: dict[str, int] = {"transact": 0, "read": 0, "feed": 0}

    async def transact(
        self,
        conditions: t.Sequence[Condition],
        puts: t.Sequence[StoredRow],
        drops: t.Sequence[StoredRow] = (),
    ) -> TransactResult:
        """Write rows of one part together if all conditions hold.

        :raises StoreUnavailableError: nothing was done.
        :raises OutcomeUnknownError: it may have been done, or be done later.
        """
        body: JsonObject = {
            "expectedRev": [
                {"table": c.table, "part": c.part, "key": c.key, "ver": c.version}
                for c in conditions
            ],
            "put": [_encode_row(row) for row in puts],
            "remove": [_name_row(row) for row in drops],
        }
        answer = await self._call("POST", _TRANSACT, "transact", body=body)
        if answer.status == CONDITION_FAILED_STATUS:
            return TransactResult(committed=False)
        _require_ok(answer, _TRANSACT)
        written = self._caller.read(answer, _WRITTEN)
        return TransactResult(committed=True, version=written.ver)

    async def read(
        self, table: str, part: str, start: str = "", limit: int = PAGE_ROWS
    ) -> Page:
        """Return one page of a table's part, by key order."""
        params = {"table": table, "part": part, "limit": str(limit)}
        if start:
            params["from"] = start
        answer = await self._call("GET", _GET, "read", params=params)
        _require_ok(answer, _GET)
        return self._page(table, answer)

    async def read_all(self, table: str, part: str) -> Page:
        """Return all rows of a table's part; the version is the first page's."""
        page = await self.read(table, part)
        rows = list(page.rows)
        version = page.version
        while page.more:
            page = await self.read(table, part, start=rows[-1].key + "\0")
            rows.extend(page.rows)
        return Page(tuple(rows), version)

    async def feed(self, table: str, after: int, wait_s: float) -> Page:
        """Return what changed in a table after a version, waiting for a change.

        :raises HistoryGoneError: the store no longer has all changes since then.
        """
        params = {
            "table": table,
            "after": str(after),
            "waitMs": str(int(wait_s * 1000)),
        }
        answer = await self._call(
            "GET", _FEED, "feed", params=params, timeout_s=wait_s + FEED_SLACK_S
        )
        if answer.status == HISTORY_GONE_STATUS:
            raise HistoryGoneError
        _require_ok(answer, _FEED)
        return self._page(table, answer)

    def _page(self, table: str, answer: Answer) -> Page:
        """Return the rows of an answer.

        Of a table that others write, rows that can't be read are left out: the others
        hold. Our own tables are read whole or not at all.

        :raises OutcomeUnknownError: they can't be read.
        """
        if table not in WRITTEN_BY_OTHERS:
            return _page(self._caller.read(answer, _PAGES))
        try:
            return _page(_PAGES.decode(answer.text, answer.url))
        except UnreadableError:
            return self._page_by_rows(answer)

    def _page_by_rows(self, answer: Answer) -> Page:
        page = self._caller.read(answer, _PAGES_BY_ROWS)
        rows: list[StoredRow] = []
        for value in page.rows:
            try:
                rows.append(_stored_row(_ROWS.convert(value, answer.url)))
            except UnreadableError as error:
                self._notes.note(Source.ANSWER, error)
        return Page(tuple(rows), page.ver, page.more)

    async def _call(
        self,
        method: str,
        path: str,
        kind: str,
        *,
        body: JsonObject | None = None,
        params: dict[str, str] | None = None,
        timeout_s: float | None = None,
    ) -> Answer:
        self.calls[kind] += 1
        answer = await self._caller.call(
            method,
            self._url + path,
            body,
            params=params,
            timeout_s=timeout_s or self._timeout_s,
        )
        refuse_status(answer, path)
        return answer


def _require_ok(answer: Answer, path: str) -> None:
    if answer.status != 200:
        raise BadInputError(
            f"the store answered {answer.status}: {answer.text[:MOST_TOLD_BYTES]!r}",
            remedy="check the row's size and the table's name",
            location=path,
        )


def _name_row(row: StoredRow) -> JsonObject:
    return {"table": row.table, "part": row.part, "key": row.key}


def _encode_row(row: StoredRow) -> JsonObject:
    value = base64.b64encode(row.value or b"").decode()
    return _name_row(row) | {"value": value}


def _page(answer: _PageAnswer) -> Page:
    rows = tuple(_stored_row(row) for row in answer.rows)
    return Page(rows, answer.ver, answer.more)


def _stored_row(row: _RowAnswer) -> StoredRow:
    value = None if row.gone else _value(row.value)
    return StoredRow(row.table, row.part, row.key, value, row.ver)


def _value(text: str) -> bytes:
    """Return a row's bytes; none where they can't be read, which no decoder takes.

    The other rows of its page hold.
    """
    try:
        return binascii.a2b_base64(text)
    except ValueError:
        return b""
