"""The command line: ``streamthread VERB``.

Exit status: 0 done; 2 bad input or usage; 3 refused (conflict, not found);
4 not reached in time, or the entry or store is unavailable; 5 a stop cut
requests off; 6 a part of the daemon failed for a reason it does not know, and it
stopped in order so that the platform replaces it.
"""

import argparse
import asyncio
import sys
import typing as t

from ..build import add_version_option
from ..errors import BadInputError
from ..errors import ConflictError
from ..errors import leaf_errors
from ..errors import NotFoundError
from ..errors import StreamthreadError
from ..gateway.main import add_arguments as add_cell_arguments
from ..gateway.main import run_cell
from . import run
from . import verbs
from .printing import print_value

__all__ = ["main"]

DEFAULT_SERVER = "http://127.0.0.1:8081"
BAD_INPUT_STATUS = 2
REFUSED_STATUS = 3
UNAVAILABLE_STATUS = 4


def main(argv: t.Sequence[str] | None = None) -> int:
    """Run one verb and return its exit status."""
    arguments = _parser().parse_args(argv)
    try:
        if hasattr(arguments, "run"):
            return int(arguments.run(arguments))
        result = asyncio.run(arguments.verb(arguments))
    except KeyboardInterrupt:
        return 0
    except ExceptionGroup as group:
        return _print_errors(leaf_errors(group))
    except StreamthreadError as error:
        return _print_errors([error])
    print_value(result.value, arguments.output)
    return int(result.status)


def _print_errors(errors: t.Sequence[StreamthreadError]) -> int:
    for error in errors:
        print(f"{error.kind}: {error}", file=sys.stderr)
    if any(isinstance(error, BadInputError) for error in errors):
        return BAD_INPUT_STATUS
    if any(isinstance(error, ConflictError | NotFoundError) for error in errors):
        return REFUSED_STATUS
    return UNAVAILABLE_STATUS


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="streamthread", description=__doc__)
    add_version_option(parser)
    parser.add_argument("--server", default=DEFAULT_SERVER, help="an entry's URL")
    parser.add_argument("--output", choices=("text", "json"), default="text")
    subparsers = parser.add_subparsers(required=True, metavar="VERB")
    _add_cell(subparsers)
    _add_running(subparsers)
    _add_configuration(subparsers)
    _add_maintenance(subparsers)
    _add_jobs(subparsers)
    _add_reports(subparsers)
    return parser


def _add_cell(subparsers: t.Any) -> None:
    cell = subparsers.add_parser("cell", help="run a cell's daemon")
    add_cell_arguments(cell)
    cell.set_defaults(run=run_cell)
    runners = subparsers.add_parser("runners", help="the runners of a cell")
    runners.set_defaults(verb=verbs.runners)
    accounts = subparsers.add_parser("accounts", help="the client accounts of a cell")
    accounts.set_defaults(verb=verbs.accounts)
    halls = subparsers.add_parser("halls", help="the halls of a cell")
    halls.set_defaults(verb=verbs.halls)


def _add_running(subparsers: t.Any) -> None:
    entry = subparsers.add_parser("entry", help="run the entry daemon")
    source = entry.add_mutually_exclusive_group(required=True)
    source.add_argument("--settings", help="a settings file")
    source.add_argument(
        "--embedded", action="store_true", help="with a platform in memory"
    )
    entry.add_argument("--log-level", default="INFO")
    entry.set_defaults(run=run.run_entry)
    standin = subparsers.add_parser("standin", help="run a stand-in")
    kinds = standin.add_subparsers(required=True, metavar="KIND")
    platform = kinds.add_parser("platform", help="of the platform")
    platform.add_argument("--port", type=int, default=0)
    platform.set_defaults(run=run.run_platform)
    proxy = kinds.add_parser("proxy", help="a proxy that shows faults")
    proxy.add_argument("--port", type=int, default=0)
    proxy.set_defaults(run=run.run_proxy)
    upstreams = kinds.add_parser("upstreams", help="of the services' runners")
    upstreams.add_argument("--platform", required=True, help="its URL")
    upstreams.add_argument("--service", action="append", required=True)
    upstreams.add_argument("--hall", action="append", required=True)
    upstreams.add_argument("--runners", type=int, default=8)
    upstreams.add_argument("--slots", type=int, default=8)
    upstreams.set_defaults(run=run.run_upstreams)


def _add_configuration(subparsers: t.Any) -> None:
    settings = subparsers.add_parser("settings", help="work with settings files")
    actions = settings.add_subparsers(required=True, metavar="ACTION")
    check = actions.add_parser("check", help="print every mistake in a file")
    check.add_argument("file")
    check.set_defaults(verb=verbs.check_settings_file)
    apply = subparsers.add_parser("apply", help="apply a configuration file")
    apply.add_argument("file")
    apply.add_argument("--generation", type=int, help="that the file was made from")
    apply.add_argument("--prune", action="store_true", help="delete what is missing")
    apply.set_defaults(verb=verbs.apply)
    label = subparsers.add_parser("label", help="set labels by a rule")
    label.add_argument("name", help="of the rule")
    label.add_argument("--selector", required=True)
    label.add_argument("labels", nargs="+", metavar="KEY=VALUE")
    label.set_defaults(verb=verbs.label)
    rollout = subparsers.add_parser("rollout", help="follow a generation")
    follow = rollout.add_subparsers(required=True, metavar="ACTION")
    wait = follow.add_parser("wait", help="until it is in force in all entries")
    wait.add_argument("--generation", type=int)
    wait.add_argument("--timeout-s", type=float, default=10.0)
    wait.set_defaults(verb=verbs.rollout_wait)


def _add_maintenance(subparsers: t.Any) -> None:
    drain = subparsers.add_parser("drain", help="keep instances drained")
    drain.add_argument("name", help="of the hold")
    drain.add_argument("--selector", required=True)
    drain.set_defaults(verb=verbs.drain)
    undrain = subparsers.add_parser("undrain", help="end a hold")
    undrain.add_argument("name")
    undrain.set_defaults(verb=verbs.undrain)
    wave = subparsers.add_parser("wave", help="run a maintenance wave")
    actions = wave.add_subparsers(required=True, metavar="ACTION")
    start = actions.add_parser("start")
    start.add_argument("name")
    start.add_argument("--selector", required=True)
    start.add_argument(
        "--every-days", type=float, default=0, help="again in each period"
    )
    start.set_defaults(verb=verbs.wave, action="start")
    for action in ("pause", "resume"):
        parser = actions.add_parser(action)
        parser.add_argument("name")
        parser.set_defaults(verb=verbs.wave, action=action)


def _add_jobs(subparsers: t.Any) -> None:
    job = subparsers.add_parser("job", help="submit or cancel jobs")
    actions = job.add_subparsers(required=True, metavar="ACTION")
    submit = actions.add_parser("submit")
    submit.add_argument("file", help="a JSON list of jobs")
    submit.set_defaults(verb=verbs.job_submit)
    cancel = actions.add_parser("cancel")
    cancel.add_argument("--pool", required=True)
    cancel.add_argument("job_id", nargs="+")
    cancel.set_defaults(verb=verbs.job_cancel)


def _add_reports(subparsers: t.Any) -> None:
    get = subparsers.add_parser("get", help="list what there is")
    kinds = ("pools", "instances", "jobs", "waves", "entries", "configuration")
    get.add_argument("kind", choices=kinds)
    get.add_argument("--selector", default="", help="of instances")
    get.add_argument("--pool", default="", help="of jobs")
    get.set_defaults(verb=verbs.get)
    status = subparsers.add_parser("status", help="show one entry")
    status.set_defaults(verb=verbs.status)
    explain = subparsers.add_parser("explain", help="why something is where it is")
    explain.add_argument("kind", choices=("pool", "instance", "wave", "job"))
    explain.add_argument("name", help="of a job: POOL/JOB_ID")
    explain.set_defaults(verb=verbs.explain)
    timeline = subparsers.add_parser("timeline", help="events of all entries")
    timeline.add_argument("--subject", default="", help="such as pool/x, or a prefix")
    timeline.add_argument("--kind", default="")
    timeline.add_argument("--since", default="", help="such as 10m")
    timeline.add_argument("--limit", type=int, default=200)
    timeline.add_argument("--archived", action="store_true", help="stored ones too")
    timeline.add_argument("--follow", action="store_true", help="print new ones")
    timeline.add_argument("--svg", default="", help="draw them into this file")
    timeline.set_defaults(verb=verbs.timeline)
