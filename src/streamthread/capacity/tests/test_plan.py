"""Moves between pools, for arbitrary views."""

import collections
import typing as t

import attrs
from hypothesis import given
from hypothesis import strategies as st

from streamthread.capacity import CapacitySettings
from streamthread.capacity import MachineView
from streamthread.capacity import Move
from streamthread.capacity import plan_moves
from streamthread.capacity import PoolView
from streamthread.capacity import target_size
from streamthread.capacity.demand import Demand

SETTINGS = CapacitySettings()
POOLS = ("one", "two", "spare")

machine_lists = st.lists(
    st.builds(
        MachineView,
        machine_id=st.uuids().map(str),
        pool=st.sampled_from(POOLS),
        rack=st.just("r"),
        cpu=st.just(16000),
        memory_mb=st.just(1000),
        free_to_move=st.booleans(),
        usable=st.booleans(),
        arriving=st.booleans(),
        idle_for_s=st.floats(0, 10),
        due=st.booleans(),
    ),
    max_size=20,
    unique_by=lambda machine: machine.machine_id,
)


def _pools(one: int, two: int) -> list[PoolView]:
    return [
        PoolView("one", False, one),
        PoolView("two", False, two),
        PoolView("spare", True),
    ]


class TestMoves:
    @given(machine_lists, st.integers(0, 8), st.integers(0, 8))
    def test_take_only_free_machines_and_each_once(
        self, machines: list[MachineView], one: int, two: int
    ) -> None:
        moves = plan_moves(_pools(one, two), machines, SETTINGS)
        by_id = {machine.machine_id: machine for machine in machines}
        assert len({move.machine_id for move in moves}) == len(moves)
        for move in moves:
            assert by_id[move.machine_id].free_to_move
            assert by_id[move.machine_id].pool == move.source != move.target

    @given(machine_lists, st.integers(0, 8), st.integers(0, 8))
    def test_never_shrink_a_pool_below_its_target(
        self, machines: list[MachineView], one: int, two: int
    ) -> None:
        moves = plan_moves(_pools(one, two), machines, SETTINGS)
        leaving = collections.Counter(move.source for move in moves)
        for pool, target in (("one", one), ("two", two)):
            present = sum(m.pool == pool and (m.usable or m.arriving) for m in machines)
            if leaving[pool]:
                assert present - leaving[pool] >= target

    def test_fill_a_shortage_from_the_spare_pool_first(self) -> None:
        machines = [
            MachineView("m1", "two", "r", 1, 1, free_to_move=True, idle_for_s=9),
            MachineView("m2", "spare", "r", 1, 1, free_to_move=True, usable=False),
        ]
        (move,) = plan_moves(_pools(1, 1), machines, SETTINGS)
        assert (move.machine_id, move.target) == ("m2", "one")

    def test_send_only_long_idle_machines_to_the_spare_pool(self) -> None:
        def view(idle_for_s: float) -> MachineView:
            return MachineView(
                "m1", "one", "r", 1, 1, free_to_move=True, idle_for_s=idle_for_s
            )

        assert plan_moves(_pools(0, 0), [view(0.1)], SETTINGS) == []
        (move,) = plan_moves(_pools(0, 0), [view(5.0)], SETTINGS)
        assert move.target == "spare"

    @given(machine_lists, st.integers(0, 8), st.integers(0, 8))
    def test_to_the_spare_pool_respect_the_size_to_keep(
        self, machines: list[MachineView], one: int, keep: int
    ) -> None:
        pools = [
            PoolView("one", False, one, keep),
            PoolView("two", False, 2),
            PoolView("spare", True),
        ]
        moves = plan_moves(pools, machines, SETTINGS)
        moved_to_spare = sum(m.source == "one" and m.target == "spare" for m in moves)
        leaving_count = sum(move.source == "one" for move in moves)
        present = sum(m.pool == "one" and (m.usable or m.arriving) for m in machines)
        if moved_to_spare:
            assert present - leaving_count >= keep

    def test_between_pools_ignore_the_size_to_keep(self) -> None:
        machines = [
            MachineView("m1", "one", "r", 1, 1, free_to_move=True, idle_for_s=9)
        ]
        pools = [
            PoolView("one", False, 0, keep=1),
            PoolView("two", False, 1),
            PoolView("spare", True),
        ]
        (move,) = plan_moves(pools, machines, SETTINGS)
        assert move.target == "two"


class TestSize:
    @given(st.floats(0, 1e6), st.floats(0, 1e6))
    def test_is_sufficient_for_the_demand(self, cpu: float, memory_mb: float) -> None:
        size = target_size(Demand(cpu, memory_mb), 16000, 32768, SETTINGS)
        assert size * 16000 >= cpu
        assert size * 32768 >= memory_mb
        assert size >= SETTINGS.least_machines

    def test_allows_the_spread_of_long_running_tasks(self) -> None:
        assert target_size(Demand(0, 0, 7), 16000, 32768, SETTINGS) == 7


def _machine(machine_id: str, pool: str, **fields: t.Any) -> MachineView:
    return MachineView(machine_id, pool, "r", 16000, 1000, True, **fields)


class TestClosedHalls:
    def test_idle_machines_leave_at_once_whatever_their_pool_keeps(self) -> None:
        """Guards against machines that wait for the idle time, or that a pool keeps
        because of a burst or its recent size."""
        pools = [PoolView("one", False, 1, keep=9), PoolView("spare", True)]
        machines = [
            _machine("a", "one", usable=False, closed=True),
            _machine("b", "one"),
        ]
        assert plan_moves(pools, machines, SETTINGS) == [Move("a", "one", "spare")]

    def test_busy_machines_stay(self) -> None:
        pools = [PoolView("one", False, 0), PoolView("spare", True)]
        busy = attrs.evolve(
            _machine("a", "one", usable=False, closed=True), free_to_move=False
        )
        assert plan_moves(pools, [busy], SETTINGS) == []

    def test_their_pool_gets_machines_from_other_halls(self) -> None:
        pools = [PoolView("one", False, 1), PoolView("spare", True)]
        machines = [
            _machine("a", "one", usable=False, closed=True),
            _machine("b", "spare", usable=False, closed=True),
            _machine("c", "spare", usable=False),
        ]
        moves = plan_moves(pools, machines, SETTINGS)
        assert moves == [Move("c", "spare", "one"), Move("a", "one", "spare")]

    @given(machine_lists, st.integers(0, 8), st.integers(0, 8), st.data())
    def test_give_no_machine_to_a_pool(
        self, machines: list[MachineView], one: int, two: int, data: t.Any
    ) -> None:
        closed = data.draw(st.sets(st.sampled_from(range(len(machines) or 1))))
        machines = [
            attrs.evolve(m, closed=True, usable=False, arriving=False)
            if n in closed
            else m
            for n, m in enumerate(machines)
        ]
        by_id = {machine.machine_id: machine for machine in machines}
        moves = plan_moves(_pools(one, two), machines, SETTINGS)
        assert len(moves) <= SETTINGS.most_moves
        assert len({move.machine_id for move in moves}) == len(moves)
        for move in moves:
            if by_id[move.machine_id].closed:
                assert move.target == "spare" and move.source != "spare"
