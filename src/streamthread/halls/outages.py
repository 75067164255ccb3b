"""Recognizes lost halls: most of a hall's runners are silent at once."""

import typing as t

import attrs
import logbook

from ..clocks import boot_s

__all__ = ["HallCount", "HallOutages", "OutageSettings", "find_lost"]

log = logbook.Logger("streamthread.halls")


@attrs.frozen
class HallCount:
    """How many runners a hall has, and how many of them do not answer."""

    runners: int = 0
    silent: int = 0

    @property
    def silent_share(self) -> float:
        """The share of silent runners; 1 if there are no runners."""
        return self.silent / self.runners if self.runners else 1.0


@attrs.frozen
class OutageSettings:
    """When a hall counts as lost.

    :param min_silent: the minimum number of silent runners: one or two machines of a
        small hall fail together by chance.
    :param lost_share: a hall is lost from this share of silent runners on.
    :param back_share: it is back when this share or less is silent. The gap to
        ``lost_share`` keeps the state from changing with single runners.
    """

    min_silent: int = 3
    lost_share: float = 0.6
    back_share: float = 0.3


def find_lost(
    counts: t.Mapping[str, HallCount],
    lost_before: t.Collection[str],
    settings: OutageSettings,
) -> set[str]:
    """Return the halls that are lost.

    A hall is only found to be lost while most runners of another hall answer:
    otherwise the observer itself may be cut off. A lost hall without any runners stays
    lost, since the entries of its runners expire.

    :param counts: by hall.
    :param lost_before: the halls that were lost so far.
    """
    answering = {
        hall
        for hall, count in counts.items()
        if count.silent_share <= settings.back_share
    }
    lost = {hall for hall in lost_before if hall not in answering}
    for hall, count in counts.items():
        enough = count.silent >= settings.min_silent
        if enough and count.silent_share >= settings.lost_share and answering - {hall}:
            lost.add(hall)
    return lost


class HallOutages:
    """The halls that are lost now.

    :param lost_since_s: when each lost hall was found to be lost, on the boot clock.
    """

    def __init__(self, settings: OutageSettings | None = None) -> None:
        self._settings = settings or OutageSettings()
        self.lost_since_s: dict[str, float] = {}

    def update(self, counts: t.Mapping[str, HallCount]) -> set[str]:
        """Apply the present counts and return the halls that are newly lost."""
        now_s = boot_s()
        lost = find_lost(counts, self.lost_since_s, self._settings)
        for hall in set(self.lost_since_s) - lost:
            lost_s = round(now_s - self.lost_since_s.pop(hall), 3)
            log.info("hall-back", extra=_describe(hall, counts) | {"lost_s": lost_s})
        new = lost - set(self.lost_since_s)
        for hall in sorted(new):
            self.lost_since_s[hall] = now_s
            log.warning("hall-lost", extra=_describe(hall, counts))
        return new


def _describe(hall: str, counts: t.Mapping[str, HallCount]) -> dict[str, t.Any]:
    count = counts.get(hall, HallCount())
    return {"hall": hall, "runners": count.runners, "silent": count.silent}
