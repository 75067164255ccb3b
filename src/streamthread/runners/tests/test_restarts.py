"""Tests a holder's link to a runner that restarts under the same id."""

import typing as t

import attrs
import pytest

from streamthread.clocks import boot_s
from streamthread.errors import NoAnswerError
from streamthread.platform.runners import EndedRun
from streamthread.platform.runners import EndKind
from streamthread.platform.runners import HoldReply
from streamthread.platform.runners import RunnerClient
from streamthread.runners import LinkOwner
from streamthread.runners import LinkSettings
from streamthread.runners import RunnerLink
from streamthread.runners.link import MAX_RECORDING_S
from streamthread.scheduler import RunnerState

BORN_MS = 1_700_000_000_000
CLOCK_MS = 5_000_000

Answer = HoldReply | Exception


class _Client(RunnerClient):
    """Answers hold calls with scripted replies.

    :param confirmed: the number of the last recorded end in each hold call.
    :param deadlines_ms: the deadline in each hold call.
    :param waits_s: how long each hold call lets the runner wait.
    """

    def __init__(self, answers: t.Sequence[Answer]) -> None:
        self._answers = list(answers)
        self.confirmed: list[int] = []
        self.deadlines_ms: list[int | None] = []
        self.waits_s: list[float] = []

    async def hold(
        self, address, runner_id, token, confirmed, deadline_ms, wait_s, timeout_s
    ):
        self.waits_s.append(wait_s)
        self.confirmed.append(confirmed)
        self.deadlines_ms.append(deadline_ms)
        answer = self._answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


class _Owner(LinkOwner):
    """Records what a link reports.

    :param pauses: how often the link paused after a list with ends.
    :param recording_s: how long it takes each time until reported ends are durable. An
        extension is sent meanwhile where this is long.
    """

    token = 1

    def __init__(self, recording_s: t.Sequence[float] = ()) -> None:
        self._recording_s = list(recording_s)
        self.now_s = boot_s()
        self.restarted_ms: list[int] = []
        self.lists: list[HoldReply] = []
        self.pauses = 0

    def may_extend_s(self, wanted_s: float) -> float:
        return wanted_s

    async def on_hold_reply(self, link: RunnerLink, reply: HoldReply) -> None:
        self.lists.append(reply)
        took_s = self._recording_s.pop(0) if reply.ended and self._recording_s else 0.0
        self.now_s += took_s
        if took_s > MAX_RECORDING_S:
            await link.extend_once()

    def pause_after_ends_s(self) -> float:
        self.pauses += 1
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


def _truncated(clock_ms: int, *numbers: int) -> HoldReply:
    return attrs.evolve(_lists(clock_ms, *numbers), ends_truncated=True)


def _no_answer() -> NoAnswerError:
    return NoAnswerError("no answer", remedy="it is tried again")


async def _run_script(
    answers: t.Sequence[Answer],
    born_ms: int | None = BORN_MS,
    earlier_born_ms: t.Iterable[int] = (),
    recording_s: t.Sequence[float] = (),
) -> tuple[_Owner, _Client]:
    """Send hold calls until the script ends or the next incarnation is reported."""
    client = _Client(answers)
    runner = RunnerState("i-1", "desk", "x:1", "z", ("a", "r"), 4000, 100, 0)
    runner.born_ms = born_ms
    runner.earlier_born_ms = frozenset(earlier_born_ms)
    owner = _Owner(recording_s)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr("streamthread.runners.link.boot_s", lambda: owner.now_s)
        link = RunnerLink(runner, client, owner, LinkSettings(retry_s=0.0), boot_s())
        try:
            await link.run()
        except IndexError:
            assert not owner.restarted_ms
    return owner, client


class TestNextIncarnation:
    async def test_is_reported_and_its_lists_are_not_attributed_to_the_old_one(
        self,
    ) -> None:
        first, second = _lists(CLOCK_MS), _lists(7, 1, born_ms=BORN_MS + 1)
        owner, _ = await _run_script([first, second])
        assert owner.restarted_ms == [BORN_MS + 1]
        assert owner.lists == [first]

    async def test_is_recognized_without_a_previous_silence(self) -> None:
        owner, _ = await _run_script([_lists(7, born_ms=BORN_MS + 1)])
        assert owner.restarted_ms == [BORN_MS + 1]

    async def test_is_not_assumed_for_the_first_known_start_time(self) -> None:
        owner, _ = await _run_script(
            [_lists(CLOCK_MS), _lists(CLOCK_MS + 1)], born_ms=None
        )
        assert len(owner.lists) == 2

    async def test_is_not_assumed_if_the_runner_reports_no_start_time(self) -> None:
        replies = [_lists(CLOCK_MS + n, born_ms=None) for n in range(3)]
        owner, _ = await _run_script(replies, born_ms=None)
        assert owner.lists == replies

    async def test_is_not_one_that_has_already_exited(self) -> None:
        """Contradictory start times from two writers do not end links repeatedly."""
        owner, _ = await _run_script(
            [_lists(CLOCK_MS), _lists(CLOCK_MS + 1)], BORN_MS + 1, [BORN_MS]
        )
        assert len(owner.lists) == 2


class _RestartedOwner(_Owner):
    """May extend no runs; the runner restarts while the link waits for that.

    :param expired: how often the link reported that all runs have expired.
    """

    def __init__(self, restarts: bool) -> None:
        super().__init__()
        self._restarts = restarts
        self.link: RunnerLink | None = None
        self.expired = 0

    def may_extend_s(self, wanted_s: float) -> float:
        assert self.link is not None
        self.link.over = self._restarts
        return 0.0

    def on_all_expired(self, link: RunnerLink) -> None:
        self.expired += 1
        link.over = True


class TestFormerLink:
    @pytest.mark.parametrize("restarts", [False, True])
    async def test_reports_no_expiry_after_a_restart(self, restarts: bool) -> None:
        """Guards against expiring the runs of the next incarnation under the id."""
        owner = _RestartedOwner(restarts)
        runner = RunnerState("i-1", "desk", "x:1", "z", (), 4000, 100, 0)
        settings = LinkSettings(retry_s=0.0)
        owner.link = RunnerLink(runner, _Client([]), owner, settings, -1000.0)
        await owner.link.run()
        assert owner.expired == (not restarts)


class TestTruncatedEnds:
    """More runs have ended on a runner than it lists in one answer."""

    async def test_are_asked_for_again_at_once(self) -> None:
        first, second = _truncated(CLOCK_MS, 1, 2), _lists(CLOCK_MS + 1, 3)
        owner, client = await _run_script([_lists(CLOCK_MS), first, second])
        assert owner.lists[1:] == [first, second]
        assert owner.pauses == 1
        assert client.waits_s[2] == 0.0
        assert client.confirmed[2:] == [2, 3]

    async def test_remain_truncated_if_they_are_listed_again(self) -> None:
        """Guards against a list that seems whole once its durable ends are removed."""
        first = _truncated(CLOCK_MS, 1, 2)
        extension = _truncated(CLOCK_MS + 1, 1, 2)
        again = _truncated(CLOCK_MS + 2, 1, 2)
        owner, client = await _run_script(
            [first, extension, again, _lists(CLOCK_MS + 3, 3)],
            recording_s=[2 * MAX_RECORDING_S],
        )
        assert [len(reply.ended) for reply in owner.lists] == [2, 0, 1]
        assert [reply.ends_truncated for reply in owner.lists] == [True, True, False]
        assert client.confirmed[-2:] == [2, 3]


class TestConfirmations:
    """The number of the last recorded end in a hold call.

    Guards against confirming an end of the previous incarnation to the next one. A
    runner forgets all ends up to the confirmed number, so an end that occurred before
    that call would never be reported, and its task would run twice.
    """

    async def test_name_no_end_after_a_silence(self) -> None:
        _, client = await _run_script(
            [_lists(CLOCK_MS, 57), _no_answer(), _lists(CLOCK_MS + 9)]
        )
        assert client.confirmed[:3] == [0, 57, 0]

    async def test_are_sent_until_one_is_answered(self) -> None:
        """The next incarnation may replace one that was never silent."""
        _, client = await _run_script(
            [_lists(CLOCK_MS, 57), _lists(CLOCK_MS + 1), _lists(CLOCK_MS + 2)]
        )
        assert client.confirmed[:3] == [0, 57, 0]

    async def test_include_ends_that_are_listed_again(self) -> None:
        answers = [_lists(CLOCK_MS, 57), _no_answer(), _lists(CLOCK_MS + 1, 57, 58)]
        _, client = await _run_script([*answers, _lists(CLOCK_MS + 2)])
        assert client.confirmed[:4] == [0, 57, 0, 58]

    async def test_name_no_end_that_took_long_to_record(self) -> None:
        """Guards against a restart while the store is slow and no call is pending."""
        extended = _lists(CLOCK_MS + 1, 57)
        next_one = _lists(7, 1, born_ms=BORN_MS + 1)
        owner, client = await _run_script(
            [_lists(CLOCK_MS, 57), extended, next_one], recording_s=[1.0]
        )
        assert owner.restarted_ms == [BORN_MS + 1]
        assert client.confirmed == [0, 0, 0]
        assert client.waits_s[-1] == 0.0

    async def test_follow_once_the_same_incarnation_has_answered(self) -> None:
        answers = [_lists(CLOCK_MS + n, 57) for n in range(3)]
        owner, client = await _run_script(
            [*answers, _lists(CLOCK_MS + 3)], recording_s=[1.0]
        )
        assert client.confirmed[:4] == [0, 0, 0, 57]
        assert [len(reply.ended) for reply in owner.lists] == [1, 0, 0]

    async def test_are_not_repeated_while_later_ends_are_recorded(self) -> None:
        """Guards against a number that an extension names after a restart."""
        lists = [_lists(CLOCK_MS, 57), _lists(CLOCK_MS + 1, 58)]
        _, client = await _run_script(
            [*lists, _lists(CLOCK_MS + 2, 58)], recording_s=[0.0, 1.0]
        )
        assert client.confirmed[:3] == [0, 57, 0]
