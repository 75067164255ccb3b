"""The faults that the platform stand-in can be told to show."""

import asyncio
import time

import attrs

__all__ = ["Faults", "RateLimit"]


@attrs.define
class Faults:
    """What goes wrong now; replaced over HTTP while the stand-in runs.

    :param latency_s: added to each call of the table service.
    :param outage: the table service and object store refuse everything.
    :param lose_replies: the answers of so many commits are lost, after they
        took effect.
    :param refuse_writes: only commits are refused.
    :param hold_pool_commit: one commit that writes a pool's row is on its way for as
        long as this is set, and arrives then.
    :param membership_lag_s: changes show in the membership list so much later.
    :param reboot_s: how long a reboot takes.
    :param failing_workers: these fail each task at once.
    :param stuck_reboots: reboots of these never end.
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
    """A token bucket: so many calls a second, one second's worth saved up."""

    def __init__(self, per_s: float) -> None:
        self._per_s = per_s
        self._tokens = per_s
        self._at_s = time.monotonic()

    def take(self) -> bool:
        """Whether one more call fits in."""
        now_s = time.monotonic()
        earned = (now_s - self._at_s) * self._per_s
        self._tokens = min(self._per_s, self._tokens + earned)
        self._at_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


async def delay(latency_s: float) -> None:
    """Wait as the faults ask."""
    if latency_s > 0:
        await asyncio.sleep(latency_s)
