"""Makes ``docs/CAPACITY.md`` from ``docs/capacity.json``, figures and all."""

import json
import pathlib
import string
import typing as t

__all__ = ["render", "write_page"]

DOCS = pathlib.Path(__file__).parents[1] / "docs"
TEMPLATE = DOCS / "capacity.template.md"
FIGURES = DOCS / "capacity.json"
PAGE = DOCS / "CAPACITY.md"

CPU_LIMIT = 0.016
MEMORY_LIMIT_BYTES = 128e6
TRAFFIC_LIMIT_BYTES_PER_S = 18e3
READS_LIMIT_PER_S = 2000.0
WRITES_LIMIT_PER_S = 300.0

LIMITS = {
    "cpu_s_per_s": CPU_LIMIT,
    "resident_bytes": MEMORY_LIMIT_BYTES,
    "control_bytes_per_s": TRAFFIC_LIMIT_BYTES_PER_S,
    "store_reads_per_s": READS_LIMIT_PER_S,
    "store_writes_per_s": WRITES_LIMIT_PER_S,
}
TITLES = {
    "cpu_s_per_s": "processor, % of a core",
    "resident_bytes": "memory, MB",
    "control_bytes_per_s": "control traffic, kB/s",
    "store_reads_per_s": "store reads/s, all entries",
    "store_writes_per_s": "store writes/s, all entries",
}
SCALES = {
    "cpu_s_per_s": 100.0,
    "resident_bytes": 1e-6,
    "control_bytes_per_s": 1e-3,
    "store_reads_per_s": 1.0,
    "store_writes_per_s": 1.0,
}
THINGS = {
    "workers": ("1,000 workers", 1000.0),
    "pools": ("100 pools", 100.0),
    "teams": ("100 teams", 100.0),
    "entries": ("one more entry", 1.0),
    "changes_per_s": ("1 configuration change/s", 1.0),
    "churn_per_s": ("1 membership change/s", 1.0),
}

Figures = dict[str, t.Any]


def _number(value: float) -> str:
    if abs(value) >= 100:
        return f"{value:,.0f}"
    return f"{value:.2f}"


def _row(*cells: str) -> str:
    return f"| {' | '.join(cells)} |"


def _verdicts(figures: Figures) -> str:
    """One row a limit: base, planned, limit, verdict."""
    lines = [
        _row("what", "smallest size measured", "planned size", "limit", "verdict"),
        _row(*["---"] * 5),
    ]
    for measure, limit in LIMITS.items():
        scale = SCALES[measure]
        planned = figures["planned"][measure]
        verdict = "inside" if planned <= limit else f"over, {planned / limit:.1f} times"
        lines.append(
            _row(
                TITLES[measure],
                _number(figures["base"][measure] * scale),
                _number(planned * scale),
                _number(limit * scale),
                verdict,
            )
        )
    return "\n".join(lines)


def _slopes(figures: Figures) -> str:
    """One row a thing that grows, one column a measure."""
    lines = [
        _row("for each", *TITLES.values()),
        _row(*["---"] * (len(TITLES) + 1)),
    ]
    for thing, (title, step) in THINGS.items():
        slopes = figures["slopes"][thing]
        cells = [
            _number(slopes[measure] * step * SCALES[measure]) for measure in TITLES
        ]
        lines.append(_row(title, *cells))
    return "\n".join(lines)


def _shares(figures: Figures) -> str:
    """What each thing adds at the planned size."""
    lines = [
        _row("from", "planned", *TITLES.values()),
        _row(*["---"] * (len(TITLES) + 2)),
    ]
    base = [_number(figures["base"][name] * SCALES[name]) for name in TITLES]
    lines.append(_row("the smallest size measured", "", *base))
    reference = figures["points"][0]["size"]
    for thing, (title, _) in THINGS.items():
        planned = figures["planned_size"][thing]
        more = planned - _reference(figures, thing, reference)
        slopes = figures["slopes"][thing]
        cells = [_number(slopes[name] * more * SCALES[name]) for name in TITLES]
        what = title.split(" ", 1)[1] if thing != "entries" else "entries"
        lines.append(_row(what, _number(planned), *cells))
    return "\n".join(lines)


def _reference(figures: Figures, thing: str, size: Figures) -> float:
    """The ordinary size of a thing: its value while another thing was varied."""
    others = [point for point in figures["points"] if point["over"] != thing]
    return float(others[0]["size"][thing] if others else size[thing])


def _first_limit(figures: Figures) -> str:
    """The limit that is used up most."""
    used = {
        measure: figures["planned"][measure] / limit
        for measure, limit in LIMITS.items()
    }
    worst = max(used, key=lambda measure: used[measure])
    return f"{TITLES[worst]} ({used[worst] * 100:.0f} % of its limit)"


def _points(figures: Figures) -> str:
    lines = [_row("over", "size", *TITLES.values()), _row(*["---"] * 7)]
    for point in figures["points"]:
        cost = [_number(point["cost"][name] * SCALES[name]) for name in TITLES]
        size = _number(float(point["size"][point["over"]]))
        lines.append(_row(point["over"], size, *cost))
    return "\n".join(lines)


def _failures(figures: Figures) -> dict[str, str]:
    """Figures of the failure load, from the churn slope."""
    churn = figures["slopes"]["churn_per_s"]
    rack, hall = 16, 18_000 // 8
    return {
        "churn_per_day": _number(figures["planned_size"]["churn_per_s"] * 86_400),
        "rack_cpu_s": _number(rack * churn["cpu_s_per_s"]),
        "hall_cpu_s": _number(hall * churn["cpu_s_per_s"]),
        "hall_instances": _number(hall),
        "hall_kb": _number(hall * churn["control_bytes_per_s"] / 1e3),
    }


def render() -> str:
    """Return the page."""
    figures: Figures = json.loads(FIGURES.read_text())
    template = string.Template(TEMPLATE.read_text())
    return template.substitute(
        verdicts=_verdicts(figures),
        slopes=_slopes(figures),
        shares=_shares(figures),
        first_limit=_first_limit(figures),
        points=_points(figures),
        **_failures(figures),
    )


def write_page() -> None:
    """Write the page anew."""
    PAGE.write_text(render())


if __name__ == "__main__":
    write_page()
