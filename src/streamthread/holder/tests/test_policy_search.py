"""Pools grow until they have a machine that a policy permits, or none is to be had."""

import typing as t

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from streamthread.holder.advice_choice import RunnerAnswer
from streamthread.holder.advice_coverage import Coverage
from streamthread.holder.advice_coverage import step_coverage
from streamthread.holder.policy_search import FRUITLESS_S
from streamthread.holder.policy_search import PAUSE_S
from streamthread.holder.policy_search import PolicySearch
from streamthread.holder.policy_search import PoolCount
from streamthread.scheduler import RunnerState

from .test_advice_turns import _Pool
from .test_advice_turns import _runner
from .test_advice_turns import _Service
from .test_advice_turns import _step

PERMITTED = RunnerAnswer("ticket", 0.0)
DENIED = RunnerAnswer("", 0.0)

TICK_S = 0.1
MOVE_S = 1.5
ASKING_S = 0.5


def _by_id(*runners: RunnerState) -> dict[str, RunnerState]:
    return {runner.runner_id: runner for runner in runners}


class TestCoverage:
    @pytest.mark.parametrize(
        ("answers", "expected"),
        [
            ({"i-0": DENIED, "i-1": PERMITTED}, Coverage.PERMITTED),
            ({"i-0": DENIED}, Coverage.UNKNOWN),
            ({"i-0": DENIED, "i-1": DENIED}, Coverage.DENIED),
        ],
    )
    def test_is_that_of_expired_answers_too(
        self, answers: dict[str, RunnerAnswer], expected: Coverage
    ) -> None:
        runners = _by_id(_runner(0), _runner(1))
        assert step_coverage(_step(), runners, answers) is expected

    # Guards against a gang that waits as only some of it may run.
    def test_of_a_gang_needs_all_of_it(self) -> None:
        runners = _by_id(_runner(0, cpu=4), _runner(1, cpu=4))
        step = _step(count=2, gang=True)
        answers = {"i-0": PERMITTED, "i-1": DENIED}
        assert step_coverage(step, runners, answers) is Coverage.DENIED
        answers["i-1"] = PERMITTED
        assert step_coverage(step, runners, answers) is Coverage.PERMITTED

    # Guards against a search that ends at a machine which is too small.
    def test_ignores_runners_that_can_never_run_the_step(self) -> None:
        small = _by_id(_runner(0, cpu=2))
        for answers in ({"i-0": PERMITTED}, {"i-0": DENIED}, {}):
            assert step_coverage(_step(), small, answers) is Coverage.DENIED
        assert step_coverage(_step(), {}, {"i-9": PERMITTED}) is Coverage.DENIED


class TestCoverageOfPools:
    # Guards against machines that other pools need and a flood's excess takes.
    def test_leaves_out_what_exceeds_a_share(self) -> None:
        service = _Service(lambda runner_id: False)
        cache = _Pool([_runner(0)], service).cache()
        step = _step()
        cache.request(step)
        assert cache.coverage() == {"desk": Coverage.UNKNOWN}
        cache._by_step[step].answers["i-0"] = DENIED
        assert cache.coverage() == {"desk": Coverage.DENIED}
        step.occurrence.job.excess = True
        assert cache.coverage() == {}


@attrs.define
class _Fleet:
    """A pool and a spare pool in virtual time, whose machines are asked about.

    :param permitted: ordinal of the only permitted machine; None: there is none.
    """

    present: int
    total: int
    permitted: int | None
    search: PolicySearch = attrs.field(factory=PolicySearch)
    now_s: float = 1000.0
    largest: int = 0
    _due: list[tuple[float, int]] = attrs.field(factory=list)
    _asked: int = 0
    _asked_at_s: float = 0.0

    def _coverage(self) -> Coverage:
        if self._asked < self.present:
            return Coverage.UNKNOWN
        found = self.permitted is not None and self.permitted < self.present
        return Coverage.PERMITTED if found else Coverage.DENIED

    def tick(self) -> Coverage:
        """Let time pass; return the coverage that the search was given."""
        self.now_s += TICK_S
        for at_s, count in [due for due in self._due if due[0] <= self.now_s]:
            self._due.remove((at_s, count))
            self.present += count
            self._asked_at_s = self.now_s + ASKING_S
        if self.now_s >= self._asked_at_s:
            self._asked = self.present
        arriving = sum(count for _, count in self._due)
        count = PoolCount(self.present + arriving, arriving)
        coverage = self._coverage()
        self.search.update({"desk": coverage}, {"desk": count}, self.now_s)
        size = self.search.sizes()
        wanted = min(size.get("desk", 0), self.total) - count.present
        if wanted > 0:
            self._due.append((self.now_s + MOVE_S, wanted))
        elif not size and self.present > 2:
            self.present = self._asked = 2
        self.largest = max(self.largest, self.present)
        return coverage

    def ticks_until(self, expected: Coverage, limit_s: float) -> bool:
        """Let time pass until a coverage is reached."""
        until_s = self.now_s + limit_s
        while self.now_s < until_s:
            if self.tick() is expected:
                return True
        return False


class TestSearch:
    # Guards against a job that never starts as the permitted machines are switched off.
    @given(st.data())
    def test_finds_a_permitted_machine_wherever_it_is(self, data: t.Any) -> None:
        total = data.draw(st.integers(1, 300))
        present = data.draw(st.integers(0, total))
        permitted = data.draw(st.integers(0, total - 1))
        fleet = _Fleet(present, total, permitted)
        doublings = total.bit_length() + 1
        assert fleet.ticks_until(
            Coverage.PERMITTED, doublings * (MOVE_S + ASKING_S + 2 * TICK_S)
        )
        assert fleet.search.sizes() == {}

    # Guards against a pool that keeps all machines for a job that can't run anywhere.
    def test_ends_and_pauses_if_no_machine_is_permitted(self) -> None:
        fleet = _Fleet(2, 12, None)
        while fleet.present < 12:
            fleet.tick()
        for _ in range(round((FRUITLESS_S + 1) / TICK_S)):
            fleet.tick()
        assert fleet.present == 2
        fleet.largest = 0
        for _ in range(round((PAUSE_S - FRUITLESS_S) / TICK_S)):
            fleet.tick()
        assert fleet.largest == 2
        for _ in range(round(2 * FRUITLESS_S / TICK_S)):
            fleet.tick()
        assert fleet.largest == 12

    # Guards against machines that are ordered before the last ones were asked about.
    @pytest.mark.parametrize(
        ("coverage", "count"),
        [
            (Coverage.UNKNOWN, PoolCount(2, 0)),
            (Coverage.DENIED, PoolCount(4, 2)),
            (Coverage.PERMITTED, PoolCount(2, 0)),
        ],
    )
    def test_waits_for_machines_and_answers(
        self, coverage: Coverage, count: PoolCount
    ) -> None:
        search = PolicySearch()
        search.update({"desk": coverage}, {"desk": count}, 0.0)
        assert search.sizes() == {}

    def test_keeps_what_it_has_while_new_machines_are_asked_about(self) -> None:
        search = PolicySearch()
        denied, unknown = {"desk": Coverage.DENIED}, {"desk": Coverage.UNKNOWN}
        search.update(denied, {"desk": PoolCount(2, 0)}, 0.0)
        assert search.sizes() == {"desk": 4}
        search.update(unknown, {"desk": PoolCount(4, 0)}, 2.0)
        assert search.sizes() == {"desk": 4}
        search.update(denied, {"desk": PoolCount(4, 0)}, 3.0)
        assert search.sizes() == {"desk": 8}

    # Guards against machines that are held for a job that was cancelled.
    def test_ends_with_the_last_waiting_step(self) -> None:
        search = PolicySearch()
        search.update({"desk": Coverage.DENIED}, {"desk": PoolCount(2, 0)}, 0.0)
        search.update({}, {}, 1.0)
        assert search.sizes() == {}
