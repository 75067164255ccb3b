"""The choice of what can end in time in an overloaded pool."""

import random
import time
import typing as t

import attrs
import hypothesis
import pytest
from hypothesis import strategies as st

from streamthread.platform.callers import JobRequest
from streamthread.platform.callers import StepRequest
from streamthread.scheduler import choices
from streamthread.scheduler import Engine
from streamthread.scheduler import Job
from streamthread.scheduler import JobTerms
from streamthread.scheduler import RunnerState
from streamthread.scheduler.overload import Choice
from streamthread.scheduler.overload import choose
from streamthread.scheduler.overload import OpenWork
from streamthread.scheduler.overload import Standing
from streamthread.scheduler.overload import STARVING_AFTER_S
from streamthread.scheduler.timeline import Capacity
from streamthread.scheduler.timeline import OpenStep
from streamthread.scheduler.timeline import Timeline

from .loads import arrivals
from .loads import Load
from .loads import play

NOW_S = 100.0
POOL = Capacity(((NOW_S, 10_000.0),))
EVEN = Standing({"ann": 1.0, "bob": 1.0})


def work(
    name: str,
    account: str = "ann",
    cpu: float = 10_000.0,
    run_s: float = 1.0,
    left_s: float = 2.0,
    age_s: float = 0.0,
    excess: bool = False,
    begun: bool = False,
) -> OpenWork:
    """Return work of one step that has some time left."""
    step = OpenStep(0, (), run_s, cpu)
    at_s = NOW_S - age_s
    end_s = NOW_S + left_s
    return OpenWork((name, 0), account, (step,), at_s, end_s, at_s, 0, excess, begun)


def chosen(*works: OpenWork, standing: Standing = EVEN) -> set[str]:
    """Return the names of the work that is chosen in an overloaded pool."""
    choice = choose(works, POOL, standing, NOW_S)
    assert choice is not None
    assert choice.chosen.isdisjoint(choice.left_out)
    assert choice.chosen | {*choice.left_out} == {work.key for work in works}
    return {key[0] for key in choice.chosen}


class TestWhatIsLeftOut:
    def test_nothing_where_all_can_end_in_time(self) -> None:
        assert choose([work("a"), work("b", left_s=3.0)], POOL, EVEN, NOW_S) is None

    def test_excess_first(self) -> None:
        works = [work("a", excess=True, age_s=1.0), work("b")]
        assert chosen(*works) == {"b"}

    def test_then_the_account_that_has_had_most_for_its_weight(self) -> None:
        works = [work("a", "ann", age_s=1.0), work("b", "bob")]
        served = Standing({"ann": 1.0, "bob": 1.0}, {"ann": 0.5, "bob": 0.4})
        assert chosen(*works, standing=served) == {"b"}
        heavier = Standing({"ann": 2.0, "bob": 1.0}, {"ann": 0.5, "bob": 0.4})
        assert chosen(*works, standing=heavier) == {"a"}

    def test_then_the_newest(self) -> None:
        assert chosen(work("a"), work("b", age_s=0.1)) == {"b"}

    def test_what_has_begun_is_kept(self) -> None:
        works = [work("a", "ann", begun=True), work("b", "bob", age_s=1.0)]
        assert chosen(*works) == {"a"}

    def test_what_has_begun_is_chosen_by_its_latest_start(self) -> None:
        """Guards begun work against others that can wait; its runs would be wasted."""
        works = [
            work("waits", "ann", begun=True, left_s=3.0),
            work("urgent", "bob", begun=True, left_s=1.3),
            work("new", "ann", left_s=2.0),
        ]
        assert chosen(*works) == {"waits", "urgent"}

    def test_new_work_that_would_end_only_just_in_time(self) -> None:
        """Guards against new work that is late if its tasks take longer than the mean.

        It would be stopped between its steps, and its runs so far be wasted.
        """
        steps = (OpenStep(0, (), 1.0, 4_000.0), OpenStep(1, (0,), 1.0, 4_000.0))
        new = attrs.evolve(work("new", left_s=2.1), steps=steps)
        big = work("big", "bob", cpu=30_000.0, left_s=1.5)
        assert chosen(new, big) == set()
        assert chosen(attrs.evolve(new, begun=True), big) == {"new"}

    def test_unless_its_account_floods(self) -> None:
        standing = Standing({"ann": 1.0, "bob": 9.0}, {"ann": 0.9, "bob": 0.1})
        works = [work("a", "ann", begun=True), work("b", "bob")]
        assert chosen(*works, standing=standing) == {"b"}

    def test_an_unused_share_goes_to_who_has_work(self) -> None:
        half = [work(f"a{n}", "ann", cpu=2_500.0, age_s=n) for n in range(6)]
        assert len(chosen(*half, work("z", "ann", cpu=10_000.0))) >= 5

    def test_what_is_late_is_behind_what_is_left_out(self) -> None:
        works = [work("late", left_s=0.5, age_s=3.0), work("a"), work("b", age_s=1.0)]
        choice = choose(works, POOL, EVEN, NOW_S)
        assert choice is not None
        assert list(choice.left_out) == [("a", 0), ("late", 0)]


def test_machines_on_their_way_count() -> None:
    works = [work("a", left_s=3.0), work("b", left_s=3.0), work("c", left_s=3.0)]
    assert choose(works, POOL, EVEN, NOW_S) is not None
    arriving = Capacity((*POOL.parts, (NOW_S + 1.0, 10_000.0)))
    assert choose(works, arriving, EVEN, NOW_S) is None


def test_a_job_that_does_not_fit_takes_nothing() -> None:
    timeline = Timeline(POOL, NOW_S)
    steps = (OpenStep(0, (), 1.0, 9_000.0), OpenStep(1, (0,), 1.0, 9_000.0))
    assert timeline.reserve(steps, NOW_S + 1.9) is None
    found = timeline.reserve(steps, NOW_S + 2.3)
    assert found is not None
    assert found.start_s == NOW_S
    assert found.end_s == pytest.approx(NOW_S + 2.0, abs=0.25)


def test_spared_capacity_is_for_some_only() -> None:
    """Guards begun work: new work must not reserve all that its steps need later."""
    timeline = Timeline(POOL, NOW_S, spare_share=0.1)
    steps = (OpenStep(0, (), 1.0, 9_000.0),)
    assert timeline.reserve(steps, NOW_S + 1.0, may_use_spare=False) is None
    assert timeline.reserve(steps, NOW_S + 1.0) is not None


@pytest.mark.parametrize("begun_before", [True, False])
def test_work_that_was_left_out_after_it_began_counts_as_begun(
    begun_before: bool,
) -> None:
    """Guards chosen work that seems not to fit for a moment, between its steps.

    What began only in a gap does not count as begun.
    """
    engine = Engine(lambda job: None, weights=lambda: {"ann": 1e6})
    runner = RunnerState("i-1", "desk", "x:1", "z", ("a",), 4_000, 1 << 20, 0)
    runner.ready = True
    engine.add_runner(runner)
    step = StepRequest(count=4, cpu=1_000, estimate_ms=1_000)
    request = JobRequest("", (step,))
    job = Job(
        "j", JobTerms("r", "desk", target_s=0.6, account="ann"), request, b"", NOW_S
    )
    engine.add(job)
    job.begin(0)
    assert engine.place_all(NOW_S, lambda step: None)
    key = ("j", 0)
    begun = frozenset({key} if begun_before else ())
    before = Choice(NOW_S, {}, frozenset(), {key: 0}, begun)
    (open_work,) = engine.choices._open_works([job], before)
    assert open_work.begun is begun_before


works_drawn = st.lists(
    st.builds(
        work,
        name=st.uuids().map(str),
        account=st.sampled_from(["ann", "bob", "eve", ""]),
        cpu=st.floats(100.0, 30_000.0),
        run_s=st.floats(0.1, 5.0),
        left_s=st.floats(-5.0, 30.0),
        age_s=st.floats(0.0, 30.0),
        excess=st.booleans(),
        begun=st.booleans(),
    ),
    max_size=40,
)


@hypothesis.given(works_drawn)
def test_no_work_is_dropped(works: list[OpenWork]) -> None:
    choice = choose(works, POOL, EVEN, NOW_S)
    if choice is None:
        return
    keys = {each.key for each in works}
    assert choice.chosen | {*choice.left_out} == keys
    assert choice.chosen.isdisjoint(choice.left_out)
    assert {*choice.promoted} <= {*choice.left_out}
    assert sorted(choice.left_out.values()) == list(range(len(choice.left_out)))


def draw_job(drawn: random.Random, name: str) -> OpenWork:
    """Return work of any size, with an objective as callers have."""
    run_s, age_s = drawn.uniform(0.8, 1.7), drawn.uniform(0.0, 0.5)
    return work(
        name,
        drawn.choice(["ann", "bob"]),
        cpu=drawn.uniform(300.0, 1_800.0),
        run_s=run_s,
        left_s=1.6 * run_s + 0.6 - age_s,
        age_s=age_s,
    )


@hypothesis.given(st.integers(0, 10_000))
@hypothesis.settings(max_examples=5, deadline=None)
def test_size_does_not_decide(seed: int) -> None:
    """Guards against a choice that leaves out large jobs because small ones fit.

    One choice keeps some twenty jobs of 120, so that chance decides about a tenth of
    them; twenty choices show what is systematic.
    """
    drawn = random.Random(seed)
    count, whole = 20, 0.0
    shares = {0: 0.0, 12: 0.0}
    for _ in range(count):
        works = [draw_job(drawn, f"{number}") for number in range(120)]
        names = chosen(*works)
        whole += len(names) / len(works) / count
        by_size = sorted(works, key=lambda each: -each.work)
        for begin, size in ((0, 12), (12, 24)):
            part = by_size[begin : begin + size]
            shares[begin] += sum(w.key[0] in names for w in part) / size / count
    assert min(shares.values()) >= 0.5 * whole


@hypothesis.given(st.integers(0, 1000), st.floats(0.01, 1.0))
@hypothesis.settings(max_examples=5, deadline=None)
def test_no_capacity_idles_while_a_task_fits(seed: int, weight_scale: float) -> None:
    """Guards against capacity that is kept from work that was left out."""
    load = Load(
        seed, usual_s=1.0, load_s=3.0, after_s=0.0, crowd=4.0, weight_scale=weight_scale
    )
    with pytest.MonkeyPatch.context() as patch:
        played = play(patch, arrivals(load), load.weights(), drain_s=0.5)
    engine = played.engine
    engine.place_all(1_005.0, lambda step: None)
    waiting = [step for steps in engine.ready_steps().values() for step in steps]
    for step in waiting:
        for runner in engine.runners.values():
            assert not runner.fits(step.reserved_cpu, step.request.memory_mb, 0)


def test_what_was_left_out_does_not_starve() -> None:
    """Guards against work that is behind new work for as long as an overload lasts.

    Of what is old, the oldest is promoted; it stays so until it is done.
    """
    old = [work(f"o{n}", left_s=-5.0, age_s=STARVING_AFTER_S + 9 - n) for n in range(9)]
    new = [work(f"n{n}", age_s=n / 100) for n in range(30)]
    for _ in range(9):
        choice = choose([*new, *old], POOL, EVEN, NOW_S)
        assert choice is not None
        oldest = old.pop(0)
        assert choice.promoted == {oldest.key: 0}
        first = min((each.key for each in [*new, oldest]), key=_place(choice))
        assert first == oldest.key


def _place(choice: Choice) -> "object":
    def key(key: tuple[str, int]) -> tuple[int, float]:
        return choice.sort_key(key, False, 0.0)

    return key


def test_a_choice_among_many_jobs_is_quick() -> None:
    """Guards against a cost that grows faster than the number of jobs."""
    took_s = []
    for count in (500, 4_000):
        works = [work(f"{n}", cpu=900.0, age_s=n / count) for n in range(count)]
        began_s = time.process_time()
        choose(works, POOL, EVEN, NOW_S)
        took_s.append(time.process_time() - began_s)
    assert took_s[1] < 8 * 4 * took_s[0]


class TestLimitOfAnAccount:
    """Guards against a flood of an account that waits for its limit: its open work
    must not make other accounts' work, which machines are free for, seem not to fit."""

    LIMITED = Standing({"ann": 9.0, "bob": 1.0}, limits={"ann": 2_500.0})

    def test_leaves_the_rest_of_the_pool_to_others(self) -> None:
        flood = [work(f"a{n}", "ann", cpu=2_500.0, age_s=1.0) for n in range(20)]
        others = [work(f"b{n}", "bob", cpu=2_500.0) for n in range(4)]
        names = chosen(*flood, *others, standing=self.LIMITED)
        assert {"b0", "b1", "b2", "b3"} <= names
        assert len(names) == 4 + 2

    def test_does_not_overload_the_pool_alone(self) -> None:
        assert choose([work("b", "bob")], POOL, self.LIMITED, NOW_S) is None

    def test_includes_what_runs(self) -> None:
        step = OpenStep(0, (), 1.0, 0.0, running_cpu=2_500.0, running_s=1.5)
        running = OpenWork(
            ("r", 0), "ann", (step,), NOW_S, NOW_S + 9, NOW_S, begun=True
        )
        names = chosen(running, work("a", "ann", cpu=2_500.0), standing=self.LIMITED)
        assert names == {"r"}


class TestHowLongAChoiceHolds:
    """Several pools of one runner, each with more work than can end in time."""

    def engine(
        self,
        patch: pytest.MonkeyPatch,
        pools: t.Sequence[str],
        jobs: int,
        machines: int = 1,
    ) -> tuple[Engine, list[float]]:
        """Return an engine and the times at which choices are made."""
        made: list[float] = []

        def note(*args: t.Any, **options: t.Any) -> Choice | None:
            made.append(args[3])
            return choose(*args, **options)

        patch.setattr(choices, "choose", note)
        engine = Engine(lambda job: None, weights=lambda: {"ann": 1e6})
        step = StepRequest(count=4, cpu=1_000, estimate_ms=1_000)
        for pool in pools:
            for number in range(machines):
                engine.add_runner(self.runner(pool, number))
            for number in range(jobs):
                name = f"{pool}-{number}"
                job = Job(
                    name,
                    JobTerms("r", pool, stretch=1.6, target_s=0.6, account="ann"),
                    JobRequest("", (step,)),
                    b"",
                    NOW_S,
                )
                engine.add(job)
                job.begin(0)
        return engine, made

    def runner(self, pool: str, number: int) -> RunnerState:
        name = f"{pool}-{number}"
        runner = RunnerState(name, pool, "x:1", "z", ("a",), 4_000, 1 << 20, 0)
        runner.ready = True
        return runner

    def choose(self, engine: Engine, *at_s: float) -> None:
        """Ask for the choices of all pools at some times; nothing is placed."""
        for each_s in at_s:
            for pool, steps in engine.ready_steps().items():
                every = engine.runners.values()
                usable = [r for r in every if r.service == pool and r.usable()]
                engine.choices.choice(pool, steps, usable, NOW_S + each_s)

    def test_is_bounded_over_all_pools(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards small holders: many pools must not choose as often as one would."""
        pools = [f"p{number}" for number in range(10)]
        engine, made = self.engine(monkeypatch, pools, jobs=200)
        for number in range(21):
            self.choose(engine, 0.1 * number)
        assert len(made) <= 2 * len(pools)

    def test_ends_when_machines_arrive_or_are_lost(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards pools with much work against a choice for machines of before."""
        engine, made = self.engine(monkeypatch, ["p"], jobs=3_000, machines=2)
        self.choose(engine, 0.0, 0.35)
        engine.add_runner(self.runner("p", 2))
        self.choose(engine, 0.36, 0.37)
        assert [round(s - NOW_S, 2) for s in made] == [0.0, 0.36]
        engine.runners["p-1"].ready = False
        self.choose(engine, 0.4, 0.7, 0.8)
        assert [round(s - NOW_S, 2) for s in made] == [0.0, 0.36, 0.7]

    def test_ends_with_the_overload(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against an order that an overload of long ago still decides."""
        engine, _ = self.engine(monkeypatch, ["p"], jobs=20)
        overloaded: list[bool] = []

        def note(*args: t.Any, **options: t.Any) -> Choice | None:
            overloaded.append(options["overloaded"])
            return choose(*args, **options)

        monkeypatch.setattr(choices, "choose", note)
        self.choose(engine, 0.0, 0.4, 60.0)
        assert overloaded == [False, True, False]

    def test_ends_when_the_clock_goes_back(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        engine, made = self.engine(monkeypatch, ["p"], jobs=20)
        self.choose(engine, 2.0, 0.0, 0.1, 2.0)
        assert [round(s - NOW_S, 2) for s in made] == [2.0, 0.0, 2.0]
