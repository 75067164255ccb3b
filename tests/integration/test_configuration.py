"""Configuration in force everywhere, with links cut and the store away."""

import asyncio
import typing as t

from tools.cluster import Cluster
from tools.processes import eventually

from tests.integration.support import all_serve
from tests.integration.support import served_cluster
from tests.integration.support import SERVICE


async def _generations(cluster: Cluster, entries: t.Iterable[int]) -> list[int]:
    return [
        (await cluster.entries[entry].operators.get("/status"))["generation"]
        for entry in entries
    ]


async def _all_have(
    cluster: Cluster, generation: int, entries: t.Iterable[int]
) -> bool:
    return set(await _generations(cluster, entries)) == {generation}


class TestRollOut:
    async def test_reaches_an_entry_whose_peer_links_are_cut(self) -> None:
        async with served_cluster(entries=3, proxied=True) as cluster:
            await cluster.set_link("peer-2", cut=True)
            generation = await cluster.apply({"team/a": {"cores_quota": 1}})
            await eventually(lambda: _all_have(cluster, generation, range(3)))

    async def test_reaches_an_entry_that_cannot_read_the_store(self) -> None:
        async with served_cluster(entries=3, proxied=True) as cluster:
            await cluster.set_link("store-2", cut=True)
            generation = await cluster.apply({"team/a": {"cores_quota": 1}})
            await eventually(lambda: _all_have(cluster, generation, range(3)))

    async def test_never_goes_back_while_many_are_applied(self) -> None:
        async with served_cluster(entries=3, proxied=True) as cluster:
            seen: list[list[int]] = [[], [], []]
            stop = asyncio.Event()

            async def watch() -> None:
                while not stop.is_set():
                    now = await _generations(cluster, range(3))
                    for entry, generation in enumerate(now):
                        seen[entry].append(generation)

            watching = asyncio.create_task(watch())
            await cluster.set_link("peer-1", delay_s=0.05)
            for number in range(20):
                item = {f"team/{number % 3}": {"cores_quota": number}}
                await cluster.apply(item, number % 3)
            (highest,) = {max(await _generations(cluster, range(3)))}
            await eventually(lambda: _all_have(cluster, highest, range(3)))
            stop.set()
            await watching
            assert all(found == sorted(found) for found in seen)


class TestCutOff:
    async def test_entry_cut_from_store_and_peers_takes_no_new_requests(self) -> None:
        async with served_cluster(entries=3, proxied=True) as cluster:
            for link in ("store-2", "peer-2", "peer-0", "peer-1"):
                await cluster.set_link(link, cut=True)

            async def refuses() -> bool:
                _, _, body = await cluster.call(SERVICE, "x", 2)
                return b"cut-off" in body

            await eventually(refuses)
            await eventually(lambda: _not_ready(cluster, 2))
            for entry in (0, 1):
                assert (await cluster.call(SERVICE, "x", entry))[0] == 200
            generation = await cluster.apply({"team/a": {"cores_quota": 1}})
            for link in ("store-2", "peer-2", "peer-0", "peer-1"):
                await cluster.set_link(link)
            await eventually(lambda: _all_have(cluster, generation, range(3)))
            await all_serve(cluster, range(3))


async def _not_ready(cluster: Cluster, entry: int) -> bool:
    url = f"{cluster.entries[entry].server}/readyz"
    async with cluster.session.get(url) as response:
        return response.status == 503


class TestStoreOutage:
    async def test_requests_go_on_and_nothing_is_granted(self) -> None:
        async with served_cluster(entries=3) as cluster:
            before = await _shards(cluster)
            await cluster.apply({"wave/w": {"selector": "", "paused": True}})
            await cluster.set_faults(outage=True)
            await eventually(lambda: _none_trusted(cluster))
            for entry in range(3):
                assert (await cluster.call(SERVICE, "x", entry))[0] == 200
            assert (await cluster.pool(SERVICE))["states"] == {"serving": 4}
            await cluster.set_faults(outage=False)
            await eventually(lambda: _all_trusted(cluster))
            assert await _shards(cluster) == before

    async def test_entry_that_is_new_then_takes_the_configuration_from_peers(
        self,
    ) -> None:
        async with served_cluster(entries=2) as cluster:
            await cluster.set_faults(outage=True)
            peers = dict(cluster.plan.settings.get("peers", {}))
            seeds = [cluster.entries[0].announced["peers"]]
            cluster.plan.settings["peers"] = {
                "key": "test", "exchange_s": 0.3, "seeds": seeds, **peers,
            }  # fmt: skip
            cluster.entries.append(await cluster.start_entry(2))
            generation = (await _generations(cluster, [0]))[0]
            await eventually(lambda: _all_have(cluster, generation, [2]))

            async def serves() -> bool:
                return (await cluster.call(SERVICE, "x", 2))[0] == 200

            await eventually(serves)


async def _shards(cluster: Cluster) -> list[int]:
    return [
        (await entry.operators.get("/status"))["shards_held"]
        for entry in cluster.entries
    ]


async def _trusted(cluster: Cluster) -> list[bool]:
    return [
        (await entry.operators.get("/status"))["lease_trusted"]
        for entry in cluster.entries
    ]


async def _none_trusted(cluster: Cluster) -> bool:
    return not any(await _trusted(cluster))


async def _all_trusted(cluster: Cluster) -> bool:
    return all(await _trusted(cluster))
