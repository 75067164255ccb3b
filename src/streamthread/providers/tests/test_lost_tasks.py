"""A task that was lost with its worker is told from one that failed by itself.

Both were reported as failed, so that nobody could count the one without the other.
"""

import asyncio
import typing as t

import pytest

from streamthread.providers import HttpWorkers
from streamthread.providers import Instance
from streamthread.providers import memory_platform
from streamthread.providers import MemoryMembership
from streamthread.providers import MemoryWorkers
from streamthread.providers import PlatformClient
from streamthread.providers import TaskStart
from streamthread.providers import TaskState
from streamthread.providers import Workers
from streamthread.standins.platform import PlatformStandin

CALL_TIMEOUT_S = 5.0


def _start(job_id: str, worker_id: str) -> TaskStart:
    return TaskStart(job_id, 1, worker_id, 1, 1, 0, 600.0)


async def _states(workers: Workers) -> dict[str, TaskState]:
    """Return the state of each task as the reports say."""
    changes = await workers.task_changes(0)
    return {task.job_id: task.state for task in changes.tasks}


class TestWorkersInMemory:
    @pytest.fixture
    def workers(self) -> MemoryWorkers:
        platform = memory_platform()
        membership = t.cast(MemoryMembership, platform.membership)
        for name in ("w0", "w1"):
            membership.put(Instance(name, "hann", "r"))
        return t.cast(MemoryWorkers, platform.workers)

    async def test_report_what_ran_on_a_lost_worker_as_lost(
        self, workers: MemoryWorkers
    ) -> None:
        await workers.start(_start("failed", "w0"))
        workers.finish("failed", 1, TaskState.FAILED)
        await workers.start(_start("lost", "w0"))
        await workers.start(_start("beside", "w1"))
        workers.end_tasks_on("w0")
        assert await _states(workers) == {
            "failed": TaskState.FAILED,
            "lost": TaskState.LOST,
            "beside": TaskState.RUNNING,
        }

    async def test_report_what_ran_at_a_reboot_as_lost(
        self, workers: MemoryWorkers
    ) -> None:
        await workers.start(_start("lost", "w0"))
        await workers.reboot("w0", 1)
        assert await _states(workers) == {"lost": TaskState.LOST}


class TestWorkersOverHttp:
    @pytest.fixture
    async def client(self) -> t.AsyncIterator[PlatformClient]:
        standin = PlatformStandin()
        await standin.start()
        client = PlatformClient(f"http://127.0.0.1:{standin.port}", CALL_TIMEOUT_S)
        instances = [
            {"instance_id": name, "hall": "hann", "rack": "r"} for name in ("w0", "w1")
        ]
        await client.call("/standin/instances", {"instances": instances})
        yield client
        await client.close()
        await standin.stop()

    async def test_report_what_ran_on_a_lost_worker_as_lost(
        self, client: PlatformClient
    ) -> None:
        workers = HttpWorkers(client)
        await client.call("/standin/faults", {"failing_workers": ["w1"]})
        await workers.start(_start("lost", "w0"))
        await workers.start(_start("failed", "w1"))
        while (await _states(workers))["failed"] is TaskState.RUNNING:
            await asyncio.sleep(0)
        lost = {"instance_ids": ["w0", "w1"], "status": "lost"}
        await client.call("/standin/status", lost)
        assert await _states(workers) == {
            "lost": TaskState.LOST,
            "failed": TaskState.FAILED,
        }
        task = await workers.find_task("lost", 1)
        assert task is not None and task.state is TaskState.LOST
