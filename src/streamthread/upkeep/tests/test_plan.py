"""Which machines of a wave go down, under any view."""

from hypothesis import given
from hypothesis import strategies as st

from streamthread.upkeep import DueMachine
from streamthread.upkeep import plan_upkeep
from streamthread.upkeep import UpkeepSettings
from streamthread.upkeep import WaveProgress
from streamthread.upkeep import WaveView
from streamthread.upkeep.plan import may_stop_lasting

due_lists = st.lists(
    st.builds(
        DueMachine,
        machine_id=st.uuids().map(str),
        pool=st.sampled_from(["one", "two"]),
        idle=st.booleans(),
        off=st.booleans(),
        up=st.booleans(),
        may_empty=st.booleans(),
        reserved=st.booleans(),
        load=st.floats(0, 10),
    ),
    max_size=12,
    unique_by=lambda machine: machine.machine_id,
)


class TestPlan:
    @given(due_lists, st.integers(-2, 6))
    def test_begins_only_idle_machines_within_the_limit(
        self, due: list[DueMachine], free_slots: int
    ) -> None:
        plan = plan_upkeep(WaveView(1, tuple(due), free_slots), UpkeepSettings())
        by_id = {machine.machine_id: machine for machine in due}
        assert len(plan.begin) <= max(0, free_slots)
        for machine_id in plan.begin:
            machine = by_id[machine_id]
            assert machine.idle and machine.up
            assert machine.off or machine.may_empty
        for machine_id in plan.empty:
            assert not by_id[machine_id].idle
        assert not set(plan.begin) & set(plan.empty)

    def test_begins_with_machines_that_are_off(self) -> None:
        due = (
            DueMachine("a", "one", idle=True, off=False),
            DueMachine("b", "spare", idle=True, off=True),
        )
        plan = plan_upkeep(WaveView(1, due, 1), UpkeepSettings())
        assert plan.begin == ("b",)


class TestLasting:
    def test_one_more_is_stopped_only_below_the_limit(self) -> None:
        assert may_stop_lasting(0, 1)
        assert not may_stop_lasting(1, 1)
        assert not may_stop_lasting(0, 0)
        assert may_stop_lasting(0, None)


class TestProgress:
    def test_comes_back_from_its_row(self) -> None:
        progress = WaveProgress(3, 12.5, {"m1", "m2"}, "running")
        assert WaveProgress.decode(progress.encode()) == progress
