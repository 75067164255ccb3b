"""Runs a cell's daemon from its settings file."""

import argparse
import asyncio
import os
import pathlib
import signal
import sys
import typing as t

import logbook

from ..errors import leaf_errors
from ..errors import SettingsError
from ..errors import StreamthreadError
from ..holder import CellSettings
from ..platform.node import decode_node
from ..platform.node import FILE_VARIABLE
from ..platform.node import NodeSettings
from ..signals import CRASHED_STATUS
from ..signals import until_signal
from .daemon import cell_settings
from .daemon import CellDaemon
from .logs import BoundedLines
from .logs import start_cell_logging
from .overrides import override_settings

__all__ = ["add_arguments", "main", "read_node", "run_cell"]

log = logbook.Logger("streamthread.gateway")

BAD_INPUT_STATUS = 2
"""The exit status of a settings file with mistakes, as of a bad command line."""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add what the daemon's command line takes."""
    parser.add_argument("--settings", default="", help=f"else from {FILE_VARIABLE}")
    parser.add_argument("--log-level", default="INFO")
    parser.add_argument(
        "--check", action="store_true", help="only print what is wrong with it"
    )
    parser.add_argument(
        "--set",
        action="append",
        default=[],
        metavar="PATH=VALUE",
        help="set one of the cell's figures, for a trial; may be repeated",
    )


def read_node(settings: str) -> NodeSettings:
    """Read the settings file that is named, or that the environment names."""
    path = settings or os.environ.get(FILE_VARIABLE, "")
    if not path:
        raise SettingsError(
            "no settings file is named",
            remedy=f"give --settings, or set {FILE_VARIABLE}",
        )
    return decode_node(pathlib.Path(path).read_text())


def run_cell(arguments: argparse.Namespace) -> int:
    """Run the daemon until it is told to stop."""
    node = read_node(arguments.settings)
    settings = override_settings(cell_settings(node), arguments.set)
    if arguments.check:
        print(f"{node.daemon_id}: the settings are in order")
        return 0
    lines = start_cell_logging(node.daemon_id, arguments.log_level)
    return asyncio.run(_serve(node, settings, lines))


async def _serve(
    node: NodeSettings, settings: CellSettings, lines: BoundedLines
) -> int:
    daemon = CellDaemon(node, settings)
    daemon.lines_dropped = lambda: lines.dropped
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, _on_reload)
    await daemon.start()
    log.info(
        "listening",
        extra={
            "callers": daemon.frontend.callers_address,
            "readiness": daemon.frontend.readiness_address,
            "peers": daemon.peers.address,
            "operators": daemon.operators.address,
        },
    )
    crashed = await until_signal(daemon)
    await daemon.planned_stop()
    await daemon.stop()
    return CRASHED_STATUS if crashed else 0


def _on_reload() -> None:
    """Nothing that the platform may change while we run is kept in memory."""
    log.info("reload-asked")


def main(argv: t.Sequence[str] | None = None) -> int:
    """Parse the command line and run."""
    parser = argparse.ArgumentParser(prog="streamthread cell", description=__doc__)
    add_arguments(parser)
    try:
        return run_cell(parser.parse_args(argv))
    except SettingsError as mistake:
        mistakes: list[StreamthreadError] = [mistake]
    except ExceptionGroup as group:
        mistakes = leaf_errors(group)
    for error in mistakes:
        print(f"{error.kind}: {error}", file=sys.stderr)
    return BAD_INPUT_STATUS
