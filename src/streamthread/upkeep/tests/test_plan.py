"""Tests which machines of a wave go down, for arbitrary states of the wave."""

import collections

from hypothesis import given
from hypothesis import strategies as st

from streamthread.upkeep import DueMachine
from streamthread.upkeep import plan_upkeep
from streamthread.upkeep import UpkeepSettings
from streamthread.upkeep import WaveProgress
from streamthread.upkeep import WaveView
from streamthread.upkeep.plan import is_after_earlier_stops
from streamthread.upkeep.plan import may_stop_long_running

due_lists = st.lists(
    st.builds(
        DueMachine,
        machine_id=st.uuids().map(str),
        pool=st.sampled_from(["one", "two"]),
        idle=st.booleans(),
        off=st.booleans(),
        up=st.booleans(),
        missed=st.booleans(),
        emptying=st.booleans(),
        load=st.floats(0, 10),
    ),
    max_size=12,
    unique_by=lambda machine: machine.machine_id,
)


class TestPlan:
    @given(due_lists, st.integers(-2, 6), st.integers(-1, 4), st.integers(-1, 4))
    def test_begins_only_idle_machines_within_the_limit(
        self, due: list[DueMachine], free_slots: int, one: int, two: int
    ) -> None:
        releasable_by_pool = {"one": one, "two": two}
        plan = plan_upkeep(
            WaveView(tuple(due), free_slots, releasable_by_pool), UpkeepSettings()
        )
        by_id = {machine.machine_id: machine for machine in due}
        assert len(plan.begin) <= max(0, free_slots)
        for machine_id in plan.begin:
            machine = by_id[machine_id]
            assert machine.idle and machine.up
        for machine_id in plan.empty:
            assert not by_id[machine_id].idle
        assert not set(plan.begin) & set(plan.empty)
        given_up = collections.Counter(
            by_id[machine_id].pool
            for machine_id in (*plan.begin, *plan.empty)
            if by_id[machine_id].missed
        )
        for pool, count in given_up.items():
            assert count <= max(0, releasable_by_pool[pool])

    def test_begins_with_machines_in_spare_pools(self) -> None:
        due = (
            DueMachine("a", "one", idle=True, off=False),
            DueMachine("b", "spare", idle=True, off=True),
        )
        releasable_by_pool = {"one": 1, "spare": 1}
        plan = plan_upkeep(WaveView(due, 1, releasable_by_pool), UpkeepSettings())
        assert plan.begin == ("b",)

    def test_leaves_a_pool_the_machines_that_it_needs(self) -> None:
        due = tuple(
            DueMachine(name, "one", idle=name < "c", off=False) for name in "abcd"
        )
        plan = plan_upkeep(WaveView(due, 4, {"one": 3}), UpkeepSettings())
        assert plan.begin == ("a", "b")
        assert len(plan.empty) == 1

    def test_selects_machines_that_do_not_reduce_their_pool(self) -> None:
        due = (DueMachine("a", "one", idle=True, off=False, missed=False),)
        plan = plan_upkeep(WaveView(due, 1, {"one": 0}), UpkeepSettings())
        assert plan.begin == ("a",)


class TestLongRunning:
    def test_is_stopped_only_while_fewer_than_the_limit_are_away(self) -> None:
        assert may_stop_long_running(0, 1)
        assert not may_stop_long_running(1, 1)
        assert not may_stop_long_running(0, 0)
        assert may_stop_long_running(0, None)

    def test_of_an_earlier_holder_works_once_its_stops_have_taken_effect(self) -> None:
        assert not is_after_earlier_stops(1900, 1000, 1000)
        assert not is_after_earlier_stops(2000, 1000, 1000)
        assert is_after_earlier_stops(2001, 1000, 1000)

    def test_does_not_work_before_its_runner_has_answered(self) -> None:
        assert not is_after_earlier_stops(9000, 0, 1000)


class TestProgress:
    def test_survives_encoding_and_decoding(self) -> None:
        progress = WaveProgress(3, 12.5, {"m1", "m2"}, "running")
        assert WaveProgress.decode(progress.encode()) == progress


class TestClosedHalls:
    """Due machines of halls that may not be used go first: no pool lacks them."""

    def test_idle_machines_go_down_first(self) -> None:
        due = (
            DueMachine("a", "one", idle=True, off=True),
            DueMachine("b", "one", idle=True, off=False, missed=False, closed=True),
        )
        plan = plan_upkeep(WaveView(due, 1, {"one": 5}), UpkeepSettings())
        assert plan.begin == ("b",)

    def test_they_go_down_although_their_pool_can_spare_none(self) -> None:
        due = (DueMachine("b", "one", True, False, missed=False, closed=True),)
        plan = plan_upkeep(WaveView(due, 1, {"one": 0}), UpkeepSettings())
        assert plan.begin == ("b",)

    def test_within_the_slots_of_the_wave(self) -> None:
        due = tuple(
            DueMachine(str(n), "one", True, False, missed=False, closed=True)
            for n in range(5)
        )
        plan = plan_upkeep(WaveView(due, 2, {"one": 5}), UpkeepSettings())
        assert len(plan.begin) == 2

    def test_busy_machines_are_emptied_first(self) -> None:
        due = (
            DueMachine("a", "one", idle=False, off=False, load=0.0),
            DueMachine("b", "one", False, False, missed=False, load=9.0, closed=True),
        )
        plan = plan_upkeep(WaveView(due, 0, {"one": 5}), UpkeepSettings())
        assert plan.empty == ("b",)
