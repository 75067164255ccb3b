"""What control costs an entry, as slopes over the size of the fleet.

Runs real entries with their ordinary settings against the stand-ins, without
callers' traffic, at several sizes of one thing at a time. Prints one JSON line a
point, fits straight lines, and writes ``docs/capacity.json``, from which
``docs/CAPACITY.md`` is made.
"""

import argparse
import asyncio
import json
import pathlib
import statistics
import time
import typing as t

import attrs
import cattrs
import psutil
from tools.capacity_page import write_page
from tools.cluster import Cluster
from tools.cluster import ClusterPlan
from tools.processes import eventually

OUTPUT = pathlib.Path(__file__).parents[1] / "docs" / "capacity.json"
MEASURED_S = 6.0
SETTLE_LIMIT_S = 60.0
SETTLED_S = 12.0
"""Long enough for the events of the start to be in the object store."""
AT_ONCE = 3
REGISTERED_AT_ONCE = 2000
HALLS = ("plateau", "almadies", "hann", "rufisque")

PLANNED = {
    "workers": 18_000.0,
    "pools": 357.0,
    "teams": 950.0,
    "entries": 9.0,
    "changes_per_s": 55_000 / 86_400,
    "churn_per_s": (340 + 1_400 + 18_000 / 21) * 2 / 86_400,
}
"""The users' plan; churn counts a change of an instance going and coming."""

SIZES: dict[str, tuple[float, ...]] = {
    "workers": (500, 6_000, 18_000),
    "pools": (20, 120, 357),
    "teams": (50, 350, 950),
    "entries": (3, 6, 9),
    "changes_per_s": (0, 0.64, 12.8),
    "churn_per_s": (0, 5, 20),
}
MEASURES = (
    "cpu_s_per_s",
    "resident_bytes",
    "control_bytes_per_s",
    "store_reads_per_s",
    "store_writes_per_s",
)


@attrs.frozen
class Size:
    """One point: how large everything is."""

    workers: int = 500
    pools: int = 20
    teams: int = 50
    entries: int = 3
    changes_per_s: float = 0.0
    churn_per_s: float = 0.0


@attrs.frozen
class Cost:
    """What one entry spends, averaged over the entries.

    Store reads and writes are of all entries together.
    """

    cpu_s_per_s: float
    resident_bytes: float
    control_bytes_per_s: float
    store_reads_per_s: float
    store_writes_per_s: float


@attrs.frozen
class Counters:
    """What is read before and after."""

    at_s: float
    cpu_s: float
    control_bytes: float
    reads: float
    writes: float


async def measure(size: Size) -> Cost:
    """Start a cluster of a size, let it settle, and measure it."""
    plan = ClusterPlan(
        entries=0, services=(), halls=HALLS, proxied=True, settings=_settings()
    )
    async with Cluster(plan) as cluster:
        await _register(cluster, size.workers)
        started = (cluster.start_entry(number) for number in range(size.entries))
        cluster.entries = list(await asyncio.gather(*started))
        await cluster.apply(_items(size))
        await eventually(lambda: _settled(cluster, size), SETTLE_LIMIT_S)
        await asyncio.sleep(SETTLED_S)
        before = await _read(cluster)
        await _drive(cluster, size)
        after = await _read(cluster)
        return _cost(cluster, before, after)


def _settings() -> dict[str, t.Any]:
    return {
        "peers": {"key": "bench"},
        "leases": {},
        "fleet": {},
        "jobs": {},
        "configuration_poll_s": 4.0,
        "stale_s": 8.0,
    }


def _items(size: Size) -> dict[str, t.Any]:
    """Return pools that share the workers, and teams."""
    items: dict[str, t.Any] = {
        f"pool/p{number}": {"selector": f"group = g{number}", "min_available": 1}
        for number in range(size.pools)
    }
    items |= {f"team/t{number}": {"cores_quota": 64} for number in range(size.teams)}
    return items


def _instance(number: int, pools: int = 20, **changes: t.Any) -> dict[str, t.Any]:
    hall = HALLS[number % len(HALLS)]
    return {
        "instance_id": f"worker-{number}",
        "hall": hall,
        "rack": f"{hall}-{number // 16}",
        "cores": 16,
        "memory_bytes": 32 * 2**30,
        "accelerators": 1,
        "labels": {"group": f"g{number % pools}", "role": "worker"},
        **changes,
    }


async def _register(cluster: Cluster, workers: int) -> None:
    for start in range(0, workers, REGISTERED_AT_ONCE):
        stop = min(workers, start + REGISTERED_AT_ONCE)
        await cluster.register([_instance(number) for number in range(start, stop)])


async def _settled(cluster: Cluster, size: Size) -> bool:
    """Whether all workers are in pools, in the view of every entry."""
    for entry in cluster.entries:
        pools = await entry.operators.get("/pools")
        members = sum(pool["members"] for pool in pools)
        if len(pools) != size.pools or members != size.workers:
            return False
    return True


async def _drive(cluster: Cluster, size: Size) -> None:
    """Change the configuration and the membership at the size's rates."""
    loads = [asyncio.sleep(MEASURED_S)]
    if size.changes_per_s:
        loads.append(_change(cluster, size.changes_per_s))
    if size.churn_per_s:
        loads.append(_churn(cluster, size))
    await asyncio.gather(*loads)


async def _change(cluster: Cluster, per_s: float) -> None:
    began_s = time.monotonic()
    for number in range(int(MEASURED_S * per_s)):
        await asyncio.sleep(max(0.0, began_s + number / per_s - time.monotonic()))
        item = {f"team/t{number % 50}": {"cores_quota": 100 + number}}
        await cluster.apply(item, number % len(cluster.entries))


async def _churn(cluster: Cluster, size: Size) -> None:
    began_s = time.monotonic()
    for number in range(int(MEASURED_S * size.churn_per_s)):
        due_s = began_s + number / size.churn_per_s
        await asyncio.sleep(max(0.0, due_s - time.monotonic()))
        status = "leaving" if number % 2 == 0 else "live"
        which = (number // 2) % size.workers
        await cluster.register([_instance(which, status=status)])


async def _read(cluster: Cluster) -> Counters:
    assert cluster.proxy is not None
    url = f"http://127.0.0.1:{cluster.proxy.announced['port']}/links"
    async with cluster.session.get(url) as response:
        links = await response.json()
    carried = 0
    for name, link in links.items():
        both_ways = link["bytes_to_target"] + link["bytes_of_answers"]
        # A byte between peers is sent by one entry and received by another.
        carried += both_ways * (2 if name.startswith("peer-") else 1)
    counters = await cluster.counters()
    cpu_s = 0.0
    for entry in cluster.entries:
        times = psutil.Process(entry.pid).cpu_times()
        cpu_s += times.user + times.system
    return Counters(
        time.monotonic(), cpu_s, carried, counters["reads"], counters["writes"]
    )


def _cost(cluster: Cluster, before: Counters, after: Counters) -> Cost:
    passed_s = after.at_s - before.at_s
    entries = len(cluster.entries)
    resident = [
        psutil.Process(entry.pid).memory_info().rss for entry in cluster.entries
    ]
    return Cost(
        cpu_s_per_s=(after.cpu_s - before.cpu_s) / passed_s / entries,
        resident_bytes=statistics.fmean(resident),
        control_bytes_per_s=(after.control_bytes - before.control_bytes)
        / passed_s
        / entries,
        store_reads_per_s=(after.reads - before.reads) / passed_s,
        store_writes_per_s=(after.writes - before.writes) / passed_s,
    )


def fit(points: list[dict[str, t.Any]]) -> dict[str, t.Any]:
    """Return the slope of each measure over each thing, and the base.

    The base is the mean of the points at the ordinary size; the planned cost
    adds each slope times what the plan has more.
    """
    reference = cattrs.unstructure(Size())
    at_reference = [point for point in points if point["size"] == reference]
    base = {
        measure: statistics.fmean(point["cost"][measure] for point in at_reference)
        for measure in MEASURES
    }
    slopes: dict[str, dict[str, float]] = {}
    for thing in SIZES:
        chosen = [point for point in points if point["over"] == thing]
        sizes = [point["size"][thing] for point in chosen]
        slopes[thing] = {
            measure: statistics.linear_regression(
                sizes, [point["cost"][measure] for point in chosen]
            ).slope
            for measure in MEASURES
        }
    planned = {
        measure: base[measure]
        + sum(
            slopes[thing][measure] * (PLANNED[thing] - reference[thing])
            for thing in SIZES
        )
        for measure in MEASURES
    }
    return {"base": base, "slopes": slopes, "planned": planned}


def _sizes(thing: str) -> list[Size]:
    kind = type(getattr(Size(), thing))
    return [attrs.evolve(Size(), **{thing: kind(value)}) for value in SIZES[thing]]


async def run(things: list[str]) -> list[dict[str, t.Any]]:
    """Measure every size of the named things, a few at once; print a line each."""
    limit = asyncio.Semaphore(AT_ONCE)

    async def one(size: Size) -> tuple[Size, Cost]:
        async with limit:
            return size, await measure(size)

    wanted = {size for thing in things for size in _sizes(thing)}
    largest_first = sorted(wanted, key=lambda size: (-size.entries, -size.workers))
    costs = dict(await asyncio.gather(*(one(size) for size in largest_first)))
    points = [
        {
            "bench": "capacity",
            "over": thing,
            "size": cattrs.unstructure(size),
            "cost": cattrs.unstructure(costs[size]),
        }
        for thing in things
        for size in _sizes(thing)
    ]
    for point in points:
        print(json.dumps(point), flush=True)
    return points


def main() -> None:
    """Run the measurement and write the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--over", action="append", choices=tuple(SIZES))
    parser.add_argument("--dry-run", action="store_true", help="write nothing")
    arguments = parser.parse_args()
    points = asyncio.run(run(arguments.over or list(SIZES)))
    if arguments.dry_run or arguments.over:
        return
    result = {"planned_size": PLANNED, "points": points, **fit(points)}
    OUTPUT.write_text(json.dumps(result, indent=1) + "\n")
    write_page()
    print(json.dumps({"bench": "capacity", "planned": result["planned"]}))


if __name__ == "__main__":
    main()
