"""Standing waves: reboots once a period, spread over it, paused during bursts."""

import datetime
import itertools
import typing as t

from tools.world import World

from streamthread.maintenance import is_reboot_due
from streamthread.maintenance import run_key
from streamthread.maintenance.standing import EPOCH
from streamthread.providers import Instance

PERIOD_DAYS = 21.0
NAMES = [f"worker-{number}" for number in range(20_000)]


def _at(days: float) -> datetime.datetime:
    return EPOCH + datetime.timedelta(days=days)


class TestSchedule:
    def test_reboots_are_due_once_and_spread_over_the_period(self) -> None:
        due = [
            sum(is_reboot_due(name, PERIOD_DAYS, _at(day)) for name in NAMES)
            for day in range(21)
        ]
        assert due == sorted(due)
        assert due[-1] == len(NAMES)
        daily = [after - before for before, after in itertools.pairwise(due)]
        assert max(daily) <= 1.3 * len(NAMES) / (0.9 * PERIOD_DAYS)

    def test_each_period_has_its_own_run_key(self) -> None:
        assert run_key("wave/w", PERIOD_DAYS, _at(20.9)) == "wave/w@0"
        assert run_key("wave/w", PERIOD_DAYS, _at(21.1)) == "wave/w@1"
        assert run_key("wave/w", 0.0, _at(21.1)) == "wave/w"


class WallClock:
    """A wall clock that the test sets."""

    def __init__(self) -> None:
        self.now = _at(0)

    def __call__(self) -> datetime.datetime:
        return self.now


async def _world(wall: WallClock) -> World:
    world = World(1, wall=wall)
    for number in range(6):
        world.membership.put(Instance(f"i{number}", f"hall-{number % 3}", "r"))
    await world.settle()
    items: dict[str, t.Any] = {
        "pool/p": {"selector": "", "min_available": 4},
        "wave/w": {"selector": "", "period_days": PERIOD_DAYS},
    }
    await world.apply(items)
    await world.settle()
    return world


def _boots(world: World) -> list[int]:
    return [instance.boot for instance in world.membership.all()]


class TestStandingWave:
    async def test_reboots_every_instance_once_in_each_period(self) -> None:
        wall = WallClock()
        world = await _world(wall)
        for day in range(43):
            wall.now = _at(day)
            world.clock.now_s += 3600.0
            await world.settle(6)
            assert max(_boots(world)) <= 2 + day // 21
            if day % 21 == 20:
                assert set(_boots(world)) == {2 + day // 21}

    async def test_pauses_during_a_burst_of_the_pool(self) -> None:
        wall = WallClock()
        world = await _world(wall)
        burst = {
            "pool": "p",
            "start": _at(1).isoformat(),
            "end": _at(30).isoformat(),
            "instances": 1,
        }
        await world.apply({"burst/b": burst})
        wall.now = _at(20)
        world.clock.now_s += 3600.0
        await world.settle(6)
        assert set(_boots(world)) == {1}
        await world.apply({"burst/b": None})
        world.clock.now_s += 3600.0
        await world.settle(12)
        assert set(_boots(world)) == {2}
