"""Decides whether this daemon is cut off from the rest of its deployment."""

import abc
import asyncio
import collections
import enum
import random
import typing as t

import attrs
import logbook
from mode import Service

from ..clocks import boot_s
from ..loops import Failures
from ..loops import LoopKeeper

__all__ = [
    "Contacts",
    "Reachability",
    "ReachabilityMonitor",
    "ReachabilitySettings",
    "Verdict",
    "choose_probed",
    "decide",
]

log = logbook.Logger("streamthread.reachability")


@attrs.frozen
class ReachabilitySettings:
    """Durations after which a daemon without contact counts as cut off.

    A daemon leaves after ``suspect_s`` and ``rounds`` times ``probe_s``, which is 0.85
    s with the check interval, or ``commit_age_s`` later in the hall of the holder.

    :param check_s: interval between checks while there is contact.
    :param recheck_s: pause between rounds of probes.
    :param suspect_s: peers are probed after this time without contact. Heartbeats
        arrive every 0.25 s, up to 50 ms late.
    :param commit_age_s: how much longer a commit of a holder in this hall counts. An
        idle holder commits every 0.4 s, and its heartbeats show every commit after 0.5
        s at most, or 0.55 s if one is late.
    :param probe_s: how long a round of probes waits for an answer. A peer answers on a
        new connection within two round trips, 20 ms between the sites.
    :param rounds: number of rounds without an answer after which the daemon is cut off.
    :param probed: number of peers that one round probes.
    :param delay_s: a round that ends later than ``probe_s`` by more than this proves
        nothing: this process was suspended or busy, and answers may be unread.
    """

    check_s: float = 0.05
    recheck_s: float = 0.01
    suspect_s: float = 0.4
    commit_age_s: float = 0.2
    probe_s: float = 0.2
    rounds: int = 2
    probed: int = 3
    delay_s: float = 0.1


@attrs.frozen
class Contacts:
    """When this daemon last had contact outside its hall, all on the boot clock.

    :param store_at_s: when the store last answered.
    :param commit_at_s: when a commit of a holder in this hall was last confirmed, as
        this daemon knows as the holder or from heartbeats.
    :param peers_at_s: when a peer in another hall last answered or sent a heartbeat.
    """

    store_at_s: float
    commit_at_s: float
    peers_at_s: float

    def last_at_s(self, settings: ReachabilitySettings) -> float:
        """Return the latest contact; a commit counts until the next one is due."""
        commit_at_s = self.commit_at_s + settings.commit_age_s
        return max(self.store_at_s, commit_at_s, self.peers_at_s)


class Verdict(enum.Enum):
    """Whether a daemon is connected; SUSPECT means that peers have to be probed."""

    CONNECTED = "connected"
    SUSPECT = "suspect"
    CUT_OFF = "cut-off"


def decide(
    contacts: Contacts,
    now_s: float,
    failed_rounds: int,
    peers_elsewhere: int,
    settings: ReachabilitySettings,
) -> Verdict:
    """Return whether a daemon is cut off.

    Without peers in other halls nothing can distinguish a daemon that is cut off from
    one whose store and holder are both gone, so that it stays.

    :param failed_rounds: the rounds of probes since the last contact that no peer
        answered.
    :param peers_elsewhere: the number of peers that are known to be in other halls.
    """
    if not peers_elsewhere:
        return Verdict.CONNECTED
    if now_s - contacts.last_at_s(settings) < settings.suspect_s:
        return Verdict.CONNECTED
    if failed_rounds < settings.rounds:
        return Verdict.SUSPECT
    return Verdict.CUT_OFF


def choose_probed(
    peers: t.Iterable[tuple[str, str]], count: int, rng: random.Random
) -> list[str]:
    """Return the addresses to probe: random peers, spread over as many halls as exist.

    :param peers: the hall and the address of each peer in another hall.
    """
    halls: dict[str, list[str]] = collections.defaultdict(list)
    for hall, address in sorted(peers):
        halls[hall].append(address)
    queues = [rng.sample(addresses, len(addresses)) for addresses in halls.values()]
    rng.shuffle(queues)
    chosen: list[str] = []
    while queues and len(chosen) < count:
        for queue in queues:
            chosen.append(queue.pop())
        queues = [queue for queue in queues if queue]
    return chosen[:count]


class Reachability(abc.ABC):
    """Tells the callers' port whether this daemon is cut off.

    It is cut off if it reaches neither the store nor the holder nor any peer in another
    hall.
    """

    @property
    @abc.abstractmethod
    def cut_off(self) -> bool:
        """Whether this daemon is cut off."""

    @abc.abstractmethod
    async def until_cut_off(self) -> None:
        """Return once this daemon is cut off."""


class ReachabilityMonitor(Service, Reachability):
    """Checks the daemon's contacts, and probes peers in other halls while in doubt.

    A daemon leaves only after rounds of probes without any answer, and one answer
    suffices for its return, so that it cannot leave and return in quick succession.

    :param get_contacts: returns the present contacts.
    :param get_peers: returns the hall and the address of each peer in another hall.
    :param probe: probes one peer and returns whether it answered within a time.
    :param on_cut_off: called when this daemon is cut off, before requests are answered
        for this reason.
    :param times_cut_off: how often this daemon has been cut off.
    """

    def __init__(
        self,
        get_contacts: t.Callable[[], Contacts],
        get_peers: t.Callable[[], t.Sequence[tuple[str, str]]],
        probe: t.Callable[[str, float], t.Awaitable[bool]],
        rng: random.Random,
        settings: ReachabilitySettings | None = None,
        on_cut_off: t.Callable[[], None] = lambda: None,
        failures: Failures | None = None,
    ) -> None:
        super().__init__()
        self._get_contacts = get_contacts
        self._get_peers = get_peers
        self._probe = probe
        self._rng = rng
        self._settings = settings or ReachabilitySettings()
        self._on_cut_off = on_cut_off
        self._keeper = LoopKeeper(failures or Failures())
        self._failed_rounds = 0
        self._left = asyncio.Event()
        self._left_at_s = 0.0
        self.times_cut_off = 0

    @property
    def cut_off(self) -> bool:
        """Whether this daemon is cut off."""
        return self._left.is_set()

    async def until_cut_off(self) -> None:
        """Return once this daemon is cut off."""
        await self._left.wait()

    @Service.task
    async def _run(self) -> None:
        await self.wait(self._keeper.keep("reachability", self._watch))

    async def _watch(self) -> None:
        while True:
            verdict = await self.check()
            connected = verdict is Verdict.CONNECTED
            settings = self._settings
            await asyncio.sleep(settings.check_s if connected else settings.recheck_s)

    async def check(self) -> Verdict:
        """Decide once, and probe peers if that is needed for the next decision."""
        contacts = self._get_contacts()
        peers = self._get_peers()
        verdict = decide(
            contacts, boot_s(), self._failed_rounds, len(peers), self._settings
        )
        self._set(verdict, contacts, len(peers))
        if verdict is Verdict.CONNECTED:
            self._failed_rounds = 0
        else:
            await self._probe_peers(peers)
        return verdict

    async def _probe_peers(self, peers: t.Sequence[tuple[str, str]]) -> None:
        began_at_s = boot_s()
        settings = self._settings
        probes = [
            asyncio.ensure_future(self._probe(address, settings.probe_s))
            for address in choose_probed(peers, settings.probed, self._rng)
        ]
        try:
            answers = await asyncio.gather(*probes)
        finally:
            for probe in probes:
                probe.cancel()
        late_s = boot_s() - began_at_s - settings.probe_s
        if any(answers):
            self._failed_rounds = 0
            return
        if late_s <= settings.delay_s:
            self._failed_rounds += 1
        # A refused connection ends a round early; the next one begins when it is due.
        await asyncio.sleep(max(0.0, -late_s))

    def _set(self, verdict: Verdict, contacts: Contacts, peers: int) -> None:
        now_s = boot_s()
        if verdict is Verdict.CUT_OFF and not self.cut_off:
            self._on_cut_off()
            self._left.set()
            self._left_at_s = now_s
            self.times_cut_off += 1
            log.warning("cut-off", extra=_describe(contacts, now_s, peers))
        elif verdict is Verdict.CONNECTED and self.cut_off:
            self._left.clear()
            away_s = round(now_s - self._left_at_s, 3)
            log.info(
                "connected-again",
                extra=_describe(contacts, now_s, peers) | {"away_s": away_s},
            )


def _describe(contacts: Contacts, now_s: float, peers: int) -> dict[str, t.Any]:
    """Return the log fields with the ages of all contacts."""
    return {
        "store_age_s": _age_s(contacts.store_at_s, now_s),
        "commit_age_s": _age_s(contacts.commit_at_s, now_s),
        "peers_age_s": _age_s(contacts.peers_at_s, now_s),
        "peers_elsewhere": peers,
    }


def _age_s(at_s: float, now_s: float) -> float | None:
    """Return the age of a contact, or None if there was none."""
    return round(now_s - at_s, 3) if at_s > 0 else None
