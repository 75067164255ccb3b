"""Faults of the soak: of daemons, of the store, of runners and of the configuration."""

import asyncio
import random
import signal
import time
import typing as t

from streamthread.standins.cell import RunnerStandin
from streamthread.standins.proxy import LinkFaults
from tools.soak_daemon import Daemon
from tools.soak_view import SoakView

__all__ = ["Faults"]

SMALL_LINK_BYTES_PER_S = 100_000.0
"""Two seconds for the routes that one change may add."""

MORE_ROUTES = 1000
"""What a large change of the configuration adds: some 200 KB."""

NEW_ROUTES_SHARE = 0.5
"""Share of the configurations that have new routes, in plans with such changes."""


class Faults:
    """Begins faults at random times; each ends by itself.

    :param first_only: only those of the time when a seed was found.
    :param new_routes: chooses the configurations that have new routes; None: none has.
    """

    def __init__(
        self,
        soak: SoakView,
        first_only: bool,
        new_routes: random.Random | None = None,
    ) -> None:
        self._soak = soak
        self._new_routes = new_routes
        self._first_only = first_only
        self._more_routes = 0

    async def play(self, until_s: float, faults_per_s: float) -> None:
        """Begin faults until a time."""
        kinds = [
            self._kill,
            self._stop,
            self._pause,
            self._cut_store,
            self._slow_store,
            self._store_down,
            self._lose_answers,
            self._silent_runner,
            self._late_starts,
            self._end_runner,
            self._wave,
            self._manifest,
        ]
        if not self._first_only:
            kinds += [self._silent_connections, self._small_link, self._large_manifest]
        choices = self._soak.random
        while time.monotonic() < until_s:
            await asyncio.sleep(choices.expovariate(faults_per_s))
            kind = choices.choice(kinds)
            self._soak.spawn(kind(choices.uniform(0.5, 4.0)))

    def waves(self) -> int:
        """Return how many waves of upkeep were asked for."""
        return sum(fault.startswith("wave") for fault in self._soak.faults)

    async def _with_daemon(
        self, name: str, act: t.Callable[[Daemon], t.Awaitable[None]]
    ) -> None:
        free = self._soak.free()
        if len(free) < 2:
            return
        daemon = self._soak.random.choice(free)
        self._soak.busy.add(daemon.name)
        self._soak.note(f"{name} {daemon.name}")
        try:
            await act(daemon)
        finally:
            self._soak.busy.discard(daemon.name)

    async def _kill(self, for_s: float) -> None:
        await self._with_daemon("kill", lambda d: d.restart(signal.SIGKILL, for_s / 4))

    async def _stop(self, for_s: float) -> None:
        await self._with_daemon("stop", lambda d: d.restart(signal.SIGTERM, 0.0))

    async def _pause(self, for_s: float) -> None:
        async def act(daemon: Daemon) -> None:
            daemon.signal(signal.SIGSTOP)
            await asyncio.sleep(for_s)
            daemon.signal(signal.SIGCONT)

        await self._with_daemon("pause", act)

    async def _cut_store(self, for_s: float) -> None:
        async def act(daemon: Daemon) -> None:
            faults = self._soak.random.choice(
                [
                    LinkFaults(cut=True),
                    LinkFaults(blackhole=True),
                    LinkFaults(drop_answers=True),
                ]
            )
            daemon.link.set_faults(faults)
            await asyncio.sleep(for_s)
            daemon.link.set_faults(LinkFaults())
            daemon.link.reset_all()

        await self._with_daemon("cut store", act)

    async def _slow_store(self, for_s: float) -> None:
        async def act(daemon: Daemon) -> None:
            daemon.link.set_faults(LinkFaults(delay_s=0.2))
            await asyncio.sleep(for_s)
            daemon.link.set_faults(LinkFaults())

        await self._with_daemon("slow store", act)

    async def _store_down(self, for_s: float) -> None:
        self._soak.note("store down")
        self._soak.world.store.faults.refuse = 503
        await asyncio.sleep(for_s / 2)
        self._soak.world.store.faults.refuse = 0

    async def _lose_answers(self, for_s: float) -> None:
        self._soak.note("lose answers")
        self._soak.world.store.faults.late_s = for_s / 2
        self._soak.world.store.faults.lose_answers += 2

    def _living(self) -> list[RunnerStandin]:
        return [runner for runner in self._soak.world.runners if runner.alive]

    async def _silent_runner(self, for_s: float) -> None:
        runner = self._soak.random.choice(self._living())
        self._soak.note(f"silent {runner.runner_id}")
        runner.faults.silent = True
        await asyncio.sleep(for_s)
        runner.faults.silent = False

    async def _late_starts(self, for_s: float) -> None:
        runner = self._soak.random.choice(self._living())
        self._soak.note(f"late starts {runner.runner_id}")
        runner.faults.late_s = for_s
        runner.faults.late_starts += 2

    async def _end_runner(self, for_s: float) -> None:
        machine = self._soak.random.choice(
            [m for m in self._soak.world.cloud.machines.values() if m.state == "up"]
        )
        self._soak.note(f"end runner of {machine.machine_id}")
        self._soak.world.cloud.restart(machine, for_s / 2)

    async def _wave(self, for_s: float) -> None:
        number = 1 + self.waves()
        self._soak.note(f"wave {number}")
        machine_ids = sorted(self._soak.world.cloud.machines)
        chosen = self._soak.random.sample(machine_ids, 3)
        await self._soak.world.write_wave(number, chosen, most_at_once=2)

    async def _silent_connections(self, for_s: float) -> None:
        """Open connections to the store fall silent, of one daemon or of all."""
        one = self._soak.random.choice(self._soak.daemons)
        chosen = self._soak.random.choice([[one], self._soak.daemons])
        self._soak.note(f"silent connections of {len(chosen)}")
        for daemon in chosen:
            daemon.link.silence_open()

    async def _small_link(self, for_s: float) -> None:
        async def act(daemon: Daemon) -> None:
            daemon.link.set_faults(LinkFaults(bytes_per_s=SMALL_LINK_BYTES_PER_S))
            await asyncio.sleep(for_s)
            daemon.link.set_faults(LinkFaults())

        await self._with_daemon("small link", act)

    async def _large_manifest(self, for_s: float) -> None:
        self._more_routes += MORE_ROUTES
        await self._manifest(for_s)

    async def _manifest(self, for_s: float) -> None:
        await self.write_manifest()

    async def write_manifest(self) -> None:
        """Write the next version of the configuration."""
        version = self.newest_version() + 1
        self._soak.note("manifest")
        if (
            self._new_routes is not None
            and self._new_routes.random() < NEW_ROUTES_SHARE
        ):
            # Under the same hosts and paths, so that callers find their jobs.
            self._soak.note("new routes")
            self._soak.world.route_suffix = f"-{version}"
        await self._soak.world.write_manifest(
            version, self._more_routes, targetLatencyMs=600 + version
        )

    def newest_version(self) -> int:
        """Return the version of the newest configuration that was written."""
        return 1 + sum(fault == "manifest" for fault in self._soak.faults)
