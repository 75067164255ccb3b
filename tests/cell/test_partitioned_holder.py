"""A partition cuts the holder off from the store and from the machines' interface.

Its link holds back what it sends and delivers it afterwards, when the next holder has
ordered the same machines.
"""

import contextlib
import json
import typing as t

from streamthread.capacity import Move
from streamthread.gateway import CellDaemon
from streamthread.platform.node import decode_node
from streamthread.standins.cell import CellWorld
from streamthread.standins.holding_link import HoldingLink

from .support import Cell
from .support import until


@contextlib.asynccontextmanager
async def _cell_behind_links() -> t.AsyncIterator[tuple[Cell, list[list[HoldingLink]]]]:
    """Run two daemons with a link of their own to the store and to the cloud each."""
    world = CellWorld({"desk": 3, "audit": 2, "spare": 1})
    await world.open()
    links: list[list[HoldingLink]] = []
    daemons: list[CellDaemon] = []
    for number in range(2):
        settings = json.loads(world.node_settings(f"daemon-{number}"))
        links.append([])
        for service in ("platform", "cloud"):
            link = HoldingLink(settings[service]["address"])
            await link.open()
            settings[service]["address"] = link.address
            links[number].append(link)
        daemons.append(CellDaemon(decode_node(json.dumps(settings))))
    cell = Cell(world, daemons)
    try:
        for daemon in daemons:
            await daemon.start()
        yield cell, links
    finally:
        for link in (link for pair in links for link in pair):
            link.heal()
        for daemon in daemons:
            await daemon.stop()
        for link in (link for pair in links for link in pair):
            await link.close()
        await world.close()


class TestPartitionedHolder:
    # Guards against a machine that gets an order of the earlier holder after one of the
    # next holder (rule ONE).
    async def test_orders_no_machine_after_the_next_holder_has(self) -> None:
        async with _cell_behind_links() as (cell, links):
            old = await cell.until_ready()
            assert old.holder is not None and old.holder.duties is not None
            duties = old.holder.duties
            await until(lambda: duties._table.machines, "the machines are listed")
            at = cell.daemons.index(old)
            machine_id = next(
                machine.machine_id
                for machine in cell.world.cloud.machines.values()
                if machine.pool == "desk"
            )
            for link in links[at]:
                link.interrupt()
            duties._begin_move(Move(machine_id, "desk", "spare"))
            cloud_link = links[at][1]
            await until(
                lambda: cloud_link.holds(b"/-/machine-move"), "the move is held back"
            )
            new = cell.daemons[1 - at]
            await until(
                lambda: new.holder is not None and new.holder.active, "the next holder"
            )
            assert new.holder is not None and new.holder.duties is not None
            next_duties = new.holder.duties
            await until(
                lambda: next_duties._table.machines, "the next holder lists machines"
            )
            next_duties._begin_move(Move(machine_id, "desk", "audit"))
            world = cell.world
            machine = world.cloud.machines[machine_id]
            await until(
                lambda: machine.pool == "audit" and machine.state == "up",
                "the next holder's move",
            )
            for link in links[at]:
                link.heal()
            assert old.cloud is not None
            for _ in range(2):
                # What the link held back has arrived before these are answered.
                await old.cloud.machines()
            tokens = [d.token for d in world.cloud.duties if d.machine_id == machine_id]
            assert tokens == [2]
            assert machine.pool == "audit"
