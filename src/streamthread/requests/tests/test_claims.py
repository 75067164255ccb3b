"""Claims in batches.

Each key is claimed at most once, also when the store is down or its replies are lost.
"""

import asyncio
import collections

import attrs
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


async def _service(
    tables: MemoryTables, settings: ClaimSettings = SETTINGS
) -> tuple[FaultyTables, ClaimService]:
    faulty_tables = FaultyTables(tables, lambda faulty_tables, sent: None)
    clock = FakeClock()
    committer = Committer(faulty_tables, 2.0, clock, clock.sleep)
    service = ClaimService(faulty_tables, committer, settings, lambda: 1)
    await service.start()
    return faulty_tables, service


async def _until_written(service: ClaimService) -> None:
    """Return once a service with one commit at a time has written what it has."""
    await service.claim("later", _claim())
    await service.claim("last", _claim())
    assert not service.pending_outcomes


class TestClaim:
    @hypothesis.settings(max_examples=40)
    @hypothesis.given(requests, faults)
    def test_each_key_is_claimed_at_most_once(
        self, claim_requests: list[tuple[int, str]], fault_sequence: list[str]
    ) -> None:
        async def scenario() -> None:
            tables = MemoryTables()
            entries = [await _service(tables) for _ in range(3)]
            claim_counts: collections.Counter[str] = collections.Counter()

            async def claim_once(entry: int, key: str) -> None:
                try:
                    result = await entries[entry][1].claim(key, _claim())
                except StoreUnavailableError:
                    return
                if result.existing is None:
                    claim_counts[key] += 1

            tasks = [
                asyncio.create_task(claim_once(entry, key))
                for entry, key in claim_requests
            ]
            for number, fault in enumerate(fault_sequence):
                faulty_tables = entries[number % 3][0]
                faulty_tables.down = fault == "down"
                faulty_tables.lose_replies += fault == "lose"
                await asyncio.sleep(0)
            for faulty_tables, _ in entries:
                faulty_tables.down = False
            await asyncio.gather(*tasks)
            for _, service in entries:
                await service.stop()
            assert all(count == 1 for count in claim_counts.values())

        asyncio.run(scenario())

    async def test_second_claim_returns_the_outcome_of_the_first(self) -> None:
        tables = MemoryTables()
        _, first = await _service(tables)
        _, second = await _service(tables)
        claimed = await first.claim("k", _claim())
        assert claimed.existing is None
        done = Claim("d", "entry", 0.0, ClaimState.DONE, 200, "text/plain", "6869")
        first.record_outcome("k", done, claimed.version)
        while first.pending_outcomes:
            await asyncio.sleep(0.01)
        while (existing_claim := (await second.claim("k", _claim())).existing) != done:
            assert existing_claim is not None
            await asyncio.sleep(0.01)
        await first.stop()
        await second.stop()

    async def test_key_that_was_not_run_may_be_claimed_again(self) -> None:
        tables = MemoryTables()
        _, service = await _service(tables)
        claimed = await service.claim("k", _claim())
        not_run = Claim("d", "entry", 0.0, ClaimState.NOT_RUN)
        service.record_outcome("k", not_run, claimed.version)
        while (again := await service.claim("k", _claim())).existing is not None:
            await asyncio.sleep(0.01)
        assert again.version > claimed.version
        await service.stop()

    async def test_concurrent_claims_share_commits(self) -> None:
        tables = MemoryTables()
        _, service = await _service(tables)
        keys = [claim_key("s", "t", str(number)) for number in range(150)]
        results = await asyncio.gather(*(service.claim(key, _claim()) for key in keys))
        assert all(result.existing is None for result in results)
        assert service.commits <= 4
        await service.stop()

    # Guards against a lost claim that is recorded as not run over the claim of another
    # daemon, so that a third request with the key runs again.
    async def test_lost_claim_leaves_the_claim_of_another_daemon(self) -> None:
        tables = MemoryTables()
        settings = attrs.evolve(SETTINGS, parallel_commits=1)
        faulty_tables, loser = await _service(tables, settings)
        _, other = await _service(tables)
        faulty_tables.lose_commits = True
        lost = asyncio.ensure_future(loser.claim("k", _claim()))
        others_claim = Claim("d", "other", 0.0)
        assert (await other.claim("k", others_claim)).existing is None
        with pytest.raises(StoreUnavailableError):
            await lost
        faulty_tables.lose_commits = False
        await _until_written(loser)
        again = await other.claim("k", others_claim)
        assert again.existing == others_claim
        await loser.stop()
        await other.stop()

    async def test_claim_fails_while_the_store_is_down(self) -> None:
        faulty_tables, service = await _service(MemoryTables())
        faulty_tables.down = True
        with pytest.raises(StoreUnavailableError):
            await service.claim("k", _claim())
        await service.stop()
