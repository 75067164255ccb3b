"""Expired claims are deleted, but only by the holder of their shard."""

from tools.world import World

from streamthread.providers import Transaction
from streamthread.providers import Write
from streamthread.requests import claim_key
from streamthread.requests import ClaimSweeper
from streamthread.requests import SweepSettings

NOW_S = 1_000_000.0


async def _write_claims(world: World, count: int, age_s: float) -> None:
    for number in range(count):
        key = claim_key("billing", "team", f"{age_s}-{number}")
        value = {"claimed_at_s": NOW_S - age_s}
        await world.tables.commit(Transaction((Write(key, value, 0),)))


def _sweepers(world: World) -> list[ClaimSweeper]:
    settings = SweepSettings(kept_s=100.0)
    return [
        ClaimSweeper(daemon.tables, daemon.leases, settings, lambda: NOW_S)
        for daemon in world.daemons
    ]


class TestClaimSweeper:
    async def test_deletes_old_claims_and_keeps_the_others(self) -> None:
        world = World(2)
        await world.settle()
        await _write_claims(world, 150, age_s=101.0)
        await _write_claims(world, 20, age_s=99.0)
        sweepers = _sweepers(world)
        for _ in range(60):
            for sweeper in sweepers:
                await sweeper.sweep_page()
        assert len(await world.rows("claim/")) == 20
        assert all(sweeper.deleted for sweeper in sweepers)

    async def test_deletes_nothing_in_shards_that_it_does_not_hold(self) -> None:
        world = World(1)
        await _write_claims(world, 50, age_s=101.0)
        (sweeper,) = _sweepers(world)
        for _ in range(40):
            await sweeper.sweep_page()
        assert len(await world.rows("claim/")) == 50
