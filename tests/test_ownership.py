"""Who may decide, when holders pause, die, or cannot reach the store."""

import asyncio

import attrs
from tools.world import Daemon
from tools.world import LEASES
from tools.world import World

from streamthread.errors import OutcomeUnknownError
from streamthread.fleet import pool_key
from streamthread.jobs import Job
from streamthread.jobs import JobSpec
from streamthread.jobs import JobState
from streamthread.leases import shard_of
from streamthread.providers import Instance
from streamthread.providers import InstanceStatus
from streamthread.providers import TaskStart
from streamthread.providers import TaskState
from streamthread.providers import Transaction
from streamthread.providers import Write
from streamthread.timeline import EventFilter

POOL = "billing"


def _epochs(world: World) -> dict[str, dict[int, int]]:
    return {
        daemon.leases.record.daemon_id: daemon.leases.held_shards()
        for daemon in world.daemons
    }


def _held_once(world: World) -> bool:
    shards = [shard for held in _epochs(world).values() for shard in held]
    return sorted(shards) == list(range(LEASES.shard_count))


def _holder(world: World) -> Daemon:
    return next(
        daemon for daemon in world.daemons if daemon.leases.holds(pool_key(POOL))
    )


async def _world_with_pool(daemons: int = 3) -> World:
    world = World(daemons)
    for number in range(4):
        instance = Instance(
            f"i{number}", "hann", "r", cores=4, memory_bytes=8, labels={"pool": POOL}
        )
        world.membership.put(instance)
    await world.settle()
    item = {"selector": f"pool = {POOL}", "min_available": 2}
    await world.apply({f"pool/{POOL}": item})
    await world.settle()
    return world


async def _cycles(world: World, daemons: list[Daemon], seconds: float) -> None:
    """Let some daemons renew every second, and the others do nothing."""
    for _ in range(int(seconds)):
        world.clock.now_s += 1.0
        for daemon in daemons:
            await daemon.leases.cycle()


class TestShards:
    async def test_each_shard_gets_one_holder(self) -> None:
        world = World(3)
        await world.settle(4)
        assert _held_once(world)

    async def test_dead_holder_is_replaced_after_a_full_term_not_before(self) -> None:
        world = World(3)
        await world.settle(4)
        dead, *alive = world.daemons
        held = set(dead.leases.held_shards())
        assert held
        await _cycles(world, alive, LEASES.term_s - 1)
        assert not any(held & set(daemon.leases.held_shards()) for daemon in alive)
        await _cycles(world, alive, 3)
        taken = {shard for daemon in alive for shard in daemon.leases.held_shards()}
        assert taken == set(range(LEASES.shard_count))

    async def test_stopping_daemon_hands_over_without_the_term(self) -> None:
        world = World(3)
        await world.settle(4)
        leaving, *staying = world.daemons
        await leaving.leases.hand_over()
        await leaving.leases.leave()
        await _cycles(world, staying, 2)
        taken = {shard for daemon in staying for shard in daemon.leases.held_shards()}
        assert taken == set(range(LEASES.shard_count))

    async def test_paused_holder_stops_trusting_itself_before_others_take(self) -> None:
        world = World(2)
        await world.settle(4)
        paused = world.daemons[0]
        world.clock.now_s += LEASES.term_s - LEASES.margin_s
        assert not paused.leases.is_trusted()


class TestStoreOutage:
    async def test_nothing_is_stolen_in_half_an_hour_without_the_store(self) -> None:
        world = World(3)
        await world.settle(4)
        before = _epochs(world)
        for daemon in world.daemons:
            daemon.tables.down = True
        await _cycles(world, world.daemons, 1800)
        for daemon in world.daemons:
            assert not daemon.leases.is_trusted()
            daemon.tables.down = False
        await _cycles(world, world.daemons[::-1], 20)
        assert _epochs(world) == before

    async def test_first_one_back_does_not_take_from_those_still_cut_off(self) -> None:
        world = World(3)
        await world.settle(4)
        before = _epochs(world)
        for daemon in world.daemons:
            daemon.tables.down = True
        await _cycles(world, world.daemons, 60)
        first = world.daemons[-1]
        first.tables.down = False
        await _cycles(world, [first], LEASES.term_s - 2)
        for daemon in world.daemons:
            daemon.tables.down = False
        await _cycles(world, world.daemons, 20)
        assert _epochs(world) == before

    async def test_pause_of_the_observer_is_not_taken_for_a_lapse(self) -> None:
        world = World(2)
        await world.settle(4)
        before = _epochs(world)
        world.clock.now_s += 100.0
        other, observer = world.daemons
        await observer.leases.cycle()
        await other.leases.cycle()
        assert _epochs(world) == before


def _pool_held_by_another(world: World, holder: Daemon) -> str:
    """Return a name whose pool would be held by another daemon."""
    names = (f"audit-{number}" for number in range(100))
    return next(
        name
        for name in names
        if not holder.leases.holds(pool_key(name))
        and any(daemon.leases.holds(pool_key(name)) for daemon in world.daemons)
    )


class TestPools:
    async def test_loss_after_the_last_read_is_seen_before_a_grant(self) -> None:
        world = await _world_with_pool()
        holder = _holder(world)
        await world.apply({"wave/w": {"selector": ""}}, world.daemons.index(holder))
        for name in ("i2", "i3"):
            known = world.membership.find(name)
            world.membership.put(attrs.evolve(known, status=InstanceStatus.LOST))
        await holder.fleet.tick()
        row = (await world.rows("pool/"))[POOL]
        granted = [
            name
            for name, member in row.value["members"].items()
            if member["state"] != "serving"
        ]
        assert set(granted) <= {"i2", "i3"}

    async def test_move_into_a_pool_loses_nothing_its_holder_does_meanwhile(
        self,
    ) -> None:
        """The target's holder has an older row in memory; it must notice."""
        world = await _world_with_pool()
        source = _holder(world)
        audit = _pool_held_by_another(world, source)
        item = {"selector": f"pool = {audit}", "min_available": 0}
        await world.apply({f"pool/{audit}": item})
        world.membership.put(Instance("i8", "hann", "r", labels={"pool": audit}))
        await world.settle()
        moved = {"selector": "instance = i0", "set": {"pool": audit}}
        await world.apply({"labels/i0": moved})
        await world.renew(source)
        for _ in range(3):
            await world.work(source)
        world.membership.put(Instance("i9", "hann", "r", labels={"pool": audit}))
        for _ in range(3):
            for daemon in world.daemons:
                await world.work(daemon)
                await world.renew(daemon)
        rows = await world.rows("pool/")
        assert set(rows[audit].value["members"]) == {"i0", "i8", "i9"}
        assert "i0" not in rows[POOL].value["members"]

    async def test_holder_with_an_older_generation_does_not_undo_a_move(self) -> None:
        world = await _world_with_pool()
        source = _holder(world)
        audit = _pool_held_by_another(world, source)
        item = {"selector": f"pool = {audit}", "min_available": 0}
        await world.apply({f"pool/{audit}": item})
        await world.settle()
        moved = {"selector": "instance = i0", "set": {"pool": audit}}
        await world.apply({"labels/i0": moved}, world.daemons.index(source))
        for _ in range(3):
            await world.work(source)
        world.gossip()
        for daemon in world.daemons * 3:
            await world.work(daemon)
        assert sum(daemon.fleet.moves for daemon in world.daemons) == 1
        assert "i0" in (await world.rows("pool/"))[audit].value["members"]

    async def test_moved_instance_is_not_taken_by_the_same_wave_again(self) -> None:
        world = await _world_with_pool(1)
        await world.apply({"wave/w": {"selector": ""}})
        await world.settle(12)
        boots = {one.instance_id: one.boot for one in world.membership.all()}
        assert set(boots.values()) == {2}
        items = {
            "pool/audit": {"selector": "pool = audit", "min_available": 0},
            "labels/i0": {"selector": "instance = i0", "set": {"pool": "audit"}},
        }
        await world.apply(items)
        await world.settle(8)
        assert "i0" in (await world.rows("pool/"))["audit"].value["members"]
        assert world.membership.find("i0").boot == 2

    async def test_instance_that_two_holders_claim_joins_one_pool(self) -> None:
        """One holder has the newer labels, the other has not yet."""
        world = await _world_with_pool()
        behind = _holder(world)
        audit = _pool_held_by_another(world, behind)
        item = {"selector": f"pool = {audit}", "min_available": 0}
        await world.apply({f"pool/{audit}": item})
        await world.settle()
        ahead = next(
            daemon for daemon in world.daemons if daemon.leases.holds(pool_key(audit))
        )
        moved = {"selector": "instance = i9", "set": {"pool": audit}}
        await world.apply({"labels/i9": moved}, world.daemons.index(ahead))
        world.membership.put(Instance("i9", "hann", "r", labels={"pool": POOL}))
        for daemon in (behind, ahead, behind):
            await world.work(daemon)
        rows = await world.rows("pool/")
        members = [name for row in rows.values() for name in row.value["members"]]
        assert members.count("i9") == 1


class TestUnsafeJob:
    async def _run_one(self, world: World, ended: TaskState) -> Job:
        holder = _holder(world)
        spec = JobSpec("j", POOL, "team", 1, 1, 1.0, repeat_safe=False)
        await holder.jobs.submit(POOL, [spec])
        await holder.jobs.tick()
        world.workers.finish("j", 1, ended)
        for _ in range(3):
            await holder.jobs.tick()
        return (await holder.jobs.list_jobs(POOL))[0]

    async def test_failed_attempt_is_parked_and_not_run_again(self) -> None:
        world = await _world_with_pool()
        job = await self._run_one(world, TaskState.FAILED)
        assert (job.state, job.attempt) == (JobState.PARKED, 1)
        assert world.workers.starts == 1

    async def test_new_holder_starts_no_second_attempt(self) -> None:
        world = await _world_with_pool()
        first = _holder(world)
        spec = JobSpec("j", POOL, "team", 1, 1, 1.0, repeat_safe=False)
        await first.jobs.submit(POOL, [spec])
        await first.jobs.tick()
        others = [daemon for daemon in world.daemons if daemon is not first]
        for daemon in others:
            await world.renew(daemon)
        await _cycles(world, others, LEASES.term_s + 2)
        second = next(
            daemon for daemon in others if daemon.leases.holds(pool_key(POOL))
        )
        world.gossip()
        for _ in range(3):
            await world.work(second)
        (job,) = await second.jobs.list_jobs(POOL)
        assert (job.state, job.attempt) == (JobState.STARTED, 1)
        assert world.workers.starts == 1

    async def test_start_whose_answer_is_lost_is_not_a_second_start(self) -> None:
        world = await _world_with_pool()
        holder = _holder(world)
        original = world.workers.start

        async def lose(start: TaskStart) -> None:
            await original(start)
            world.workers.start = original  # type: ignore[method-assign]
            raise OutcomeUnknownError("lost", remedy="ask again")

        world.workers.start = lose  # type: ignore[method-assign]
        spec = JobSpec("j", POOL, "team", 1, 1, 1.0, repeat_safe=False)
        await holder.jobs.submit(POOL, [spec])
        for _ in range(3):
            await holder.jobs.tick()
        (job,) = await holder.jobs.list_jobs(POOL)
        assert (job.state, job.attempt) == (JobState.STARTED, 1)
        assert world.workers.starts == 1


class TestLateWrite:
    async def test_write_of_a_former_holder_is_refused_by_the_epoch(self) -> None:
        world = await _world_with_pool()
        paused = _holder(world)
        others = [daemon for daemon in world.daemons if daemon is not paused]
        await world.apply({"wave/w": {"selector": ""}}, world.daemons.index(paused))
        paused.tables.hold_next = True
        working = asyncio.ensure_future(paused.fleet.tick())
        while paused.tables.held is None:
            await asyncio.sleep(0)
        await _cycles(world, others, LEASES.term_s + 2)
        shard = shard_of(pool_key(POOL), LEASES.shard_count)
        assert any(shard in daemon.leases.held_shards() for daemon in others)
        row = (await world.rows("pool/"))[POOL]
        paused.tables.release()
        await working
        assert (await world.rows("pool/"))[POOL] == row
        kinds = [event.kind for event in paused.recorder.select(EventFilter())]
        assert "commit-conflicted" in kinds


class TestLostReply:
    async def test_commit_whose_reply_was_lost_is_known_to_have_happened(self) -> None:
        world = World(1)
        daemon = world.daemons[0]
        daemon.tables.lose_replies = 1
        write = Write("x", {"value": 1}, 0)
        result = await daemon.leases.committer.commit(Transaction((write,)))
        assert result.committed
        assert (await world.rows("x"))[""].version == 1

    async def test_lost_reply_in_a_wave_grants_nothing_twice(self) -> None:
        world = await _world_with_pool()
        holder = _holder(world)
        await world.apply({"wave/w": {"selector": ""}}, world.daemons.index(holder))
        holder.tables.lose_replies = 2
        await holder.fleet.tick()
        row = (await world.rows("pool/"))[POOL]
        states = [member["state"] for member in row.value["members"].values()]
        assert sorted(states) == ["draining", "serving", "serving", "serving"]
