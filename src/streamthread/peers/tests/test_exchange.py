"""Two peers over real ports: what one knows the other hears, once, whatever fails."""

import contextlib
import typing as t

import attrs
import hypothesis
import hypothesis.strategies as st
from tools.world import World

from streamthread.errors import PeerUnavailableError
from streamthread.leases import LeaseRecord
from streamthread.peers import peers_pb2 as pb
from streamthread.peers import PeerService
from streamthread.peers import PeerSettings
from streamthread.peers import RumorStore
from streamthread.peers.rumors import LARGE_BYTES

SETTINGS = PeerSettings(key="test", exchange_s=3600.0)


def _rumor(key: str, version: int, large: bool = False) -> pb.Rumor:
    reason = "x" * (LARGE_BYTES * 2 if large else 3)
    mark = pb.LeavingMark(instance_id=key, reason=reason)
    return pb.Rumor(key=key, version=version, leaving=mark)


async def _no_jobs(value: dict[str, t.Any]) -> dict[str, t.Any]:
    return {}


class Pair:
    """Two peers that exchange only when the test says so.

    :param keys: the secret that each of them was started with.
    """

    def __init__(self, keys: tuple[str, str] = ("test", "test")) -> None:
        world = World(2)
        self.known: list[LeaseRecord] = []
        self.services = [
            PeerService(
                attrs.evolve(SETTINGS, key=keys[number]),
                f"run-{number}",
                daemon.recorder,
                daemon.configuration,
                lambda: [],
                _no_jobs,
            )
            for number, daemon in enumerate(world.daemons)
        ]
        self.records = [daemon.leases.record for daemon in world.daemons]

    async def __aenter__(self) -> "Pair":
        for number, service in enumerate(self.services):
            await service.on_start()
            address = f"127.0.0.1:{service.port}"
            self.records[number] = attrs.evolve(
                self.records[number], peers_address=address
            )
        return self

    async def __aexit__(self, *details: object) -> None:
        for service in self.services:
            await service.on_stop()

    async def exchange(self, caller: int = 0) -> None:
        await self.services[caller].exchange(self.records[1 - caller])

    def versions(self, number: int, keys: t.Iterable[str]) -> list[int]:
        found = (self.services[number].rumors.get(key) for key in keys)
        return [rumor.version if rumor else 0 for rumor in found]


class TestExchange:
    async def test_carries_small_and_large_rumors_both_ways(self) -> None:
        async with Pair() as pair:
            pair.services[0].rumors.offer(_rumor("a", 1))
            pair.services[0].rumors.offer(_rumor("b", 2, large=True))
            pair.services[1].rumors.offer(_rumor("c", 3))
            pair.services[1].rumors.offer(_rumor("d", 4, large=True))
            await pair.exchange()
            for number in (0, 1):
                assert pair.versions(number, "abcd") == [1, 2, 3, 4]

    async def test_large_rumor_whose_call_failed_is_offered_again(self) -> None:
        async with Pair() as pair:
            first = pair.services[0]
            first.rumors.offer(_rumor("mine", 1, large=True))
            pair.services[1].rumors.offer(_rumor("theirs", 1, large=True))
            original = first._links.call
            calls = 0

            async def fail_second(*arguments: t.Any) -> t.Any:
                nonlocal calls
                calls += 1
                if calls == 2:
                    raise PeerUnavailableError("cut", remedy="wait")
                return await original(*arguments)

            first._links.call = fail_second  # type: ignore[method-assign]
            with contextlib.suppress(PeerUnavailableError):
                await pair.exchange()
            await pair.exchange()
            for number in (0, 1):
                assert pair.versions(number, ["mine", "theirs"]) == [1, 1]

    async def test_wrong_key_is_refused(self) -> None:
        async with Pair(keys=("other", "test")) as pair:
            stranger = pair.services[0]
            stranger.rumors.offer(_rumor("a", 1))
            with contextlib.suppress(PeerUnavailableError):
                await pair.exchange()
                raise AssertionError("it was let in")
            assert pair.versions(1, "a") == [0]


deliveries = st.lists(st.tuples(st.sampled_from("ab"), st.integers(1, 6)), max_size=30)


class TestRumorStore:
    @hypothesis.given(deliveries)
    def test_late_and_repeated_rumors_change_nothing(
        self, delivered: list[tuple[str, int]]
    ) -> None:
        store = RumorStore()
        for key, version in delivered:
            store.offer(_rumor(key, version))
        for key in "ab":
            versions = [version for name, version in delivered if name == key]
            known = store.get(key)
            assert (known.version if known else 0) == max(versions, default=0)

    def test_news_leaves_out_what_the_peer_told_itself(self) -> None:
        store = RumorStore()
        store.offer(_rumor("a", 1), heard_from="p")
        store.offer(_rumor("b", 1), heard_from="q")
        assert [rumor.key for rumor in store.news_for("p", 0).rumors] == ["b"]
