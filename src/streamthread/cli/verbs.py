"""The verbs that ask an entry or change the configuration."""

import argparse
import asyncio
import json
import pathlib
import re
import time
import typing as t

from ..configuration import flatten
from ..errors import BadInputError
from ..providers import JsonObject
from ..settings import BadSettings
from ..settings import check_settings
from ..settings import load_json
from .client import OperatorClient
from .drawing import draw_events
from .printing import print_value

__all__ = [
    "apply",
    "check_settings_file",
    "drain",
    "explain",
    "get",
    "job_cancel",
    "job_list",
    "job_submit",
    "label",
    "rollout_wait",
    "runners",
    "status",
    "timeline",
    "undrain",
    "wave",
]

ROLLOUT_POLL_S = 0.2
FOLLOW_POLL_S = 0.5
TIMED_OUT_STATUS = 4
_DURATION = re.compile(r"^(\d+(?:\.\d+)?)(ms|s|m|h)$")
_UNIT_MS = {"ms": 1, "s": 1000, "m": 60_000, "h": 3_600_000}

Arguments = argparse.Namespace


class Result(t.NamedTuple):
    """What a verb prints, and its exit status."""

    value: t.Any
    status: int = 0


def _client(arguments: Arguments) -> OperatorClient:
    return OperatorClient(arguments.server)


# Settings and configuration.


async def check_settings_file(arguments: Arguments) -> Result:
    """Check a settings file, and print every mistake."""
    value = load_json(pathlib.Path(arguments.file))
    errors = check_settings(value)
    if errors:
        raise BadSettings("the settings have mistakes", errors)
    return Result({"file": arguments.file, "settings": "good"})


async def apply(arguments: Arguments) -> Result:
    """Bring the configuration to what a file says.

    Items of the file's sections that are not in the file are deleted with
    ``--prune``.
    """
    wanted = flatten(load_json(pathlib.Path(arguments.file)))
    client = _client(arguments)
    present = await client.get("/configuration")
    base = arguments.generation
    if base is None:
        base = present["generation"]
    changes = _differences(wanted, present["items"], arguments.prune)
    if not changes:
        return Result({"generation": present["generation"], "changes": 0})
    body = {
        "base_generation": base,
        "changes": changes,
        "read_keys": sorted(set(wanted) - {change["key"] for change in changes}),
    }
    answer = await client.post("/configuration", body)
    return Result({"generation": answer["generation"], "changes": len(changes)})


def _differences(
    wanted: dict[str, JsonObject], present: dict[str, JsonObject], prune: bool
) -> list[JsonObject]:
    changes: list[JsonObject] = [
        {"key": key, "value": value}
        for key, value in sorted(wanted.items())
        if present.get(key) != value
    ]
    if prune:
        sections = {key.split("/")[0] for key in wanted}
        changes += [
            {"key": key, "value": None}
            for key in sorted(set(present) - set(wanted))
            if key.split("/")[0] in sections
        ]
    return changes


async def _change_item(
    arguments: Arguments, key: str, value: JsonObject | None, base: int | None = None
) -> Result:
    """Replace one item.

    :param base: the generation that the value was made from; None takes the one
        that the entry has now.
    """
    client = _client(arguments)
    if base is None:
        base = (await client.get("/status"))["generation"]
    body = {"base_generation": base, "changes": [{"key": key, "value": value}]}
    return Result(await client.post("/configuration", body))


async def label(arguments: Arguments) -> Result:
    """Set labels on the instances that a selector matches."""
    labels = dict(_pair(text) for text in arguments.labels)
    value = {"selector": arguments.selector, "set": labels}
    return await _change_item(arguments, f"labels/{arguments.name}", value)


def _pair(text: str) -> tuple[str, str]:
    key, separator, value = text.partition("=")
    if not separator or not key:
        raise BadInputError(
            f"{text!r} is not a label", remedy="write key=value", location="labels"
        )
    return key, value


async def drain(arguments: Arguments) -> Result:
    """Keep instances drained, within their pools' budgets."""
    value = {"selector": arguments.selector}
    return await _change_item(arguments, f"hold/{arguments.name}", value)


async def undrain(arguments: Arguments) -> Result:
    """Let held instances come back."""
    return await _change_item(arguments, f"hold/{arguments.name}", None)


async def wave(arguments: Arguments) -> Result:
    """Start, pause or resume a maintenance wave."""
    key = f"wave/{arguments.name}"
    if arguments.action == "start":
        value: JsonObject = {"selector": arguments.selector}
        if arguments.every_days:
            value["period_days"] = arguments.every_days
        return await _change_item(arguments, key, value)
    present = await _client(arguments).get("/configuration")
    if key not in present["items"]:
        raise BadInputError(
            f"there is no wave {arguments.name!r}", remedy="see 'get waves'"
        )
    value = {**present["items"][key], "paused": arguments.action == "pause"}
    return await _change_item(arguments, key, value, present["generation"])


# Jobs.


async def job_submit(arguments: Arguments) -> Result:
    """Submit the jobs of a JSON file: a list of objects, or one."""
    try:
        value = json.loads(pathlib.Path(arguments.file).read_text())
    except (OSError, json.JSONDecodeError) as error:
        raise BadInputError(
            f"not a file of jobs: {error}",
            remedy="give a JSON list of jobs",
            location=arguments.file,
        ) from error
    specs = value if isinstance(value, list) else [value]
    by_pool: dict[str, list[JsonObject]] = {}
    for spec in specs:
        by_pool.setdefault(str(spec.get("pool", "")), []).append(spec)
    submitted = 0
    for pool, jobs in by_pool.items():
        body = {"pool": pool, "submit": jobs}
        answer = await _client(arguments).post("/jobs", body)
        submitted += answer["submitted"]
    return Result({"submitted": submitted, "known_before": len(specs) - submitted})


async def job_cancel(arguments: Arguments) -> Result:
    """Cancel jobs of one pool."""
    body = {"pool": arguments.pool, "cancel": arguments.job_id}
    answer = await _client(arguments).post("/jobs", body)
    return Result({"cancelled": answer["cancelled"]})


async def job_list(arguments: Arguments) -> Result:
    """List the jobs of one pool."""
    body = {"pool": arguments.pool, "list_jobs": True}
    answer = await _client(arguments).post("/jobs", body)
    return Result(
        [
            {
                "job": job["spec"]["job_id"],
                "state": job["state"],
                "attempt": job["attempt"],
                "worker": job["worker_id"],
                "reason": job["reason"],
            }
            for job in answer["jobs"]
        ]
    )


# Reports.


async def get(arguments: Arguments) -> Result:
    """List what there is of one kind."""
    if arguments.kind == "jobs":
        return await job_list(arguments)
    query = {"selector": arguments.selector} if arguments.selector else {}
    return Result(await _client(arguments).get(f"/{arguments.kind}", **query))


async def status(arguments: Arguments) -> Result:
    """Show one entry."""
    return Result(await _client(arguments).get("/status"))


async def runners(arguments: Arguments) -> Result:
    """Show the runners of a cell, as its holder knows them."""
    return Result(await _client(arguments).get("/runners"))


async def explain(arguments: Arguments) -> Result:
    """Say why something is where it is, and what it waits for."""
    path = f"/explain/{arguments.kind}/{arguments.name}"
    return Result(await _client(arguments).get(path))


async def rollout_wait(arguments: Arguments) -> Result:
    """Wait until a generation is in force in all live entries."""
    client = _client(arguments)
    started_at_s = time.monotonic()
    give_up_at_s = started_at_s + arguments.timeout_s
    wanted = arguments.generation
    if wanted is None:
        wanted = (await client.get("/configuration"))["generation"]
    while True:
        entries = await client.get("/entries")
        waited_s = round(time.monotonic() - started_at_s, 3)
        behind = [entry["entry"] for entry in entries if entry["generation"] < wanted]
        report = {
            "generation": wanted,
            "entries": len(entries),
            "behind": behind,
            "waited_s": waited_s,
        }
        if not behind:
            return Result(report)
        if time.monotonic() > give_up_at_s:
            return Result(report, TIMED_OUT_STATUS)
        await asyncio.sleep(ROLLOUT_POLL_S)


def _since_ms(text: str) -> int:
    match = _DURATION.match(text)
    if match is None:
        raise BadInputError(
            f"{text!r} is not a duration",
            remedy="write 30s, 10m or 2h",
            location="since",
        )
    return int((time.time() * 1000) - float(match[1]) * _UNIT_MS[match[2]])


async def timeline(arguments: Arguments) -> Result:
    """Show the events of all entries in causal order."""
    query = {"limit": str(arguments.limit)}
    if arguments.subject:
        query["subject"] = arguments.subject
    if arguments.kind:
        query["kind"] = arguments.kind
    if arguments.since:
        query["since_ms"] = str(_since_ms(arguments.since))
    if arguments.archived:
        query["archived"] = "1"
    if arguments.follow:
        await _follow(arguments, query)
    answer = await _client(arguments).get("/timeline", **query)
    if arguments.svg:
        pathlib.Path(arguments.svg).write_text(draw_events(answer["events"]))
        return Result({"file": arguments.svg, "events": len(answer["events"])})
    return Result(answer)


async def _follow(arguments: Arguments, query: dict[str, str]) -> t.NoReturn:
    """Print new events until interrupted."""
    client = _client(arguments)
    printed: set[str] = set()
    while True:
        answer = await client.get("/timeline", **query)
        new = [event for event in answer["events"] if json.dumps(event) not in printed]
        printed = {json.dumps(event) for event in answer["events"]}
        if new:
            print_value({"events": new, "silent": []}, arguments.output)
        await asyncio.sleep(FOLLOW_POLL_S)
