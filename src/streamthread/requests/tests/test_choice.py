"""Tests of the upstream choice, the slot queue and the retry budget."""

import asyncio
import collections

import hypothesis
import hypothesis.strategies as st
import pytest
from tools.world import World

from streamthread.clocks import boot_s
from streamthread.configuration import ServiceSpec
from streamthread.providers import Instance
from streamthread.requests import BorrowingBackoff
from streamthread.requests import choose
from streamthread.requests import Outcome
from streamthread.requests import own_slots
from streamthread.requests import Problem
from streamthread.requests import RetryBudget
from streamthread.requests import Router
from streamthread.requests import SlotQueue
from streamthread.requests import Upstream
from streamthread.requests import UpstreamHealth

Health = dict[str, UpstreamHealth]

loads = st.lists(st.integers(0, 8), min_size=1, max_size=8)


def _upstreams(count: int, limit: int = 8, own: int = 8) -> list[Upstream]:
    return [
        Upstream(f"u{number}", "", "hann" if number % 2 else "plateau", 1, limit, own)
        for number in range(count)
    ]


def _health(count: int) -> Health:
    return {f"u{number}": UpstreamHealth() for number in range(count)}


def _eject(health: UpstreamHealth, now_s: float) -> None:
    while not health.note_failure(now_s):
        pass


class TestChoose:
    @hypothesis.given(loads)
    def test_chooses_the_least_loaded_and_never_a_full_upstream(
        self, load: list[int]
    ) -> None:
        upstreams, health = _upstreams(len(load)), _health(len(load))
        for name, count in zip(health, load, strict=True):
            health[name].in_flight = count
        chosen = choose(upstreams, health, "hann", now_s=0.0)
        if min(load) >= 8:
            assert chosen is None
        else:
            assert chosen is not None
            assert health[chosen.upstream.instance_id].in_flight == min(load)

    def test_prefers_the_same_hall_among_equals(self) -> None:
        for _ in range(20):
            chosen = choose(_upstreams(4), _health(4), "hann", now_s=0.0)
            assert chosen is not None and chosen.upstream.hall == "hann"

    def test_ejects_a_failing_upstream_and_retries_it_later(self) -> None:
        upstreams, health = _upstreams(2), _health(2)
        _eject(health["u1"], 0.0)
        assert _chosen_ids(upstreams, health, 1.0) == {"u0"}
        assert _chosen_ids(upstreams, health, 3.0) == {"u0", "u1"}
        assert health["u1"].note_failure(3.0), "one more failure ejects it again"

    def test_never_ejects_more_than_half(self) -> None:
        upstreams, health = _upstreams(4), _health(4)
        for name in ("u0", "u1", "u2"):
            _eject(health[name], 0.0)
        assert _chosen_ids(upstreams, health, 1.0) == set(health)

    def test_own_slots_come_before_borrowed_ones(self) -> None:
        upstreams, health = _upstreams(2, own=1), _health(2)
        health["u0"].in_flight = 1
        own = choose(upstreams, health, "hann", now_s=0.0)
        assert own is not None and (own.upstream.instance_id, own.borrowed) == (
            "u1",
            False,
        )
        health["u1"].in_flight = 1
        borrowed = choose(upstreams, health, "hann", now_s=0.0)
        assert borrowed is not None and borrowed.borrowed
        assert choose(upstreams, health, "hann", may_borrow=False, now_s=0.0) is None

    def test_full_upstream_is_skipped_briefly(self) -> None:
        upstreams, health = _upstreams(2), _health(2)
        health["u0"].note_full(0.0)
        assert _chosen_ids(upstreams, health, 0.0) == {"u1"}
        assert _chosen_ids(upstreams, health, 1.0) == {"u0", "u1"}


class TestOwnSlots:
    @hypothesis.given(
        st.integers(1, 12), st.integers(1, 9), st.integers(1, 12), st.integers(0, 5)
    )
    def test_every_slot_belongs_to_exactly_one_entry(
        self, upstreams: int, slots: int, entries: int, salt: int
    ) -> None:
        names = tuple(f"u{salt}-{number:02d}" for number in range(upstreams))
        live = tuple(f"e{number:02d}" for number in range(entries))
        shares = [own_slots(names, slots, live, me) for me in live]
        for name in names:
            assert sum(share.get(name, 0) for share in shares) == slots
        totals = [sum(share.values()) for share in shares]
        assert max(totals) - min(totals) <= 1

    def test_entry_that_is_not_live_owns_nothing(self) -> None:
        assert own_slots(("u",), 8, ("a", "b"), "c") == {}


class TestBorrowing:
    def test_refusals_double_the_pause_and_success_ends_it(self) -> None:
        borrowing = BorrowingBackoff()
        assert borrowing.may_try(0.0)
        borrowing.note_refused(0.0)
        assert not borrowing.may_try(0.005)
        assert borrowing.may_try(0.01)
        borrowing.note_refused(1.0)
        assert not borrowing.may_try(1.015)
        borrowing.note_accepted()
        assert borrowing.may_try(1.015)


def _chosen_ids(upstreams: list[Upstream], health: Health, now_s: float) -> set[str]:
    chosen = [choose(upstreams, health, "surrey", now_s=now_s) for _ in range(60)]
    return {choice.upstream.instance_id for choice in chosen if choice is not None}


class TestSlotQueue:
    async def test_serves_in_order_of_arrival(self) -> None:
        queue = SlotQueue(limit=10, poll_s=0.01)
        free = collections.deque[int]()
        served: list[int] = []

        async def wait_for_slot(number: int) -> None:
            taken = await queue.acquire(lambda: free.popleft() if free else None, 1e12)
            assert taken is not None
            served.append(number)

        waiting = [asyncio.create_task(wait_for_slot(number)) for number in range(5)]
        for slot in range(5):
            await asyncio.sleep(0)
            free.append(slot)
            queue.release()
        await asyncio.gather(*waiting)
        assert served == [0, 1, 2, 3, 4]

    async def test_teams_are_served_by_weight(self) -> None:
        """Three teams send at once: 30 requests, 10, and 20 with double weight."""
        queue = SlotQueue(limit=100, poll_s=10.0)
        free = collections.deque[int]()
        served: list[str] = []

        async def wait_for_slot(team: str, weight: float) -> None:
            await queue.acquire(
                lambda: free.popleft() if free else None, 1e12, False, team, weight
            )
            served.append(team)

        sent = [("much", 1.0)] * 30 + [("little", 1.0)] * 10 + [("heavy", 2.0)] * 20
        waiting = [
            asyncio.create_task(wait_for_slot(team, weight)) for team, weight in sent
        ]
        await asyncio.sleep(0)
        while len(served) < len(sent):
            free.append(1)
            queue.release()
            await asyncio.sleep(0)
        await asyncio.gather(*waiting)
        first = collections.Counter(served[:40])
        shares = [first["much"], first["little"], first["heavy"] / 2]
        jain = sum(shares) ** 2 / (3 * sum(share**2 for share in shares))
        assert jain >= 0.99

    async def test_refused_request_goes_first(self) -> None:
        queue = SlotQueue(limit=10, poll_s=10.0)
        free = collections.deque[int]()
        served: list[str] = []

        async def wait_for_slot(name: str, in_front: bool) -> None:
            await queue.acquire(
                lambda: free.popleft() if free else None, 1e12, in_front
            )
            served.append(name)

        tasks = [asyncio.create_task(wait_for_slot("first", False))]
        await asyncio.sleep(0)
        tasks.append(asyncio.create_task(wait_for_slot("refused", True)))
        await asyncio.sleep(0)
        free.extend([1, 2])
        queue.release()
        await asyncio.gather(*tasks)
        assert served == ["refused", "first"]

    async def test_gives_up_at_the_deadline(self) -> None:
        queue = SlotQueue(limit=10, poll_s=0.01)
        loop = asyncio.get_running_loop()
        assert await queue.acquire(lambda: None, loop.time() + 0.05) is None
        assert len(queue) == 0

    async def test_expected_wait_follows_the_drain_rate(self) -> None:
        now_s = 0.0
        queue = SlotQueue(limit=10, poll_s=0.001, clock_s=lambda: now_s)
        free: list[int] = []
        tasks = [
            asyncio.create_task(
                queue.acquire(lambda: free.pop() if free else None, 1e9)
            )
            for _ in range(6)
        ]
        await asyncio.sleep(0)
        for _ in range(4):
            now_s += 2.0
            before = len(queue)
            free.append(1)
            queue.release()
            while len(queue) == before:
                await asyncio.sleep(0)
        assert queue.expected_wait_s() == 3 * 2.0
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class TestDeadlines:
    async def test_request_that_cannot_end_by_its_deadline_is_rejected_at_once(
        self,
    ) -> None:
        """Requests run for a second and this one has half a second left.

        It would occupy a slot without an answer in time.
        """
        world = World(1)
        daemon = world.daemons[0]
        world.membership.put(
            Instance("u", "hann", "r", address="127.0.0.1:1", labels={"s": "a"})
        )
        await world.settle()
        await world.apply(
            {
                "pool/a": {"selector": "s = a", "min_available": 0},
                "service/a": {"pool": "a", "slots_per_instance": 1},
            }
        )
        await world.settle()
        router = Router(
            "entry-0",
            "hann",
            daemon.configuration,
            daemon.fleet.catalog,
            daemon.fleet.views,
            daemon.rumors,
            daemon.recorder,
            lambda: ("entry-0",),
            lambda: None,
        )
        spec = daemon.configuration.active.spec("service/a", ServiceSpec)
        assert spec is not None
        slot = await router.acquire("a", spec, boot_s() + 60, set())
        router.note_success(slot, 1.0)
        with pytest.raises(Problem) as caught:
            await router.acquire("a", spec, boot_s() + 0.5, set())
        assert caught.value.outcome is Outcome.NOT_RUN
        assert "deadline" in caught.value.detail


class TestRetryBudget:
    def test_retries_stay_a_fraction_of_requests(self) -> None:
        budget = RetryBudget(fraction=0.1, reserve=5.0)
        taken = 0
        for _ in range(1000):
            budget.note_request()
            taken += budget.try_spend()
        assert taken <= 1000 * 0.1 + 5
