"""Real processes of the product, started and ended by id."""

import asyncio
import json
import os
import pathlib
import signal
import sys
import time
import typing as t

import aiohttp

from streamthread.cli.client import OperatorClient

__all__ = ["EntryProcess", "Json", "Process", "eventually"]

START_LIMIT_S = 30.0
STOP_LIMIT_S = 30.0
POLL_S = 0.05
"""How often a condition is asked for."""

Json = dict[str, t.Any]


async def eventually(
    condition: t.Callable[[], t.Awaitable[t.Any]], limit_s: float = 20.0
) -> t.Any:
    """Return the condition's first true value.

    :raises AssertionError: it did not come true in time; shows the last error.
    """
    give_up_at_s = time.monotonic() + limit_s
    last: t.Any = None
    while time.monotonic() < give_up_at_s:
        try:
            last = await condition()
            if last:
                return last
        except (aiohttp.ClientError, ExceptionGroup, OSError, KeyError) as error:
            last = error
        await asyncio.sleep(POLL_S)
    raise AssertionError(f"not so within {limit_s} s; last: {last!r}")


class Process:
    """One process of the product, with what it announced at its start."""

    def __init__(self, name: str, process: asyncio.subprocess.Process) -> None:
        self.name = name
        self.announced: Json = {}
        self._process = process

    @classmethod
    async def start(cls, name: str, log: pathlib.Path, *arguments: str) -> "Process":
        """Start ``streamthread ARGUMENTS`` and wait for its announcement."""
        with log.open("ab") as log_file:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "streamthread",
                *arguments,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=asyncio.subprocess.PIPE,
                stderr=log_file,
            )
        self = cls(name, process)
        assert process.stdout is not None
        line = await asyncio.wait_for(process.stdout.readline(), START_LIMIT_S)
        if not line:
            raise AssertionError(f"{name} did not start:\n{log.read_text()[-2000:]}")
        self.announced = json.loads(line)
        return self

    @property
    def pid(self) -> int:
        """The process id."""
        return self._process.pid

    @property
    def running(self) -> bool:
        """Whether it has not ended."""
        return self._process.returncode is None

    async def kill(self) -> None:
        """End it hard."""
        if self.running:
            self._process.kill()
            await self._process.wait()

    async def terminate(self, limit_s: float = STOP_LIMIT_S) -> int:
        """Ask it to stop and return its exit status."""
        if self.running:
            self._process.terminate()
        return await asyncio.wait_for(self._process.wait(), limit_s)

    def pause(self) -> None:
        """Stop it in its tracks."""
        os.kill(self.pid, signal.SIGSTOP)

    def resume(self) -> None:
        """Let it go on."""
        os.kill(self.pid, signal.SIGCONT)


class EntryProcess(Process):
    """An entry with clients for its ports."""

    @property
    def operators(self) -> OperatorClient:
        """The operators' API."""
        return OperatorClient(self.server)

    @property
    def server(self) -> str:
        """The URL of the operators' port."""
        return f"http://{self.announced['operators']}"

    @property
    def callers_url(self) -> str:
        """The URL of the callers' port."""
        return f"http://{self.announced['callers']}"
