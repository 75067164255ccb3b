"""Claims in groups: one winner a key, whatever is lost on the way."""

import asyncio
import collections

import hypothesis
import hypothesis.strategies as st
import pytest
from tools.world import FakeClock
from tools.world import FaultyTables

from streamthread.errors import StoreUnavailableError
from streamthread.leases import Committer
from streamthread.providers import MemoryTables
from streamthread.requests import Claim
from streamthread.requests import claim_key
from streamthread.requests import ClaimService
from streamthread.requests import ClaimSettings
from streamthread.requests import ClaimState

SETTINGS = ClaimSettings(writes_per_s=1e6, give_up_s=2.0)

faults = st.lists(st.sampled_from(["lose", "down", "up", "none"]), max_size=12)
requests = st.lists(
    st.tuples(st.integers(0, 2), st.sampled_from(["k1", "k2", "k3"])),
    min_size=1,
    max_size=12,
)


def _claim(digest: str = "d") -> Claim:
    return Claim(digest, "entry", 0.0)


async def _service(tables: MemoryTables) -> tuple[FaultyTables, ClaimService]:
    way = FaultyTables(tables, lambda way, sent: None)
    clock = FakeClock()
    committer = Committer(way, 2.0, clock, clock.sleep)
    service = ClaimService(way, committer, SETTINGS, lambda: 1)
    await service.start()
    return way, service


class TestClaim:
    @hypothesis.settings(max_examples=40)
    @hypothesis.given(requests, faults)
    def test_each_key_is_won_at_most_once(
        self, wanted: list[tuple[int, str]], shown: list[str]
    ) -> None:
        async def scenario() -> None:
            tables = MemoryTables()
            entries = [await _service(tables) for _ in range(3)]
            wins: collections.Counter[str] = collections.Counter()

            async def one(entry: int, key: str) -> None:
                try:
                    result = await entries[entry][1].claim(key, _claim())
                except StoreUnavailableError:
                    return
                if result.existing is None:
                    wins[key] += 1

            tasks = [asyncio.create_task(one(entry, key)) for entry, key in wanted]
            for number, fault in enumerate(shown):
                way = entries[number % 3][0]
                way.down = fault == "down"
                way.lose_replies += fault == "lose"
                await asyncio.sleep(0)
            for way, _ in entries:
                way.down = False
            await asyncio.gather(*tasks)
            for _, service in entries:
                await service.stop()
            assert all(count == 1 for count in wins.values())

        asyncio.run(scenario())

    async def test_second_one_learns_the_state_of_the_first(self) -> None:
        tables = MemoryTables()
        _, first = await _service(tables)
        _, second = await _service(tables)
        won = await first.claim("k", _claim())
        assert won.existing is None
        done = Claim("d", "entry", 0.0, ClaimState.DONE, 200, "text/plain", "6869")
        first.record_outcome("k", done, won.version)
        while first.pending_outcomes:
            await asyncio.sleep(0.01)
        while (known := (await second.claim("k", _claim())).existing) != done:
            assert known is not None
            await asyncio.sleep(0.01)
        await first.stop()
        await second.stop()

    async def test_key_that_was_not_run_may_be_claimed_again(self) -> None:
        tables = MemoryTables()
        _, service = await _service(tables)
        won = await service.claim("k", _claim())
        given_up = Claim("d", "entry", 0.0, ClaimState.NOT_RUN)
        service.record_outcome("k", given_up, won.version)
        while (again := await service.claim("k", _claim())).existing is not None:
            await asyncio.sleep(0.01)
        assert again.version > won.version
        await service.stop()

    async def test_concurrent_claims_share_commits(self) -> None:
        tables = MemoryTables()
        _, service = await _service(tables)
        keys = [claim_key("s", "t", str(number)) for number in range(150)]
        results = await asyncio.gather(*(service.claim(key, _claim()) for key in keys))
        assert all(result.existing is None for result in results)
        assert service.commits <= 4
        await service.stop()

    async def test_store_that_is_down_refuses(self) -> None:
        way, service = await _service(MemoryTables())
        way.down = True
        with pytest.raises(StoreUnavailableError):
            await service.claim("k", _claim())
        await service.stop()
