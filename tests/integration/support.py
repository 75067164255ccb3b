"""What the integration tests share."""

import contextlib
import typing as t

import aiohttp
from tools.cluster import Cluster
from tools.cluster import ClusterPlan
from tools.cluster import service_items
from tools.processes import eventually

SERVICE = "seat-grant"
RUNNERS = 4
MIN_AVAILABLE = 2
UNSAFE = "renew"


@contextlib.asynccontextmanager
async def served_cluster(**plan: t.Any) -> t.AsyncIterator[Cluster]:
    """Start a cluster and wait until every entry serves the service."""
    plan.setdefault("runners", RUNNERS)
    async with Cluster(ClusterPlan(services=(SERVICE,), **plan)) as cluster:
        await cluster.apply(service_items([SERVICE], MIN_AVAILABLE))
        await all_serve(cluster, range(len(cluster.entries)))
        yield cluster


async def all_serve(cluster: Cluster, entries: t.Iterable[int]) -> None:
    """Wait until some entries answer from an upstream, with all peers known."""
    expected = len(list(entries))

    async def serve() -> bool:
        for entry in entries:
            if (await cluster.call(SERVICE, "x", entry))[0] != 200:
                return False
            listed = await cluster.entries[entry].operators.get("/entries")
            if len(listed) < expected or not all(one["ready"] for one in listed):
                return False
        return await all_shards_held(cluster, entries)

    await eventually(serve)


async def all_shards_held(cluster: Cluster, entries: t.Iterable[int]) -> bool:
    """Whether the named entries hold all shards between them."""
    held = 0
    for entry in entries:
        held += (await cluster.entries[entry].operators.get("/status"))["shards_held"]
    return held == 16


async def renew(
    cluster: Cluster, key: str, entry: int, path: str = UNSAFE, body: bytes = b"seat"
) -> tuple[str, bytes]:
    """Send one unsafe request; return its outcome (or why none came) and body."""
    try:
        _, headers, answer = await cluster.call(
            SERVICE,
            path,
            entry,
            method="POST",
            data=body,
            headers={"Idempotency-Key": key},
        )
    except aiohttp.ClientConnectorError:
        return "refused", b""
    except aiohttp.ClientError:
        return "broken", b""
    return headers["Streamthread-Outcome"], answer


async def runs_of(cluster: Cluster) -> dict[str, int]:
    """Return how often each key ran, over all runners."""
    runs: dict[str, int] = {}
    for runner in (await cluster.runner_counters(starts=True)).values():
        for key, count in runner["starts"].items():
            runs[key] = runs.get(key, 0) + count
    return runs


async def members_by_pool(cluster: Cluster) -> dict[str, set[str]]:
    """Return the members of each pool's row, straight from the store."""
    url = f"{cluster.platform_url}/tables/scan"
    body = {"prefix": "pool/", "after": "", "limit": 500}
    async with cluster.session.post(url, json=body) as response:
        rows = (await response.json())["rows"]
    return {
        row["key"].removeprefix("pool/"): set(row["value"]["members"]) for row in rows
    }


async def start_wave(cluster: Cluster, name: str = "w", entry: int = 0) -> None:
    """Start a wave over all runners."""
    await cluster.apply({f"wave/{name}": {"selector": f"service = {SERVICE}"}}, entry)


async def wave_done(cluster: Cluster, entry: int = 0, name: str = "w") -> bool:
    """Whether every selected instance has been through the wave."""
    for wave in await cluster.entries[entry].operators.get("/waves"):
        if wave["wave"] == name:
            return bool(wave["done"] == wave["selected"] == cluster.plan.runners)
    return False


async def holder_of_pool(cluster: Cluster) -> int:
    """Return which entry holds the service's pool: the one that says so of itself.

    Of others each entry knows what it read last, seconds ago, and shards change hands
    while the entries find each other.
    """

    async def known() -> str:
        for entry in range(len(cluster.entries)):
            holder = str((await cluster.pool(SERVICE, entry))["holder"])
            if holder == f"entry-{entry}":
                return holder
        return ""

    return int((await eventually(known)).removeprefix("entry-"))
