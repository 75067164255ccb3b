"""Case 2: one large job makes each holder fail, one after the other.

Two pools. Small jobs come to the queue `other` every second. A large job comes to the
queue `desk`: 2,200 work items of 60 s that all fit there at once. With TROUBLE=0 the
same work items come as 22 jobs of 100. The platform's store takes rows of 65,536 bytes
at most, as the pages and the settings say.
"""

import asyncio
import json
import pathlib
import sys

from common.daemons import Client
from common.daemons import start_daemons
from common.platform import Platform
from common.play import CaseError
from common.play import play
from common.play import troubled
from common.record import Record

ITEMS = 2200
PART = 100
SMALL_JOBS = 24
FINISH_S = 14.0

LARGE_WORK = {"work_s": 60.0, "cpu": 80, "mem": 50}
LARGE_STEP = {"cpu": 80, "memMb": 50, "estimateMs": 60000}
SMALL_WORK = {"work_s": 1.0, "cpu": 1000, "mem": 500}
SMALL_STEP = {"count": 2, "cpu": 1000, "memMb": 500, "estimateMs": 1000}


def _small() -> dict[str, object]:
    return {"spec": json.dumps(SMALL_WORK), "steps": [SMALL_STEP]}


def _large(count: int) -> dict[str, object]:
    return {"spec": json.dumps(LARGE_WORK), "steps": [{**LARGE_STEP, "count": count}]}


async def _hand_in_work(client: Client, record: Record) -> None:
    """Hand in the large job, or the same work items in parts."""
    parts = [ITEMS] if troubled() else [PART] * (ITEMS // PART)
    record.line("large-work", shown=True, jobs=len(parts), items=sum(parts))
    for number, count in enumerate(parts):
        job_id = f"{0xA000 + number:016x}"
        if not await client.submit("desk", job_id, _large(count)):
            raise CaseError(f"{job_id} was not accepted")


async def _play(folder: pathlib.Path, record: Record) -> list[str]:
    desk = [("a", f"r{1 + n // 4}") for n in range(12)]
    platform = Platform(record, {"desk": desk, "other": [("a", "r9")] * 4})
    daemons = []
    client = None
    try:
        await platform.open()
        daemons = await start_daemons(3, platform, folder, record)
        client = Client(daemons, record)
        await asyncio.sleep(4.0)
        for number in range(1, 4):
            if not await client.submit("other", f"{number:016x}", _small()):
                raise CaseError(f"job {number} was not accepted")
            await asyncio.sleep(1.0)
        await _hand_in_work(client, record)
        accepted = []
        for number in range(4, 4 + SMALL_JOBS):
            if await client.submit("other", f"{number:016x}", _small()):
                accepted.append(f"{number:016x}")
            await asyncio.sleep(1.0)
        record.line("traffic-ends", shown=True, accepted=len(accepted))
        await asyncio.sleep(FINISH_S)
        broken = await _judge(platform, client, record, accepted)
        failed = sum(daemon.logged("holder-failed") for daemon in daemons)
        record.line("holders-that-failed", shown=True, count=failed)
        record.line("rows-refused", shown=True, count=len(platform.store.refused))
        return broken
    finally:
        if client is not None:
            await client.close()
        for daemon in daemons:
            await daemon.end()
        await platform.close()


async def _judge(
    platform: Platform, client: Client, record: Record, accepted: list[str]
) -> list[str]:
    """Return which small jobs are not answered, or have not run."""
    replies = await asyncio.gather(
        *(client.state("other", job_id) for job_id in accepted)
    )
    broken = []
    for job_id, reply in zip(accepted, replies, strict=True):
        record.line(
            "at-the-end", shown=True, job=job_id, status=reply.status, state=reply.state
        )
        starts = [
            task
            for runner in platform.lives
            for task, _, _ in runner.started
            if task.startswith(job_id)
        ]
        if reply.status != 200:
            broken.append(f"{job_id} was accepted, and got no answer in five tries")
        elif not starts:
            broken.append(f"{job_id} was accepted, and has had nothing running")
    return broken


if __name__ == "__main__":
    sys.exit(play(_play, __file__))
