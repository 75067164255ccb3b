"""How long calls for advice take."""

import attrs

from ..platform.manifest import AdvicePolicy

__all__ = ["AdviceTimes"]

OVERHEAD_S = 0.05
"""Duration of a call beside what the policy says: the network and a busy event loop."""

LIMIT_FACTOR = 2.0
"""A call is given up after this many times its expected duration."""

LIMIT_SLACK_S = 0.5
"""Added to each time limit: a call of a few milliseconds must outlast a short stall."""

RECOVERY_WEIGHT = 0.25
"""Weight of an answer that came faster than expected. One that came later counts at
once, as a call that is given up was in vain."""

RUN_OUT_FACTOR = 2.0
"""How much slower the service is assumed to be after a call without an answer."""

MAX_SLOWNESS = 1024.0
"""Upper bound that keeps time limits finite while the service does not answer."""


@attrs.define
class AdviceTimes:
    """Estimates how long calls take from the policy and from earlier calls.

    A call takes a fixed time and a time for each runner that it names, both of which
    the policy of the queue states.

    :param slowness: how many times as long as stated calls have taken lately.
    """

    slowness: float = 1.0

    def expected_s(self, policy: AdvicePolicy, count: int) -> float:
        """Return how long a call for this number of runners is expected to take."""
        return self.slowness * _stated_s(policy, count)

    def time_limit_s(self, policy: AdvicePolicy, count: int) -> float:
        """Return when a call for this number of runners is given up."""
        return LIMIT_FACTOR * self.expected_s(policy, count) + LIMIT_SLACK_S

    def on_answer(self, policy: AdvicePolicy, count: int, took_s: float) -> None:
        """Record how long an answer took."""
        slowness = max(1.0, took_s / _stated_s(policy, count))
        weight = 1.0 if slowness > self.slowness else RECOVERY_WEIGHT
        self.slowness += (slowness - self.slowness) * weight
        self.slowness = min(self.slowness, MAX_SLOWNESS)

    def on_no_answer(self) -> None:
        """Record that a call was given up without an answer."""
        self.slowness = min(self.slowness * RUN_OUT_FACTOR, MAX_SLOWNESS)


def _stated_s(policy: AdvicePolicy, count: int) -> float:
    return policy.duration_s(count) + OVERHEAD_S
