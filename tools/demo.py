"""The whole path in real processes, with a check at each step.

Starts stand-ins and three entries, drives them by the command line and as a
caller, kills one entry midway, and ends everything. Exit status 0 only if every
check held.
"""

import asyncio
import json
import sys
import time
import typing as t

from tools.cluster import Cluster
from tools.cluster import ClusterPlan
from tools.cluster import service_items
from tools.processes import eventually

SERVICES = ("seat-grant", "billing")
RUNNERS = 8
WORKERS = 8
MIN_AVAILABLE = 6

Json = dict[str, t.Any]


class DemoError(Exception):
    """A check that did not hold."""


class Demo:
    """The steps, in order."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._entry = 0
        self._step = 0

    # Helpers.

    def _say(self, step: str, result: str) -> None:
        self._step += 1
        print(f"{self._step:2}. {step:<46} {result}", flush=True)

    async def _cli(self, *arguments: str) -> t.Any:
        server = self._cluster.entries[self._entry].server
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "streamthread",
            "--server",
            server,
            "--output",
            "json",
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        out, error = await process.communicate()
        if process.returncode:
            raise DemoError(f"{' '.join(arguments)}: {error.decode()}")
        return json.loads(out)

    @staticmethod
    def _check(holds: bool, what: str) -> None:
        if not holds:
            raise DemoError(what)

    # Steps.

    async def run(self) -> None:
        """Take every step."""
        await self.configure()
        await self.request_and_repeat()
        await self.run_job()
        await self.wave_with_load()
        await self.kill_one()
        await self.move_by_label()
        await self.second_configuration()
        await self.show_timeline()
        await self.stop_all()

    async def configure(self) -> None:
        """Apply pools, selectors and services; instances join."""
        items = service_items(SERVICES, MIN_AVAILABLE)
        items["pool/batch"] = {"selector": "role = worker", "min_available": 4}
        items["pool/reserve"] = {"selector": "spare = yes", "min_available": 0}
        document: Json = {}
        for key, value in items.items():
            kind, _, name = key.partition("/")
            document.setdefault(kind, {})[name] = value
        path = self._cluster.folder / "configuration.json"
        path.write_text(json.dumps(document))
        answer = await self._cli("apply", str(path))
        self._say("apply a configuration", f"generation {answer['generation']}")
        waited = await self._cli("rollout", "wait")
        self._say(
            "rollout wait", f"{waited['entries']} entries, {waited['waited_s']} s"
        )
        began_s = time.monotonic()

        async def joined() -> bool:
            pools = await self._cluster.entries[0].operators.get("/pools")
            counts = {pool["pool"]: pool["available"] for pool in pools}
            return counts == {
                "seat-grant": RUNNERS,
                "billing": RUNNERS,
                "batch": WORKERS,
                "reserve": 0,
            }

        await eventually(joined)
        joined_s = time.monotonic() - began_s
        self._say("instances join pools by selectors", f"24 in {joined_s:.2f} s")

    async def request_and_repeat(self) -> None:
        """Carry a request, and an unsafe one with its repeat elsewhere."""

        async def served() -> bool:
            return all(
                [
                    (await self._cluster.call(name, "hello", entry=entry))[0] == 200
                    for name in SERVICES
                    for entry in range(3)
                ]
            )

        await eventually(served)
        self._say("requests through each entry", "200 from all three")
        headers = {"Idempotency-Key": "renewal-1"}
        first = await self._cluster.call(
            "billing", "renew", 0, method="POST", data=b"seat 7", headers=headers
        )

        async def repeated() -> t.Any:
            again = await self._cluster.call(
                "billing", "renew", 1, method="POST", data=b"seat 7", headers=headers
            )
            return again if again[0] == 200 else None

        again = await eventually(repeated)
        self._check(first[2] == again[2], "the repeat got another answer")
        starts = await self._cluster.runner_counters(starts=True)
        runs = sum(runner["starts"].get("renewal-1", 0) for runner in starts.values())
        self._check(runs == 1, f"the renewal ran {runs} times")
        self._say("unsafe request, repeated at another entry", "ran once, same answer")

    async def run_job(self) -> None:
        """Place a job on a guarded worker."""
        jobs = [
            {
                "job_id": f"audit-{number}",
                "pool": "batch",
                "team": "audits",
                "cores": 8,
                "memory_bytes": 2**30,
                "run_s": 0.3,
                "repeat_safe": False,
            }
            for number in range(10)
        ]
        path = self._cluster.folder / "jobs.json"
        path.write_text(json.dumps(jobs))
        await self._cli("job", "submit", str(path))

        async def done() -> t.Any:
            listed = await self._cli("get", "jobs", "--pool", "batch")
            return listed if {job["state"] for job in listed} == {"done"} else None

        listed = await eventually(done)
        attempts = {job["attempt"] for job in listed}
        self._check(attempts == {1}, f"attempts were {attempts}")
        workers = len({job["worker"] for job in listed})
        self._say("ten jobs end on guarded workers", f"attempt 1 each, {workers} used")

    async def wave_with_load(self) -> None:
        """Reboot every runner of a service while callers go on."""
        stop = asyncio.Event()
        watch = asyncio.create_task(self._watch_budget("seat-grant", stop))
        load = asyncio.create_task(self._load("seat-grant", stop))
        began_s = time.monotonic()
        await self._cli("wave", "start", "autumn", "--selector", "service=seat-grant")

        async def ended() -> bool:
            waves = await self._cluster.entries[0].operators.get("/waves")
            return bool(waves and waves[0]["done"] == RUNNERS)

        await eventually(ended, 40)
        took_s = time.monotonic() - began_s
        stop.set()
        lowest, (count, bad) = await watch, await load
        self._check(lowest >= MIN_AVAILABLE, f"only {lowest} were available")
        self._check(not bad, f"answers during the wave: {bad}")
        self._say("wave: drain, reboot, return", f"{RUNNERS} in {took_s:.1f} s")
        self._say("budget during the wave", f"lowest {lowest} of {MIN_AVAILABLE}")
        self._say("requests during the wave", f"{count}, all answered by 200")

    async def _watch_budget(self, pool: str, stop: asyncio.Event) -> int:
        lowest = RUNNERS
        while not stop.is_set():
            report = await self._cluster.pool(pool)
            lowest = min(lowest, report["available"])
            await asyncio.sleep(0.05)
        return lowest

    async def _load(self, service: str, stop: asyncio.Event) -> tuple[int, Json]:
        count = 0
        bad: Json = {}
        while not stop.is_set():
            entry = count % 2
            status, _, _ = await self._cluster.call(service, "x?delay_ms=20", entry)
            count += 1
            if status != 200:
                bad[str(status)] = bad.get(str(status), 0) + 1
        return count, bad

    async def kill_one(self) -> None:
        """Kill an entry hard; its shards are taken, the rest goes on."""
        held = (await self._cluster.entries[2].operators.get("/status"))["shards_held"]
        await self._cluster.entries[2].kill()
        began_s = time.monotonic()
        for entry in (0, 1):
            status, _, _ = await self._cluster.call("billing", "x", entry)
            self._check(status == 200, f"entry {entry} answered {status}")

        async def taken() -> bool:
            total = 0
            for entry in self._cluster.entries[:2]:
                total += (await entry.operators.get("/status"))["shards_held"]
            return total == 16

        await eventually(taken)
        took_s = time.monotonic() - began_s
        self._say("kill -9 an entry", f"its {held} shards taken in {took_s:.1f} s")

    async def move_by_label(self) -> None:
        """Move an instance to another pool by a label."""
        await self._cli(
            "label", "to-reserve", "--selector", "instance=billing-7",
            "spare=yes", "service=none",
        )  # fmt: skip
        began_s = time.monotonic()

        async def moved() -> bool:
            found = await self._cluster.entries[1].operators.get(
                "/instances", selector="instance=billing-7"
            )
            return bool(found[0]["pool"] == "reserve")

        await eventually(moved)
        took_s = time.monotonic() - began_s
        self._say("a label moves an instance", f"to pool reserve in {took_s:.2f} s")

    async def second_configuration(self) -> None:
        """Accept another generation; race it with a stale one."""
        entries = self._cluster.entries
        base = (await entries[0].operators.get("/configuration"))["generation"]
        body = {
            "base_generation": base,
            "changes": [
                {"key": "team/audits", "value": {"cores_quota": 64}},
            ],
        }
        results = await asyncio.gather(
            entries[0].operators.post("/configuration", body),
            entries[1].operators.post("/configuration", body),
            return_exceptions=True,
        )
        refused = [result for result in results if isinstance(result, ExceptionGroup)]
        self._check(len(refused) == 1, f"two operators raced and got {results}")
        waited = await self._cli("rollout", "wait")
        self._say(
            "second configuration, two operators race",
            f"one accepted, one conflict; in force in {waited['waited_s']} s",
        )

    async def show_timeline(self) -> None:
        """Merge the events of the entries that are left."""
        answer = await self._cli("timeline", "--limit", "1000")
        kinds = {event["kind"] for event in answer["events"]}
        wanted = {"joined", "drain-granted", "reboot-started", "returned", "moved"}
        self._check(wanted <= kinds, f"the time line lacks {wanted - kinds}")
        daemons = {event["daemon_id"] for event in answer["events"]}
        count = len(answer["events"])
        self._say("timeline", f"{count} events of {len(daemons)} entries")

    async def stop_all(self) -> None:
        """Stop the entries as planned."""
        for entry in self._cluster.entries[:2]:
            status = await entry.terminate()
            self._check(status == 0, f"{entry.name} ended with {status}")
        self._say("planned stop of the others", "exit status 0, nothing cut off")


async def main() -> int:
    """Run the demo and return its exit status."""
    plan = ClusterPlan(entries=3, services=SERVICES, runners=RUNNERS, workers=WORKERS)
    cluster = Cluster(plan)
    try:
        async with cluster:
            await Demo(cluster).run()
    except (DemoError, AssertionError) as error:
        print(f"FAILED: {error}")
        return 1
    left = cluster.running()
    if left:
        print(f"FAILED: still running: {left}")
        return 1
    print("every check held; no process is left")
    return 0


if __name__ == "__main__":
    raise SystemExit(asyncio.run(main()))
