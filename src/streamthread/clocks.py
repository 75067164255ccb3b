"""The boot clock, the processor time used, and how far clocks run apart."""

import time

__all__ = ["SLOWEST_CLOCK", "boot_s", "processor_s"]

SLOWEST_CLOCK = 0.98
"""A steady clock may run 2% slow: the platform promises it of the runners, and
daemons are given the same margin."""

_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def boot_s() -> float:
    """Return the seconds since the machine's boot, those of its sleep among them.

    The monotonic clock stands still while a machine is suspended. Others go on: a
    holder that woke would rely on a commit that it had lost seconds ago, and give
    orders beside the next holder. Event loops go by the monotonic clock, so that a
    timer may fire late by the time of a suspension; whoever wakes looks at this clock.
    """
    return time.clock_gettime(_CLOCK)


def processor_s() -> float:
    """Return the processor time that the calling thread has used, in seconds.

    A process of this product has one thread. The time does not advance while the
    process is stopped or waits for a processor, or while the machine is suspended: it
    measures work, and is the base of limits on the share of the processor.
    """
    return time.thread_time()
