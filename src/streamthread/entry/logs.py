"""JSON lines by logbook, for this package and the libraries it uses."""

import datetime
import json
import logging
import sys
import typing as t

import logbook
from logbook.compat import redirect_logging

from ..timeline import Event

__all__ = ["JsonLines", "event_sink", "start_logging"]


class JsonLines(logbook.StreamHandler):
    """Writes each record as one JSON object a line."""

    def __init__(self, daemon_id: str, level: str = "INFO") -> None:
        super().__init__(sys.stderr, level=level)
        self._daemon_id = daemon_id

    def format(self, record: t.Any) -> str:
        """Return the line of a record."""
        line = {
            "time": datetime.datetime.now(datetime.UTC).isoformat(),
            "daemon_id": self._daemon_id,
            "level": record.level_name,
            "logger": record.channel,
            "message": record.message,
            **record.extra,
        }
        if record.exc_info:
            line["traceback"] = record.formatted_exception
        return json.dumps(line, default=str)


def start_logging(daemon_id: str, level: str = "INFO") -> None:
    """Send all logs of the process to standard error as JSON lines."""
    redirect_logging()
    logging.getLogger().setLevel(level)
    JsonLines(daemon_id, level).push_application()


def event_sink(level: str = "INFO") -> t.Callable[[Event], None]:
    """Return a function that logs events."""
    logger = logbook.Logger("streamthread.timeline")

    def log(event: Event) -> None:
        logger.info(
            event.kind,
            extra={
                "event": event.kind,
                "subject": event.subject,
                "cause": event.cause,
                "generation": event.generation,
                "epoch": event.epoch,
                "area": event.area,
            },
        )

    return log
