"""Watches the links to runners for lost halls."""

import collections
import typing as t

from ..halls import HallCount
from ..halls import HallOutages
from ..runners import RunnerLink

__all__ = ["OutageWatch"]


class OutageWatch:
    """Updates which halls are lost, and protects work from their runners.

    A runner of a hall that is newly lost receives nothing until it has answered again,
    although its own last call may still be unanswered: that takes up to 2.2 s to show
    at an idle runner.

    :param links: links to runners, by runner id.
    """

    def __init__(self, links: t.Mapping[str, RunnerLink], outages: HallOutages) -> None:
        self._links = links
        self._outages = outages

    def check(self) -> None:
        """Update the state once."""
        runners: collections.Counter[str] = collections.Counter()
        silent: collections.Counter[str] = collections.Counter()
        for link in self._links.values():
            if not link.runner.zone:
                # Runners that name no hall are in none.
                continue
            runners[link.runner.zone] += 1
            silent[link.runner.zone] += link.silent
        counts = {hall: HallCount(n, silent[hall]) for hall, n in runners.items()}
        for hall in self._outages.update(counts):
            self._await_answers(hall)

    def _await_answers(self, hall: str) -> None:
        links = [link for link in self._links.values() if link.runner.zone == hall]
        since_s = min(
            link.runner.silent_at_s
            for link in links
            if link.runner.silent_at_s is not None
        )
        for link in links:
            link.await_answer(since_s)
