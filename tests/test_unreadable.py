"""Whatever others write: a decoder returns its type or raises its one error."""

import asyncio
import copy
import json
import typing as t

import msgspec
import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from streamthread.cell.rows import decode_address
from streamthread.cell.rows import Head
from streamthread.cell.rows import Owner
from streamthread.errors import BadInputError
from streamthread.errors import OutcomeUnknownError
from streamthread.errors import UnreadableError
from streamthread.holder.inbox import InboxEntry
from streamthread.platform.advice import AdviceClient
from streamthread.platform.callers import decode_job
from streamthread.platform.cloud import CloudClient
from streamthread.platform.documents import decode_runner_entry
from streamthread.platform.documents import decode_wave
from streamthread.platform.http import Answer
from streamthread.platform.manifest import decode_manifest
from streamthread.platform.runners import RunnerClient
from streamthread.platform.runners import StartOrder
from streamthread.platform.store import Condition
from streamthread.platform.store import RowStore
from streamthread.scheduler import decode_row
from streamthread.scheduler import restore_progress
from streamthread.standins.cell.foreign import ENTRY
from streamthread.upkeep import WaveProgress

EXAMPLES = 60

STEP = {"count": 2, "cpu": 500, "memMb": 256, "estimateMs": 900, "after": []}
JOB = {"spec": "text", "steps": [STEP], "times": 0}
JOB_ROW = {
    "route": "r",
    "service": "desk",
    "accepted_at_s": 1.5,
    "priority": 0,
    "max_attempts": 3,
    "stretch": 1.6,
    "target_s": 0.6,
    "body": json.dumps(JOB),
}
PROGRESS_ROW = {
    "begun": True,
    "done_times": [],
    "times": {"0": [["1", [[1, 2, 0, "", [[2, "i-1"]]]]]]},
}
MANIFEST = {
    "version": 7,
    "routes": [
        {
            "name": "r",
            "host": "desk.example",
            "pathPrefix": "/jobs/",
            "service": "desk",
            "priority": 0,
            "maxAttempts": 3,
            "stretch": 1.6,
            "targetLatencyMs": 600,
            "advice": {"decide_ms": 5, "each_ms": 1, "valid_ms": 3000},
        }
    ],
    "services": [{"name": "desk", "rejectsOverload": True, "spare": False}],
    "limits": {"maxBodyBytes": 100},
}
WAVE = {"wave": 1, "machines": ["m-1"], "durationS": 20, "maximum": 1}
OWNER = {
    "daemon_id": "daemon-1",
    "incarnation": "n-1",
    "address": "127.0.0.1:1",
    "token": 3,
    "released": False,
    "successor": "",
}
MACHINES = {
    "machines": [
        {
            "machine": "m-1",
            "pool": "desk",
            "state": "up",
            "zone": "here",
            "labels": ["a", "r1"],
            "capacity": {"cpu": 1000, "memMb": 100, "gpu": 0},
            "id": "i-1",
        }
    ],
    "nextToken": None,
}
HOLD = {
    "clockMs": 5,
    "running": [["a.0.0.0", 1, "", 41, 3]],
    "finished": [[1, "a.0.0.1", 1, "done", ""]],
}
PAGE = {
    "rows": [{"table": "op", "part": "", "key": "config", "value": "e30=", "ver": 3}],
    "ver": 4,
    "more": False,
}


class _Caller:
    """Answers each call with one text."""

    def __init__(self, client: t.Any, text: bytes, status: int) -> None:
        self._text = text
        self._status = status
        self.read = client._caller.read

    async def call(self, *args: t.Any, **kwargs: t.Any) -> Answer:
        return Answer(self._status, self._text, "/called")


def _ask(client: t.Any, call: str, *args: t.Any) -> t.Callable[[bytes], None]:
    """Return what reads a text as the answer to a call."""

    def read(text: bytes, status: int = 200) -> None:
        client._caller = _Caller(client, text, status)
        asyncio.run(getattr(client, call)(*args))

    return read


def _refused(read: t.Callable[..., None]) -> t.Callable[[bytes], None]:
    return lambda text: read(text, 409)


def _progress(text: bytes) -> None:
    restore_progress(decode_row("a", json.dumps(JOB_ROW).encode()), text)


ORDER = StartOrder("a.0.0.0", 1, "", 5, 3)
START = _ask(RunnerClient(), "start", "127.0.0.1:1", "i-1", ORDER, 1.0)
MOVE = _ask(CloudClient("127.0.0.1:1", 1.0), "move", "m-1", "desk", "daemon-1", 3)
TRANSACT = _ask(
    RowStore("127.0.0.1:1", 1.0), "transact", [Condition("t", "p", "k", 1)], []
)

DECODERS: dict[str, tuple[t.Callable[[bytes], t.Any], t.Any]] = {
    "runner-entry": (lambda text: decode_runner_entry("i-1", text), ENTRY),
    "configuration": (decode_manifest, MANIFEST),
    "wave": (lambda text: decode_wave("wave/1", text), WAVE),
    "job": (decode_job, JOB),
    "job-row": (lambda text: decode_row("a", text), JOB_ROW),
    "progress-row": (_progress, PROGRESS_ROW),
    "owner": (Owner.decode, OWNER),
    "head": (Head.decode, ["nonce", 3]),
    "inbox": (InboxEntry.decode, ["a", "r", json.dumps(JOB), 7, "desk"]),
    "wave-row": (WaveProgress.decode, [1, 2.5, ["m-1"], "running"]),
    "member": (lambda text: decode_address("daemon-1", text), "127.0.0.1:1"),
    "machines": (_ask(CloudClient("127.0.0.1:1", 1.0), "machines"), MACHINES),
    "duty": (_refused(MOVE), {"reason": "busy"}),
    "advice": (
        _ask(AdviceClient("127.0.0.1:1"), "advise", "a.0.0", ["i-1"], 1.0),
        {"good": [["i-1", "ticket"]], "valid_ms": 3000},
    ),
    "hold": (
        _ask(RunnerClient(), "hold", "127.0.0.1:1", "i-1", 3, 0, None, 0.0, 1.0),
        HOLD,
    ),
    "order": (START, {"clockMs": 5}),
    "refusal": (_refused(START), {"clockMs": 5, "reason": "room"}),
    "transaction": (TRANSACT, {"ver": 3}),
    "page": (_ask(RowStore("127.0.0.1:1", 1.0), "read", "op", ""), PAGE),
    "own-page": (_ask(RowStore("127.0.0.1:1", 1.0), "read", "cell-jobs", ""), PAGE),
}

FORESEEN = (BadInputError, OutcomeUnknownError)
"""What users of the decoders expect."""

VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**70), 2**70)
    | st.floats()
    | st.text(max_size=6),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=6), inner)
    ),
    max_leaves=6,
)

NAMES = sorted(DECODERS)


def _paths(value: t.Any, path: tuple[t.Any, ...] = ()) -> t.Iterator[tuple[t.Any, ...]]:
    """Yield the places of a value at which something can be changed."""
    yield path
    inner: t.Iterable[t.Any] = ()
    if isinstance(value, dict):
        inner = value
    elif isinstance(value, list):
        inner = range(len(value))
    for key in inner:
        yield from _paths(value[key], (*path, key))


def _changed(value: t.Any, path: tuple[t.Any, ...], other: t.Any) -> t.Any:
    if not path:
        return other
    found = copy.deepcopy(value)
    at = found
    for key in path[:-1]:
        at = at[key]
    at[path[-1]] = other
    return found


def _try(name: str, text: bytes) -> None:
    decode, _ = DECODERS[name]
    try:
        decode(text)
    except FORESEEN:
        return


@pytest.mark.parametrize("name", NAMES)
def test_takes_what_is_right(name: str) -> None:
    decode, valid = DECODERS[name]
    text = valid if isinstance(valid, str) else json.dumps(valid)
    decode(text.encode())


@pytest.mark.parametrize("name", NAMES)
@given(text=st.binary(max_size=60))
@settings(max_examples=EXAMPLES, derandomize=True, deadline=None)
def test_refuses_bytes(name: str, text: bytes) -> None:
    _try(name, text)


@pytest.mark.parametrize("name", NAMES)
@given(value=VALUES)
@settings(max_examples=EXAMPLES, derandomize=True, deadline=None)
def test_refuses_json_of_any_shape(name: str, value: t.Any) -> None:
    _try(name, json.dumps(value).encode())


@pytest.mark.parametrize("name", NAMES)
@given(data=st.data())
@settings(max_examples=EXAMPLES, derandomize=True, deadline=None)
def test_refuses_one_field_of_another_type(name: str, data: st.DataObject) -> None:
    _, valid = DECODERS[name]
    path = data.draw(st.sampled_from(list(_paths(valid))))
    value = _changed(valid, path, data.draw(VALUES))
    _try(name, json.dumps(value).encode())


@pytest.mark.parametrize("name", NAMES)
@pytest.mark.parametrize("open_", [b"[", b'{"more":', b'{"steps":[', b'{"rows":['])
def test_refuses_what_is_nested_without_end(name: str, open_: bytes) -> None:
    _try(name, open_ * 5_000)
    _try(name, open_ * 5_000 + b"1" + b"}" * 5_000)


class TestConfiguration:
    def test_keeps_the_routes_beside_one_that_is_unreadable(self) -> None:
        (route,) = MANIFEST["routes"]
        routes = [route, route | {"name": "bad", "priority": "high"}, {"name": 3}, 7]
        text = json.dumps(MANIFEST | {"routes": routes}).encode()
        reading = decode_manifest(text)
        assert [route.name for route in reading.manifest.routes] == ["r"]
        assert [error.key for error in reading.unreadable] == [
            "config 'bad'",
            "config ''",
            "config ''",
        ]

    def test_keeps_a_route_as_it_was_before(self) -> None:
        before = decode_manifest(json.dumps(MANIFEST).encode()).manifest
        (route,) = MANIFEST["routes"]
        newer = MANIFEST | {
            "version": 8,
            "routes": [route | {"stretch": None}],
            "services": [{"name": "desk", "spare": "no"}],
        }
        reading = decode_manifest(json.dumps(newer).encode(), before)
        assert reading.manifest.version == 8
        assert reading.manifest.routes == before.routes
        assert reading.manifest.pools == before.pools
        assert len(reading.unreadable) == 2

    def test_is_refused_without_a_version(self) -> None:
        with pytest.raises(UnreadableError, match="version"):
            decode_manifest(json.dumps(MANIFEST | {"version": "7"}).encode())


class TestErrors:
    def test_name_key_field_and_remedy(self) -> None:
        entry = ENTRY | {"capacity": {"cpu": "many", "memMb": 1}}
        with pytest.raises(UnreadableError) as raised:
            decode_runner_entry("i-7", json.dumps(entry).encode())
        assert raised.value.key == "i-7"
        assert raised.value.field == "$.capacity.cpu"
        assert raised.value.remedy

    def test_of_a_wave_under_another_number(self) -> None:
        with pytest.raises(UnreadableError, match="another wave"):
            decode_wave("wave/2", json.dumps(WAVE).encode())


class TestRows:
    """Of tables that others write, one bad row is left out, of ours none."""

    def _page(self, table: str, rows: list[t.Any]) -> t.Any:
        client = RowStore("127.0.0.1:1", 1.0)
        text = json.dumps({"rows": rows, "ver": 4}).encode()
        client._caller = t.cast(t.Any, _Caller(client, text, 200))
        return asyncio.run(client.read(table, ""))

    def test_with_an_unreadable_key(self) -> None:
        rows = [{"key": "i-\udc80", "value": ""}, {"key": "i-1", "value": "e30="}]
        odd, row = self._page("servers", rows).rows
        assert row.key == "i-1"
        with pytest.raises(UnreadableError):
            decode_runner_entry(odd.key, json.dumps(ENTRY).encode())
        with pytest.raises(OutcomeUnknownError):
            self._page("cell-jobs", rows)

    def test_without_a_key(self) -> None:
        rows = [{"value": ""}, {"key": 3}, 7, {"key": "i-1", "value": "e30="}]
        assert [row.key for row in self._page("servers", rows).rows] == ["i-1"]
        with pytest.raises(OutcomeUnknownError):
            self._page("cell-jobs", rows)

    def test_with_an_unreadable_value(self) -> None:
        (row,) = self._page("servers", [{"key": "i-1", "value": "e30"}]).rows
        with pytest.raises(UnreadableError):
            decode_runner_entry(row.key, row.value)


class TestMachines:
    def test_that_are_unreadable_leave_the_others(self) -> None:
        (good,) = MACHINES["machines"]
        rows = [good, good | {"machine": "m-2", "state": "lost"}, good | {"machine": 3}]
        client = CloudClient("127.0.0.1:1", 1.0)
        text = json.dumps({"machines": rows, "nextToken": None}).encode()
        client._caller = t.cast(t.Any, _Caller(client, text, 200))
        listed = asyncio.run(client.machines())
        assert [machine.machine_id for machine in listed.machines] == ["m-1"]
        assert [row.machine_id for row in listed.unreadable] == ["m-2", ""]


class TestJobs:
    def test_of_more_tasks_than_the_holder_can_keep_are_refused(self) -> None:
        steps = [STEP | {"count": 10**9}]
        with pytest.raises(BadInputError, match="tasks"):
            decode_job(json.dumps({"steps": steps}).encode())

    def test_in_msgpack_are_refused(self) -> None:
        with pytest.raises(BadInputError):
            decode_job(msgspec.msgpack.encode(JOB))
