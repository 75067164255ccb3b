"""The verbs that check settings, change the configuration or wait for it."""

import asyncio
import pathlib

from ...clocks import boot_s
from ...configuration import flatten
from ...errors import BadInputError
from ...providers import JsonObject
from ...settings import BadSettings
from ...settings import check_settings
from ...settings import load_json
from .results import Arguments
from .results import client_of
from .results import Result

__all__ = [
    "apply",
    "check_settings_file",
    "drain",
    "label",
    "rollout_wait",
    "undrain",
    "wave",
]

ROLLOUT_POLL_S = 0.2
TIMED_OUT_STATUS = 4


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
    client = client_of(arguments)
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
    client = client_of(arguments)
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
    present = await client_of(arguments).get("/configuration")
    if key not in present["items"]:
        raise BadInputError(
            f"there is no wave {arguments.name!r}", remedy="see 'get waves'"
        )
    value = {**present["items"][key], "paused": arguments.action == "pause"}
    return await _change_item(arguments, key, value, present["generation"])


async def rollout_wait(arguments: Arguments) -> Result:
    """Wait until a generation is in force in all live entries."""
    client = client_of(arguments)
    started_at_s = boot_s()
    give_up_at_s = started_at_s + arguments.timeout_s
    wanted = arguments.generation
    if wanted is None:
        wanted = (await client.get("/configuration"))["generation"]
    while True:
        entries = await client.get("/entries")
        waited_s = round(boot_s() - started_at_s, 3)
        behind = [entry["entry"] for entry in entries if entry["generation"] < wanted]
        report = {
            "generation": wanted,
            "entries": len(entries),
            "behind": behind,
            "waited_s": waited_s,
        }
        if not behind:
            return Result(report)
        if boot_s() > give_up_at_s:
            return Result(report, TIMED_OUT_STATUS)
        await asyncio.sleep(ROLLOUT_POLL_S)
