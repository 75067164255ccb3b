"""Callers' requests over real entries, runners and faults."""

import asyncio
import collections
import hashlib
import random
import typing as t

import aiohttp
import pytest
from tools.cluster import Cluster
from tools.processes import eventually

from tests.integration.support import all_serve
from tests.integration.support import renew
from tests.integration.support import runs_of
from tests.integration.support import served_cluster
from tests.integration.support import SERVICE


class TestAtMostOnce:
    async def test_repeats_at_other_entries_get_the_first_answer(self) -> None:
        async with served_cluster(entries=3) as cluster:
            outcome, first = await renew(cluster, "k", 0)
            assert outcome == "done"

            async def replayed() -> bool:
                return (await renew(cluster, "k", 1)) == ("done", first)

            await eventually(replayed)
            assert (await runs_of(cluster))["k"] == 1

    async def test_key_with_another_body_is_refused(self) -> None:
        async with served_cluster(entries=2) as cluster:
            await renew(cluster, "k", 0)
            outcome, answer = await renew(cluster, "k", 1, body=b"other")
            assert outcome == "not-run"
            assert b"key-reused" in answer
            assert (await runs_of(cluster))["k"] == 1

    async def test_concurrent_repeats_run_once(self) -> None:
        """One runs; a repeat hears that the key is taken, or the first answer again.

        Which of the two depends on whether the first has ended when it comes.
        """
        async with served_cluster(entries=3) as cluster:
            sent = [_repeat(cluster, entry) for entry in (0, 1, 2) * 5]
            answers = await asyncio.gather(*sent)
            outcomes = [headers["Streamthread-Outcome"] for headers, _ in answers]
            assert set(outcomes) == {"done", "unknown"}
            done = [answer for answer in answers if _is_done(answer)]
            first = [body for headers, body in done if not _is_replayed(headers)]
            assert len(first) == 1
            assert {body for _, body in done} == set(first)
            assert (await runs_of(cluster))["k"] == 1

    async def test_lost_answer_is_unknown_and_never_sent_again(self) -> None:
        async with served_cluster(entries=2, runners=2) as cluster:
            for runner in range(2):
                await cluster.set_upstream(f"{SERVICE}-{runner}", broken=True)
            outcome, _ = await renew(cluster, "k", 0)
            assert outcome == "unknown"
            for runner in range(2):
                await cluster.set_upstream(f"{SERVICE}-{runner}", broken=False)
            outcome, _ = await renew(cluster, "k", 1)
            assert outcome == "unknown"
            assert (await runs_of(cluster))["k"] == 1

    async def test_store_that_is_down_means_not_run_at_once(self) -> None:
        async with served_cluster(entries=2) as cluster:
            await cluster.set_faults(outage=True)
            outcome, _ = await renew(cluster, "k", 0)
            assert outcome == "not-run"
            assert "k" not in await runs_of(cluster)
            status, _, _ = await cluster.call(SERVICE, "x", 0)
            assert status == 200
            await cluster.set_faults(outage=False)

            async def runs() -> bool:
                return (await renew(cluster, "k", 1))[0] == "done"

            await eventually(runs)
            assert (await runs_of(cluster))["k"] == 1

    async def test_faults_never_run_a_key_twice_nor_a_not_run_one(self) -> None:
        """Replies lost, runners that break, an entry killed, all under load."""
        async with served_cluster(entries=3) as cluster:
            load = UnsafeLoad(cluster, keys=240)
            working = asyncio.create_task(load.run())
            await eventually(lambda: load.at_least(40))
            await cluster.set_faults(lose_replies=6)
            await eventually(lambda: load.at_least(90))
            await cluster.set_upstream(f"{SERVICE}-0", broken=True)
            await eventually(lambda: load.at_least(130))
            await cluster.entries[2].kill()
            await cluster.set_upstream(f"{SERVICE}-0", broken=False)
            await working
            runs = await runs_of(cluster)
            assert {key: count for key, count in runs.items() if count > 1} == {}
            for key, outcomes in load.outcomes.items():
                if set(outcomes) <= {"not-run", "refused"}:
                    assert key not in runs
                if "done" in outcomes:
                    assert runs[key] == 1
            assert load.count("done") > 150


Answer = tuple[t.Mapping[str, str], bytes]


async def _repeat(cluster: Cluster, entry: int) -> Answer:
    _, headers, body = await cluster.call(
        SERVICE,
        "renew?delay_ms=100",
        entry,
        method="POST",
        data=b"seat",
        headers={"Idempotency-Key": "k"},
    )
    return headers, body


def _is_done(answer: Answer) -> bool:
    headers, _ = answer
    return headers["Streamthread-Outcome"] == "done"


def _is_replayed(headers: t.Mapping[str, str]) -> bool:
    return headers.get("Streamthread-Replayed") == "true"


class UnsafeLoad:
    """Sends keys to entries at random; repeats elsewhere what is not done."""

    def __init__(self, cluster: Cluster, keys: int) -> None:
        self.outcomes: dict[str, list[str]] = collections.defaultdict(list)
        self._cluster = cluster
        self._keys = keys
        self._random = random.Random(7)

    async def at_least(self, count: int) -> bool:
        return len(self.outcomes) >= count

    def count(self, outcome: str) -> int:
        return sum(outcome in outcomes for outcomes in self.outcomes.values())

    async def run(self) -> None:
        limit = asyncio.Semaphore(8)

        async def one(key: str) -> None:
            async with limit:
                await self._send(key)

        await asyncio.gather(*(one(f"key-{number}") for number in range(self._keys)))

    async def _send(self, key: str) -> None:
        for _ in range(3):
            entry = self._random.randrange(3)
            outcome, _ = await renew(self._cluster, key, entry, "renew?delay_ms=20")
            self.outcomes[key].append(outcome)
            if outcome == "done" or (outcome == "not-run" and key.endswith("7")):
                return


class TestNotRun:
    async def test_is_not_said_of_a_safe_request_whose_answer_was_lost(self) -> None:
        """It ran, its answer was lost, and then nobody is left to try again."""
        async with served_cluster(entries=1, runners=1) as cluster:
            only = f"{SERVICE}-0"
            await cluster.set_upstream(only, broken=True)
            before = await _started(cluster, only)
            call = asyncio.create_task(cluster.call(SERVICE, "x?delay_ms=1500"))
            await eventually(lambda: _has_started(cluster, only, before + 1))
            await cluster.set_status("leaving", only)
            await eventually(lambda: _is_listed(cluster, only, "leaving"))
            _, headers, _ = await call
            assert headers["Streamthread-Outcome"] == "unknown"


async def _has_started(cluster: Cluster, instance_id: str, count: int) -> bool:
    return await _started(cluster, instance_id) >= count


async def _is_listed(cluster: Cluster, instance_id: str, status: str) -> bool:
    found = await cluster.entries[0].operators.get(
        "/instances", selector=f"instance = {instance_id}"
    )
    return bool(found[0]["status"] == status)


class TestWholeAnswers:
    async def test_each_caller_gets_its_own_answer(self) -> None:
        async with served_cluster(entries=3) as cluster:
            generator = random.Random(3)

            async def one(number: int) -> None:
                delay_ms = generator.randrange(60)
                path = f"item/{number}?delay_ms={delay_ms}&size_bytes=70000"
                _, _, body = await cluster.call(SERVICE, path, number % 3)
                digest = hashlib.sha256(f"/{path}".encode()).hexdigest()
                assert body[:64].decode() == digest
                assert len(body) == 70000

            await asyncio.gather(*(one(number) for number in range(150)))

    @pytest.mark.parametrize("kind", ["", "&chunked=1"])
    async def test_answer_that_breaks_off_never_ends_clean(self, kind: str) -> None:
        async with served_cluster(entries=1) as cluster:
            path = f"x?size_bytes=500000&break_at_bytes=200000{kind}"
            with pytest.raises(aiohttp.ClientError):
                await cluster.call(SERVICE, path)

    async def test_long_answer_does_not_grow_the_entry(self) -> None:
        async with served_cluster(entries=1) as cluster:
            size_bytes = 256 * 2**20
            before = await _resident_bytes(cluster)
            url = f"{cluster.entries[0].callers_url}/services/{SERVICE}/x"
            read = 0
            async with cluster.session.get(
                url, params={"size_bytes": str(size_bytes)}
            ) as response:
                async for chunk in response.content.iter_chunked(65536):
                    read += len(chunk)
            assert read == size_bytes
            assert await _resident_bytes(cluster) < before + 32 * 2**20


async def _resident_bytes(cluster: Cluster) -> float:
    url = f"{cluster.entries[0].server}/metrics"
    async with cluster.session.get(url) as response:
        for line in (await response.text()).splitlines():
            if line.startswith("process_resident_memory_bytes"):
                return float(line.split()[1])
    raise AssertionError("no such metric")


class TestMalformedRequests:
    @pytest.mark.parametrize(
        "headers",
        [
            "Content-Length: 5\r\nTransfer-Encoding: chunked",
            "Content-Length: 5\r\nContent-Length: 6",
            "Transfer-Encoding: chunked, identity",
            f"X-Long: {'x' * 20_000}",
        ],
    )
    async def test_reach_no_upstream(self, headers: str) -> None:
        async with served_cluster(entries=1, runners=1) as cluster:
            before = await _started(cluster, f"{SERVICE}-0")
            host, port = cluster.entries[0].announced["callers"].split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            path = f"/services/{SERVICE}/x"
            request = f"POST {path} HTTP/1.1\r\nHost: x\r\n{headers}\r\n\r\n0\r\n\r\n"
            writer.write(request.encode())
            status = await reader.readline()
            assert b" 400 " in status
            writer.close()
            assert await _started(cluster, f"{SERVICE}-0") == before


class TestSlowCaller:
    async def test_that_stops_reading_gives_its_slot_back_at_the_deadline(
        self,
    ) -> None:
        async with served_cluster(entries=1, runners=1, slots=1) as cluster:
            host, port = cluster.entries[0].announced["callers"].split(":")
            _reader, writer = await asyncio.open_connection(host, int(port))
            request = (
                f"GET /services/{SERVICE}/x?size_bytes=200000000 HTTP/1.1\r\n"
                "Host: x\r\nStreamthread-Deadline-S: 2\r\n\r\n"
            )
            writer.write(request.encode())
            await eventually(lambda: _in_flight(cluster, 1))

            async def served() -> bool:
                return (await cluster.call(SERVICE, "x"))[0] == 200

            await eventually(served)
            writer.close()


class TestLeavingUpstream:
    @pytest.mark.parametrize("sign", ["header", "membership"])
    async def test_gets_no_new_work_once_its_sign_is_known(self, sign: str) -> None:
        async with served_cluster(entries=3) as cluster:
            leaving = f"{SERVICE}-1"
            if sign == "header":
                await cluster.set_upstream(leaving, leaving=True)
            else:
                await cluster.set_status("leaving", leaving)

            async def quiet() -> bool:
                """A round of requests through every entry leaves it alone."""
                before = await _started(cluster, leaving)
                await _round(cluster, 24)
                return await _started(cluster, leaving) == before

            await eventually(quiet)
            before = await _started(cluster, leaving)
            await _round(cluster, 90)
            assert await _started(cluster, leaving) == before

    async def test_sign_seen_by_one_entry_reaches_the_others(self) -> None:
        async with served_cluster(entries=3) as cluster:
            leaving = f"{SERVICE}-1"
            await cluster.set_upstream(leaving, leaving=True)

            async def all_know() -> bool:
                await _round(cluster, 8, entries=(0,))
                events = await cluster.timeline(kind="upstream-leaving")
                return len({event["daemon_id"] for event in events}) == 3

            await eventually(all_know)
            before = await _started(cluster, leaving)
            await _round(cluster, 40, entries=(1, 2))
            assert await _started(cluster, leaving) == before


async def _started(cluster: Cluster, instance_id: str) -> int:
    return int((await cluster.runner_counters())[instance_id].get("started", 0))


async def _round(
    cluster: Cluster, count: int, entries: tuple[int, ...] = (0, 1, 2)
) -> None:
    sent = [
        cluster.call(SERVICE, "x?delay_ms=5", entries[number % len(entries)])
        for number in range(count)
    ]
    for status, _, _ in await asyncio.gather(*sent):
        assert status == 200


class TestPlannedStop:
    async def test_cuts_nothing_in_flight(self) -> None:
        async with served_cluster(entries=2) as cluster:
            sent = [
                asyncio.create_task(cluster.call(SERVICE, "x?delay_ms=1500", 0))
                for _ in range(12)
            ]
            await eventually(lambda: _in_flight(cluster, 12))
            status = await cluster.entries[0].terminate()
            assert status == 0
            assert [(await task)[0] for task in sent] == [200] * 12

    async def test_rolling_restart_under_load_loses_nothing(self) -> None:
        async with served_cluster(entries=3) as cluster:
            stop = asyncio.Event()
            load = [asyncio.create_task(_balanced(cluster, stop)) for _ in range(6)]
            for entry in range(3):
                assert await cluster.entries[entry].terminate() == 0
                cluster.entries[entry] = await cluster.start_entry(entry)
                await all_serve(cluster, range(3))
            stop.set()
            results = collections.Counter[str]()
            for task in load:
                results.update(await task)
            assert set(results) == {"done"}


async def _in_flight(cluster: Cluster, count: int) -> bool:
    listed = await cluster.entries[0].operators.get("/entries")
    return bool(listed[0]["requests_in_flight"] >= count)


async def _balanced(cluster: Cluster, stop: asyncio.Event) -> collections.Counter[str]:
    """Call as through a balancer: another entry after a refusal; count the ends."""
    ends: collections.Counter[str] = collections.Counter()
    number = 0
    while not stop.is_set():
        number += 1
        ends[await _call_somewhere(cluster, number)] += 1
    return ends


async def _call_somewhere(cluster: Cluster, number: int) -> str:
    for attempt in range(30):
        entry = (number + attempt) % 3
        try:
            _, headers, _ = await cluster.call(SERVICE, "x?delay_ms=20", entry)
        except aiohttp.ClientConnectorError:
            continue
        except aiohttp.ClientError as error:
            return f"cut off: {error!r}"
        if headers["Streamthread-Outcome"] != "not-run":
            return headers["Streamthread-Outcome"]
        await asyncio.sleep(0.02)
    return "lost"
