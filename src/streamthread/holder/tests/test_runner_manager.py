"""What the runner manager retains of a runner that restarts, or has a successor."""

import types
import typing as t

import pytest

from streamthread.clocks import boot_s
from streamthread.clocks import SLOWEST_CLOCK
from streamthread.holder.runner_manager import RunnerManager
from streamthread.platform.documents import RunnerEntry
from streamthread.platform.runners import HoldReply
from streamthread.runners import LinkSettings
from streamthread.runners import RunnerLink
from streamthread.scheduler import Engine
from streamthread.sharing import SharingSettings

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
            runners=None,
            settings=types.SimpleNamespace(links=LINKS, sharing=SharingSettings()),
            failures=None,
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
        del self.links[link.runner.runner_id]

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


def _next_entry(born_ms: int | None, machine_id: str = "m-1") -> RunnerEntry:
    """Return the entry of a runner with another id and another address."""
    return RunnerEntry(
        "i-2", "desk", "y:1", "z", False, ("a", "r"), 1_000, 100, 0, machine_id, born_ms
    )


class TestMachineThatComesBack:
    # Guards against runs that wait for their leases on a runner whose machine has come
    # back with another one, where no list of machines can be read.
    async def test_ends_its_former_runner_once_the_next_one_answers(
        self, owner: _Owner, manager: RunnerManager
    ) -> None:
        before = owner.links["i-1"]
        before.runner.silent_at_s = boot_s()
        manager.add_runner(_next_entry(BORN_MS + 1))
        assert not before.over
        await manager.on_hold_reply(owner.links["i-2"], HoldReply(1, (), ()))
        assert before.over
        assert owner.exited == ["i-1"]

    async def test_ends_it_as_soon_as_it_is_silent(
        self, owner: _Owner, manager: RunnerManager
    ) -> None:
        before = owner.links["i-1"]
        manager.add_runner(_next_entry(BORN_MS + 1))
        await manager.on_hold_reply(owner.links["i-2"], HoldReply(1, (), ()))
        assert not before.over
        before.runner.silent_at_s = boot_s()
        await manager.on_hold_reply(owner.links["i-2"], HoldReply(2, (), ()))
        assert before.over

    @pytest.mark.parametrize(
        "entry",
        [_next_entry(BORN_MS - 1), _next_entry(None), _next_entry(BORN_MS + 1, "")],
        ids=["an older one", "one of unknown age", "one of no machine"],
    )
    async def test_is_not_concluded_from(
        self, owner: _Owner, manager: RunnerManager, entry: RunnerEntry
    ) -> None:
        owner.links["i-1"].runner.silent_at_s = boot_s()
        manager.add_runner(entry)
        await manager.on_hold_reply(owner.links["i-2"], HoldReply(1, (), ()))
        assert owner.exited == []
