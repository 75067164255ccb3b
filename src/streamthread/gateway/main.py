"""Runs a cell's daemon from its settings file."""

import argparse
import asyncio
import os
import pathlib
import signal
import sys
import typing as t

import attrs
import logbook

from ..build import add_version_option
from ..build import running_build
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
from .logs import JsonLineHandler
from .logs import start_cell_logging
from .overrides import override_settings

__all__ = ["add_arguments", "main", "read_node", "run_cell"]

log = logbook.Logger("streamthread.gateway")

BAD_INPUT_STATUS = 2
"""The exit status for an invalid settings file, as for an invalid command line."""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the daemon's command-line options."""
    parser.add_argument(
        "--settings", default="", help=f"settings file; default: from {FILE_VARIABLE}"
    )
    parser.add_argument("--log-level", default="INFO")
    parser.add_argument(
        "--check",
        action="store_true",
        help="only check the settings and print their errors",
    )
    parser.add_argument(
        "--set",
        action="append",
        default=[],
        metavar="PATH=VALUE",
        help="override one setting of the cell, for an experiment; may be repeated",
    )


def read_node(settings: str) -> NodeSettings:
    """Read the given settings file, or the one that the environment names."""
    path = settings or os.environ.get(FILE_VARIABLE, "")
    if not path:
        raise SettingsError(
            "no settings file given",
            remedy=f"give --settings, or set {FILE_VARIABLE}",
        )
    return decode_node(pathlib.Path(path).read_text())


def run_cell(arguments: argparse.Namespace) -> int:
    """Run the daemon until a signal stops it."""
    node = read_node(arguments.settings)
    settings = override_settings(cell_settings(node), arguments.set)
    if arguments.check:
        print(f"{node.daemon_id}: the settings are valid")
        return 0
    handler = start_cell_logging(node.daemon_id, arguments.log_level)
    log.info("starting", extra=attrs.asdict(running_build()))
    return asyncio.run(_serve(node, settings, handler))


async def _serve(
    node: NodeSettings, settings: CellSettings, handler: JsonLineHandler
) -> int:
    daemon = CellDaemon(node, settings)
    daemon.lines_dropped = lambda: handler.dropped
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
    """Reload nothing: no setting that the platform changes at run time is cached."""
    log.info("reload-asked")


def main(argv: t.Sequence[str] | None = None) -> int:
    """Parse the command line and run."""
    parser = argparse.ArgumentParser(prog="streamthread cell", description=__doc__)
    add_version_option(parser)
    add_arguments(parser)
    try:
        return run_cell(parser.parse_args(argv))
    except SettingsError as settings_error:
        errors: list[StreamthreadError] = [settings_error]
    except ExceptionGroup as group:
        errors = leaf_errors(group)
    for error in errors:
        print(f"{error.kind}: {error}", file=sys.stderr)
    return BAD_INPUT_STATUS
