"""The hall of the holder is lost with a quarter of the members."""

import time

from streamthread.gateway import CellDaemon

from .partition import running_halls
from .support import Cell
from .support import job
from .support import until

TAKEOVER_WITHIN_S = 3.5
"""The loss of a heartbeat (0.7 s), the stalled commits (1.5 s), a stagger and the
replay, and what a busy test machine adds."""

DAEMONS = ["a", "a", "b", "b", "c", "c", "d", "d"]


def _holder_outside(cell: Cell, hall: str) -> CellDaemon | None:
    for daemon in cell.daemons:
        if daemon.node.hall != hall and daemon.holder is not None:
            return daemon if daemon.holder.active else None
    return None


async def _until_halls_known(cell: Cell) -> CellDaemon:
    holder = await cell.until_ready()
    await until(
        lambda: all(len(d._peers_elsewhere()) == 6 for d in cell.daemons),
        "all halls known to all",
    )
    return holder


class TestLostHall:
    async def test_whose_links_are_cut_is_replaced(self) -> None:
        async with running_halls(DAEMONS, {"desk": 2}) as (cell, halls):
            old = await _until_halls_known(cell)
            halls.cut(old.node.hall)
            began_at_s = time.monotonic()
            new = await until(
                lambda: _holder_outside(cell, old.node.hall), "a new holder"
            )
            took_s = time.monotonic() - began_at_s
            assert took_s < TAKEOVER_WITHIN_S
            caller = cell.caller()
            at = cell.daemons.index(new)
            await caller.submit("a" * 16, job(), at=at)
            await caller.until_state("a" * 16, "completed", at=at)

    # Guards against a successor that is lost together with the holder's hall.
    async def test_a_planned_stop_names_a_successor_in_another_hall(self) -> None:
        async with running_halls(["a", "a", "b"], {"desk": 1}) as (cell, _):
            old = await cell.until_ready()
            await until(
                lambda: old._peers_elsewhere() and len(old.endpoint.followers) == 2,
                "all daemons follow the holder, which knows their halls",
            )
            chosen = next(
                d for d in cell.daemons if d.node.daemon_id == old._choose_successor()
            )
            assert chosen.node.hall != old.node.hall
