"""Keeps count of what other processes wrote and nobody here can read.

Each thing that is passed over is told in the log once for as long as it stays as it is,
and counted every time. What is unreadable now can be asked for.
"""

import enum
import typing as t

import logbook

from .clocks import boot_s
from .errors import UnreadableError

__all__ = ["Source", "UnreadableNotes"]

log = logbook.Logger("streamthread.unreadable")

MOST_KEPT = 200
"""Of what is unreadable now; of more, the oldest are forgotten, and told again."""

LINES_PER_PERIOD = 20
"""Log lines about unreadable things in :data:`PERIOD_S`; the rest is only counted."""

PERIOD_S = 10.0
"""A log that is read by a person gains nothing from more than 2 such lines a second."""


class Source(enum.Enum):
    """Whose writing could not be read."""

    RUNNER_ENTRY = "runner-entry"
    CONFIGURATION = "configuration"
    WAVE = "wave"
    EVACUATION = "evacuation"
    MACHINE = "machine"
    ADVICE = "advice"
    ANSWER = "answer"
    CELL_ROW = "cell-row"


class UnreadableNotes:
    """What of one daemon's reading was passed over.

    :param counts: how often, by source.
    """

    def __init__(self) -> None:
        self.counts: dict[str, int] = {source.value: 0 for source in Source}
        # The field and what is wrong there, by source and key.
        self._now: dict[tuple[Source, str], tuple[str, str]] = {}
        self._period_at_s = 0.0
        self._lines = 0
        self._untold = 0

    def note(self, source: Source, error: UnreadableError) -> None:
        """Count a thing that is passed over, and log it unless that was done before."""
        self.counts[source.value] += 1
        place = (source, error.key)
        mistake = (error.field, error.message)
        if self._now.pop(place, None) == mistake:
            self._now[place] = mistake
            return
        self._now[place] = mistake
        if len(self._now) > MOST_KEPT:
            del self._now[next(iter(self._now))]
        self._tell(source, error)

    def _tell(self, source: Source, error: UnreadableError) -> None:
        now_s = boot_s()
        if now_s - self._period_at_s > PERIOD_S:
            self._period_at_s, self._lines = now_s, 0
        if self._lines >= LINES_PER_PERIOD:
            self._untold += 1
            return
        self._lines += 1
        untold, self._untold = self._untold, 0
        log.warning(
            "unreadable",
            extra={
                "source": source.value,
                "key": error.key,
                "field": error.field,
                "why": error.message,
                "remedy": error.remedy,
                "untold": untold,
            },
        )

    def clear(self, source: Source, key: str) -> None:
        """Learn that a thing can be read, or is gone."""
        if self._now.pop((source, key), None) is not None:
            log.info("readable-again", extra={"source": source.value, "key": key})

    def clear_all(self, source: Source) -> None:
        """Learn that all of a source is read anew."""
        for place in [place for place in self._now if place[0] is source]:
            self.clear(*place)

    def describe(self) -> list[dict[str, t.Any]]:
        """Return what is unreadable now, for operators."""
        return [
            {"source": source.value, "key": key, "field": field, "why": why}
            for (source, key), (field, why) in self._now.items()
        ]
