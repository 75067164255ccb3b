"""One daemon of the soak: its process, its settings and its links to the platform."""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import sys
import time

from streamthread.standins.cell import CellWorld
from streamthread.standins.proxy import Link

__all__ = ["Daemon"]

START_S = 20.0
"""A process listens within this time, also on a busy machine."""


class Daemon:
    """One daemon's process, settings and its links to the platform.

    :param unasked_ends: how often a process ended without a signal of ours.
    :param may_sleep: its machine can be suspended.
    :param link: the way to the store; :attr:`cloud_link`: that to the machines'
        interface.
    :param zone: the hall that the process is in.
    :param code: a folder with the daemon's package, where it is not the installed one.
    """

    def __init__(
        self,
        name: str,
        world: CellWorld,
        folder: pathlib.Path,
        code: str = "",
        may_sleep: bool = False,
        zone: str = "here",
    ) -> None:
        self.name = name
        self.zone = zone
        self._program = "tools.soak_suspend" if may_sleep else "streamthread.gateway"
        self.link = Link()
        self.cloud_link = Link()
        self.callers = ""
        self.operators = ""
        self.unasked_ends = 0
        self._asked_to_end = False
        self._world = world
        self._environment = {**os.environ, "PYTHONPATH": code} if code else None
        self._settings = folder / f"{name}.json"
        self._log = folder / f"{name}.log"
        self._process: asyncio.subprocess.Process | None = None
        self._reader: asyncio.Task[None] | None = None

    async def prepare(self) -> None:
        """Open the proxies and write the settings."""
        settings = json.loads(self._world.node_settings(self.name, zone=self.zone))
        for name, link in (("platform", self.link), ("cloud", self.cloud_link)):
            host, port = settings[name]["address"].split(":")
            await link.start("127.0.0.1")
            link.set_target(host, int(port))
            settings[name]["address"] = f"127.0.0.1:{link.port}"
        self._settings.write_text(json.dumps(settings))

    async def start(self) -> None:
        """Start the process and wait until it listens."""
        assert not self.alive, "one life at a time"
        self._asked_to_end = False
        self.callers = ""
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            self._program,
            "--settings",
            str(self._settings),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            env=self._environment,
        )
        self._reader = asyncio.ensure_future(self._read(self._process))
        give_up_at_s = time.monotonic() + START_S
        while not self.callers and time.monotonic() < give_up_at_s:
            await asyncio.sleep(0.02)

    async def _read(self, process: asyncio.subprocess.Process) -> None:
        assert process.stdout is not None
        with self._log.open("ab") as log:
            async for line in process.stdout:
                log.write(line)
                if b'"listening"' in line:
                    listening = json.loads(line)
                    self.callers = listening["callers"]
                    self.operators = listening["operators"]
        if not self._asked_to_end:
            self.unasked_ends += 1

    async def restart(self, number: signal.Signals, pause_s: float) -> None:
        """End the process by a signal and start it again after a pause."""
        self.signal(number)
        await self.ended()
        await asyncio.sleep(pause_s)
        await self.start()

    @property
    def alive(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.returncode is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to our own process, if it lives."""
        if self._process is not None and self.alive:
            self._asked_to_end |= number in (signal.SIGTERM, signal.SIGKILL)
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(number)

    async def ended(self) -> None:
        """Wait for the process to end; kill it where it does not."""
        if self._process is None:
            return
        try:
            async with asyncio.timeout(10):
                await self._process.wait()
        except TimeoutError:
            self.signal(signal.SIGKILL)
            await self._process.wait()
        if self._reader is not None:
            await self._reader

    async def close(self) -> None:
        """End the process and the proxies."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        await self.ended()
        await self.link.close()
        await self.cloud_link.close()
