"""Runs a case: prepares its folder and record, and turns its result into a status."""

import asyncio
import logging
import os
import pathlib
import signal
import tempfile
import traceback
import typing as t

from .record import Record

__all__ = ["CaseError", "play", "troubled"]

LIMIT_S = 115.0

Case = t.Callable[[pathlib.Path, Record], t.Awaitable[list[str]]]
"""Plays the case; returns how the rule was broken, or nothing."""


class CaseError(Exception):
    """The case could not be played, so that it says nothing."""


def troubled() -> bool:
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


async def _within_limit(case: Case, folder: pathlib.Path, record: Record) -> list[str]:
    this = asyncio.current_task()
    assert this is not None
    # The case ends its processes when it is cancelled.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, this.cancel)
    async with asyncio.timeout(LIMIT_S):
        return await case(folder, record)


def play(case: Case, script: str) -> int:
    """Return 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    # The stand-ins' servers log connections that a crash cuts off.
    logging.disable(logging.CRITICAL)
    record = Record(pathlib.Path(script).parent / "record.txt")
    record.line("begin", trouble=int(troubled()))
    try:
        with tempfile.TemporaryDirectory() as folder:
            broken = asyncio.run(_within_limit(case, pathlib.Path(folder), record))
    except (Exception, asyncio.CancelledError) as error:
        record.line("could-not-run", shown=True, why=repr(error))
        traceback.print_exc()
        return 2
    finally:
        record.close()
    for line in broken:
        print(f"BROKEN: {line}")
    print("the rule was broken" if broken else "the rule held")
    return 1 if broken else 0
