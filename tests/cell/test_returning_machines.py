"""A machine loses power and comes back with another runner, under another address.

Its former runner answers nothing, and its entry remains until it expires. The list of
machines names the next one.
"""

import logbook

from .support import job
from .support import running_cell
from .support import until


class TestMachineThatComesBack:
    # Guards against tasks that wait for the end of their leases on a runner that is
    # certainly over, and against a machine that counts twice.
    async def test_has_its_tasks_started_before_their_leases_expire(self) -> None:
        with logbook.TestHandler() as logs:
            async with running_cell({"desk": 2}) as cell:
                daemon = await cell.until_ready()
                world = cell.world
                await cell.caller().submit("a" * 16, job(run_s=60.0))
                await until(lambda: world.started, "the task runs")
                (first,) = world.started
                machine = next(
                    machine
                    for machine in world.cloud.machines.values()
                    if machine.runner is not None
                    and machine.runner.runner_id == first.runner_id
                )
                former = machine.runner
                assert former is not None
                # The open hold call is still answered, all later calls are not.
                former.faults.silent = True
                machine.runner = await world._make_runner(machine.machine_id, "desk")
                assert former.port.address != machine.runner.port.address
                await until(lambda: len(world.started) == 2, "the task runs again")
                assert world.started[1].at_s < former._deadline_s()
                holder = daemon.holder
                assert holder is not None
                assert former.runner_id not in holder.engine.runners
                assert holder.duties is not None
                assert len(holder.duties._table.machines) == 2
                ends = {
                    record.extra["runner"]: record.extra["why"]
                    for record in logs.records
                    if record.message == "runner-over"
                }
                assert ends == {former.runner_id: "its machine has another runner"}
