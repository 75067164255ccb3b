"""Real entries that hold shards are killed, paused, or lose replies."""

import asyncio

from tools.cluster import Cluster
from tools.processes import eventually

from tests.integration.support import all_shards_held
from tests.integration.support import holder_of_pool
from tests.integration.support import members_by_pool
from tests.integration.support import MIN_AVAILABLE
from tests.integration.support import renew
from tests.integration.support import RUNNERS
from tests.integration.support import served_cluster
from tests.integration.support import SERVICE
from tests.integration.support import start_wave
from tests.integration.support import wave_done


class BudgetWatch:
    """Follows what the platform itself lists as live, and the pool's row."""

    def __init__(self, cluster: Cluster, entry: int) -> None:
        self.lowest = RUNNERS
        self._cluster = cluster
        self._entry = entry
        self._task = asyncio.create_task(self._watch())

    async def _watch(self) -> None:
        while True:
            report = await self._cluster.pool(SERVICE, self._entry)
            self.lowest = min(self.lowest, report["available"])
            await asyncio.sleep(0.02)

    async def stop(self) -> int:
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        return self.lowest


class TestHolderFailures:
    async def test_killed_holder_of_a_wave_is_replaced_and_the_wave_ends(self) -> None:
        async with served_cluster(entries=3, proxied=True) as cluster:
            holder = await holder_of_pool(cluster)
            others = [entry for entry in range(3) if entry != holder]
            watch = BudgetWatch(cluster, others[0])
            await start_wave(cluster, entry=others[0])
            await eventually(lambda: _any_away(cluster, others[0]))
            await cluster.entries[holder].kill()
            await eventually(lambda: all_shards_held(cluster, others))
            await eventually(lambda: wave_done(cluster, others[0]), 40)
            assert await watch.stop() >= MIN_AVAILABLE
            assert len((await members_by_pool(cluster))[SERVICE]) == RUNNERS

    async def test_paused_holder_is_refused_by_the_epoch_when_it_wakes(self) -> None:
        """Its commit is on the way while it is paused and its shards are taken."""
        async with served_cluster(entries=3, proxied=True) as cluster:
            await cluster.set_faults(hold_pool_commit=True)
            await start_wave(cluster)
            await eventually(lambda: _counted(cluster, "held"))
            # Only now: while the entries find each other, shards still change hands.
            holder = await holder_of_pool(cluster)
            others = [entry for entry in range(3) if entry != holder]
            cluster.entries[holder].pause()
            await eventually(lambda: all_shards_held(cluster, others))
            watch = BudgetWatch(cluster, others[0])
            await cluster.set_faults(hold_pool_commit=False)
            await eventually(lambda: _counted(cluster, "fenced"))
            cluster.entries[holder].resume()
            await eventually(lambda: wave_done(cluster, others[0]), 40)
            assert await watch.stop() >= MIN_AVAILABLE
            assert len((await members_by_pool(cluster))[SERVICE]) == RUNNERS
            await eventually(lambda: all_shards_held(cluster, range(3)))

    async def test_wave_cuts_no_request_in_flight(self) -> None:
        async with served_cluster(entries=3) as cluster:
            stop = asyncio.Event()
            load = [
                asyncio.create_task(_renew_all_along(cluster, lane, stop))
                for lane in range(6)
            ]
            await start_wave(cluster)
            await eventually(lambda: wave_done(cluster), 60)
            stop.set()
            outcomes = [outcome for lane in load for outcome in await lane]
            assert set(outcomes) == {"done"}

    async def test_replies_lost_after_the_commit_change_nothing(self) -> None:
        async with served_cluster(entries=3, proxied=True) as cluster:
            await cluster.set_faults(lose_replies=8)
            await start_wave(cluster)
            await eventually(lambda: _counted(cluster, "replies_lost", 8))
            await eventually(lambda: wave_done(cluster), 40)
            events = await cluster.timeline(kind="drain-granted")
            subjects = [event["subject"] for event in events]
            assert len(subjects) == len(set(subjects)) == RUNNERS


async def _renew_all_along(
    cluster: Cluster, lane: int, stop: asyncio.Event
) -> list[str]:
    """Send slow requests that may not be repeated, one after the other."""
    outcomes: list[str] = []
    while not stop.is_set():
        key = f"{lane}-{len(outcomes)}"
        outcome, _ = await renew(cluster, key, lane % 3, "renew?delay_ms=700")
        outcomes.append(outcome)
    return outcomes


async def _any_away(cluster: Cluster, entry: int) -> bool:
    return bool((await cluster.pool(SERVICE, entry))["available"] < RUNNERS)


async def _counted(cluster: Cluster, name: str, count: int = 1) -> bool:
    return bool((await cluster.counters()).get(name, 0) >= count)
