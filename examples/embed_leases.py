"""Embeds the coordination parts: leases, epochs and configuration as a library.

Two workers of some other program share out the shards of a key space. Each may
write about a subject only while it holds the subject's shard, and every write
carries the shard's epoch, so a worker that was taken over cannot write any more.

Run it: ``python examples/embed_leases.py``
"""

import asyncio

from streamthread.configuration import Change
from streamthread.configuration import ConfigurationService
from streamthread.configuration import Proposal
from streamthread.leases import LeaseRecord
from streamthread.leases import LeaseService
from streamthread.leases import LeaseSettings
from streamthread.leases import new_incarnation
from streamthread.providers import memory_platform
from streamthread.providers import Platform
from streamthread.providers import Transaction
from streamthread.providers import Write
from streamthread.timeline import Recorder

SETTINGS = LeaseSettings(shard_count=8, renew_s=0.1, term_s=1.0, margin_s=0.3)
SUBJECTS = [f"ledger/{number}" for number in range(8)]


class Worker:
    """One participant: a lease, and the configuration in force."""

    def __init__(self, name: str, platform: Platform) -> None:
        self.name = name
        recorder = Recorder(name)
        record = LeaseRecord(name, new_incarnation(), 0, "", "", "")
        self.tables = platform.tables
        self.leases = LeaseService(platform.tables, recorder, record, SETTINGS)
        self.configuration = ConfigurationService(
            platform, self.leases.committer, recorder, poll_s=0.1
        )

    async def write(self, subject: str, version: int) -> bool:
        """Write a row about a subject, as its holder; return whether it took."""
        fence = self.leases.fence(subject)
        write = Write(subject, {"by": self.name}, version)
        result = await self.leases.committer.commit(Transaction((write,), (fence,)))
        return result.committed


async def wait_until_shared(workers: list[Worker]) -> None:
    """Wait until every shard is held by one worker and both hold some."""
    while True:
        held = [len(worker.leases.held_shards()) for worker in workers]
        if sum(held) == SETTINGS.shard_count and all(held):
            return
        await asyncio.sleep(0.05)


async def main() -> None:
    """Share out, write, hand over, and show that a late write is refused."""
    platform = memory_platform()
    workers = [Worker("first", platform), Worker("second", platform)]
    for worker in workers:
        await worker.leases.start()
        await worker.configuration.start()
    await wait_until_shared(workers)
    first, second = workers
    subject = next(name for name in SUBJECTS if first.leases.holds(name))
    print("first writes:", await first.write(subject, 0))
    late = first.leases.fence(subject)
    await first.leases.hand_over()
    await first.leases.stop()
    while not second.leases.holds(subject):
        await asyncio.sleep(0.05)
    print("second writes:", await second.write(subject, 1))
    write = Write(subject, {"by": "first, late"}, 2)
    refused = await platform.tables.commit(Transaction((write,), (late,)))
    print("late write of the first:", refused.outcome.value)
    change = Change("team/audits", {"cores_quota": 8})
    generation = await second.configuration.propose(Proposal(0, (change,)))
    while first.configuration.active.generation < generation:
        await asyncio.sleep(0.05)
    print("in force at both: generation", generation)
    await second.leases.stop()
    for worker in workers:
        await worker.configuration.stop()


if __name__ == "__main__":
    asyncio.run(main())
