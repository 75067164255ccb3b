"""A store that is slower than ever before still accepts commits.

A commit takes 9 ms, and 0.8 s if the store is 90 times slower. Twice that time is
longer than the usual lease validity after a commit, but no daemon may stop its work.
"""

import asyncio

from .support import job
from .support import POLL_INTERVAL_S
from .support import running_cell
from .support import until

STORE_DELAY_S = 0.8
SUBMISSIONS = 12
SUBMISSION_INTERVAL_S = 0.25


class TestStoreThatIsSlowForAll:
    async def test_does_not_replace_the_holder_that_accepts_submissions(self) -> None:
        async with running_cell({"desk": 2}, daemon_count=2) as cell:
            daemon = await cell.until_ready()
            holder = daemon.holder
            assert holder is not None
            at = cell.daemons.index(daemon)
            caller = cell.caller()
            cell.world.store.faults.delay_s = STORE_DELAY_S
            # The holder adapts after two commits.
            await until(lambda: holder.log.commit_s > STORE_DELAY_S, "a slow commit")
            first = holder.log.sequence
            await until(lambda: holder.log.sequence > first + 1, "two more")
            calls = []
            for number in range(SUBMISSIONS):
                job_id = f"{number:016x}"
                calls.append(asyncio.ensure_future(caller.submit(job_id, job(), at)))
                await asyncio.sleep(SUBMISSION_INTERVAL_S)
            assert await asyncio.gather(*calls) == [200] * SUBMISSIONS
            assert daemon.holder is holder
            cell.world.store.faults.delay_s = 0.0
            usual_s = daemon.settings.times.trust_s
            await until(lambda: holder.log.term_s == usual_s, "the usual term")
            for number in range(SUBMISSIONS):
                await caller.until_state(f"{number:016x}", "completed")


class TestSilentHolder:
    async def test_is_not_replaced_within_the_term_of_its_last_commit(self) -> None:
        async with running_cell({"desk": 1}, daemon_count=2) as cell:
            daemon = await cell.until_ready()
            holder = daemon.holder
            assert holder is not None
            follower = next(d for d in cell.daemons if d is not daemon)
            cell.world.store.faults.delay_s = STORE_DELAY_S
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
