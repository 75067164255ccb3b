"""One part that can't be parsed hides no other part of the answer that holds it."""

import asyncio
import json
import typing as t

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from streamthread.decoding import PartsDecoder
from streamthread.errors import OutcomeUnknownError
from streamthread.errors import UnreadableError
from streamthread.json_parts import split_array
from streamthread.json_parts import split_object
from streamthread.platform.advice import AdviceClient
from streamthread.platform.cloud import CloudClient
from streamthread.platform.http import Answer
from streamthread.platform.http import HttpCaller
from streamthread.platform.manifest import decode_manifest
from streamthread.platform.store import RowStore
from streamthread.standins.cell import ODD_PARTS

NESTED = ODD_PARTS["nested"]

CASES = pytest.mark.parametrize("odd", ODD_PARTS.values(), ids=ODD_PARTS)

MACHINE = {
    "machine": "m-1",
    "pool": "desk",
    "state": "up",
    "zone": "here",
    "labels": ["a", "r1"],
    "capacity": {"cpu": 1, "memMb": 1},
    "id": "i-1",
}


class _Caller(HttpCaller):
    """Answers each call with the same text."""

    def __init__(self, text: str, status: int = 200) -> None:
        super().__init__(1)
        self._text = text.encode()
        self._status = status

    async def call(self, *args: t.Any, **options: t.Any) -> Answer:
        return Answer(self._status, self._text)


def _around(odd: str, *parts: t.Any) -> str:
    """Return a list with an odd part before, between and after the others."""
    texts = [odd]
    for part in parts:
        texts += [json.dumps(part), odd]
    return "[" + ",".join(texts) + "]"


class TestAnswers:
    # Guards against a list of machines that nobody can read any more.
    @CASES
    def test_of_the_cloud_name_the_other_machines(self, odd: str) -> None:
        client = CloudClient("127.0.0.1:1", 1.0)
        text = _around(odd, MACHINE, MACHINE | {"machine": "m-2"})
        client._caller = _Caller(f'{{"machines":{text},"nextToken":null}}')
        found = asyncio.run(client.machines())
        assert [machine.machine_id for machine in found.machines] == ["m-1", "m-2"]
        assert len(found.unreadable) == 3

    # Guards against an odd machine of which it is not known that it is a known one.
    def test_of_the_cloud_name_an_odd_machine_if_they_can(self) -> None:
        client = CloudClient("127.0.0.1:1", 1.0)
        odd = ODD_PARTS["nested-field"]
        client._caller = _Caller(f'{{"machines":[{odd}]}}')
        found = asyncio.run(client.machines())
        assert [machine.machine_id for machine in found.unreadable] == ["odd"]

    # Guards against a table of runners that is not followed any more.
    @CASES
    def test_of_the_store_have_the_other_rows(self, odd: str) -> None:
        store = RowStore("127.0.0.1:1", 1.0)
        rows = [{"key": key, "value": "e30=", "ver": 1} for key in ("a", "b")]
        text = _around(odd, *rows)
        store._caller = _Caller(f'{{"rows":{text},"ver":4}}')
        page = asyncio.run(store.read("servers", ""))
        assert [row.key for row in page.rows] == ["a", "b"] and page.version == 4

    def test_of_the_store_go_on_after_an_odd_row_that_has_a_key(self) -> None:
        store = RowStore("127.0.0.1:1", 1.0)
        odd = f'{{"key":"z","value":{NESTED},"ver":1}}'
        store._caller = _Caller(f'{{"rows":[{odd}],"ver":4,"more":true}}')
        assert asyncio.run(store.read("servers", "")).next_start == "z\0"

    # Guards against rows of our own of which some would be missed.
    @CASES
    def test_of_the_store_are_read_whole_or_not_in_our_tables(self, odd: str) -> None:
        store = RowStore("127.0.0.1:1", 1.0)
        store._caller = _Caller(
            '{{"rows":{},"ver":4}}'.format(_around(odd, {"key": "a"}))
        )
        with pytest.raises(OutcomeUnknownError):
            asyncio.run(store.read("cell-jobs", ""))

    @CASES
    def test_of_the_advice_service_have_the_other_tickets(self, odd: str) -> None:
        client = AdviceClient("127.0.0.1:1")
        client._caller = _Caller('{{"good":{}}}'.format(_around(odd, ["i-1", "t-1"])))
        advice = asyncio.run(client.advise("a.0.0", ["i-1"], 1.0))
        assert [ticket.runner_id for ticket in advice.tickets] == ["i-1"]

    # Guards against runners that count as denied by an answer that names none.
    @pytest.mark.parametrize("status", [400, 404, 500])
    def test_of_the_advice_service_that_are_errors_deny_nothing(
        self, status: int
    ) -> None:
        client = AdviceClient("127.0.0.1:1")
        client._caller = _Caller("", status)
        with pytest.raises(OutcomeUnknownError):
            asyncio.run(client.advise("a.0.0", ["i-1"], 1.0))


class TestConfiguration:
    # Guards against a configuration that is not in force because of one route.
    @CASES
    def test_has_the_other_routes(self, odd: str) -> None:
        routes = _around(odd, {"name": "r", "service": "desk"})
        text = '{{"version":7,"routes":{},"services":{},"more":{}}}'.format(
            routes,
            _around(odd, {"name": "desk"}),
            odd,
        )
        reading = decode_manifest(text.encode())
        manifest = reading.manifest
        assert manifest.version == 7
        assert [route.name for route in manifest.routes] == ["r"]
        assert list(manifest.pools) == ["desk"] and reading.unreadable


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
)


class TestDivision:
    @given(parts=st.lists(JSON), indent=st.sampled_from([None, 2]))
    def test_of_an_array_returns_its_elements(
        self, parts: list[t.Any], indent: int | None
    ) -> None:
        text = json.dumps(parts, indent=indent).encode()
        assert [json.loads(part) for part in split_array(text)] == parts

    @given(members=st.dictionaries(st.text(), JSON), indent=st.sampled_from([None, 2]))
    def test_of_an_object_returns_its_members(
        self, members: dict[str, t.Any], indent: int | None
    ) -> None:
        found = split_object(json.dumps(members, indent=indent).encode())
        decoded = {json.loads(b'"' + n + b'"'): json.loads(v) for n, v in found.items()}
        assert decoded == members

    @given(text=st.binary(max_size=40))
    def test_of_any_bytes_raises_one_error(self, text: bytes) -> None:
        for split in (split_array, split_object):
            try:
                split(text)
            except ValueError:
                continue

    @pytest.mark.parametrize("text", ["", "[", "{", "7", "[1", '{"a":1', '{"a":1}}'])
    def test_of_what_is_no_object_is_refused(self, text: str) -> None:
        class Parts(msgspec.Struct):
            parts: list[msgspec.Raw] = []

        with pytest.raises(UnreadableError):
            PartsDecoder[Parts](Parts).decode(text.encode(), "key")
