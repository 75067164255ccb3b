"""Sizes from the burst calendar, shared spares, and the two weights."""

import datetime
import typing as t

import attrs
import hypothesis
import hypothesis.strategies as st
from tools.world import World

from streamthread.fleet.assignment import PoolNeed
from streamthread.fleet.assignment import should_leave_for
from streamthread.fleet.sizing import Burst
from streamthread.fleet.sizing import plan_sizes
from streamthread.fleet.sizing import PoolOutlook
from streamthread.fleet.sizing import Weights
from streamthread.providers import Instance

DAY = datetime.timedelta(days=1)
BEGIN = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)


def _outlook(*bursts: tuple[float, float, int], name: str = "p") -> PoolOutlook:
    found = tuple(
        Burst(BEGIN + start * DAY, BEGIN + end * DAY, count)
        for start, end, count in bursts
    )
    return PoolOutlook(name, "g", 8, found)


def _size(outlook: PoolOutlook, day: float, weights: Weights) -> int:
    return plan_sizes([outlook], BEGIN + day * DAY, weights).pools["p"]


class TestPlanSizes:
    def test_burst_is_there_before_it_begins_and_gone_after(self) -> None:
        outlook = _outlook((10, 12, 4))
        weights = Weights()
        assert _size(outlook, 9.5, weights) == 8
        assert _size(outlook, 10 - 1 / 1440, weights) == 12
        assert _size(outlook, 11, weights) == 12
        assert _size(outlook, 12, weights) == 8

    def test_left_over_is_kept_for_a_near_burst_when_moves_weigh_more(self) -> None:
        outlook = _outlook((1, 2, 4), (3, 4, 3))
        assert _size(outlook, 2.5, Weights(buffer_weight=1, move_weight=1)) == 8
        assert _size(outlook, 2.5, Weights(buffer_weight=1, move_weight=20)) == 11

    def test_shared_spares_are_fewer_than_a_reserve_each(self) -> None:
        outlooks = [_outlook((1, 2, 8), name=f"p{number}") for number in range(5)]
        now = BEGIN + 1.5 * DAY
        shared = plan_sizes(outlooks, now, Weights()).spares["g"]
        alone = sum(plan_sizes([one], now, Weights()).spares["g"] for one in outlooks)
        assert shared <= 0.6 * alone

    @hypothesis.given(
        st.floats(0, 40), st.floats(0, 100), st.floats(0, 100), st.integers(0, 9)
    )
    def test_size_is_never_below_what_is_declared(
        self, day: float, buffer: float, move: float, count: int
    ) -> None:
        outlook = _outlook((10, 12, count), (11, 20, 3), (30, 31, 5))
        weights = Weights(buffer, move)
        declared = sum(
            burst.instances
            for burst in outlook.bursts
            if burst.start <= BEGIN + day * DAY < burst.end
        )
        assert _size(outlook, day, weights) >= outlook.quiet + declared


class TestShouldLeaveFor:
    SPARE = PoolNeed("spare", -1, 2, 0)
    BUSY = PoolNeed("busy", 0, 5, 3)

    def test_stays_while_its_pool_wants_it(self) -> None:
        assert should_leave_for(PoolNeed("p", 0, 5, 5), [self.BUSY, self.SPARE]) == ""

    def test_surplus_goes_where_it_is_needed_most(self) -> None:
        current = PoolNeed("p", 0, 5, 6)
        assert should_leave_for(current, [self.SPARE, self.BUSY]) == "busy"
        assert should_leave_for(current, [self.SPARE]) == "spare"

    def test_spare_goes_to_a_pool_that_lacks_one(self) -> None:
        current = attrs.evolve(self.SPARE, present=2)
        assert should_leave_for(current, [self.BUSY]) == "busy"

    def test_pool_that_takes_all_draws_nothing_from_others(self) -> None:
        takes_all = PoolNeed("all", 5, None, 0)
        assert should_leave_for(PoolNeed("p", 0, 5, 6), [takes_all]) == ""


class TestBurstInAPool:
    async def test_moves_instances_in_and_out_and_no_more_than_it_says(self) -> None:
        world = World(2)
        for number in range(10):
            world.membership.put(_instance(number))
        await world.settle()
        items: dict[str, t.Any] = {
            "pool/a": _pool(target=4),
            "pool/b": _pool(target=4, priority=-1),
        }
        await world.apply(items)
        await world.settle(4)
        assert await _sizes(world) == {"a": 4, "b": 4}
        now = datetime.datetime.now(datetime.UTC)
        burst = {
            "pool": "a",
            "start": now.isoformat(),
            "end": (now + DAY).isoformat(),
            "instances": 3,
        }
        await world.apply({"burst/x": burst})
        await world.settle(8)
        assert await _sizes(world) == {"a": 7, "b": 3}
        await world.apply({"burst/x": None})
        await world.settle(8)
        assert await _sizes(world) == {"a": 6, "b": 4}, "nobody needs the other two"


def _instance(number: int) -> Instance:
    return Instance(f"i{number}", "hann", "r")


def _pool(**fields: t.Any) -> dict[str, t.Any]:
    return {"selector": "", "min_available": 2, "group": "g", **fields}


async def _sizes(world: World) -> dict[str, int]:
    rows = await world.rows("pool/")
    return {name: len(row.value["members"]) for name, row in rows.items()}
