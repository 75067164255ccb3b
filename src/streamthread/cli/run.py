"""The verbs that run until they are stopped: the entry and the stand-ins."""

import argparse
import asyncio
import json
import pathlib
import typing as t

import attrs
import logbook
from mode import Service

from ..build import running_build
from ..entry import Entry
from ..entry.logs import event_sink
from ..entry.logs import start_logging
from ..peers import PeerSettings
from ..providers import http_platform
from ..providers import memory_platform
from ..providers import PlatformClient
from ..settings import EntrySettings
from ..settings import load_settings
from ..settings import PlatformSettings
from ..signals import CRASHED_STATUS
from ..signals import until_signal
from ..standins import FaultProxy
from ..standins import PlatformStandin
from ..standins import RunnerPlan
from ..standins import UpstreamStandins

__all__ = [
    "run_entry",
    "run_platform",
    "run_proxy",
    "run_upstreams",
]

log = logbook.Logger("streamthread.entry")

CUT_OFF_STATUS = 5


def announce(**facts: t.Any) -> None:
    """Print the addresses that the system chose, as one JSON line."""
    print(json.dumps(facts), flush=True)


def run_entry(arguments: argparse.Namespace) -> int:
    """Run the entry daemon until it is told to stop."""
    if arguments.embedded:
        settings = _embedded_settings()
    else:
        settings = load_settings(pathlib.Path(arguments.settings))
    start_logging(settings.daemon_id, arguments.log_level)
    log.info("starting", extra=attrs.asdict(running_build()))
    return asyncio.run(_serve_entry(settings))


def _embedded_settings() -> EntrySettings:
    return EntrySettings(
        daemon_id="embedded",
        hall="here",
        platform=PlatformSettings(kind="memory"),
        peers=PeerSettings(key="embedded"),
    )


async def _serve_entry(settings: EntrySettings) -> int:
    client = None
    if settings.platform.kind == "http":
        client = PlatformClient(settings.platform.url, settings.platform.timeout_s)
        platform = http_platform(client)
    else:
        platform = memory_platform()
    entry = Entry(settings, platform, event_sink())
    await entry.start()
    announce(
        entry=settings.daemon_id,
        callers=f"{settings.callers.host}:{entry.requests.port}",
        operators=entry.operators.address,
        peers=f"{settings.peers.host}:{entry.peers.port}",
    )
    crashed = await until_signal(entry)
    cut = await entry.planned_stop()
    if client is not None:
        await client.close()
    if crashed:
        return CRASHED_STATUS
    return CUT_OFF_STATUS if cut else 0


def run_platform(arguments: argparse.Namespace) -> int:
    """Run the platform stand-in."""
    return asyncio.run(_serve(PlatformStandin(port=arguments.port)))


def run_proxy(arguments: argparse.Namespace) -> int:
    """Run the fault-injecting proxy."""
    return asyncio.run(_serve(FaultProxy(port=arguments.port)))


def run_upstreams(arguments: argparse.Namespace) -> int:
    """Run runners for the services that a settings file configures."""
    plans = list(_plans(arguments.service, arguments.hall, arguments.runners))
    standins = UpstreamStandins(plans, arguments.platform, arguments.slots)
    return asyncio.run(_serve(standins))


def _plans(
    services: list[str], halls: list[str], runners: int
) -> t.Iterator[RunnerPlan]:
    """Spread each service's runners over the halls, two to a rack."""
    for service in services:
        for number in range(runners):
            hall = halls[number % len(halls)]
            yield RunnerPlan(
                instance_id=f"{service}-{number}",
                hall=hall,
                rack=f"{hall}-r{number // (2 * len(halls))}",
                labels={"service": service, "role": "runner"},
            )


async def _serve(service: Service) -> int:
    await service.start()
    announce(standin=type(service).__name__, port=service.port)
    crashed = await until_signal(service)
    await service.stop()
    return CRASHED_STATUS if crashed else 0
