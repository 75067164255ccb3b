"""When a daemon counts as cut off, and how it notices."""

import asyncio
import random

import pytest

from streamthread.clocks import boot_s
from streamthread.gateway.reachability import choose_probed
from streamthread.gateway.reachability import Contacts
from streamthread.gateway.reachability import decide
from streamthread.gateway.reachability import ReachabilityMonitor
from streamthread.gateway.reachability import ReachabilitySettings
from streamthread.gateway.reachability import Verdict

SETTINGS = ReachabilitySettings()
QUICK = ReachabilitySettings(check_s=0.001, probe_s=0.02, delay_s=0.5)
NOW_S = 1000.0
LONG_S = 10.0
LONG_AGO_S = NOW_S - LONG_S
RECENTLY_S = NOW_S - 0.1
PEERS = [("b", "b:1"), ("b", "b:2"), ("c", "c:1")]


def _decide(
    contacts: Contacts, failed_rounds: int = SETTINGS.rounds, peers: int = 3
) -> Verdict:
    return decide(contacts, NOW_S, failed_rounds, peers, SETTINGS)


class TestDecision:
    def test_is_cut_off_without_any_contact_and_answer(self) -> None:
        contacts = Contacts(LONG_AGO_S, LONG_AGO_S, LONG_AGO_S)
        assert _decide(contacts, failed_rounds=0) is Verdict.SUSPECT
        assert _decide(contacts, failed_rounds=1) is Verdict.SUSPECT
        assert _decide(contacts) is Verdict.CUT_OFF

    @pytest.mark.parametrize("field", ["store_at_s", "commit_at_s", "peers_at_s"])
    def test_is_connected_with_any_recent_contact(self, field: str) -> None:
        ages = {"store_at_s": LONG_AGO_S, "commit_at_s": LONG_AGO_S}
        contacts = Contacts(**(ages | {"peers_at_s": LONG_AGO_S} | {field: RECENTLY_S}))
        assert _decide(contacts) is Verdict.CONNECTED

    # Guards against probes all the time in the hall of an idle holder, whose commits
    # are the only contact between two answers of the store.
    def test_does_not_suspect_an_idle_holder_between_its_commits(self) -> None:
        commit_at_s = NOW_S - 0.55
        contacts = Contacts(LONG_AGO_S, commit_at_s, LONG_AGO_S)
        assert _decide(contacts, failed_rounds=0) is Verdict.CONNECTED

    # Guards against a deployment in one hall that leaves when its store is away.
    def test_is_connected_where_no_peer_is_elsewhere(self) -> None:
        contacts = Contacts(LONG_AGO_S, LONG_AGO_S, LONG_AGO_S)
        assert _decide(contacts, peers=0) is Verdict.CONNECTED

    def test_takes_about_a_second(self) -> None:
        probes_s = SETTINGS.rounds * (SETTINGS.probe_s + SETTINGS.check_s)
        assert SETTINGS.suspect_s + probes_s <= 1.0


class TestProbedPeers:
    def test_are_spread_over_halls(self) -> None:
        peers = [("b", f"b:{n}") for n in range(20)] + [("c", "c:1"), ("d", "d:1")]
        for seed in range(10):
            chosen = choose_probed(peers, 3, random.Random(seed))
            assert sorted(address[0] for address in chosen) == ["b", "c", "d"]

    def test_are_limited_and_distinct(self) -> None:
        peers = [("b", f"b:{n}") for n in range(20)]
        chosen = choose_probed(peers, 3, random.Random(1))
        assert len(set(chosen)) == 3
        assert choose_probed(peers[:1], 3, random.Random(1)) == ["b:0"]


class _Network:
    """The contacts of one daemon, which a test changes."""

    def __init__(self) -> None:
        self.contact_at_s = boot_s() - LONG_S
        self.answers = False
        self.suspended_s = 0.0
        self.probes: list[str] = []
        self.monitor = ReachabilityMonitor(
            self.contacts, lambda: PEERS, self.probe, random.Random(1), QUICK
        )

    def contacts(self) -> Contacts:
        return Contacts(self.contact_at_s, 0.0, 0.0)

    async def probe(self, address: str, timeout_s: float) -> bool:
        self.probes.append(address)
        if self.answers:
            self.contact_at_s = boot_s()
            return True
        await asyncio.sleep(timeout_s + self.suspended_s)
        return False


class TestMonitor:
    async def test_leaves_after_unanswered_probes_and_returns_with_a_contact(
        self,
    ) -> None:
        network = _Network()
        monitor = network.monitor
        for _ in range(QUICK.rounds):
            await monitor.check()
            assert not monitor.cut_off
        await monitor.check()
        assert monitor.cut_off and monitor.times_cut_off == 1
        await asyncio.wait_for(monitor.until_cut_off(), 1.0)
        network.contact_at_s = boot_s()
        await monitor.check()
        assert not monitor.cut_off

    async def test_stays_if_one_peer_answers(self) -> None:
        network = _Network()
        network.answers = True
        for _ in range(5):
            network.contact_at_s = boot_s() - LONG_S
            await network.monitor.check()
        assert not network.monitor.cut_off

    async def test_probes_nobody_while_connected(self) -> None:
        network = _Network()
        network.contact_at_s = boot_s()
        await network.monitor.check()
        assert not network.probes

    async def test_probes_on_after_it_has_left(self) -> None:
        network = _Network()
        for _ in range(QUICK.rounds + 1):
            await network.monitor.check()
        network.answers = True
        await network.monitor.check()
        await network.monitor.check()
        assert not network.monitor.cut_off

    # Guards against a daemon that was suspended and leaves with unread answers.
    async def test_does_not_count_rounds_that_end_late(self) -> None:
        network = _Network()
        network.suspended_s = QUICK.delay_s + 0.05
        for _ in range(QUICK.rounds + 1):
            await network.monitor.check()
        assert not network.monitor.cut_off
