"""The faults that the platform stand-in can simulate."""

import asyncio
import time

import attrs

__all__ = ["Faults", "RateLimit"]


@attrs.define
class Faults:
    """The present faults; they can be changed over HTTP while the stand-in runs.

    :param latency_s: added to each call of the table service.
    :param outage: the table service and the object store refuse every call.
    :param lose_replies: number of commits whose answers are lost after the commits took
        effect.
    :param refuse_writes: only writes are refused.
    :param hold_pool_commit: one commit that writes a pool's row is delayed for as long
        as this is set, and takes effect afterwards.
    :param membership_lag_s: delay before the membership list shows a change.
    :param reboot_s: duration of a reboot.
    :param failing_workers: ids of workers on which each task fails at once.
    :param stuck_reboots: ids of instances whose reboots never end.
    """

    latency_s: float = 0.001
    outage: bool = False
    lose_replies: int = 0
    refuse_writes: bool = False
    hold_pool_commit: bool = False
    membership_lag_s: float = 0.2
    reboot_s: float = 0.5
    failing_workers: tuple[str, ...] = ()
    stuck_reboots: tuple[str, ...] = ()


class RateLimit:
    """A token bucket: refilled at ``per_s``, it holds one second's calls at most."""

    def __init__(self, per_s: float) -> None:
        self._per_s = per_s
        self._tokens = per_s
        self._at_s = time.monotonic()

    def take(self) -> bool:
        """Take a token; return whether one was available."""
        now_s = time.monotonic()
        earned = (now_s - self._at_s) * self._per_s
        self._tokens = min(self._per_s, self._tokens + earned)
        self._at_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


async def delay(latency_s: float) -> None:
    """Wait for a simulated latency."""
    if latency_s > 0:
        await asyncio.sleep(latency_s)
