"""Gives up starts in halls that may no longer be used."""

import logbook

from .ledger import Ledger
from .model import Attempt
from .model import Phase

__all__ = ["leave_hall"]

log = logbook.Logger("streamthread.scheduler")

REASON = "hall-evacuated"
"""Why runs are stopped that may have been started in an evacuated hall."""


def leave_hall(ledger: Ledger, attempt: Attempt, surely_unsent: bool) -> None:
    """Give up a start in a hall that may not be used, and have its task placed again.

    A start that has certainly not been sent is withdrawn. One that may have been sent,
    here or by an earlier holder, may still be carried out; a stop prevents that. The
    other members of a gang are ended with it, since a gang is only placed as a whole.

    :param surely_unsent: no try to send this start can have reached the runner.
    """
    task = attempt.task
    ledger.count("left-hall")
    log.info(
        "start-leaves-hall",
        extra={
            "task": task.name,
            "run": attempt.run,
            "runner": attempt.runner_id,
            "phase": attempt.phase.value,
        },
    )
    attempts = [attempt]
    if task.step.request.gang:
        attempts = [other for member in task.step.tasks for other in member.attempts]
    for other in attempts:
        if other.phase is Phase.PLANNED or (other is attempt and surely_unsent):
            ledger.withdraw(other)
        else:
            ledger.stops.request_stop(other, REASON)
