"""The verbs that show what an entry knows."""

import asyncio
import json
import pathlib
import re
import time
import typing as t

from ...errors import BadInputError
from ..drawing import draw_events
from ..printing import print_value
from .jobs import job_list
from .results import Arguments
from .results import client_of
from .results import Result

__all__ = ["accounts", "explain", "get", "halls", "runners", "status", "timeline"]

FOLLOW_POLL_S = 0.5
_DURATION = re.compile(r"^(\d+(?:\.\d+)?)(ms|s|m|h)$")
_UNIT_MS = {"ms": 1, "s": 1000, "m": 60_000, "h": 3_600_000}


async def get(arguments: Arguments) -> Result:
    """List what there is of one kind."""
    if arguments.kind == "jobs":
        return await job_list(arguments)
    query = {"selector": arguments.selector} if arguments.selector else {}
    return Result(await client_of(arguments).get(f"/{arguments.kind}", **query))


async def status(arguments: Arguments) -> Result:
    """Show one entry."""
    return Result(await client_of(arguments).get("/status"))


async def runners(arguments: Arguments) -> Result:
    """Show the runners of a cell, as its holder knows them."""
    return Result(await client_of(arguments).get("/runners"))


async def accounts(arguments: Arguments) -> Result:
    """Show the client accounts of a cell, as its holder knows them."""
    return Result(await client_of(arguments).get("/accounts"))


async def halls(arguments: Arguments) -> Result:
    """Show the halls of a cell, as its holder knows them."""
    return Result(await client_of(arguments).get("/halls"))


async def explain(arguments: Arguments) -> Result:
    """Say why something is where it is, and what it waits for."""
    path = f"/explain/{arguments.kind}/{arguments.name}"
    return Result(await client_of(arguments).get(path))


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
    answer = await client_of(arguments).get("/timeline", **query)
    if arguments.svg:
        pathlib.Path(arguments.svg).write_text(draw_events(answer["events"]))
        return Result({"file": arguments.svg, "events": len(answer["events"])})
    return Result(answer)


async def _follow(arguments: Arguments, query: dict[str, str]) -> t.NoReturn:
    """Print new events until interrupted."""
    client = client_of(arguments)
    printed: set[str] = set()
    while True:
        answer = await client.get("/timeline", **query)
        new = [event for event in answer["events"] if json.dumps(event) not in printed]
        printed = {json.dumps(event) for event in answer["events"]}
        if new:
            print_value({"events": new, "silent": []}, arguments.output)
        await asyncio.sleep(FOLLOW_POLL_S)
