"""One account floods: what is refused beside the order of the accepted jobs."""

import types
import typing as t

import pytest

from streamthread.holder import forecasts
from streamthread.holder.forecasts import Forecasts
from streamthread.holder.forecasts import LATE_FACTOR
from streamthread.holder.forecasts import Refusal
from streamthread.platform.accounts import Limit
from streamthread.scheduler import Engine
from streamthread.scheduler.overload import Standing
from streamthread.scheduler.tests.loads import ACCOUNTS
from streamthread.scheduler.tests.loads import arrivals
from streamthread.scheduler.tests.loads import Load
from streamthread.scheduler.tests.loads import Outcome
from streamthread.scheduler.tests.loads import play
from streamthread.scheduler.tests.loads import Played

FLOODING = ACCOUNTS - 1
OTHERS = [f"a{number}" for number in range(ACCOUNTS) if number != FLOODING]
MAX_LOSS = 0.05
DRAIN_S = 60.0
"""After the last job, all accepted work is done within this time: a flood of 20 s at
sixteen times the usual leaves less than that."""

WEIGHT_SCALE = 0.02
"""Most of a flood is excess with such weights, and now and then a job of the others."""

LIMIT_CPU = 40_000
"""The limit of the flooding account; its usual load takes 36,000."""

NO_LIMITS: dict[str, Limit] = {}


def play_with_refusals(
    patch: pytest.MonkeyPatch,
    load: Load,
    limits: t.Mapping[str, Limit] = NO_LIMITS,
    note: t.Callable[[Engine, float], None] = lambda engine, now_s: None,
) -> tuple[Played, list[Refusal]]:
    """Return how a load was played, and all refusals.

    :param limits: what accounts may have running at once.
    :param note: called before each job is judged.
    """
    clock = types.SimpleNamespace(now_s=0.0)
    patch.setattr(forecasts, "time", types.SimpleNamespace(time=lambda: clock.now_s))
    found: list[Forecasts] = []
    refusals: list[Refusal] = []

    def prepare(engine: Engine) -> None:
        patch.setattr(engine.accounts, "_limit_of", limits.get)
        found.append(Forecasts(engine, lambda pool: ()))

    def submit(engine: Engine, outcome: Outcome, now_s: float) -> bool:
        clock.now_s = now_s
        note(engine, now_s)
        refusal = found[0].judge(outcome.job)
        if refusal is not None:
            refusals.append(refusal)
        return refusal is None

    played = play(
        patch,
        arrivals(load),
        load.weights(),
        submit=submit,
        prepare=prepare,
        drain_s=DRAIN_S,
    )
    return played, refusals


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_one_account_floods_and_is_refused_first(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """Guards against refusals that hit others than the account that floods."""
    load = Load(seed, factors={FLOODING: 16.0}, weight_scale=WEIGHT_SCALE)
    played, refusals = play_with_refusals(monkeypatch, load)
    refused = [outcome for outcome in played.outcomes if outcome.refused]
    of_flood = sum(outcome.job.account == f"a{FLOODING}" for outcome in refused)
    assert of_flood >= 0.8 * len(refused) > 0
    assert all(refusal.inputs["excess"] for refusal in refusals)
    assert all(refusal.retry_after_s >= 1.0 for refusal in refusals)
    accepted = [outcome for outcome in played.outcomes if not outcome.refused]
    assert all(outcome.ended_s for outcome in accepted)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_one_account_floods_and_others_earn_as_before(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """Guards the other accounts while one sends eight times its usual."""
    usual, _ = play_with_refusals(monkeypatch, Load(seed, weight_scale=WEIGHT_SCALE))
    load = Load(seed, factors={FLOODING: 8.0}, weight_scale=WEIGHT_SCALE)
    played, _ = play_with_refusals(monkeypatch, load)
    assert played.worth(*OTHERS) >= (1 - MAX_LOSS) * usual.worth(*OTHERS)


@pytest.mark.parametrize("weight_scale", [1.0, WEIGHT_SCALE])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_one_account_floods_at_its_limit(
    monkeypatch: pytest.MonkeyPatch, seed: int, weight_scale: float
) -> None:
    """Guards against a queue of jobs that the account's limit keeps from being served.

    Otherwise the holder keeps, sorts and judges jobs that are worth nothing when they
    end, long after the flood. What is accepted takes at most three of the longest
    objectives under the limit.
    """
    flooding = f"a{FLOODING}"
    load = Load(seed, factors={FLOODING: 8.0}, weight_scale=weight_scale)
    limits = {flooding: Limit(cpu=LIMIT_CPU)}
    open_s: list[float] = []

    def note(engine: Engine, now_s: float) -> None:
        works = engine.choices.open_works("desk", now_s)
        open_s.append(sum(w.work for w in works if w.account == flooding) / LIMIT_CPU)

    played, refusals = play_with_refusals(monkeypatch, load, limits, note)
    own = [o for o in played.outcomes if o.job.account == flooding]
    accepted = [o for o in played.outcomes if not o.refused]
    assert all(outcome.ended_s for outcome in accepted)
    longest_s = LATE_FACTOR * max(outcome.objective_s for outcome in own)
    kept = [o for o in accepted if o.job.account == flooding]
    assert max(open_s) <= longest_s
    assert len(refusals) == len(own) - len(kept)
    assert any(outcome.in_time for outcome in kept)
    assert any(refusal.inputs["limited"] for refusal in refusals)


def test_a_limit_that_is_used_in_another_pool_refuses_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards an account's jobs in one pool from what it has running in another.

    What runs there may end at once, so that it is not certain that the job is too late.
    """
    flooding = f"a{FLOODING}"
    monkeypatch.setattr(
        "streamthread.scheduler.choices.PoolChoices.standing",
        lambda choices, works, now_s: Standing({flooding: 1.0}, {}, {flooding: 0.0}),
    )
    load = Load(1, usual_s=1.0, load_s=0.0, after_s=0.0)
    limits = {flooding: Limit(cpu=LIMIT_CPU)}
    _, refusals = play_with_refusals(monkeypatch, load, limits)
    assert not any(refusal.inputs["limited"] for refusal in refusals)
