"""A store that is slower than any seen before still takes commits: nobody stops work.

A commit takes 9 ms, 0.8 s in a store 90 times slower: twice that is longer than one
is usually relied on.
"""

import asyncio

from .support import job
from .support import POLL_INTERVAL_S
from .support import running_cell
from .support import until

SLOW_S = 0.8
HAND_INS = 12
GAP_S = 0.25


class TestStoreThatIsSlowForAll:
    async def test_has_hand_ins_accepted_by_one_holder(self) -> None:
        async with running_cell({"desk": 2}, daemon_count=2) as cell:
            daemon = await cell.until_ready()
            holder = daemon.holder
            assert holder is not None
            at = cell.daemons.index(daemon)
            caller = cell.caller()
            cell.world.store.faults.delay_s = SLOW_S
            # What the holder learns from: two commits.
            await until(lambda: holder.log.commit_s > SLOW_S, "a slow commit")
            first = holder.log.sequence
            await until(lambda: holder.log.sequence > first + 1, "two more")
            calls = []
            for number in range(HAND_INS):
                job_id = f"{number:016x}"
                calls.append(asyncio.ensure_future(caller.submit(job_id, job(), at)))
                await asyncio.sleep(GAP_S)
            assert await asyncio.gather(*calls) == [200] * HAND_INS
            assert daemon.holder is holder
            cell.world.store.faults.delay_s = 0.0
            usual_s = daemon.settings.times.trust_s
            await until(lambda: holder.log.term_s == usual_s, "the usual term")
            for number in range(HAND_INS):
                await caller.until_state(f"{number:016x}", "completed")


class TestSilentHolder:
    async def test_is_left_alone_for_as_long_as_its_last_commit_says(self) -> None:
        async with running_cell({"desk": 1}, daemon_count=2) as cell:
            daemon = await cell.until_ready()
            holder = daemon.holder
            assert holder is not None
            follower = next(d for d in cell.daemons if d is not daemon)
            cell.world.store.faults.delay_s = SLOW_S
            usual_s = daemon.settings.times.trust_s
            await until(lambda: holder.log.term_s > usual_s, "a longer term")
            watch = follower.lease._watch
            head = await watch._read_head()
            assert head is not None
            while head.term_s <= usual_s:
                await asyncio.sleep(POLL_INTERVAL_S)
                head = await watch._read_head()
                assert head is not None
            assert head.term_s <= daemon.settings.times.most_trust_s
