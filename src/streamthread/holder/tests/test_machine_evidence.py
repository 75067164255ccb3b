"""What a list of machines proves about silent runners, and what it does not prove."""

import json
import types
import typing as t

import attrs
import pytest

from streamthread.errors import UnreadableError
from streamthread.holder.context import DutySettings
from streamthread.holder.machine_evidence import Evidence
from streamthread.holder.machine_evidence import judge
from streamthread.holder.machine_evidence import ListedMachines
from streamthread.holder.machine_evidence import LostRunners
from streamthread.holder.machines import MachineTable
from streamthread.platform.cloud import Machine
from streamthread.platform.cloud import MachineList
from streamthread.platform.cloud import MachineState
from streamthread.platform.cloud import UnreadableMachine
from streamthread.platform.manifest import Route
from streamthread.platform.runners import HoldReply
from streamthread.platform.runners import RunningTask
from streamthread.scheduler import encode_progress
from streamthread.scheduler import Engine
from streamthread.scheduler import Job
from streamthread.scheduler import JobTerms
from streamthread.scheduler import new_job
from streamthread.scheduler import Phase
from streamthread.scheduler import restore_progress
from streamthread.scheduler import RunnerState

MACHINE = Machine(
    "m-1", "desk", MachineState.UP, "z", ("a", "r"), 1_000, 1_000, 0, "i-1"
)
DOWN = attrs.evolve(MACHINE, state=MachineState.DOWN)
KNOWN_S, SILENT_S, ASKED_S = 1.0, 5.0, 6.0
ROUTE = Route("r", "desk.example", "/jobs/", "desk", max_attempts=3)


def _runner(number: int = 1, silent_at_s: float | None = SILENT_S) -> RunnerState:
    runner = RunnerState(
        f"i-{number}", "desk", "x:1", "z", ("a", "r"), 1_000, 1_000, 0, f"m-{number}", 1
    )
    runner.ready = True
    runner.silent_at_s = silent_at_s
    return runner


def _judge(
    *machines: Machine,
    asked_at_s: float = ASKED_S,
    silent_at_s: float | None = SILENT_S,
    known_since_s: float = KNOWN_S,
    unreadable: t.Collection[str] = (),
    earlier: t.Collection[str] = (),
) -> Evidence:
    listed = ListedMachines.of(asked_at_s, machines, unreadable)
    runner = _runner(silent_at_s=silent_at_s)
    return judge(runner, known_since_s, listed, lambda _, other: other in earlier)


class TestEvidence:
    # Guards against runs that wait until their hold has lapsed although the list shows
    # that their machine is down.
    @pytest.mark.parametrize("state", [MachineState.DOWN, MachineState.UPKEEP])
    def test_is_a_machine_that_is_listed_as_down(self, state: MachineState) -> None:
        assert _judge(attrs.evolve(MACHINE, state=state)) is Evidence.ENDED
        without_runner = attrs.evolve(MACHINE, state=state, runner_id="")
        assert _judge(without_runner) is Evidence.ENDED

    def test_is_a_machine_with_another_runner(self) -> None:
        for state in MachineState:
            other = attrs.evolve(MACHINE, state=state, runner_id="i-2")
            assert _judge(other) is Evidence.REPLACED

    # Guards against runs that are started twice: each of these runners may be at work.
    def test_is_not_a_row_that_cannot_be_decoded(self) -> None:
        assert _judge(unreadable=["m-1"]) is Evidence.NONE
        assert _judge(DOWN, unreadable=["m-1"]) is Evidence.NONE

    def test_is_not_a_list_that_was_requested_before_the_silence(self) -> None:
        assert _judge(DOWN, asked_at_s=SILENT_S) is Evidence.NONE

    def test_is_not_a_list_that_was_requested_before_the_incarnation_was_known(
        self,
    ) -> None:
        assert _judge(DOWN, known_since_s=ASKED_S) is Evidence.NONE

    def test_is_nothing_about_a_runner_that_answers(self) -> None:
        assert _judge(DOWN, silent_at_s=None) is Evidence.NONE

    def test_is_not_an_earlier_runner_in_an_outdated_list(self) -> None:
        other = attrs.evolve(MACHINE, runner_id="i-0")
        assert _judge(other, earlier=["i-0"]) is Evidence.NONE

    def test_is_not_a_machine_whose_rows_contradict_each_other(self) -> None:
        assert _judge(DOWN, MACHINE) is Evidence.NONE
        assert _judge(DOWN, DOWN) is Evidence.ENDED

    @pytest.mark.parametrize("state", [MachineState.UP, MachineState.MOVING])
    def test_is_not_any_other_state(self, state: MachineState) -> None:
        assert _judge(attrs.evolve(MACHINE, state=state)) is Evidence.NONE
        assert _judge(attrs.evolve(DOWN, machine_id="m-2")) is Evidence.NONE


class _Cloud:
    def __init__(self, machines: MachineList) -> None:
        self.listed = machines

    async def machines(self) -> MachineList:
        return self.listed


class TestTable:
    # Guards against a machine that is kept as down since its row can't be decoded.
    async def test_lists_no_machine_whose_row_cannot_be_decoded(self) -> None:
        cloud = _Cloud(MachineList((MACHINE,)))
        documents = types.SimpleNamespace(manifest=None, waves={})
        table = MachineTable(
            Engine(lambda job: None),
            documents,
            t.cast(t.Any, cloud),
            DutySettings(list_s=0.0),
            lambda *_: None,
        )
        await table.refresh()
        assert table.listed is not None and table.listed.decoded == {"m-1": MACHINE}
        error = UnreadableError("no state", key="m-1", remedy="-")
        cloud.listed = MachineList((), (UnreadableMachine("m-1", error),))
        await table.refresh()
        assert table.machines["m-1"].state is MachineState.DOWN
        assert not table.listed.decoded


class _Owner:
    """A holder with a long-running task on one of two runners and a short one."""

    def __init__(self) -> None:
        self.engine = Engine(lambda job: None)
        self.links: dict[str, t.Any] = {}
        self.exited: list[str] = []
        self.kicks = 0
        for number, lasting in ((1, False), (2, True)):
            self._add(number, lasting)

    def _add(self, number: int, lasting: bool) -> None:
        runner = _runner(number, silent_at_s=None)
        self.engine.add_runner(runner)
        step = {"count": 1, "cpu": 900, "memMb": 10, "longRunning": lasting}
        body = json.dumps({"spec": "", "steps": [step]}).encode()
        job = new_job(f"{number}" * 16, JobTerms.of_route(ROUTE), body)
        self.engine.add(job)
        self.engine.begin_due(job.accepted_at_s + 1)
        self.engine.place_all(0.0, lambda step: None)
        (attempt,) = runner.attempts.values()
        attempt.phase = Phase.SENT
        self.engine.confirm(attempt, 8_000)
        row = RunningTask(attempt.task.name, attempt.run, "", 50.0)
        self.engine.on_hold(runner, HoldReply(9_000, (row,), ()))
        runner.silent_at_s = SILENT_S
        self.links[runner.runner_id] = types.SimpleNamespace(
            runner=runner, silent=True, over=False, held_since_s=KNOWN_S
        )

    def on_runner_exit(self, link: t.Any, why: str) -> None:
        self.exited.append(link.runner.runner_id)
        del self.links[link.runner.runner_id]
        self.engine.runner_exited(link.runner.runner_id, why)

    def kick(self) -> None:
        self.kicks += 1

    def check(self, *machines: Machine, asked_at_s: float = ASKED_S) -> None:
        lost = LostRunners(t.cast(t.Any, self), lambda *_: False)
        lost.check(ListedMachines.of(asked_at_s, machines, ()))


def _machine(number: int, **changes: t.Any) -> Machine:
    machine = attrs.evolve(MACHINE, machine_id=f"m-{number}", runner_id=f"i-{number}")
    return attrs.evolve(machine, **changes)


class TestLostRunners:
    # Guards against a hall whose runners are given up one after the other.
    def test_are_given_up_by_one_list_those_with_long_running_tasks_first(self) -> None:
        owner = _Owner()
        owner.check(_machine(1, runner_id="i-8"), _machine(2, runner_id="i-9"))
        assert owner.exited == ["i-2", "i-1"]
        assert not owner.engine.runners

    def test_keep_their_links_where_the_next_incarnation_may_have_their_id(
        self,
    ) -> None:
        owner = _Owner()
        owner.check(
            _machine(1, state=MachineState.DOWN), _machine(2, state=MachineState.UPKEEP)
        )
        assert owner.exited == [] and len(owner.links) == 2
        assert not any(r.attempts for r in owner.engine.runners.values())
        assert owner.kicks == 2

    # Guards against a second run: the next incarnation may receive the start.
    def test_keep_runs_whose_starts_may_still_arrive(self) -> None:
        owner = _Owner()
        (attempt,) = owner.engine.runners["i-1"].attempts.values()
        attempt.open_starts = 1
        owner.check(_machine(1, state=MachineState.DOWN))
        assert list(owner.engine.runners["i-1"].attempts.values()) == [attempt]
        assert owner.kicks == 0

    def test_stay_when_an_older_list_arrives(self) -> None:
        owner = _Owner()
        owner.check(_machine(1, state=MachineState.DOWN), asked_at_s=SILENT_S - 1)
        assert owner.engine.runners["i-1"].attempts

    def test_stay_where_the_list_shows_a_runner_that_was_born_earlier(self) -> None:
        owner = _Owner()
        other = _runner(3)
        other.born_ms = 0
        owner.engine.add_runner(other)
        owner.check(_machine(1, runner_id="i-3"))
        assert owner.exited == []


class TestRunsOfEarlierHolders:
    """Guards against long-running tasks that wait though their runner is over."""

    @staticmethod
    def _take_over(owner: _Owner) -> t.Any:
        """Return a run that an earlier holder left, and forget its runner i-2."""
        before = owner.engine.runners["i-2"]
        (attempt,) = before.attempts.values()
        job = attempt.task.step.occurrence.job
        again = Job(
            job.job_id,
            job.terms,
            job.request,
            job.body,
            job.accepted_at_s,
        )
        restore_progress(again, encode_progress(job))
        owner.engine = Engine(lambda job: None)
        owner.links.clear()
        owner.engine.add(again)
        (attempt,) = again.attempts()
        return attempt

    @staticmethod
    def _add_next(owner: _Owner, heard: bool = True) -> None:
        runner = _runner(3, silent_at_s=None)
        runner.heard = heard
        owner.engine.add_runner(runner)

    def test_end_once_the_next_runner_of_the_machine_has_answered(self) -> None:
        owner = _Owner()
        attempt = self._take_over(owner)
        self._add_next(owner)
        owner.check(_machine(1), _machine(2, runner_id="i-3"))
        assert attempt.task.attempts == [] and owner.kicks == 1

    @pytest.mark.parametrize(
        ("heard", "machines"),
        [
            (False, [_machine(2, runner_id="i-3")]),
            (True, [_machine(2)]),
            (True, [_machine(2, runner_id="")]),
            (True, [_machine(2, runner_id="i-4")]),
            (True, [_machine(1, runner_id="i-3")]),
            (True, [_machine(2, runner_id="i-3"), _machine(1, runner_id="i-2")]),
        ],
        ids=["silent", "same", "none", "unknown", "other machine", "wrong machine"],
    )
    def test_stay_without_proof(self, heard: bool, machines: list[Machine]) -> None:
        """Guards against a second run beside one on a runner that is up."""
        owner = _Owner()
        attempt = self._take_over(owner)
        self._add_next(owner, heard)
        owner.check(*machines)
        assert attempt.task.attempts == [attempt] and owner.kicks == 0
