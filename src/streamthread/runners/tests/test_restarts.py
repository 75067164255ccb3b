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

    def __init__(self) -> None:
        self.restarted_ms: list[int] = []
        self.lists: list[HoldReply] = []

    def may_extend_s(self, wanted_s: float) -> float:
        return wanted_s

    async def on_hold_reply(self, link: RunnerLink, reply: HoldReply) -> None:
        self.lists.append(reply)

    def pause_after_ends_s(self) -> float:
        return 0.0

    def on_ready(self, link: RunnerLink) -> None:
        pass

    def on_runner_exit(self, link: RunnerLink, why: str) -> None:
        pass

    def on_restarted(self, link: RunnerLink, born_ms: int) -> None:
        self.restarted_ms.append(born_ms)
        link.over = True

    def on_all_expired(self, link: RunnerLink) -> None:
        pass

    def on_fenced(self, link: RunnerLink) -> None:
        pass


def _lists(clock_ms: int, *numbers: int, born_ms: int | None = BORN_MS) -> HoldReply:
    ended = tuple(EndedRun(n, f"task-{n}", 1, EndKind.DONE, "") for n in numbers)
    return HoldReply(clock_ms, (), ended, born_ms=born_ms)


def _no_answer() -> NoAnswerError:
    return NoAnswerError("no answer", remedy="it is tried again")


async def _play(
    answers: t.Sequence[Answer],
    born_ms: int | None = BORN_MS,
    earlier_born_ms: t.Iterable[int] = (),
) -> tuple[_Owner, _Client]:
    """Hold a runner until the script ends, or until its next life is told."""
    client = _Client(answers)
    runner = RunnerState("i-1", "desk", "x:1", "z", ("a", "r"), 4000, 100, 0)
    runner.born_ms = born_ms
    runner.earlier_born_ms = frozenset(earlier_born_ms)
    owner = _Owner()
    link = RunnerLink(runner, client, owner, LinkSettings(retry_s=0.0), boot_s())
    try:
        await link.run()
    except IndexError:
        assert not owner.restarted_ms
    return owner, client


class TestNextLife:
    async def test_is_told_and_its_lists_are_not_taken_for_the_former_one(self) -> None:
        first, second = _lists(CLOCK_MS), _lists(7, 1, born_ms=BORN_MS + 1)
        owner, _ = await _play([first, second])
        assert owner.restarted_ms == [BORN_MS + 1]
        assert owner.lists == [first]

    async def test_needs_no_silence_before(self) -> None:
        owner, _ = await _play([_lists(7, born_ms=BORN_MS + 1)])
        assert owner.restarted_ms == [BORN_MS + 1]

    async def test_is_none_where_the_birth_is_told_for_the_first_time(self) -> None:
        owner, _ = await _play([_lists(CLOCK_MS), _lists(CLOCK_MS + 1)], born_ms=None)
        assert len(owner.lists) == 2

    async def test_is_none_where_the_runner_never_tells_its_birth(self) -> None:
        silent_on_it = [_lists(CLOCK_MS + n, born_ms=None) for n in range(3)]
        owner, _ = await _play(silent_on_it, born_ms=None)
        assert owner.lists == silent_on_it

    async def test_is_none_that_was_over_before(self) -> None:
        """Two writers that disagree on a birth end no life again and again."""
        owner, _ = await _play(
            [_lists(CLOCK_MS), _lists(CLOCK_MS + 1)], BORN_MS + 1, [BORN_MS]
        )
        assert len(owner.lists) == 2


class TestConfirmations:
    """Up to which end a hold says that ends are recorded.

    Found by reading: the next life of a runner was asked with the number of the former
    life's last end. A runner forgets the ends up to that number, so that one which had
    come before that hold would be told to nobody, and its task be done twice.
    """

    async def test_name_no_end_to_a_runner_that_was_silent(self) -> None:
        _, client = await _play(
            [_lists(CLOCK_MS, 57), _no_answer(), _lists(CLOCK_MS + 9)]
        )
        assert client.confirmed[:3] == [0, 57, 0]

    async def test_are_sent_until_one_is_answered(self) -> None:
        """The next life may take the place of one that was never silent."""
        _, client = await _play(
            [_lists(CLOCK_MS, 57), _lists(CLOCK_MS + 1), _lists(CLOCK_MS + 2)]
        )
        assert client.confirmed[:3] == [0, 57, 0]

    async def test_follow_ends_that_are_listed_again(self) -> None:
        answers = [_lists(CLOCK_MS, 57), _no_answer(), _lists(CLOCK_MS + 1, 57, 58)]
        _, client = await _play([*answers, _lists(CLOCK_MS + 2)])
        assert client.confirmed[:4] == [0, 57, 0, 58]
