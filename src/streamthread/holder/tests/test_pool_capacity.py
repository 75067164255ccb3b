"""What pools may get is known without a pass over all machines for each job."""

import time
import typing as t

import pytest

from streamthread.capacity import MachineView
from streamthread.holder.pool_capacity import PoolCapacity


class _Views(tuple[MachineView, ...]):
    """Machines that count how often they are gone through."""

    passes = 0

    def __iter__(self) -> t.Iterator[MachineView]:
        self.passes += 1
        return super().__iter__()


def view(number: int, pool: str, **changes: t.Any) -> MachineView:
    return MachineView(f"m{number}", pool, "r", 1_000, 1, **changes)


VIEWS = [
    view(1, "one", free_to_move=True),
    view(2, "one", free_to_move=False, usable=False, arriving=True),
    view(3, "two", free_to_move=True),
    view(4, "two", free_to_move=False),
    view(5, "spare", free_to_move=True, usable=False),
]


def test_counts_what_arrives_and_what_is_idle_elsewhere() -> None:
    capacity = PoolCapacity(1.5)
    assert capacity.obtainable("one") is None
    capacity.update(VIEWS)
    found = [capacity.obtainable(pool) for pool in ("one", "two", "none")]
    cpus = [[cpu for _, cpu in parts or ()] for parts in found]
    assert cpus == [[1_000.0, 2_000.0], [0.0, 2_000.0], [0.0, 3_000.0]]
    assert [cpu for _, cpu in capacity.arriving("one")] == [1_000.0]
    assert capacity.arriving("two") == ()


def test_goes_through_the_machines_once_for_many_jobs() -> None:
    """Guards holders of many machines against work that grows with each new job.

    Where nobody asks, the machines are not gone through at all.
    """
    capacity = PoolCapacity(1.5)
    capacity.update(())
    views = capacity._views = _Views(VIEWS)
    assert views.passes == 0
    for _ in range(100):
        capacity.obtainable("one")
        capacity.arriving("two")
    assert views.passes == 1


# Guards against refusals by a move time that the platform does not have.
def test_counts_on_machines_after_the_stated_time_of_a_move() -> None:
    for move_s in (0.5, 1.5, 6.0):
        capacity = PoolCapacity(move_s)
        capacity.update(VIEWS)
        before_s = time.time()
        (here_s, _), (moved_s, _) = capacity.obtainable("one") or ()
        assert moved_s - here_s == pytest.approx(move_s)
        ((arriving_s, _),) = capacity.arriving("one")
        assert arriving_s - before_s == pytest.approx(move_s / 2, abs=0.2)
