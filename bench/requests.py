"""The requests' path over nine entries: slots, latency, overload, faults.

Runs real entries in front of runners with 8 slots each. Prints a table and, last,
one JSON line an item.
"""

import argparse
import asyncio
import json
import sys
import time
import typing as t

import attrs
import psutil
from tools.cluster import Cluster
from tools.cluster import ClusterPlan
from tools.cluster import service_items
from tools.processes import eventually

from bench.load import Load
from bench.load import LoadPlan
from bench.load import LoadResult

ENTRIES = 9
SERVICES = ("seat-grant", "audit", "token", "billing", "portal")
RUNNERS = 8
SLOTS = 8
DELAY_MS = 500
CAPACITY_PER_S = len(SERVICES) * RUNNERS * SLOTS / (DELAY_MS / 1000)
UNSAFE_REQUESTS = 10_000
UNSAFE_PER_S = 400.0
STORE_READS_LIMIT = 2000.0
STORE_WRITES_LIMIT = 300.0


@attrs.frozen
class Item:
    """One measured value, with what it is compared to."""

    measure: str
    value: float
    baseline: float | None = None
    aim: str = ""

    def line(self) -> str:
        """Return the JSON line."""
        ratio = None
        if self.baseline:
            ratio = round(self.value / self.baseline, 3)
        return json.dumps(
            {
                "bench": "requests",
                "measure": self.measure,
                "value": round(self.value, 4),
                "baseline": self.baseline,
                "ratio": ratio,
                "aim": self.aim,
            }
        )


class RequestsBench:
    """Measures one cluster, part after part."""

    def __init__(self, cluster: Cluster) -> None:
        self.items: list[Item] = []
        self._cluster = cluster

    def _note(
        self, measure: str, value: float, baseline: float | None = None, aim: str = ""
    ) -> None:
        self.items.append(Item(measure, value, baseline, aim))
        print(f"  {measure:<34} {value:10.3f}  {aim}", flush=True)

    def _urls(self, services: t.Sequence[str] = SERVICES) -> tuple[str, ...]:
        """Every service at every entry, in a fixed mixed order."""
        return tuple(
            f"{self._cluster.entries[(number * 2) % ENTRIES].callers_url}"
            f"/services/{services[number % len(services)]}"
            for number in range(ENTRIES * len(services))
        )

    async def _load(self, **plan: t.Any) -> LoadResult:
        plan.setdefault("urls", self._urls())
        plan.setdefault("delay_ms", DELAY_MS)
        plan.setdefault("repeat_step", len(SERVICES))
        return await Load(LoadPlan(**plan)).run()

    # Parts.

    async def latency(self) -> None:
        """At 30 % load, against a bare pass-through and the runners themselves."""
        addresses = await self._runner_addresses()
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "bench.passthrough", *addresses,
            stdout=asyncio.subprocess.PIPE,
        )  # fmt: skip
        assert process.stdout is not None
        try:
            port = json.loads(await process.stdout.readline())["port"]
            plan: dict[str, t.Any] = {
                "per_s": 0.3 * CAPACITY_PER_S / ENTRIES,
                "duration_s": 8,
                "delay_ms": 20,
            }
            direct_urls = tuple(f"http://{address}" for address in addresses)
            direct = await self._load(urls=direct_urls, **plan)
            bare_cpu = _cpu_s(process.pid)
            bare = await self._load(
                urls=(f"http://127.0.0.1:{port}/services/x",), **plan
            )
            bare_cpu = (_cpu_s(process.pid) - bare_cpu) / bare.outcomes["done"]
            entry = self._cluster.entries[0]
            one_entry = tuple(f"{entry.callers_url}/services/{one}" for one in SERVICES)
            cpu = _cpu_s(entry.pid)
            ours = await self._load(urls=one_entry, **plan)
            cpu = (_cpu_s(entry.pid) - cpu) / ours.outcomes["done"]
        finally:
            process.kill()
            await process.wait()
        for percentile in (50.0, 99.0):
            floor = direct.latency_ms(percentile)
            self._note(
                f"added_latency_ms_p{percentile:.0f}",
                ours.latency_ms(percentile) - floor,
                round(bare.latency_ms(percentile) - floor, 4),
                "at most 1.5 of the pass-through's",
            )
        self._note("requests_per_core_ratio", bare_cpu / cpu, None, "at least 0.5")

    async def _runner_addresses(self) -> list[str]:
        found = await self._cluster.entries[0].operators.get("/instances")
        ids = [one["instance"] for one in found]
        url = f"{self._cluster.platform_url}/membership/changes"
        async with self._cluster.session.post(url, json={"cursor": 0}) as response:
            listed = (await response.json())["instances"]
        return [one["address"] for one in listed if one["instance_id"] in ids]

    async def saturation(self) -> None:
        """Somewhat above and at twice the slots' capacity."""
        full = await self._load(
            per_s=1.15 * CAPACITY_PER_S, duration_s=12, deadline_s=4
        )
        goodput = full.done_per_s(4, 12)
        aim = "at least 0.95 of the ideal"
        self._note("slot_use_at_saturation", goodput / CAPACITY_PER_S, 1.0, aim)
        twice = await self._load(
            per_s=2 * CAPACITY_PER_S, duration_s=12, deadline_s=4, seed=2
        )
        aim = "at least 0.95 of saturation"
        self._note("goodput_at_2x_overload", twice.done_per_s(4, 12), goodput, aim)
        counters = (await self._cluster.runner_counters()).values()
        over = sum(max(0, one.get("most_at_once", 0) - SLOTS) for one in counters)
        self._note("over_slot_starts", over, None, "0")
        started = sum(one.get("started", 0) for one in counters)
        refused = sum(one.get("refused", 0) for one in counters)
        self._note("refusals_per_start", refused / started)
        mixed = full.mixed_or_short + twice.mixed_or_short
        self._note("mixed_or_short_answers", mixed, None, "0")

    async def unsafe(self) -> None:
        """At most once under lost replies and runners that break."""
        peaks = asyncio.create_task(self._watch_store())
        load = asyncio.create_task(
            self._load(
                per_s=UNSAFE_PER_S,
                duration_s=UNSAFE_REQUESTS / UNSAFE_PER_S,
                delay_ms=20,
                unsafe=True,
                name="unsafe",
            )
        )
        for _ in range(4):
            await asyncio.sleep(4)
            await self._cluster.set_faults(lose_replies=5)
            await self._cluster.set_upstream("billing-0", broken=True)
            await asyncio.sleep(1)
            await self._cluster.set_upstream("billing-0", broken=False)
        result = await load
        peaks.cancel()
        runs: dict[str, int] = {}
        for runner in (await self._cluster.runner_counters(starts=True)).values():
            for key, count in runner["starts"].items():
                runs[key] = runs.get(key, 0) + count
        double = sum(count > 1 for count in runs.values())
        self._note("unsafe_requests", len(runs), None, "at least 10000")
        self._note("unsafe_double_runs", double, None, "0")
        false_not_run = sum(key in runs for key in result.not_run)
        self._note("false_not_run", false_not_run, None, "0")
        self._note("unsafe_latency_ms_p99", result.latency_ms(99))
        writes, reads = self._peaks
        self._note("store_writes_per_s_max", writes, STORE_WRITES_LIMIT, "at most 300")
        self._note("store_reads_per_s_max", reads, STORE_READS_LIMIT, "at most 2000")

    _peaks: tuple[float, float] = (0.0, 0.0)

    async def _watch_store(self) -> None:
        """Keep the highest rates of one second."""
        before = await self._cluster.counters()
        at_s = time.monotonic()
        while True:
            await asyncio.sleep(1.0)
            now = await self._cluster.counters()
            passed_s = time.monotonic() - at_s
            rates = [(now[key] - before[key]) / passed_s for key in ("writes", "reads")]
            self._peaks = max(self._peaks[0], rates[0]), max(self._peaks[1], rates[1])
            before, at_s = now, time.monotonic()

    async def leaving(self) -> None:
        """How long a leaving upstream still gets new work."""
        longest = 0.0
        for number in range(3):
            leaving = f"portal-{number}"
            load = asyncio.create_task(self._load(per_s=200, duration_s=6, delay_ms=20))
            await asyncio.sleep(1.5)
            answer = await self._cluster.set_upstream(leaving, leaving=True)
            await load
            last_s = (await self._cluster.runner_counters())[leaving]["last_start_s"]
            longest = max(longest, last_s - answer["time_s"])
        self._note("new_work_after_leaving_s_max", longest, None, "at most 3")

    async def configuration(self) -> None:
        """How long a generation takes to all entries, healthy and not."""
        healthy = await self._roll_out(40)
        self._note("config_in_force_ms_p99", healthy, None, "at most 1000")
        await self._cluster.set_faults(latency_s=0.5)
        await self._cluster.set_link("peer-3", cut=True)
        slow = await self._roll_out(12)
        await self._cluster.set_faults(latency_s=0.001)
        await self._cluster.set_link("peer-3")
        self._note("config_in_force_slow_ms_p99", slow, None, "at most 10000")

    async def _roll_out(self, count: int) -> float:
        """Return the 99th percentile of accepted-to-last-entry, in milliseconds."""
        took: list[int] = []
        for number in range(count):
            item = {"team/bench": {"cores_quota": number + 1}}
            generation = await self._cluster.apply(item, number % ENTRIES)
            subject = f"configuration/{generation}"

            async def in_force(subject: str = subject) -> list[int] | None:
                times = [
                    event["time"]["physical_ms"]
                    for entry in range(ENTRIES)
                    for event in await self._cluster.timeline(
                        entry, subject=subject, only_here="1"
                    )
                ]
                return times if len(times) == ENTRIES else None

            times = await eventually(in_force, 30)
            took.append(max(times) - min(times))
        took.sort()
        return float(took[min(len(took) - 1, int(len(took) * 0.99))])

    async def planned_stop(self) -> None:
        """Stop one entry after another under load."""
        load = asyncio.create_task(self._load(per_s=200, duration_s=10, delay_ms=200))
        await asyncio.sleep(1)
        statuses = [
            await self._cluster.entries[entry].terminate() for entry in range(3)
        ]
        result = await load
        cut = result.outcomes["broken"] + sum(status != 0 for status in statuses)
        self._note("cut_by_planned_stop", cut, None, "0")


def _cpu_s(pid: int) -> float:
    times = psutil.Process(pid).cpu_times()
    return float(times.user + times.system)


async def run(parts: list[str]) -> list[Item]:
    """Run the named parts on one cluster."""
    plan = ClusterPlan(
        entries=ENTRIES,
        services=SERVICES,
        runners=RUNNERS,
        slots=SLOTS,
        proxied=True,
        settings={
            "leases": {},
            "fleet": {},
            "jobs": {},
            "peers": {"key": "bench"},
            "configuration_poll_s": 4.0,
            "stale_s": 8.0,
        },
    )
    async with Cluster(plan) as cluster:
        await cluster.apply(service_items(SERVICES, RUNNERS // 2, queue_limit=60))

        async def ready() -> bool:
            for entry in cluster.entries:
                listed = await entry.operators.get("/entries")
                if len(listed) < ENTRIES or not all(one["ready"] for one in listed):
                    return False
                pools = await entry.operators.get("/pools")
                if any(pool["available"] < RUNNERS for pool in pools):
                    return False
            return True

        await eventually(ready, 60)
        bench = RequestsBench(cluster)
        for part in parts:
            print(part, flush=True)
            await getattr(bench, part)()
        return bench.items


PARTS = (
    "latency",
    "saturation",
    "unsafe",
    "configuration",
    "leaving",
    "planned_stop",
)


def main() -> None:
    """Run all parts, or the named ones."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("part", nargs="*", choices=[*PARTS, []])
    parts = parser.parse_args().part or list(PARTS)
    items = asyncio.run(run(parts))
    for item in items:
        print(item.line())


if __name__ == "__main__":
    main()
