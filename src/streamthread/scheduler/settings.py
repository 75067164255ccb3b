"""Figures of the scheduler."""

import attrs

from .progress import ProgressSettings

__all__ = ["EngineSettings"]


@attrs.frozen
class EngineSettings:
    """Figures of the scheduler.

    :param early_s: a time may begin so much before it falls due.
    :param list_slack_ms: a list counts as newer than an answer only if the
        runner's clock is so much further; lists are made in whole milliseconds.
    :param unlisted_s: a run that its runner has not listed for longer is counted as
        unlisted; lists come every 0.8 s, and one may be older than the run.
    :param stop_effect_ms: on a runner's clock: a run that it still lists so long after
        it took its stop was not stopped.
    :param penalty_s: how long a runner that failed tasks is used last.
    :param penalty_failures: so many failures within ``penalty_s`` bring that.
    :param lasting_patience_s: a lasting task that waits for longer may go to a
        runner that is being emptied.
    :param crashes_alone: a task is given up after so many runners have ended under it
        if it alone had just been started on the last one. Two are the least that tell
        it from what ran beside it, and a runner that crashes by itself while it is
        apart would then do for it: with two, a task was given up to which this
        happened twice in a row. The third costs one more runner for each such task.
    :param unsteady_ends: where so many runners of a pool have ended by themselves
        lately, ``crashes_alone`` does not do: the third end may be one of these.
    :param most_crashes: it is given up after so many in any case. The users' pages
        allow two starts more after the third; one is left for a crash that no holder
        has seen.
    :param most_lost_runners: it is given up after so many that ended under it, at its
        start or later. A runner that ends by itself before a task has worked for
        a while looks the same; the task is then given up for ends by chance.
    :param restart_pause_s: before a lasting task that failed starts again.
    """

    early_s: float = 0.1
    list_slack_ms: int = 20
    unlisted_s: float = 2.0
    stop_effect_ms: int = 1000
    penalty_s: float = 6.0
    penalty_failures: int = 2
    restart_pause_s: float = 0.05
    lasting_patience_s: float = 1.0
    crashes_alone: int = 3
    unsteady_ends: int = 2
    most_crashes: int = 4
    most_lost_runners: int = 8
    progress: ProgressSettings = attrs.field(factory=ProgressSettings)
