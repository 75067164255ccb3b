"""Jobs from their submission to their end, over real sockets."""

import pytest

from .support import Cell
from .support import job
from .support import running_cell
from .support import until


class TestJob:
    async def test_runs_and_completes(self) -> None:
        async with running_cell({"desk": 2}) as cell:
            await cell.until_ready()
            caller = cell.caller()
            assert await caller.submit("a" * 16, job(count=3)) == 200
            await caller.until_state("a" * 16, "completed")
            assert len(cell.world.started) == 3

    async def test_submitted_twice_runs_once(self) -> None:
        async with running_cell({"desk": 2}, daemon_count=2) as cell:
            await cell.until_ready()
            caller = cell.caller()
            assert await caller.submit("b" * 16, job()) == 200
            assert await caller.submit("b" * 16, job(), at=1) == 200
            await caller.until_state("b" * 16, "completed")
            assert await caller.submit("b" * 16, job(), at=1) == 200
            assert len(cell.world.started) == 1

    async def test_steps_wait_for_earlier_steps(self) -> None:
        body = (
            b'{"spec":"{\\"run_s\\":0.2}","steps":[{"count":2,"cpu":100,"memMb":1},'
            b'{"count":1,"cpu":100,"memMb":1,"after":[0]}]}'
        )
        async with running_cell({"desk": 2}) as cell:
            await cell.until_ready()
            caller = cell.caller()
            await caller.submit("c" * 16, body)
            await caller.until_state("c" * 16, "completed")
            ends = {task: at_s for task, _, _, at_s in cell.world.ended}
            first = max(at_s for task, at_s in ends.items() if ".0.0." in task)
            second = next(s for s in cell.world.started if ".0.1." in s.task)
            assert second.at_s >= first

    async def test_failed_task_is_retried_up_to_its_attempts(self) -> None:
        async with running_cell({"desk": 2}) as cell:
            await cell.until_ready()
            caller = cell.caller()
            await caller.submit("d" * 16, job(run_s=0.02, fail=2))
            await caller.until_state("d" * 16, "completed")
            await caller.submit("e" * 16, job(run_s=0.02, fail=5))
            await caller.until_state("e" * 16, "failed")
            runs = [s.run for s in cell.world.started if s.task.startswith("e")]
            assert runs == [1, 2, 3]

    async def test_cancelled_job_stops_and_starts_nothing_more(self) -> None:
        async with running_cell({"desk": 2}) as cell:
            await cell.until_ready()
            caller = cell.caller()
            await caller.submit("f" * 16, job(run_s=30, count=2, longRunning=True))
            await until(lambda: len(cell.world.started) == 2, "both tasks start")
            status, _, _ = await caller.call("DELETE", "f" * 16)
            assert status == 200
            await until(
                lambda: not any(r.running() for r in cell.world.runners),
                "no run of the job is left",
            )
            await caller.until_state("f" * 16, "cancelled")
            assert len(cell.world.started) == 2

    async def test_id_that_is_too_long_for_the_store_is_refused(self) -> None:
        """A row that the store refuses would stop the holder's commits."""
        async with running_cell({"desk": 1}) as cell:
            daemon = await cell.until_ready()
            caller = cell.caller()
            for method, status in (("POST", 400), ("GET", 410), ("DELETE", 410)):
                assert (await caller.call(method, "a" * 300, job()))[0] == status
            assert await caller.submit("b" * 16, job()) == 200
            await caller.until_state("b" * 16, "completed")
            assert cell.holder() is daemon

    async def test_unknown_job_and_unknown_queue_have_different_answers(self) -> None:
        async with running_cell({"desk": 1}) as cell:
            await cell.until_ready()
            caller, stranger = cell.caller(), cell.caller("nobody")
            assert (await caller.call("GET", "0" * 16))[0] == 410
            assert (await caller.call("DELETE", "0" * 16))[0] == 410
            assert (await stranger.call("GET", "0" * 16))[0] == 404
            assert await stranger.submit("0" * 16, job()) == 404

    async def test_pending_counts_jobs_that_have_not_begun(self) -> None:
        async with running_cell({"desk": 1}) as cell:
            await cell.until_ready()
            caller = cell.caller()
            await caller.submit("1" * 16, job(run_s=0.5, cpu=16000))
            await caller.submit("2" * 16, job(run_s=0.1, cpu=16000))
            # A job has begun once the holder has its runner's answer to the start.
            await caller.until_state("1" * 16, "running")
            _, answer, _ = await caller.call("GET")
            assert answer == {"pending": 1}
            await caller.until_state("2" * 16, "completed")

    @pytest.mark.parametrize(
        "body",
        [
            b"[]",
            b'{"spec":"","steps":[{"count":100001}]}',
            b'{"spec":"","steps":[{}],"unknown":"\xff"}',
        ],
    )
    async def test_invalid_body_is_rejected_for_good(self, body: bytes) -> None:
        """A time to retry would be wrong, as no repetition is accepted."""
        async with running_cell({"desk": 1}) as cell:
            await cell.until_ready()
            caller = cell.caller()
            status, _, headers = await caller.call("POST", "3" * 16, body)
            assert status == 400
            assert "Retry-After" not in headers
            assert await caller.submit("4" * 16, job()) == 200
            assert await caller.state("3" * 16) == "410"


async def _wait_for_renewal(cell: Cell) -> None:
    """Wait until a renewal ends, so that the next one is not about to begin."""
    holder = cell.daemons[0].holder
    assert holder is not None
    before = holder.log.sequence
    await until(lambda: holder.log.sequence > before, "a renewal")


class TestLostAnswers:
    async def test_start_carried_out_late_runs_once(self) -> None:
        async with running_cell({"desk": 1}) as cell:
            await cell.until_ready()
            caller = cell.caller()
            cell.world.runners[0].faults.late_starts = 1
            await caller.submit("4" * 16, job(run_s=0.3))
            await caller.until_state("4" * 16, "completed")
            assert len(cell.world.started) == 1

    async def test_commit_without_answer_is_resolved(self) -> None:
        async with running_cell({"desk": 1}) as cell:
            await cell.until_ready()
            caller = cell.caller()
            await _wait_for_renewal(cell)
            cell.world.store.faults.lose_answers = 2
            assert await caller.submit("5" * 16, job()) == 200
            await caller.until_state("5" * 16, "completed")
            assert len(cell.world.started) == 1

    async def test_job_behind_an_unanswered_renewal_is_one_job(self) -> None:
        """The timeouts of both lost answers take longer than a caller waits."""
        async with running_cell({"desk": 1}) as cell:
            await cell.until_ready()
            caller = cell.caller()
            faults = cell.world.store.faults
            faults.lose_answers = 2
            await until(lambda: faults.lose_answers == 1, "a renewal is unanswered")
            first = await caller.submit("7" * 16, job())
            assert first in (200, 504)
            await until(lambda: not faults.lose_answers, "the job's commit is lost")
            await caller.until_state("7" * 16, "completed")
            assert await caller.submit("7" * 16, job()) == 200
            assert len(cell.world.started) == 1

    async def test_commit_carried_out_late_changes_nothing(self) -> None:
        async with running_cell({"desk": 1}) as cell:
            await cell.until_ready()
            caller = cell.caller()
            cell.world.store.faults.late_s = 1.5
            cell.world.store.faults.lose_answers = 1
            assert await caller.submit("6" * 16, job()) == 200
            await caller.until_state("6" * 16, "completed")
            store = cell.world.store
            await until(lambda: store.late_writes == 1, "the late write is tried")
            assert await caller.state("6" * 16) == "completed"
            assert len(cell.world.started) == 1
            holder = cell.daemons[0].holder
            assert holder is not None
            before = holder.log.sequence
            await until(lambda: holder.log.sequence > before, "commits go on")
