"""Loads on a pool that is too small for them: `one account floods`, `a crowd`.

They are played in virtual time with the real engine, and compared with a bound that
knows the arrivals. The bound is not reached by any order of real tasks: it divides work
at will, and knows neither steps that wait for each other nor gaps on machines.
"""

import pytest

from streamthread.scheduler import Engine

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
"""What the other accounts may lose of what they earn; the worst of these is 0.035. In
the order by latest starts they lose 0.04 to 0.11."""

MIN_CROWD_SHARE = 0.64
"""Part of the bound that is done in time in a crowd; the worst of these is 0.66. By
latest starts alone it is 0.44, and by fair queueing without a choice 0.43 to 0.49."""


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


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_crowd_within_weights(monkeypatch: pytest.MonkeyPatch, seed: int) -> None:
    """Guards against an order in which nearly all jobs become late together.

    Neither the largest tenth nor the next fifth of the jobs may be left out for their
    size.
    """
    load = Load(seed, crowd=3.0)
    outcomes = arrivals(load)
    played = play(monkeypatch, outcomes, load.weights())
    assert not any(outcome.job.excess for outcome in outcomes)
    assert played.work_in_time() >= MIN_CROWD_SHARE * bound(outcomes)
    whole = played.share_in_time(outcomes)
    for skip, share in ((0.0, 0.1), (0.1, 0.2)):
        part = played.share_in_time(largest(outcomes, skip, share))
        assert part >= whole / 2


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
