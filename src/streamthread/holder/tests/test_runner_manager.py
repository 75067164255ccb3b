"""What the runner manager retains of a runner that restarts under the same id."""

import types
import typing as t

import attrs
import pytest

from streamthread.clocks import boot_s
from streamthread.clocks import SLOWEST_CLOCK
from streamthread.holder.runner_manager import RunnerManager
from streamthread.platform.documents import RunnerEntry
from streamthread.runners import LinkSettings
from streamthread.runners import RunnerLink
from streamthread.scheduler import Engine

LINKS = LinkSettings(most_hold_s=6.0, cut_hold_s=10.0)
BORN_MS = 1_700_000_000_000


def _entry(cpu: int, born_ms: int) -> RunnerEntry:
    return RunnerEntry(
        "i-1", "desk", "x:1", "z", False, ("a", "r"), cpu, 100, 0, "m-1", born_ms
    )


class _Owner:
    """The holder as the runner manager sees it; spawned coroutines are not started."""

    token = 1

    def __init__(self) -> None:
        self.engine = Engine(lambda job: None)
        self.links: dict[str, RunnerLink] = {}
        self.taken = types.SimpleNamespace(last_hold_at_s=0.0)
        self.context = types.SimpleNamespace(
            runners=None, settings=types.SimpleNamespace(links=LINKS), failures=None
        )
        self.sender = None
        self.without_tickets: list[str] = []
        self.exited: list[str] = []

    def spawn(self, call: t.Any) -> None:
        call.close()

    def kick(self) -> None:
        pass

    def on_runner_exit(self, link: RunnerLink, why: str) -> None:
        self.exited.append(link.runner.runner_id)

    def forget_tickets(self, runner_id: str) -> None:
        self.without_tickets.append(runner_id)


@pytest.fixture
def owner() -> _Owner:
    return _Owner()


@pytest.fixture
def manager(owner: _Owner) -> RunnerManager:
    manager = RunnerManager(t.cast(t.Any, owner))
    manager.add_runner(_entry(cpu=1_000, born_ms=BORN_MS))
    return manager


class TestRestartedRunner:
    def test_starts_afresh_with_its_entry(
        self, owner: _Owner, manager: RunnerManager
    ) -> None:
        before = owner.links["i-1"]
        manager.restart_runner(before, _entry(cpu=500, born_ms=BORN_MS + 1))
        after = owner.links["i-1"]
        assert before.over and after is not before
        assert after.listed
        assert owner.engine.runners["i-1"] is after.runner
        assert (after.runner.cpu, after.runner.born_ms) == (500, BORN_MS + 1)
        assert owner.without_tickets == ["i-1"]

    def test_receives_nothing_before_its_entry_is_known(
        self, owner: _Owner, manager: RunnerManager
    ) -> None:
        manager.on_restarted(owner.links["i-1"], BORN_MS + 1)
        assert not owner.links["i-1"].listed
        assert not owner.links["i-1"].runner.usable()

    def test_may_run_until_a_deadline_by_the_previous_clock(
        self, owner: _Owner, manager: RunnerManager
    ) -> None:
        now_s = boot_s()
        manager.on_restarted(owner.links["i-1"], BORN_MS + 1)
        link = owner.links["i-1"]
        expired_at_s = link._last_hold_at_s + LINKS.expiry_bound_s
        assert expired_at_s >= now_s + LINKS.cut_hold_s / SLOWEST_CLOCK


class TestReplacedRunner:
    """Guards against tasks that wait for a lease on a machine that has restarted."""

    @staticmethod
    def _add(
        manager: RunnerManager,
        runner_id: str,
        born_ms: int | None,
        machine: str = "m-1",
    ) -> None:
        entry = attrs.evolve(
            _entry(cpu=1_000, born_ms=0),
            runner_id=runner_id,
            born_ms=born_ms,
            machine_id=machine,
        )
        manager.add_runner(entry)

    def test_is_over_at_once_if_it_is_silent(
        self, owner: _Owner, manager: RunnerManager
    ) -> None:
        link = owner.links["i-1"]
        link.runner.silent_at_s = boot_s()
        self._add(manager, "i-2", BORN_MS + 1)
        assert link.over and owner.exited == ["i-1"]
        assert not owner.links["i-2"].over

    def test_is_over_at_its_first_unanswered_call(
        self, owner: _Owner, manager: RunnerManager
    ) -> None:
        link = owner.links["i-1"]
        self._add(manager, "i-2", BORN_MS + 1)
        assert not link.over
        link._on_silence("no answer", hung=True)
        assert link.over and owner.exited == ["i-1"]

    # Guards against a late write of a former runner that ends the present one.
    def test_is_the_one_that_started_earlier(
        self, owner: _Owner, manager: RunnerManager
    ) -> None:
        present = owner.links["i-1"]
        present.runner.silent_at_s = boot_s()
        self._add(manager, "i-0", BORN_MS - 1)
        assert not present.over
        former = owner.links["i-0"]
        former._on_silence("no answer", hung=True)
        assert former.over and owner.exited == ["i-0"]

    @pytest.mark.parametrize(
        ("born_ms", "machine"),
        [(None, "m-1"), (BORN_MS, "m-1"), (BORN_MS + 1, "m-2"), (BORN_MS + 1, "")],
    )
    def test_is_not_assumed_without_start_times_of_one_machine(
        self, owner: _Owner, manager: RunnerManager, born_ms: int | None, machine: str
    ) -> None:
        link = owner.links["i-1"]
        link.runner.silent_at_s = boot_s()
        self._add(manager, "i-2", born_ms, machine)
        assert not link.over

    def test_is_not_the_next_incarnation_under_its_id(
        self, owner: _Owner, manager: RunnerManager
    ) -> None:
        manager.on_restarted(owner.links["i-1"], BORN_MS + 5)
        present = owner.links["i-1"]
        present.runner.silent_at_s = boot_s()
        self._add(manager, "i-2", BORN_MS + 1)
        assert not present.over
