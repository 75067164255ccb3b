"""Settings of the scheduler."""

import attrs

from .progress import ProgressSettings

__all__ = ["EngineSettings"]


@attrs.frozen
class EngineSettings:
    """Settings of the scheduler.

    :param early_s: an occurrence may begin this long before it is due.
    :param list_slack_ms: a list counts as newer than an answer only if the runner's
        clock is ahead by more than this; lists are stamped in whole milliseconds.
    :param unlisted_s: a run counts as unlisted when its runner has not listed it for
        longer than this. Lists arrive every 0.8 s, and one list may be older than the
        run.
    :param stop_effect_ms: measured on the runner's clock. A run that is still listed
        this long after the runner accepted its stop has not been stopped.
    :param penalty_s: how long a runner on which tasks failed is used only as a last
        choice.
    :param penalty_failures: the number of failures within ``penalty_s`` that leads to
        the penalty.
    :param lasting_patience_s: a long-running task that has waited longer than this may
        be placed on a runner that is being emptied.
    :param crashes_alone: this many runner exits at its starts prove that a task crashes
        its runners if it alone had just been started on the last of them. Two is the
        minimum that distinguishes the task from those that ran beside it. With two,
        however, a runner that exits on its own while the task runs apart would be
        proof. The third crash costs one more runner for each faulty task.
    :param unsteady_ends: if this many runners of a pool have recently exited on their
        own, ``crashes_alone`` does not suffice, because the third exit may be one of
        these.
    :param most_crashes: a task is held back after this many crashes in any case. The
        users' documentation allows two more starts after the third crash; one of them
        is reserved for a crash that no holder has observed.
    :param most_lost_runners: a task is held back for a moment after this many runner
        exits, at its start or later; for long if it has presumably caused so many later
        ones.
    :param spreads_over_halls: the tasks of a long-running step are spread over halls,
        so that the loss of one hall leaves the others at work.
    :param restart_pause_s: the pause before a failed long-running task starts again.
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
    spreads_over_halls: bool = False
    progress: ProgressSettings = attrs.field(factory=ProgressSettings)
