"""Orders of one job that fail unexpectedly leave the cell and other jobs alone."""

import pytest

from streamthread.holder import service
from streamthread.scheduler import Attempt
from streamthread.scheduler.orders import OrderSender

from .support import job
from .support import running_cell
from .support import until

BAD_ID = "a" * 16
TASKS = service.MAX_FAILURES + 5


class TestStartsThatFailUnexpectedly:
    async def test_do_not_release_the_cell(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a job that ends each holder, as each sends the same orders."""
        start = OrderSender.start
        failed: list[str] = []

        async def fail(self: OrderSender, attempt: Attempt) -> None:
            if attempt.task.name.startswith(BAD_ID):
                failed.append(attempt.task.name)
                raise UnicodeError("no such character")
            await start(self, attempt)

        monkeypatch.setattr(OrderSender, "start", fail)
        async with running_cell({"desk": 1}) as cell:
            daemon = await cell.until_ready()
            holder = daemon.holder
            caller = cell.caller()
            assert await caller.submit(BAD_ID, job(count=TASKS)) == 200
            await until(lambda: len(failed) == TASKS, "each start has failed")
            assert await caller.submit("b" * 16, job()) == 200
            await caller.until_state("b" * 16, "completed")
            assert daemon.holder is holder
