"""What pools may get is known without a pass over all machines for each job."""

import typing as t

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
    capacity = PoolCapacity()
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
    capacity = PoolCapacity()
    capacity.update(())
    views = capacity._views = _Views(VIEWS)
    assert views.passes == 0
    for _ in range(100):
        capacity.obtainable("one")
        capacity.arriving("two")
    assert views.passes == 1
