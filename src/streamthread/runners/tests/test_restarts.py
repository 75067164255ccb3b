"""A holder's link to a runner that starts again under its id."""

import typing as t

from streamthread.clocks import boot_s
from streamthread.errors import NoAnswerError
from streamthread.platform.runners import EndedRun
from streamthread.platform.runners import EndKind
from streamthread.platform.runners import HoldReply
from streamthread.platform.runners import RunnerClient
from streamthread.runners import LinkOwner
from streamthread.runners import LinkSettings
from streamthread.runners import RunnerLink
from streamthread.scheduler import RunnerState

BORN_MS = 1_700_000_000_000
CLOCK_MS = 5_000_000

Answer = HoldReply | Exception


class _Client(RunnerClient):
    """Answers holds by a script.

    :param confirmed: up to which end each hold said that ends are recorded.
    :param deadlines_ms: until when each of them held what runs.
    """

    def __init__(self, answers: t.Sequence[Answer]) -> None:
        self._answers = list(answers)
        self.confirmed: list[int] = []
        self.deadlines_ms: list[int | None] = []

    async def hold(self, address, runner_id, token, confirmed, deadline_ms, *rest):
        self.confirmed.append(confirmed)
        self.deadlines_ms.append(deadline_ms)
        answer = self._answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


class _Owner(LinkOwner):
    token = 1

    def may_extend_s(self, wanted_s: float) -> float:
        return wanted_s

    async def on_lists(self, link: RunnerLink, reply: HoldReply) -> None:
        pass

    def pause_after_ends_s(self) -> float:
        return 0.0

    def on_ready(self, link: RunnerLink) -> None:
        pass

    def on_life_over(self, link: RunnerLink, why: str) -> None:
        pass

    def on_lapsed(self, link: RunnerLink) -> None:
        pass

    def on_fenced(self, link: RunnerLink) -> None:
        pass


def _lists(clock_ms: int, *numbers: int, born_ms: int | None = BORN_MS) -> HoldReply:
    ended = tuple(EndedRun(n, f"task-{n}", 1, EndKind.DONE, "") for n in numbers)
    return HoldReply(clock_ms, (), ended, born_ms=born_ms)


def _no_answer() -> NoAnswerError:
    return NoAnswerError("no answer", remedy="it is tried again")


async def _play(answers: t.Sequence[Answer]) -> tuple[RunnerLink, _Client]:
    """Hold a runner until the script ends."""
    client = _Client(answers)
    runner = RunnerState(
        "i-1", "desk", "x:1", "z", ("a", "r"), 4000, 100, 0, born_ms=BORN_MS
    )
    settings = LinkSettings(retry_s=0.0)
    link = RunnerLink(runner, client, _Owner(), settings, boot_s())
    try:
        await link.run()
    except IndexError:
        return link, client
    return link, client


class TestConfirmations:
    async def test_name_no_end_to_a_runner_that_was_silent(self) -> None:
        """It may be another life, whose ends count from 1 again."""
        _, client = await _play(
            [_lists(CLOCK_MS, 57), _no_answer(), _lists(CLOCK_MS + 9)]
        )
        assert client.confirmed[:3] == [0, 57, 0]
