"""A machine loses power and comes back with another runner, under another address.

Its former runner answers nothing, and its entry remains until it expires. The list of
machines names the next one.
"""

import logbook

from streamthread.clocks import boot_s

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

    # Guards against a long-running task that runs nowhere, since its runner and the
    # holder exited together: the next holder waited until all leases had expired that
    # an earlier one may have renewed, and the wait began again with each holder.
    async def test_has_its_long_running_task_started_by_the_next_holder(self) -> None:
        async with running_cell({"desk": 2}, daemon_count=2) as cell:
            old = await cell.until_ready()
            new = next(daemon for daemon in cell.daemons if daemon is not old)
            body = job(run_s=600.0, longRunning=True)
            at = cell.daemons.index(new)
            assert await cell.caller().submit("a" * 16, body, at=at) == 200
            await until(lambda: len(cell.world.started) == 1, "the task runs")
            assert old.holder is not None
            confirmed = next(iter(old.holder.engine.jobs["a" * 16].attempts()))
            await until(lambda: confirmed.began_at_s, "the run is confirmed")
            await old.holder.until_durable()
            # The holder sees nothing of the exit.
            cell.world.store.faults.refuse = 503
            await cell.crash_busy_runner()
            await old.stop()
            cell.world.store.faults.refuse = 0
            await until(lambda: len(cell.world.started) == 2, "the task runs again")
            assert new.holder is not None
            links = new.holder.context.settings.links
            expired_at_s = new.holder.taken.last_hold_at_s + links.expiry_bound_s
            assert boot_s() < expired_at_s
