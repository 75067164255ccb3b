"""A cell in real processes against the stand-in platform, with checks.

Three daemons; two client accounts; a job of two steps; the holder is killed while its
tasks run, and the account's limit is kept; a key is taken away; a wave of upkeep takes
all machines. Exit status 0 only if every check held.
"""

import asyncio
import json
import pathlib
import signal
import sys
import tempfile
import time
import typing as t

import aiohttp

from streamthread.standins.cell import CellWorld
from tools.soak_daemon import Daemon

POOLS = {"desk": 3, "spare": 2}
DAEMONS = 3
LIMIT_S = 30.0
JOB_ID = "5c0e7a21d94b36f8"
OTHER_ID = "5c0e7a21d94b36f9"

ACCOUNTS_FILE = pathlib.Path(__file__).parents[1] / "examples" / "accounts.json"

MOST_RUNNING = 2
"""Tasks of the account whose job it is: its limit is two cores, a task takes one."""


class _Demo:
    """The steps, in order."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.world = CellWorld(POOLS)
        self.accounts = json.loads(ACCOUNTS_FILE.read_text())["tenants"]
        self.world.accounts = self.accounts
        self.most_running = 0
        self.key, self.second_key = self.accounts[0]["apiKeys"]
        self.daemons = [
            Daemon(f"daemon-{n}", self.world, folder) for n in range(DAEMONS)
        ]

    async def run(self) -> None:
        await self.world.open()
        try:
            for daemon in self.daemons:
                await daemon.prepare()
            await asyncio.gather(*(daemon.start() for daemon in self.daemons))
            _say(f"{DAEMONS} daemons listen, {len(self.world.runners)} runners live")
            async with aiohttp.ClientSession() as session:
                await self._steps(session)
        finally:
            for daemon in self.daemons:
                await daemon.close()
            await self.world.close()

    async def _steps(self, session: aiohttp.ClientSession) -> None:
        await self._until(lambda: self._submit(session), "the job is accepted")
        status = await self._status(session, "a-strange-key", OTHER_ID)
        assert status == 401, f"a stranger is answered {status}"
        _say("a stranger is refused: 401")
        await self._until(self._two_run, "two of its four tasks run: the limit")
        holder = await self._holder(session)
        holder.signal(signal.SIGKILL)
        await holder.ended()
        _say(f"{holder.name}, which held the cell, is killed")
        await self._until(
            lambda: self._is_completed(session), "another daemon completes the job"
        )
        assert self.most_running <= MOST_RUNNING, f"{self.most_running} ran at once"
        _say(f"never more than {MOST_RUNNING} of the account's tasks ran at once")
        runs = [started.run for started in self.world.started]
        assert runs == [1] * 6, f"each of 6 tasks ran once: {runs}"
        _say("each of its 6 tasks ran once")
        await self._take_key_away()
        await self._until(
            lambda: self._is_refused(session), "a key that was taken away gets 401"
        )
        status = await self._status(session, self.second_key, JOB_ID)
        assert status == 200, f"the account's other key gets {status}"
        machine_ids = sorted(self.world.cloud.machines)
        await self.world.write_wave(1, machine_ids, most_at_once=2)
        await self._until(self._wave_done, "the wave is completed")
        max_down = self.world.cloud.max_down
        assert max_down <= 2, f"{max_down} machines were down at once"
        _say(f"{len(machine_ids)} machines had their upkeep, at most 2 at once")

    async def _until(
        self, condition: t.Callable[[], t.Awaitable[bool]], what: str
    ) -> None:
        began_at_s = time.monotonic()
        while not await condition():
            assert time.monotonic() - began_at_s < LIMIT_S, f"not so: {what}"
            await asyncio.sleep(0.05)
        _say(f"{what} ({time.monotonic() - began_at_s:.2f} s)")

    def _url(self, job_id: str = JOB_ID) -> str:
        alive = next(daemon for daemon in self.daemons if daemon.alive)
        return f"http://{alive.callers}/jobs/{job_id}"

    def _headers(self, key: str) -> dict[str, str]:
        return {"Host": "desk.example", "Streamthread-Credential": key}

    async def _status(
        self, session: aiohttp.ClientSession, key: str, job_id: str
    ) -> int:
        headers = self._headers(key)
        async with session.get(self._url(job_id), headers=headers) as response:
            return response.status

    async def _take_key_away(self) -> None:
        self.accounts[0]["apiKeys"] = [self.second_key]
        await self.world.write_manifest(2)

    async def _is_refused(self, session: aiohttp.ClientSession) -> bool:
        return await self._status(session, self.key, JOB_ID) == 401

    async def _submit(self, session: aiohttp.ClientSession) -> bool:
        spec = json.dumps({"run_s": 1.5})
        steps: list[dict[str, t.Any]] = [
            {"count": 4, "cpu": 1000, "memMb": 100},
            {"count": 2, "cpu": 1000, "memMb": 100, "after": [0]},
        ]
        body = json.dumps({"spec": spec, "steps": steps})
        headers = self._headers(self.key)
        async with session.post(self._url(), data=body, headers=headers) as response:
            return response.status == 200

    async def _is_completed(self, session: aiohttp.ClientSession) -> bool:
        self.most_running = max(self.most_running, len(list(self.world.running())))
        headers = self._headers(self.key)
        async with session.get(self._url(), headers=headers) as response:
            if response.status != 200:
                return False
            return bool((await response.json())["state"] == "completed")

    async def _two_run(self) -> bool:
        return len(self.world.started) == MOST_RUNNING

    async def _wave_done(self) -> bool:
        return self.world.wave_state(1) == "completed"

    async def _holder(self, session: aiohttp.ClientSession) -> Daemon:
        for daemon in self.daemons:
            async with session.get(f"http://{daemon.operators}/status") as response:
                if (await response.json())["holding"]:
                    return daemon
        raise AssertionError("no daemon holds the cell")


def _say(text: str) -> None:
    print(f"- {text}", flush=True)


async def _play(folder: pathlib.Path) -> None:
    # Built within the loop: the stand-ins' servers belong to it.
    await _Demo(folder).run()


def main() -> int:
    """Run the demo."""
    with tempfile.TemporaryDirectory() as scratch:
        try:
            asyncio.run(_play(pathlib.Path(scratch)))
        except AssertionError as error:
            print(f"FAILED: {error}", file=sys.stderr)
            return 1
    print("every check held")
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
