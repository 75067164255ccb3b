"""How long calls for advice take, and how many runners one call may name."""

import attrs

from ..platform.advice import MAX_RUNNERS_PER_CALL
from ..platform.manifest import AdvicePolicy

__all__ = ["AdviceTimes"]

TURN_S = 0.5
"""A call names only as many runners as the service can answer for in this time, since
all other steps wait for it. At high fixed costs a call takes longer."""

OVERHEAD_S = 0.05
"""Duration of a call beside what the policy says: the network and a busy event loop."""

EXTRA_SHARE = 0.5
"""A call may name more runners than needed if these add no more than this share of its
fixed duration: a second call would cost the whole of it."""

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

    def max_count(self, policy: AdvicePolicy) -> int:
        """Return how many runners one call may name.

        A call takes no longer than :data:`TURN_S`, or else twice its fixed time: with
        fewer runners, most of the service's time would be spent on fixed costs.
        """
        if policy.each_s <= 0:
            return MAX_RUNNERS_PER_CALL
        within_turn_s = TURN_S / self.slowness - OVERHEAD_S - policy.decide_s
        count = max(within_turn_s, policy.decide_s) / policy.each_s
        return int(min(max(1.0, count), MAX_RUNNERS_PER_CALL))

    @staticmethod
    def extra_count(policy: AdvicePolicy) -> int:
        """Return how many more runners a call may name than are needed."""
        if policy.each_s <= 0:
            return MAX_RUNNERS_PER_CALL
        extra = EXTRA_SHARE * policy.decide_s / policy.each_s
        return int(min(extra, MAX_RUNNERS_PER_CALL))

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
