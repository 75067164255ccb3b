"""One runner and one task to start there, without any network."""

import time
import types
import typing as t

from streamthread.platform.callers import JobRequest
from streamthread.platform.callers import StepRequest
from streamthread.platform.runners import OrderReply
from streamthread.scheduler import Attempt
from streamthread.scheduler import Engine
from streamthread.scheduler import Job
from streamthread.scheduler import RunnerState
from streamthread.scheduler.orders import OrderSender
from streamthread.scheduler.orders import OrderSettings

Reply = OrderReply | Exception


class StartCell:
    """One runner, one task to start there, and what the sender does, in order.

    :param answers: whether the runner answers each probe.
    :param replies: the outcomes of the starts; those after the last one succeed.
    """

    token = 1

    def __init__(
        self,
        lost_runners: int = 0,
        answers: t.Sequence[bool] = (),
        replies: t.Sequence[Reply] = (),
    ) -> None:
        self.steps: list[str] = []
        self.time_limits_s: list[tuple[float, float | None]] = []
        self._replies = list(replies)
        self._answers = list(answers)
        self.engine = Engine(lambda job: None)
        self.runner = RunnerState("i-1", "desk", "x:1", "z", ("a",), 9, 9, 0)
        self.runner.ready = True
        self.engine.add_runner(self.runner)
        job = Job(
            "a" * 16,
            "r",
            "desk",
            JobRequest("", (StepRequest(cpu=1, memory_mb=1),)),
            b"",
            time.time(),
        )
        job.begin(0)
        (self.task,) = job.occurrences[0].steps[0].tasks
        self.task.crashes = lost_runners
        self.engine.add(job)
        link: t.Any = types.SimpleNamespace(
            silent=False,
            over=False,
            runner=self.runner,
            clock=types.SimpleNamespace(known=True),
            start_deadline_ms=lambda: 1,
            on_order_unanswered=self._on_order_unanswered,
            probe=self._probe,
        )
        self.links = {"i-1": link}

    async def start(self) -> Attempt:
        """Place the task and send its start."""
        (attempt,) = self.engine.place_all(time.time(), lambda step: None)
        client: t.Any = types.SimpleNamespace(start=self._answer_start)
        owner: t.Any = self
        await OrderSender(client, self.engine, owner, OrderSettings()).start(attempt)
        return attempt

    async def _answer_start(
        self, *order: t.Any, timeout_s: float, overdue_s: float | None
    ) -> OrderReply:
        self.steps.append("start")
        self.time_limits_s.append((timeout_s, overdue_s))
        reply = self._replies.pop(0) if self._replies else OrderReply(None, 100)
        if isinstance(reply, Exception):
            raise reply
        return reply

    async def _probe(self) -> bool:
        self.steps.append("probe")
        self.runner.on_clock(160)
        return self._answers.pop(0)

    def _on_order_unanswered(self, sent_at_s: float) -> None:
        self.steps.append("unanswered")
        self.runner.ready = False

    async def until_trusted(self) -> None:
        return

    async def until_durable(self) -> None:
        self.steps.append("commit")

    def ticket_for(self, attempt: Attempt) -> str:
        return ""

    def kick(self) -> None:
        return
