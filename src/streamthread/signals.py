"""Waits for the signals that stop a process."""

import asyncio
import contextlib
import signal

from mode import Service

__all__ = ["CRASHED_STATUS", "until_signal"]

CRASHED_STATUS = 6
CRASH_POLL_S = 0.5


async def until_signal(service: Service) -> bool:
    """Wait for a signal to stop; return whether the service crashed before."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    while not stopped.is_set() and not service.crashed:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CRASH_POLL_S):
                await stopped.wait()
    return bool(service.crashed)
