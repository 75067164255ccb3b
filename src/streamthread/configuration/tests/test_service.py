"""Accepting changes: races, bad input, a store that is down."""

import typing as t

import pytest
from tools.world import World

from streamthread.configuration import BadConfiguration
from streamthread.configuration import Change
from streamthread.configuration import Proposal
from streamthread.errors import ConflictError
from streamthread.errors import StoreUnavailableError

TEAM = {"cores_quota": 1}


def _proposal(base: int, key: str = "team/t", **team: int) -> Proposal:
    return Proposal(base, (Change(key, TEAM | team),))


class TestPropose:
    async def test_two_operators_who_race_get_one_success_and_one_conflict(
        self,
    ) -> None:
        world = World(2)
        first, second = (daemon.configuration for daemon in world.daemons)
        assert await first.propose(_proposal(0, cores_quota=2)) == 1
        with pytest.raises(ConflictError) as caught:
            await second.propose(_proposal(0, cores_quota=3))
        assert caught.value.location == "team/t"
        assert "generation 1" in caught.value.remedy
        assert second.active.items["team/t"] == {"cores_quota": 2}

    async def test_changes_of_other_items_do_not_conflict(self) -> None:
        world = World(2)
        first, second = (daemon.configuration for daemon in world.daemons)
        await first.propose(_proposal(0, "team/a"))
        assert await second.propose(_proposal(0, "team/b")) == 2

    async def test_item_that_was_only_read_conflicts_too(self) -> None:
        world = World(1)
        service = world.daemons[0].configuration
        await service.propose(_proposal(0, "team/a"))
        proposal = Proposal(0, (Change("team/b", TEAM),), ("team/a",))
        with pytest.raises(ConflictError):
            await service.propose(proposal)

    async def test_bad_items_are_refused_all_at_once(self) -> None:
        service = World(1).daemons[0].configuration
        changes = (
            Change("pool/a", {"selector": "= 1", "min_available": 1}),
            Change("team/t", {"cores_quota": -1}),
            Change("colour/red", {}),
        )
        with pytest.raises(BadConfiguration) as caught:
            await service.propose(Proposal(0, changes))
        assert len(caught.value.exceptions) == 3
        assert service.active.generation == 0

    async def test_pool_in_use_cannot_be_deleted(self) -> None:
        service = World(1).daemons[0].configuration
        pool = Change("pool/a", {"selector": "", "min_available": 0})
        user = Change("service/s", {"pool": "a"})
        await service.propose(Proposal(0, (pool, user)))
        with pytest.raises(BadConfiguration):
            await service.propose(Proposal(1, (Change("pool/a", None),)))

    async def test_store_that_is_down_accepts_nothing(self) -> None:
        world = World(1)
        daemon = world.daemons[0]
        daemon.tables.down = True
        with pytest.raises(StoreUnavailableError):
            await daemon.configuration.propose(_proposal(0))
        assert daemon.configuration.active.generation == 0

    async def test_lost_reply_is_accepted_once(self) -> None:
        world = World(1)
        daemon = world.daemons[0]
        daemon.tables.lose_replies = 1
        assert await daemon.configuration.propose(_proposal(0)) == 1
        rows = await world.rows("configuration/generation/")
        assert len(rows) == 1


class TestCatchUp:
    async def test_peer_that_is_faster_than_the_store_is_announced_once(self) -> None:
        world = World(2)
        first, second = (daemon.configuration for daemon in world.daemons)
        await first.propose(_proposal(0))
        announced: list[object] = []
        second.listen(announced.append)
        way = world.daemons[1].tables
        read = way.scan

        async def read_while_a_peer_tells(*arguments: t.Any) -> t.Any:
            second.adopt_steps(first.active.after(0), "from a peer")
            return await read(*arguments)

        way.scan = read_while_a_peer_tells  # type: ignore[method-assign]
        await second.poll_once()
        assert announced == [{"team/t"}]

    async def test_newcomer_reads_a_snapshot_and_what_follows(self) -> None:
        world = World(2)
        first, second = (daemon.configuration for daemon in world.daemons)
        for number in range(230):
            await first.propose(_proposal(number, cores_quota=number))
        await second.poll_once()
        assert second.active.generation == 230
        assert second.active.digest == first.active.digest
        assert len(await world.rows("configuration/generation/")) < 230
