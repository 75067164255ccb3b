"""One account floods: what is refused beside the order of the accepted jobs."""

import types

import pytest

from streamthread.holder import forecasts
from streamthread.holder.forecasts import Forecasts
from streamthread.holder.forecasts import Refusal
from streamthread.scheduler import Engine
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


def play_with_refusals(
    patch: pytest.MonkeyPatch, load: Load
) -> tuple[Played, list[Refusal]]:
    """Return how a load was played, and all refusals."""
    clock = types.SimpleNamespace(now_s=0.0)
    patch.setattr(forecasts, "time", types.SimpleNamespace(time=lambda: clock.now_s))
    found: list[Forecasts] = []
    refusals: list[Refusal] = []

    def prepare(engine: Engine) -> None:
        found.append(Forecasts(engine, lambda pool: ()))

    def submit(engine: Engine, outcome: Outcome, now_s: float) -> bool:
        clock.now_s = now_s
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
