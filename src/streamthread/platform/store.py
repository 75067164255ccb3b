"""Client of the platform's row store: conditional transactions, reads and a feed."""

import base64
import binascii
import typing as t

import attrs
import msgspec

from ..decoding import Count
from ..decoding import Decoder
from ..decoding import LenientDecoder
from ..decoding import PartsDecoder
from ..errors import BadInputError
from ..errors import OutcomeUnknownError
from ..errors import StoreUnavailableError
from ..errors import UnreadableError
from ..unreadable import Source
from ..unreadable import UnreadableNotes
from .documents import EXTERNAL_TABLES
from .http import Answer
from .http import JsonObject
from .http import refuse_status
from .http import Repeat
from .http import ServiceClient

__all__ = [
    "ABSENT",
    "DEFAULT_ROW_BYTES",
    "MAX_ID_BYTES",
    "STORE_TIMEOUT_S",
    "Condition",
    "HistoryGoneError",
    "Page",
    "RowStore",
    "StoredRow",
    "TransactResult",
]

ABSENT = 0
"""The version of a row that does not exist."""

STORE_TIMEOUT_S = 1.2
"""Timeout until an answer begins: six times the answer time of a slow store, which is
60 times the usual 4 ms."""

CONNECTIONS = 8
"""Each feed occupies one connection; the others carry commits and reads."""

MAX_ID_BYTES = 100
"""Maximum length of an id that becomes part of a row's key. A key is limited to 200
bytes, and the store refuses any transaction with a longer one, so that a holder could
not commit any more."""

PAGE_ROWS = 100
"""Maximum number of rows per read: 300 KB of jobs take half a second over the slowest
links, of 5 Mbit/s."""

DEFAULT_ROW_BYTES = 65_536
"""Maximum size of a row's value unless the platform's settings name another one."""

CONDITION_FAILED_STATUS = 412
"""The answer to a transaction with a condition that is not met."""

INVALID_STATUSES = (400, 413)
"""The answers to a call whose contents the store never takes."""

HISTORY_GONE_STATUS = 410
"""The feed's answer to a version that is too old to continue from."""

FEED_SLACK_S = 0.8
"""How long a feed's answer may take in addition to the wait time of the call. A read
takes 4 ms, and 0.25 s in a store that is 60 times slower. Only this timeout detects a
dead connection."""

MAX_SHOWN_BYTES = 200
"""Maximum length of an answer's text in an error message."""

_TRANSACT = "/-/rows-tx"
_GET = "/-/rows-get"
_FEED = "/-/rows-feed"


@attrs.frozen
class Condition:
    """Requires that a row has this version; :data:`ABSENT`: that it does not exist."""

    table: str
    part: str
    key: str
    version: int


@attrs.frozen
class StoredRow:
    """One row. A deleted row has no value; only the feed returns such rows."""

    table: str
    part: str
    key: str
    value: bytes | None = None
    version: int = 0


@attrs.frozen
class Page:
    """The rows as of one moment; ``version`` is the newest one in the whole store.

    :param next_start: the lowest key that the next page may have; empty if this is the
        last page.
    """

    rows: tuple[StoredRow, ...]
    version: int
    next_start: str = ""


@attrs.frozen
class TransactResult:
    """Whether the transaction was committed.

    :param version: if it was, the new version of the written rows.
    """

    committed: bool
    version: int = 0


class HistoryGoneError(Exception):
    """The feed cannot continue from this version; the table has to be read in full."""


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
    rows: list[msgspec.Raw] = []
    more: bool = False


class _RowKey(msgspec.Struct):
    key: str


class _WrittenAnswer(msgspec.Struct):
    ver: Count


_PAGES = Decoder[_PageAnswer](_PageAnswer)
_PAGES_BY_ROWS = PartsDecoder[_PageByRowsAnswer](_PageByRowsAnswer)
_ROWS = PartsDecoder[_RowAnswer](_RowAnswer)
_LENIENT_ROWS = LenientDecoder[_RowAnswer](_RowAnswer)
_ROW_KEYS = PartsDecoder[_RowKey](_RowKey)
_WRITTEN = Decoder[_WrittenAnswer](_WrittenAnswer)


class RowStore(ServiceClient):
    """Client of the row store.

    :param address: ``host:port``.
    :param timeout_s: maximum time until the answer to a transaction or a read begins.
    """

    def __init__(
        self, address: str, timeout_s: float, notes: UnreadableNotes | None = None
    ) -> None:
        self._notes = notes or UnreadableNotes()
        self._timeout_s = timeout_s
        super().__init__(address, CONNECTIONS, self._notes)
        self.calls: dict[str, int] = {"transact": 0, "read": 0, "feed": 0}

    async def transact(
        self,
        conditions: t.Sequence[Condition],
        puts: t.Sequence[StoredRow],
        drops: t.Sequence[StoredRow] = (),
    ) -> TransactResult:
        """Write rows of one part atomically if all conditions are met.

        :param drops: the rows to delete.
        :raises BadInputError: the store never takes these rows; nothing was written.
        :raises StoreUnavailableError: nothing was written.
        :raises OutcomeUnknownError: the transaction may have been committed, or may
            still be committed later.
        """
        body: JsonObject = {
            "expectedRev": [
                {"table": c.table, "part": c.part, "key": c.key, "ver": c.version}
                for c in conditions
            ],
            "put": [_encode_row(row) for row in puts],
            "remove": [_encode_row_key(row) for row in drops],
        }
        answer = await self._call("POST", _TRANSACT, "transact", body=body)
        if answer.status == CONDITION_FAILED_STATUS:
            return TransactResult(committed=False)
        if answer.status in INVALID_STATUSES:
            remedy = "check the rows' sizes and the names of tables and keys"
            raise BadInputError(_describe(answer), remedy=remedy, location=_TRANSACT)
        _require_ok(answer, _TRANSACT)
        written = self._caller.read(answer, _WRITTEN)
        return TransactResult(committed=True, version=written.ver)

    async def read(
        self, table: str, part: str, start: str = "", limit: int = PAGE_ROWS
    ) -> Page:
        """Return one page of a table's part, in key order."""
        params = {"table": table, "part": part, "limit": str(limit)}
        if start:
            params["from"] = start
        answer = await self._call("GET", _GET, "read", params=params, repeat=Repeat())
        _require_ok(answer, _GET)
        return self._page(table, answer)

    async def read_all(self, table: str, part: str) -> Page:
        """Return all rows of a table's part, with the version of the first page."""
        page = await self.read(table, part)
        rows = list(page.rows)
        version = page.version
        while page.next_start:
            page = await self.read(table, part, start=page.next_start)
            rows.extend(page.rows)
        return Page(tuple(rows), version)

    async def feed(self, table: str, after: int, wait_s: float) -> Page:
        """Return what has changed in a table after a version, or wait for a change.

        :raises HistoryGoneError: the store no longer has all changes since then.
        """
        no_wait = {"table": table, "after": str(after), "waitMs": "0"}
        answer = await self._call(
            "GET",
            _FEED,
            "feed",
            params=no_wait | {"waitMs": str(int(wait_s * 1000))},
            timeout_s=wait_s + FEED_SLACK_S,
            repeat=Repeat(wait_s, params=no_wait),
        )
        if answer.status == HISTORY_GONE_STATUS:
            raise HistoryGoneError
        _require_ok(answer, _FEED)
        return self._page(table, answer)

    def _page(self, table: str, answer: Answer) -> Page:
        """Return the rows of an answer.

        In a table that other systems write, rows that cannot be decoded are left out,
        and the remaining ones are valid. In this system's own tables, one such row
        makes the whole answer invalid.

        :raises OutcomeUnknownError: the answer cannot be decoded.
        """
        if table not in EXTERNAL_TABLES:
            return _page(self._caller.read(answer, _PAGES), answer.url)
        try:
            return _page(_PAGES.decode(answer.text, answer.url), answer.url)
        except UnreadableError:
            return self._page_by_rows(answer)

    def _page_by_rows(self, answer: Answer) -> Page:
        page = self._caller.read(answer, _PAGES_BY_ROWS)
        rows: list[StoredRow] = []
        for text in page.rows:
            try:
                rows.append(_stored_row(_read_row(text, answer.url)))
            except UnreadableError as error:
                self._notes.note(Source.ANSWER, error)
        if not page.more:
            return Page(tuple(rows), page.ver)
        return Page(tuple(rows), page.ver, _start_after(page.rows, answer.url))

    async def _call(
        self,
        method: str,
        path: str,
        kind: str,
        *,
        body: JsonObject | None = None,
        params: dict[str, str] | None = None,
        timeout_s: float | None = None,
        repeat: Repeat | None = None,
    ) -> Answer:
        self.calls[kind] += 1
        answer = await self._caller.call(
            method,
            self._url + path,
            body,
            params=params,
            timeout_s=timeout_s or self._timeout_s,
            repeat=repeat,
        )
        refuse_status(answer, path)
        return answer


def _require_ok(answer: Answer, path: str) -> None:
    """:raises StoreUnavailableError: the store refused the call; nothing was done."""
    if answer.status != 200:
        raise StoreUnavailableError(
            _describe(answer), remedy="the call is retried automatically", location=path
        )


def _describe(answer: Answer) -> str:
    return f"the store answered {answer.status}: {answer.text[:MAX_SHOWN_BYTES]!r}"


def _encode_row_key(row: StoredRow) -> JsonObject:
    return {"table": row.table, "part": row.part, "key": row.key}


def _encode_row(row: StoredRow) -> JsonObject:
    value = base64.b64encode(row.value or b"").decode()
    return _encode_row_key(row) | {"value": value}


def _page(answer: _PageAnswer, url: str) -> Page:
    rows = tuple(_stored_row(row) for row in answer.rows)
    if not answer.more:
        return Page(rows, answer.ver)
    if not rows:
        raise _unfinished(url)
    return Page(rows, answer.ver, _next_key(rows[-1].key))


def _read_row(text: msgspec.Raw, url: str) -> _RowAnswer:
    """Decode one row of a table that others write.

    :raises UnreadableError: the row can't be decoded.
    """
    try:
        return _ROWS.decode(text, url)
    except UnreadableError:
        return _LENIENT_ROWS.decode(text, url)


def _start_after(rows: t.Sequence[msgspec.Raw], url: str) -> str:
    """Return the start of the page that follows these rows, decoded or not.

    :raises OutcomeUnknownError: the key of the last row can't be decoded.
    """
    if not rows:
        raise _unfinished(url)
    try:
        return _next_key(_ROW_KEYS.decode(rows[-1], url).key)
    except UnreadableError as error:
        raise _unfinished(url) from error


def _next_key(key: str) -> str:
    """Return the lowest key above this one."""
    return key + "\0"


def _unfinished(url: str) -> OutcomeUnknownError:
    return OutcomeUnknownError(
        "the page does not say where the next one begins",
        remedy="the table is read again automatically",
        location=url,
    )


def _stored_row(row: _RowAnswer) -> StoredRow:
    value = None if row.gone else _value(row.value)
    return StoredRow(row.table, row.part, row.key, value, row.ver)


def _value(text: str) -> bytes:
    """Return a row's bytes, or an empty value if they are not valid base64.

    Every decoder rejects an empty value, so that only this row of the page is lost.
    """
    try:
        return binascii.a2b_base64(text)
    except ValueError:
        return b""
