"""A backlog of one pool beside the turn of the next: `a backlog meets a turn`.

The pool with the backlog has no idle machine until it is done. The tests play the
decisions in virtual time, without any network.
"""

import attrs
import pytest

from streamthread.capacity import CapacitySettings
from streamthread.capacity import MachineView
from streamthread.capacity import plan_handovers
from streamthread.capacity import plan_moves
from streamthread.capacity import PoolView

CPU = 16_000
RUN_S = 1.0
MOVE_S = 1.5
STEP_S = 0.1
SERVED_WITHIN_S = RUN_S + MOVE_S + 2 * STEP_S
"""What runs on a machine ends, and the machine moves."""

SETTINGS = CapacitySettings(most_moves=100)


def _machine(number: int, pool: str = "past", **changes: object) -> MachineView:
    view = MachineView(f"m-{number:02}", pool, "r", CPU, 32_000, free_to_move=False)
    return attrs.evolve(view, **changes)


def _pools(past: int, present: int) -> list[PoolView]:
    return [PoolView("past", False, past), PoolView("present", False, present)]


class TestPlanHandovers:
    def test_takes_what_a_pool_has_above_its_target(self) -> None:
        machines = [_machine(n) for n in range(10)]
        assert len(plan_handovers(_pools(6, 9), machines, [])) == 4

    def test_takes_no_more_than_is_missing(self) -> None:
        machines = [_machine(n) for n in range(10)] + [_machine(10, "present")]
        assert len(plan_handovers(_pools(2, 3), machines, [])) == 2

    def test_takes_nothing_where_no_pool_lacks_machines(self) -> None:
        machines = [_machine(n) for n in range(10)]
        assert not plan_handovers(_pools(2, 0), machines, [])

    def test_takes_nothing_for_what_planned_moves_bring(self) -> None:
        idle = [_machine(n, free_to_move=True) for n in range(3)]
        machines = [_machine(n) for n in range(3, 10)] + idle
        pools = _pools(2, 3)
        moves = plan_moves(pools, machines, SETTINGS)
        assert len(moves) == 3
        assert not plan_handovers(pools, machines, moves)

    def test_keeps_those_that_are_handed_over_already(self) -> None:
        """Guards against machines that are emptied and used again in turns."""
        machines = [_machine(n, used_cpu=n) for n in range(9)]
        handed = _machine(9, used_cpu=CPU, usable=False, handing_over=True)
        assert plan_handovers(_pools(2, 1), [*machines, handed], []) == {"m-09"}

    def test_takes_those_with_the_least_load(self) -> None:
        machines = [_machine(n, used_cpu=CPU - n) for n in range(4)]
        assert plan_handovers(_pools(2, 1), machines, []) == {"m-03"}

    def test_takes_none_that_stays_busy_or_may_not_be_used(self) -> None:
        machines = [_machine(0), _machine(1, usable=False, closed=True), _machine(2)]
        found = plan_handovers(_pools(0, 3), machines, [], lambda m: m != "m-00")
        assert found == {"m-02"}


class _Fleet:
    """Machines of two pools; the first has work for all of its machines for ever."""

    def __init__(self, hands_over: bool) -> None:
        self.hands_over = hands_over
        self.now_s = 0.0
        self.machines = [_machine(n) for n in range(10)]
        self.machines += [_machine(n, "present") for n in range(10, 12)]
        self.handed: set[str] = set()
        # When what runs on a machine ends, and when a moving machine arrives.
        self.ends_s = {
            m.machine_id: RUN_S * n / 10 for n, m in enumerate(self.machines)
        }
        self.arrives_s: dict[str, float] = {}

    def play(self, for_s: float) -> int:
        """Decide for some time; return the number of machines of the second pool."""
        pools = _pools(past=2, present=10)
        while self.now_s < for_s:
            self.now_s += STEP_S
            self.machines = [self._advance(machine) for machine in self.machines]
            moves = plan_moves(pools, self.machines, SETTINGS)
            targets = {move.machine_id: move.target for move in moves}
            self.machines = [self._move(m, targets) for m in self.machines]
            if self.hands_over:
                self.handed = plan_handovers(pools, self.machines, [])
        return sum(m.usable and m.pool == "present" for m in self.machines)

    def _advance(self, machine: MachineView) -> MachineView:
        name = machine.machine_id
        if machine.arriving:
            if self.now_s < self.arrives_s[name]:
                return machine
            return attrs.evolve(machine, arriving=False, usable=True)
        handing_over = name in self.handed
        idle = machine.free_to_move
        if self.ends_s[name] <= self.now_s:
            idle = handing_over
            self.ends_s[name] = self.now_s if idle else self.now_s + RUN_S
        return attrs.evolve(
            machine,
            usable=not handing_over,
            handing_over=handing_over,
            free_to_move=idle,
        )

    def _move(self, machine: MachineView, targets: dict[str, str]) -> MachineView:
        target = targets.get(machine.machine_id)
        if target is None:
            return machine
        self.arrives_s[machine.machine_id] = self.now_s + MOVE_S
        return attrs.evolve(
            machine,
            pool=target,
            usable=False,
            arriving=True,
            free_to_move=False,
            handing_over=False,
        )


@pytest.mark.parametrize("hands_over", [True, False])
def test_the_next_pool_gets_the_machines_of_a_backlog(hands_over: bool) -> None:
    """Guards against a turn that waits until another pool's backlog is done.

    On a day with a flood, the next pool had 12 of 134 machines 6 s after its turn
    began, as no machine of the pool with the backlog became idle.
    """
    served = _Fleet(hands_over).play(SERVED_WITHIN_S)
    assert served == (10 if hands_over else 2)
