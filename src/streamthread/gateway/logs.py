"""Structured logs on standard output: bounded in volume, never blocking."""

import datetime
import json
import logging
import os
import typing as t

import logbook
from logbook.compat import redirect_logging

from ..clocks import boot_s

__all__ = ["BoundedLines", "start_cell_logging"]

LINES_PER_S = 400
"""More than a calm day writes, and under 1% of a core at 20 us a line."""

STDOUT = 1
"""The number of the standard output's file descriptor."""


class BoundedLines(logbook.Handler):
    """Writes each record as one JSON object a line, up to a rate.

    What is over the rate, or what the reader does not take in time, is dropped
    and counted; the count is told with the next line that is written.

    :param write: writes some of the bytes and returns how many, like `os.write`.
    """

    def __init__(
        self,
        daemon_id: str,
        level: str = "INFO",
        lines_per_s: int = LINES_PER_S,
        write: t.Callable[[bytes], int] = lambda data: os.write(STDOUT, data),
    ) -> None:
        super().__init__(level=level, bubble=False)
        self._daemon_id = daemon_id
        self._lines_per_s = lines_per_s
        self._write = write
        self._second = 0
        self._count = 0
        self._rest = b""
        self.dropped = 0
        self._told = 0

    def emit(self, record: t.Any) -> None:
        """Write a record, or count it as dropped."""
        second = int(boot_s())
        if second != self._second:
            self._second, self._count = second, 0
        if self._count >= self._lines_per_s or not self._flush():
            self.dropped += 1
            return
        self._count += 1
        self._rest = self._line(record).encode() + b"\n"
        self._flush()

    def _flush(self) -> bool:
        """Write what is left; return whether nothing is left."""
        try:
            while self._rest:
                self._rest = self._rest[self._write(self._rest) :]
        except BlockingIOError:
            return False
        return True

    def _line(self, record: t.Any) -> str:
        now = datetime.datetime.now(datetime.UTC)
        line = {
            "time": now.isoformat(timespec="milliseconds"),
            "daemon": self._daemon_id,
            "level": record.level_name,
            "logger": record.channel,
            "event": record.message,
            **record.extra,
        }
        if self.dropped != self._told:
            line["lines_dropped"] = self.dropped
            self._told = self.dropped
        if record.exc_info:
            line["traceback"] = record.formatted_exception
        return json.dumps(line, default=str)


def start_cell_logging(daemon_id: str, level: str = "INFO") -> BoundedLines:
    """Send all logs of the process to standard output as JSON lines."""
    redirect_logging()
    logging.getLogger().setLevel("WARNING")
    os.set_blocking(STDOUT, False)
    handler = BoundedLines(daemon_id, level)
    handler.push_application()
    return handler
