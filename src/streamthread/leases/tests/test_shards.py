"""Rendezvous hashing, and planning which shards to acquire or release."""

import hypothesis
import hypothesis.strategies as st

from streamthread.leases import first_ranked
from streamthread.leases import LeaseRecord
from streamthread.leases import plan_shards
from streamthread.leases import ShardState

names = st.sets(st.text("abcdef", min_size=1, max_size=4), min_size=1, max_size=9)


def _record(name: str, stopping: bool = False) -> LeaseRecord:
    return LeaseRecord(name, f"run-{name}", 1, "", "", "hann", stopping)


class TestFirstRanked:
    @hypothesis.given(names, st.integers(0, 500))
    def test_losing_another_daemon_moves_nothing(
        self, daemons: set[str], shard: int
    ) -> None:
        first = first_ranked(daemons, shard)
        for removed in daemons - {first}:
            assert first_ranked(daemons - {removed}, shard) == first


class TestPlanShards:
    @hypothesis.given(names, st.integers(1, 64))
    def test_free_shards_are_planned_by_exactly_one(
        self, daemons: set[str], count: int
    ) -> None:
        live = [_record(name) for name in daemons]
        states = [ShardState(shard, 0, "", "") for shard in range(count)]
        planned = [
            state.shard
            for me in live
            for state in plan_shards(states, me, live).acquire
        ]
        assert sorted(planned) == list(range(count))

    def test_shard_of_another_live_daemon_is_left_alone(self) -> None:
        live = [_record("a"), _record("b")]
        states = [ShardState(shard, 1, "a", "run-a") for shard in range(20)]
        assert plan_shards(states, live[1], live).acquire == ()

    def test_shard_of_an_earlier_incarnation_is_free(self) -> None:
        live = [_record("a")]
        states = [ShardState(0, 1, "a", "an-earlier-run")]
        assert plan_shards(states, live[0], live).acquire == tuple(states)

    def test_stopping_daemon_releases_everything(self) -> None:
        me = _record("a", stopping=True)
        states = [ShardState(shard, 1, "a", "run-a") for shard in range(5)]
        assert len(plan_shards(states, me, [me, _record("b")]).release) == 5
