"""Decodes the settings that the platform lays down for one daemon."""

import json
import typing as t

import attrs

from ..errors import SettingsError
from .http import JsonObject

__all__ = [
    "FILE_VARIABLE",
    "OPERATORS_PORT",
    "BadNodeSettings",
    "Bounds",
    "NodeSettings",
    "StoreLimits",
    "decode_node",
]

FILE_VARIABLE = "STREAMTHREAD_NODE_FILE"
"""The environment variable that holds the settings file's path."""


@attrs.frozen
class Bounds:
    """Times that the platform promises or demands, in seconds.

    :param grace_s: from the signal to stop until the process is killed.
    :param most_hold_s: the longest time that a runner lets itself be held.
    :param stop_s: a stop of a task takes at most this.
    :param notice_s: a lasting task not at work for longer counts as away.
    :param move_s: a machine's move takes this.
    :param upkeep_s: a machine's upkeep takes this.
    :param harm_s: a lasting task over its target for longer counts as harmed.
    :param early_s: a job's time may begin so much before it falls due.
    """

    grace_s: float = 6.0
    most_hold_s: float = 6.0
    stop_s: float = 0.4
    notice_s: float = 4.5
    move_s: float = 1.5
    upkeep_s: float = 2.0
    harm_s: float = 4.0
    early_s: float = 0.25


@attrs.frozen
class StoreLimits:
    """Where the store is and what all daemons together may ask of it."""

    address: str
    writes_per_s: float = 800.0
    reads_per_s: float = 2000.0
    row_bytes: int = 65536


OPERATORS_PORT = 9464
"""Where metrics are served; the deploy file names the same. Exporters of the
common monitoring systems use this port, and the platform's ports are lower."""

DUTIES_PER_S = 64.0
"""Where the settings do not say it: the lowest rate of the known deployments."""


@attrs.frozen
class NodeSettings:
    """What one daemon is told of its place.

    :param callers: ``host:port`` at which callers are served.
    :param readiness: ``host:port`` at which the platform asks for readiness.
    :param duties_per_s: orders to machines that the cloud takes from all daemons
        together, a second; on the wire ``dutyPerS``.
    :param cores: how much processor this daemon has.
    :param operators_port: for metrics and questions; 0 lets the system choose.
    :param peer_ports: the first and the last port for what daemons say to each
        other.
    """

    daemon_id: str
    hall: str
    ip: str
    callers: str
    readiness: str
    peer_ports: tuple[int, int]
    store: StoreLimits
    cloud: str = ""
    duties_per_s: float = DUTIES_PER_S
    advice: str = ""
    cores: float = 1.0
    operators_port: int = OPERATORS_PORT
    bounds: Bounds = attrs.field(factory=Bounds)


class BadNodeSettings(ExceptionGroup[SettingsError]):
    """All that is wrong with a daemon's settings, at once."""


def decode_node(text: str) -> NodeSettings:
    """Decode the settings.

    :raises BadNodeSettings: they have mistakes; all of them.
    """
    try:
        value = json.loads(text)
    except ValueError as error:
        mistake = SettingsError(
            f"is not JSON: {error}", remedy="mend it at this place", location="$"
        )
        raise BadNodeSettings("the settings have mistakes", [mistake]) from error
    mistakes = list(_mistakes(value))
    if mistakes:
        raise BadNodeSettings("the settings have mistakes", mistakes)
    return _decode(value)


_NEEDED: tuple[tuple[str, type], ...] = (
    ("node", str),
    ("ip", str),
    ("bindAddresses.front", str),
    ("bindAddresses.readiness", str),
    ("portRange", list),
    ("platform.address", str),
)

_NUMBERS = (
    "platform.writes_per_s",
    "platform.reads_per_s",
    "platform.row_bytes",
    "cloud.dutyPerS",
)


def _mistakes(value: t.Any) -> t.Iterator[SettingsError]:
    """Yield one error a field that is missing or of the wrong kind."""
    for path, kind in _NEEDED:
        found = _find(value, path)
        if found is None:
            yield _mistake(path, "is missing", f"give a {kind.__name__}")
        elif not isinstance(found, kind):
            yield _mistake(path, "is of the wrong kind", f"give a {kind.__name__}")
    ports = _find(value, "portRange")
    if isinstance(ports, list) and not _is_port_range(ports):
        yield _mistake("portRange", "is no range", "give the first and the last port")
    bounds = _find(value, "bounds")
    numbers = [f"bounds.{name}" for name in bounds] if isinstance(bounds, dict) else []
    for path in (*_NUMBERS, *numbers):
        found = _find(value, path)
        if found is not None and not isinstance(found, int | float):
            yield _mistake(path, "is not a number", "give a number")


def _is_port_range(ports: list[t.Any]) -> bool:
    return len(ports) == 2 and all(isinstance(port, int) for port in ports)


def _find(value: t.Any, path: str) -> t.Any:
    for name in path.split("."):
        if not isinstance(value, dict):
            return None
        value = value.get(name)
    return value


def _mistake(path: str, message: str, remedy: str) -> SettingsError:
    return SettingsError(message, remedy=remedy, location=f"$.{path}")


def _decode(value: JsonObject) -> NodeSettings:
    listen: dict[str, str] = value["bindAddresses"]
    ports = value["portRange"]
    cloud: dict[str, t.Any] = value.get("cloud") or {}
    return NodeSettings(
        daemon_id=value["node"],
        hall=value.get("zone", ""),
        ip=value["ip"],
        callers=listen["front"],
        readiness=listen["readiness"],
        peer_ports=(int(ports[0]), int(ports[1])),
        store=_decode_store(value["platform"]),
        cloud=cloud.get("address", ""),
        duties_per_s=float(cloud.get("dutyPerS", DUTIES_PER_S)),
        advice=value.get("advice") or "",
        cores=_cores(value.get("limits") or {}),
        operators_port=int(value.get("operatorsPort", OPERATORS_PORT)),
        bounds=_decode_bounds(value.get("bounds") or {}),
    )


def _cores(limits: JsonObject) -> float:
    """Return how much processor a daemon has: a share of faster cores."""
    share = float(limits.get("cpuShare", 1.0))
    return share * float(limits.get("cores", 1)) or 1.0


def _decode_store(value: JsonObject) -> StoreLimits:
    return StoreLimits(
        address=value["address"],
        writes_per_s=float(value.get("writes_per_s", 800.0)),
        reads_per_s=float(value.get("reads_per_s", 2000.0)),
        row_bytes=int(value.get("row_bytes", 65536)),
    )


def _decode_bounds(value: JsonObject) -> Bounds:
    """Decode the bounds; those that a deployment does not name keep a default."""
    known = Bounds()

    def seconds(name: str, default_s: float) -> float:
        return float(value.get(name, default_s))

    def milliseconds(name: str, default_s: float) -> float:
        return float(value.get(name, default_s * 1000)) / 1000

    return Bounds(
        grace_s=seconds("graceS", known.grace_s),
        most_hold_s=milliseconds("maxHoldMs", known.most_hold_s),
        stop_s=milliseconds("stop_ms", known.stop_s),
        notice_s=milliseconds("notice_ms", known.notice_s),
        move_s=seconds("move_s", known.move_s),
        upkeep_s=seconds("upkeep_s", known.upkeep_s),
        harm_s=milliseconds("harm_ms", known.harm_s),
        early_s=milliseconds("early_ms", known.early_s),
    )
