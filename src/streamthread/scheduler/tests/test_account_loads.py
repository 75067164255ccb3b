"""Loads on a pool that is too small for them: `one account floods`, `a crowd`.

They are played in virtual time with the real engine, and compared with a bound that
knows the arrivals. The bound is not reached by any order of real tasks: it divides work
at will, and knows neither steps that wait for each other nor gaps on machines.
"""

import typing as t

import pytest

from streamthread.scheduler import choices
from streamthread.scheduler import Engine
from streamthread.scheduler.overload import Choice
from streamthread.scheduler.overload import fair_order
from streamthread.scheduler.overload import OpenWork
from streamthread.scheduler.overload import Standing
from streamthread.scheduler.timeline import Capacity

from .loads import ACCOUNTS
from .loads import arrivals
from .loads import bound
from .loads import Load
from .loads import Outcome
from .loads import play
from .loads import Played

FLOODING = ACCOUNTS - 1
"""The account with the largest weight."""

OTHERS = [f"a{number}" for number in range(ACCOUNTS) if number != FLOODING]
MAX_LOSS = 0.05
"""What the other accounts may lose of what they earn; the worst of these is 0.040. In
the order by latest starts they lose 0.04 to 0.11."""

MIN_CROWD_SHARE = 0.8
"""Part of the bound that is to be done in time in a crowd: the target is to fall short
by less than a fifth."""

REGRESSION_CROWD_SHARE = 0.68
"""What the choice must not fall back below while the target is not reached; the worst
seed does 0.695. By latest starts alone it is 0.44, and by fair queueing without a
choice 0.43 to 0.49."""

SEEDS = [1, 2, 3]


def largest(outcomes: list[Outcome], skip: float, share: float) -> list[Outcome]:
    """Return a part of the jobs by size, the largest first."""
    by_size = sorted(outcomes, key=lambda outcome: -outcome.work)
    begin = round(skip * len(by_size))
    return by_size[begin : begin + round(share * len(by_size))]


def play_load(patch: pytest.MonkeyPatch, load: Load) -> Played:
    return play(patch, arrivals(load), load.weights())


@pytest.mark.parametrize("weight_scale", [1.0, 0.01])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_one_account_floods(
    monkeypatch: pytest.MonkeyPatch, seed: int, weight_scale: float
) -> None:
    """Guards against one account's flood that makes the others' jobs late.

    With the smaller weights most of the flood is excess, otherwise none of it is.
    """
    usual = play_load(monkeypatch, Load(seed, weight_scale=weight_scale))
    load = Load(seed, factors={FLOODING: 8.0}, weight_scale=weight_scale)
    flooded = play_load(monkeypatch, load)
    excess = sum(outcome.job.excess for outcome in flooded.outcomes)
    assert bool(excess) == (weight_scale < 1)
    assert flooded.worth(*OTHERS) >= (1 - MAX_LOSS) * usual.worth(*OTHERS)
    assert all(outcome.ended_s for outcome in flooded.outcomes)


def play_crowd(
    patch: pytest.MonkeyPatch, seed: int, weighted: bool = True
) -> tuple[Played, float]:
    """Return how a crowd was played, and which part of the bound was in time."""
    load = Load(seed, crowd=3.0)
    outcomes = arrivals(load)
    weights = load.weights() if weighted else {}
    played = play(patch, outcomes, weights)
    return played, played.work_in_time() / bound(outcomes)


def order_fairly(
    works: t.Sequence[OpenWork],
    capacity: Capacity,
    standing: Standing,
    now_s: float,
    overloaded: bool = False,
) -> Choice:
    """Return the order of weighted fair queueing alone; nothing is chosen."""
    order = fair_order(works, standing, capacity.rate)
    places = {work.key: place for place, work in enumerate(order)}
    return Choice(now_s, {}, frozenset(), places)


def test_a_crowd_within_weights_reaches_the_target(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards the target for the work that is in time in a crowd, on every seed."""
    shares = {seed: play_crowd(monkeypatch, seed)[1] for seed in SEEDS}
    assert min(shares.values()) >= MIN_CROWD_SHARE, shares


@pytest.mark.parametrize("seed", SEEDS)
def test_a_crowd_within_weights(monkeypatch: pytest.MonkeyPatch, seed: int) -> None:
    """Guards against an order in which nearly all jobs become late together.

    Neither the largest tenth nor the next fifth of the jobs may be left out for their
    size.
    """
    played, share = play_crowd(monkeypatch, seed)
    outcomes = list(played.outcomes)
    assert not any(outcome.job.excess for outcome in outcomes)
    assert share >= REGRESSION_CROWD_SHARE
    whole = played.share_in_time(outcomes)
    for skip, part_share in ((0.0, 0.1), (0.1, 0.2)):
        part = played.share_in_time(largest(outcomes, skip, part_share))
        assert part >= whole / 2


@pytest.mark.parametrize("seed", SEEDS)
def test_a_crowd_is_served_better_than_by_simpler_orders(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """Guards against a choice that is no better than the orders that it replaced."""
    chosen, share = play_crowd(monkeypatch, seed)
    by_start, start_share = play_crowd(monkeypatch, seed, weighted=False)
    monkeypatch.setattr(choices, "choose", order_fairly)
    fair, fair_share = play_crowd(monkeypatch, seed)
    assert share > max(start_share, fair_share)
    in_time = [p.share_in_time(p.outcomes) for p in (chosen, by_start, fair)]
    assert in_time[0] > max(in_time[1:])


def test_without_weights_nothing_changes(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards deployments whose configuration gives no account a weight.

    Their steps keep the sort keys that they had before shares decided anything.
    """
    load = Load(1, crowd=3.0)

    def forbid(engine: Engine) -> None:
        def choose(*_: object) -> None:
            raise AssertionError("a choice was made without weights")

        monkeypatch.setattr("streamthread.scheduler.choices.choose", choose)

    unweighted = {account: 0.0 for account in load.weights()}
    for weights in ({}, unweighted):
        outcomes = arrivals(load)
        played = play(monkeypatch, outcomes, weights, prepare=forbid)
        assert not any(outcome.job.excess for outcome in outcomes)
        assert not played.engine.shares.counts
        assert played.engine.shares.served(0.0) == {}
