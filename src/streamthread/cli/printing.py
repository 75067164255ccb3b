"""Printing of answers as text or JSON."""

import datetime
import json
import typing as t

__all__ = ["print_value"]


def print_value(value: t.Any, output: str) -> None:
    """Print an answer.

    :param output: ``text`` or ``json``.
    """
    if output == "json":
        print(json.dumps(value, indent=2))
    elif isinstance(value, dict) and "events" in value and "silent" in value:
        _print_events(value["events"], value["silent"])
    elif isinstance(value, list):
        _print_table(value)
    else:
        for key, item in value.items():
            print(f"{key}: {_cell(item)}")


def _cell(value: t.Any) -> str:
    if isinstance(value, dict):
        return " ".join(f"{key}={item}" for key, item in value.items())
    if isinstance(value, list):
        return ", ".join(str(item) for item in value) or "-"
    return "-" if value == "" else str(value)


def _print_table(rows: list[dict[str, t.Any]]) -> None:
    if not rows:
        print("none")
        return
    keys = list(rows[0])
    cells = [keys] + [[_cell(row.get(key, "")) for key in keys] for row in rows]
    widths = [max(len(line[column]) for line in cells) for column in range(len(keys))]
    for line in cells:
        padded = [cell.ljust(width) for cell, width in zip(line, widths, strict=True)]
        print("  ".join(padded).rstrip())


def _print_events(events: list[dict[str, t.Any]], silent: list[str]) -> None:
    for event in events:
        moment = datetime.datetime.fromtimestamp(
            event["time"]["physical_ms"] / 1000, datetime.UTC
        )
        print(
            f"{moment:%H:%M:%S.%f}"[:-3],
            event["daemon_id"].ljust(10),
            event["kind"].ljust(20),
            event["subject"],
            f"({event['cause']})" if event["cause"] else "",
        )
    if silent:
        print(f"no answer from: {', '.join(silent)}")
