"""Run times learned per image, since the callers' estimates are far off.

Run times of a step without an image are learned per step of its route.
"""

import attrs

from ..platform.callers import StepRequest
from .model import StepRun

__all__ = ["RunTimes", "learning_key", "request_key"]

NEWEST_RUN_WEIGHT = 0.25
"""Weight of the newest run in the moving mean; four runs outweigh all earlier ones."""

DEFAULT_RUN_S = 1.0
"""The expected run time if neither a run nor an estimate is known."""

MIN_LEARNED_RUNS = 2
"""From this number of runs of a key, their mean replaces the caller's estimate."""


@attrs.define
class _Mean:
    value_s: float
    count: int = 1


@attrs.define
class RunTimes:
    """The mean run time for each key, as `learning_key` returns it.

    :param version: changes whenever a run time is learned. What was computed from the
        run times holds as long as it stays the same.
    """

    _means: dict[str, _Mean] = attrs.field(factory=dict)
    version: int = 0

    def learn(self, key: str, took_s: float) -> None:
        """Add the run time of a task that completed."""
        self.version += 1
        mean = self._means.get(key)
        if mean is None:
            self._means[key] = _Mean(took_s)
            return
        mean.value_s += (took_s - mean.value_s) * NEWEST_RUN_WEIGHT
        mean.count += 1

    def learned_s(self, key: str) -> float | None:
        """Return the learned run time, or None if there are too few runs."""
        mean = self._means.get(key)
        if mean is None or mean.count < MIN_LEARNED_RUNS:
            return None
        return mean.value_s

    def expect_s(self, key: str, estimate_ms: float) -> float:
        """Return the probable run time of a task."""
        learned_s = self.learned_s(key)
        if learned_s is not None:
            return learned_s
        if estimate_ms > 0:
            return estimate_ms / 1000
        mean = self._means.get(key)
        return mean.value_s if mean is not None else DEFAULT_RUN_S


def learning_key(step: StepRun) -> str:
    """Return the key under which a step's run times are learned."""
    return request_key(step.occurrence.job.route, step.number, step.request)


def request_key(route: str, number: int, request: StepRequest) -> str:
    """Return the key under which the run times of a route's step are learned."""
    return request.image or f"{route}/{number}"
