"""One runner and one task to start there, without any network."""

import asyncio
import math
import time
import types
import typing as t

from streamthread.clocks import boot_s
from streamthread.halls import OpenHalls
from streamthread.platform.callers import JobRequest
from streamthread.platform.callers import StepRequest
from streamthread.platform.runners import OrderReply
from streamthread.scheduler import Attempt
from streamthread.scheduler import Engine
from streamthread.scheduler import Job
from streamthread.scheduler import JobTerms
from streamthread.scheduler import Phase
from streamthread.scheduler import RunnerState
from streamthread.scheduler.orders import OrderSender
from streamthread.scheduler.orders import OrderSettings

Reply = OrderReply | Exception


Step = t.Callable[[], t.Any]


class ClosableHalls(OpenHalls):
    """One hall that can be closed, and whose state may be unknown."""

    def __init__(self, on_ask: Step) -> None:
        self.open = True
        self.known = True
        self.start_by_s = math.inf
        self._on_ask = on_ask

    def are_known(self) -> bool:
        self._on_ask()
        return self.known

    def may_start(self, hall: str) -> bool:
        return self.open

    def start_within_s(self) -> float:
        return self.start_by_s - boot_s()


class StartCell:
    """One runner, one task to start there, and what the sender does, in order.

    :param on_step: called when the sender takes the step of this name.
    :param on_poll: called when the sender has had to wait for the halls this often.

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
        self.start_limits_s: list[float] = []
        self.time_limits_s: list[tuple[float, float | None]] = []
        self.on_step: dict[str, Step] = {}
        self.on_poll: dict[int, Step] = {}
        self.polls = 0
        self.halls = ClosableHalls(self._on_ask)
        self.settings = OrderSettings()
        self._replies = list(replies)
        self._answers = list(answers)
        self.engine = Engine(lambda job: None, halls=self.halls)
        self.runner = RunnerState("i-1", "desk", "x:1", "z", ("a",), 9, 9, 0)
        self.runner.ready = True
        self.engine.add_runner(self.runner)
        job = Job(
            "a" * 16,
            JobTerms("r", "desk"),
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
            heard_at_s=0.0,
            runner=self.runner,
            clock=types.SimpleNamespace(known=True),
            start_slots=asyncio.Semaphore(),
            start_deadline_ms=self._start_deadline_ms,
            on_order_unanswered=self._on_order_unanswered,
            probe=self._probe,
        )
        self.links = {"i-1": link}

    async def start(self) -> Attempt:
        """Place the task and send its start."""
        (attempt,) = self.engine.place_all(time.time(), lambda step: None)
        await self.send(attempt)
        return attempt

    def read_back(self) -> Attempt:
        """Place the task, and return the attempt as the next holder reads it."""
        (attempt,) = self.engine.place_all(time.time(), lambda step: None)
        attempt.phase, attempt.read_back = Phase.SENT, True
        self.task.on_probation = True
        self.runner.probation_until_s = 0.0
        return attempt

    async def send(self, attempt: Attempt) -> None:
        """Send the start of an attempt."""
        client: t.Any = types.SimpleNamespace(start=self._answer_start)
        owner: t.Any = self
        await OrderSender(client, self.engine, owner, self.settings).start(attempt)

    def close_hall(self) -> None:
        """Evacuate the runner's hall."""
        self.halls.open = False

    def reopen_after(self, polls: int) -> None:
        """Let the state of the hall be known once the sender has waited for it."""
        self.on_poll[polls] = lambda: setattr(self.halls, "known", True)

    def hear_after(self, polls: int) -> None:
        """Let the runner list its runs once the sender has waited for that."""
        link = self.links["i-1"]
        self.on_poll[polls] = lambda: setattr(link, "heard_at_s", boot_s())

    def _on_ask(self) -> None:
        if self.halls.open and self.halls.known:
            return
        self.polls += 1
        self.on_poll.get(self.polls, lambda: None)()

    def _take(self, step: str) -> None:
        self.steps.append(step)
        self.on_step.get(step, lambda: None)()

    async def _answer_start(
        self, *order: t.Any, timeout_s: float, overdue_s: float | None
    ) -> OrderReply:
        self._take("start")
        self.time_limits_s.append((timeout_s, overdue_s))
        reply = self._replies.pop(0) if self._replies else OrderReply(None, 100)
        if isinstance(reply, Exception):
            raise reply
        return reply

    async def _probe(self) -> bool:
        # A start is answered at 100.
        self.runner.on_clock(160 if "start" in self.steps else 40)
        self.steps.append("probe")
        return self._answers.pop(0)

    def on_runner_exit(self, link: t.Any, why: str) -> None:
        """Note that another incarnation has answered."""
        self.steps.append("exited")

    def _on_order_unanswered(self, sent_at_s: float) -> None:
        self.steps.append("unanswered")
        self.runner.ready = False

    def _start_deadline_ms(self, within_s: float = math.inf) -> int:
        self.start_limits_s.append(within_s)
        return 1

    async def until_trusted(self) -> None:
        return

    async def until_durable(self) -> None:
        self._take("commit")

    def ticket_for(self, attempt: Attempt) -> str:
        return ""

    def kick(self) -> None:
        return
