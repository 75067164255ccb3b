"""Structured logs on standard output, rate-limited and written without blocking."""

import datetime
import json
import logging
import os
import typing as t

import logbook
from logbook.compat import redirect_logging

from ..clocks import boot_s

__all__ = ["JsonLineHandler", "start_cell_logging"]

MAX_LINES_PER_S = 400
"""More than the daemon logs on a normal day, and under 1% of a core at 20 us a line."""

STDOUT = 1
"""The file descriptor of standard output."""


class JsonLineHandler(logbook.Handler):
    """Writes each record as one line of JSON, up to a rate limit.

    Records over the limit, and records that the reader does not accept in time, are
    dropped and counted. The next line that is written reports the count.

    :param write: writes some of the bytes and returns how many, like `os.write`.
    """

    def __init__(
        self,
        daemon_id: str,
        level: str = "INFO",
        lines_per_s: int = MAX_LINES_PER_S,
        write: t.Callable[[bytes], int] = lambda data: os.write(STDOUT, data),
    ) -> None:
        super().__init__(level=level, bubble=False)
        self._daemon_id = daemon_id
        self._lines_per_s = lines_per_s
        self._write = write
        self._second = 0
        self._lines_in_second = 0
        self._unwritten = b""
        self.dropped = 0
        self._reported_dropped = 0

    def emit(self, record: t.Any) -> None:
        """Write a record, or count it as dropped."""
        second = int(boot_s())
        if second != self._second:
            self._second, self._lines_in_second = second, 0
        if self._lines_in_second >= self._lines_per_s or not self._flush():
            self.dropped += 1
            return
        self._lines_in_second += 1
        self._unwritten = self._line(record).encode() + b"\n"
        self._flush()

    def _flush(self) -> bool:
        """Write pending bytes; return whether all of them were written."""
        try:
            while self._unwritten:
                self._unwritten = self._unwritten[self._write(self._unwritten) :]
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
        if self.dropped != self._reported_dropped:
            line["lines_dropped"] = self.dropped
            self._reported_dropped = self.dropped
        if record.exc_info:
            line["traceback"] = record.formatted_exception
        return json.dumps(line, default=str)


def start_cell_logging(daemon_id: str, level: str = "INFO") -> JsonLineHandler:
    """Send all logs of the process to standard output as JSON lines."""
    redirect_logging()
    logging.getLogger().setLevel("WARNING")
    os.set_blocking(STDOUT, False)
    handler = JsonLineHandler(daemon_id, level)
    handler.push_application()
    return handler
