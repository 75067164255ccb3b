"""Schedules standing waves: each instance reboots once a period, spread over it."""

import datetime
import hashlib

__all__ = ["is_reboot_due", "run_key"]

EPOCH = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
"""Periods are counted from this time, so that all daemons number them alike."""

_HASH_RANGE = 2**64


def run_key(key: str, period_days: float, now: datetime.datetime) -> str:
    """Return the key of a wave's current run.

    This is the wave's own key, or ``KEY@NUMBER`` with the number of the current
    period for a standing wave.

    :param period_days: 0 for a wave that runs once.
    """
    if not period_days:
        return key
    period_number = int((now - EPOCH) / datetime.timedelta(days=period_days))
    return f"{key}@{period_number}"


def is_reboot_due(instance_id: str, period_days: float, now: datetime.datetime) -> bool:
    """Return whether an instance's reboot is due in the current period.

    A hash of the instance's ID spreads the reboots over the first nine tenths of
    the period. The last tenth is left for instances whose reboot was delayed.

    :param period_days: 0 for a wave that runs once; the reboot is then always due.
    """
    if not period_days:
        return True
    digest = hashlib.blake2b(instance_id.encode(), digest_size=8).digest()
    due_fraction = 0.9 * int.from_bytes(digest, "big") / _HASH_RANGE
    elapsed_fraction = (now - EPOCH) / datetime.timedelta(days=period_days) % 1
    return elapsed_fraction >= due_fraction
