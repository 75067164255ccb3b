"""What one decision costs, at 1, 4 and 16 times the pools."""

import asyncio
import statistics
import time
import typing as t

import attrs
from tools.world import World

from streamthread.providers import Instance

from .cases import Item

__all__ = ["decisions"]

BASE_POOLS = 20
INSTANCES_A_POOL = 10
CHANGES = 200
CORES = 16
MIN_AVAILABLE = 5


async def decision_cost(pools: int) -> float:
    """Return the 99th percentile of a tick after one change, in milliseconds."""
    world = await _world(pools)
    daemon = world.daemons[0]
    took_ms: list[float] = []
    for number in range(CHANGES):
        instance = world.membership.find(f"i{number % (pools * INSTANCES_A_POOL)}")
        world.membership.put(attrs.evolve(instance, cores=CORES + number))
        await daemon.fleet.poll_membership()
        began_s = time.perf_counter()
        await daemon.fleet.tick()
        took_ms.append((time.perf_counter() - began_s) * 1000)
    return statistics.quantiles(took_ms, n=100)[-1]


async def _world(pools: int) -> World:
    """Return one daemon that holds pools, all their instances joined."""
    world = World(1)
    for number in range(pools * INSTANCES_A_POOL):
        labels = {"pool": f"p{number % pools}"}
        world.membership.put(
            Instance(f"i{number}", "hann", "r", cores=CORES, labels=labels)
        )
    await world.settle()
    items = {
        f"pool/p{number}": {
            "selector": f"pool = p{number}",
            "min_available": MIN_AVAILABLE,
        }
        for number in range(pools)
    }
    await world.apply(items)
    await world.settle(4)
    return world


def decisions() -> t.Iterator[Item]:
    """The cost of one decision at 1, 4 and 16 times the pools."""
    base_ms = asyncio.run(decision_cost(BASE_POOLS))
    yield Item(f"{BASE_POOLS} pools", "decision_ms_p99", base_ms)
    for factor in (4, 16):
        pools = BASE_POOLS * factor
        cost_ms = asyncio.run(decision_cost(pools))
        yield Item(f"{pools} pools", "decision_ms_p99", cost_ms, base_ms)
