"""Standing waves: every instance once in each period, spread over all of it."""

import datetime
import hashlib

__all__ = ["is_reboot_due", "run_key"]

EPOCH = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
"""Periods are counted from here, so that all entries count alike."""

_SCALE = 2**64


def run_key(key: str, period_days: float, now: datetime.datetime) -> str:
    """Return the key of a wave's present run: its own, or with the period's number.

    :param period_days: 0 for a wave that runs once.
    """
    if not period_days:
        return key
    number = int((now - EPOCH) / datetime.timedelta(days=period_days))
    return f"{key}@{number}"


def is_reboot_due(instance_id: str, period_days: float, now: datetime.datetime) -> bool:
    """Whether an instance's turn in the present period has come.

    Turns are spread over nine tenths of the period by the instance's name, which
    leaves the last tenth for those that had to wait.
    """
    if not period_days:
        return True
    digest = hashlib.blake2b(instance_id.encode(), digest_size=8).digest()
    turn = 0.9 * int.from_bytes(digest, "big") / _SCALE
    passed = (now - EPOCH) / datetime.timedelta(days=period_days) % 1
    return passed >= turn
