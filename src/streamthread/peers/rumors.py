"""Versioned soft state that daemons pass on to each other."""

import typing as t

from ..changelog import ChangeLog
from .peers_pb2 import Offer
from .peers_pb2 import Rumor

__all__ = ["LARGE_BYTES", "News", "RumorStore"]

LARGE_BYTES = 200
"""A larger rumor is offered first, since the peer may have it from another."""


class News(t.NamedTuple):
    """What a peer may not have heard: small rumors whole, large ones as offers."""

    rumors: list[Rumor]
    offers: list[Offer]


class RumorStore:
    """The newest rumor of each key, and what each peer has not heard yet.

    Of two rumors with one key the higher version wins, so late, repeated or
    reordered messages change nothing.
    """

    def __init__(self) -> None:
        self._rumors: ChangeLog[str, Rumor] = ChangeLog()
        self._heard_from: dict[str, str] = {}
        self._listeners: list[t.Callable[[Rumor], None]] = []

    @property
    def cursor(self) -> int:
        """How many changes there were."""
        return self._rumors.cursor

    def listen(self, listener: t.Callable[[Rumor], None]) -> None:
        """Have a function called with each new rumor."""
        self._listeners.append(listener)

    def get(self, key: str) -> Rumor | None:
        """Return the newest rumor of a key."""
        return self._rumors.get(key)

    def offer(self, rumor: Rumor, heard_from: str = "") -> bool:
        """Take a rumor if it is newer than the known one.

        :param heard_from: the incarnation that told it; empty for our own.
        """
        known = self._rumors.get(rumor.key)
        if known is not None and known.version >= rumor.version:
            return False
        self._rumors.put(rumor.key, rumor)
        self._heard_from[rumor.key] = heard_from
        for listener in self._listeners:
            listener(rumor)
        return True

    def forget(self, key: str) -> None:
        """Drop a rumor that no longer matters."""
        self._rumors.discard(key)
        self._heard_from.pop(key, None)

    def news_for(self, incarnation: str, cursor: int) -> News:
        """Return what changed after a cursor, but what this run told itself.

        A later run of the same daemon has to hear it: it counts its versions on
        from there, and lower ones are refused.

        :param incarnation: of the peer; empty where it is not known yet.
        """
        news = News([], [])
        for rumor in self._rumors.after(cursor):
            heard_from = self._heard_from.get(rumor.key)
            if heard_from and heard_from == incarnation:
                continue
            if rumor.ByteSize() > LARGE_BYTES:
                news.offers.append(Offer(key=rumor.key, version=rumor.version))
            else:
                news.rumors.append(rumor)
        return news

    def lacking(self, offers: t.Iterable[Offer]) -> list[str]:
        """Return the keys of the offers that are newer than what is known."""
        return [offer.key for offer in offers if offer.version > self._version(offer)]

    def bodies(self, keys: t.Iterable[str]) -> list[Rumor]:
        """Return the rumors that were asked for."""
        found = (self._rumors.get(key) for key in keys)
        return [rumor for rumor in found if rumor is not None]

    def _version(self, offer: Offer) -> int:
        known = self._rumors.get(offer.key)
        return known.version if known is not None else 0

    def __len__(self) -> int:
        return len(self._rumors)
