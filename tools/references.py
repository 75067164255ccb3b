"""Makes the reference pages of settings and metrics from the code itself."""

import argparse
import asyncio
import pathlib
import re
import typing as t

import attrs

from streamthread.entry import Entry
from streamthread.entry.metrics import make_registry
from streamthread.gateway.metrics import delayed_stops
from streamthread.gateway.metrics import overdue_holder
from streamthread.holder.queue import pass_interval
from streamthread.peers import PeerSettings
from streamthread.providers import memory_platform
from streamthread.settings import EntrySettings
from streamthread.settings import PlatformSettings

__all__ = ["PAGES", "metrics_page", "settings_page"]

DOCS = pathlib.Path(__file__).parents[1] / "docs"
PARAMETER = re.compile(r":param (\w+): (.*?)(?=\n\s*:|\n\s*\n|\Z)", re.DOTALL)

METRICS_HEAD = """# Metrics

Made from the registry by `python -m tools.references`; a test checks that it is
current. Served at `/metrics` of the operators' port, beside the process and
garbage collector metrics of `prometheus_client`.

The users' three measures: buffer cost is `streamthread_buffer_instances`, the
number of moves `streamthread_moves_total`, roll-out time the difference between
entries of when `streamthread_configuration_generation` reached a value
(`streamthread_configuration_age_seconds` says since when).

| metric | type | labels | meaning |
|---|---|---|---|
"""
CELL_METRICS_HEAD = """
## A cell's daemon

Served by the daemon that holds the cell. docs/OPERATIONS.md says when to look at it.

| metric | type | labels | meaning |
|---|---|---|---|
"""
HALL_METRICS_HEAD = """
## Callers while the holder's hall is lost

Served by each cell's daemon whose settings tolerate the loss of a hall.

| metric | type | labels | meaning |
|---|---|---|---|
"""
SETTINGS_HEAD = """# Settings of an entry

Made from the classes by `python -m tools.references`; a test checks that it is
current. One JSON object; unknown keys, wrong kinds and missing values are refused
all at once by `streamthread settings check FILE`. A key's unit is the end of its
name.
"""


def _example_entry() -> Entry:
    settings = EntrySettings(
        daemon_id="reference",
        hall="here",
        platform=PlatformSettings(kind="memory"),
        peers=PeerSettings(key="reference"),
    )
    return Entry(settings, memory_platform())


async def _families() -> list[t.Any]:
    return list(make_registry(_example_entry()).collect())


def metrics_page() -> str:
    """Return the page of the metrics that the registry holds."""
    lines = []
    for family in asyncio.run(_families()):
        if family.name.startswith("streamthread_"):
            lines.append(_metric_row(family))
    cell_families = (*pass_interval().collect(), delayed_stops(0))
    cell_lines = [_metric_row(family) for family in cell_families]
    hall_lines = [_metric_row(family) for family in overdue_holder(0, 0)]
    pages = (
        (METRICS_HEAD, *sorted(lines)),
        (CELL_METRICS_HEAD, *cell_lines),
        (HALL_METRICS_HEAD, *hall_lines),
    )
    return "".join(head + "\n".join(rows) + "\n" for head, *rows in pages)


def _metric_row(family: t.Any) -> str:
    name = family.name + ("_total" if family.type == "counter" else "")
    labels = ", ".join(getattr(family, "_labelnames", ())) or "-"
    return f"| `{name}` | {family.type} | {labels} | {family.documentation} |"


def settings_page() -> str:
    """Return the page of all settings classes."""
    return SETTINGS_HEAD + "".join(_section("entry", EntrySettings))


def _section(title: str, cls: type[t.Any]) -> t.Iterator[str]:
    meanings = _meanings(cls)
    summary = (cls.__doc__ or "").splitlines()[0]
    yield f"\n## {title}\n\n{summary}\n\n| key | kind | default | meaning |\n"
    yield "|---|---|---|---|\n"
    nested: list[tuple[str, type[t.Any]]] = []
    for field in attrs.fields(cls):
        kind = field.type
        if isinstance(kind, type) and attrs.has(kind):
            nested.append((field.name, kind))
            yield f"| `{field.name}` | section | see below | |\n"
            continue
        meaning = meanings.get(field.name, "")
        yield f"| `{field.name}` | {_kind(kind)} | {_default(field)} | {meaning} |\n"
    for name, kind in nested:
        yield from _section(name, kind)


def _meanings(cls: type[t.Any]) -> dict[str, str]:
    text = cls.__doc__ or ""
    return {match[1]: " ".join(match[2].split()) for match in PARAMETER.finditer(text)}


def _kind(kind: t.Any) -> str:
    names = {int: "whole number", float: "number", str: "text", bool: "true or false"}
    if kind in names:
        return names[kind]
    return "list" if "tuple" in str(kind) else "object"


def _default(field: t.Any) -> str:
    if field.default is attrs.NOTHING:
        return "required"
    return "none" if field.default is None else f"`{field.default!r}`"


PAGES: dict[str, t.Callable[[], str]] = {
    "metrics.md": metrics_page,
    "settings.md": settings_page,
}


def main() -> None:
    """Write the pages."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    for name, make in PAGES.items():
        (DOCS / name).write_text(make())


if __name__ == "__main__":
    main()
