"""The time line as SVG: one lane an entry, one mark an event."""

import typing as t
from xml.sax import saxutils

__all__ = ["draw_events"]

WIDTH = 1200
LEFT = 110
LANE_HEIGHT = 70
TOP = 30
ROW_HEIGHT = 13
ROWS = 4
COLOURS = ("#1f77b4", "#d62728", "#2ca02c", "#9467bd", "#ff7f0e", "#8c564b")

Event = dict[str, t.Any]


def draw_events(events: t.Sequence[Event]) -> str:
    """Return an SVG document; labels of a lane take turns in four rows."""
    daemons = sorted({event["daemon_id"] for event in events})
    times = [event["time"]["physical_ms"] for event in events] or [0]
    first, span = min(times), max(1, max(times) - min(times))
    height = TOP + LANE_HEIGHT * len(daemons) + TOP
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{height}" '
        'font-family="sans-serif" font-size="9">'
    ]
    for lane, daemon in enumerate(daemons):
        parts.append(_lane(lane, daemon))
    counts = dict.fromkeys(daemons, 0)
    kinds = sorted({event["kind"] for event in events})
    for event in events:
        daemon = event["daemon_id"]
        offset = (event["time"]["physical_ms"] - first) / span
        x = LEFT + offset * (WIDTH - LEFT - 120)
        colour = COLOURS[kinds.index(event["kind"]) % len(COLOURS)]
        row = counts[daemon] % ROWS
        counts[daemon] += 1
        parts.append(_mark(event, x, daemons.index(daemon), row, colour))
    parts.append(f'<text x="{LEFT}" y="{height - 8}">0 s</text>')
    parts.append(f'<text x="{WIDTH - 60}" y="{height - 8}">{span / 1000:.1f} s</text>')
    parts.append("</svg>\n")
    return "\n".join(parts)


def _lane(lane: int, daemon: str) -> str:
    y = TOP + lane * LANE_HEIGHT
    name = saxutils.escape(daemon)
    return (
        f'<line x1="{LEFT}" y1="{y}" x2="{WIDTH - 10}" y2="{y}" stroke="#bbb"/>'
        f'<text x="8" y="{y + 4}" font-size="12">{name}</text>'
    )


def _mark(event: Event, x: float, lane: int, row: int, colour: str) -> str:
    y = TOP + lane * LANE_HEIGHT
    text_y = y + 12 + row * ROW_HEIGHT
    label = saxutils.escape(f"{event['kind']} {event['subject']}")
    cause = saxutils.escape(event["cause"])
    return (
        f'<g fill="{colour}"><circle cx="{x:.1f}" cy="{y}" r="3"/>'
        f'<line x1="{x:.1f}" y1="{y}" x2="{x:.1f}" y2="{text_y}" '
        f'stroke="{colour}" stroke-width="0.4"/>'
        f'<text x="{x + 2:.1f}" y="{text_y}">{label}</text>'
        f"<title>{cause}</title></g>"
    )
