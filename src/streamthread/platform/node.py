"""Decodes the settings that the platform provides for one daemon."""

import json
import typing as t

import attrs

from ..errors import SettingsError
from .http import JsonObject
from .store import DEFAULT_ROW_BYTES

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
    """Times that the platform guarantees or requires, in seconds.

    :param grace_s: time from the stop signal until the process is killed.
    :param most_hold_s: longest lease that a runner grants its runs in one hold call.
    :param stop_s: maximum time that stopping a task takes.
    :param notice_s: a long-running task that does not work for longer counts as away.
    :param move_s: duration of a machine's move.
    :param upkeep_s: duration of a machine's upkeep.
    :param harm_s: a long-running task that exceeds its target for longer counts as
        harmed.
    :param early_s: how long before its due time an occurrence may begin.
    :param evacuate_s: time from the acknowledgement of a hall's evacuation until no run
        may be started there; None if the platform gives none.
    :param cold_excess: the factor by which starts on a cold runner may exceed what its
        warmth allows.
    :param cold_slack: the number of starts by which they may exceed it in addition.
    """

    grace_s: float = 6.0
    most_hold_s: float = 6.0
    stop_s: float = 0.4
    notice_s: float = 4.5
    move_s: float = 1.5
    upkeep_s: float = 2.0
    harm_s: float = 4.0
    early_s: float = 0.25
    evacuate_s: float | None = None
    cold_excess: float = 1.0
    cold_slack: float = 0.0


@attrs.frozen
class StoreLimits:
    """The store's address and the limits that all daemons share."""

    address: str
    writes_per_s: float = 800.0
    reads_per_s: float = 2000.0
    row_bytes: int = DEFAULT_ROW_BYTES


OPERATORS_PORT = 9464
"""Port for metrics; the deploy file names the same one. The exporters of common
monitoring systems use this port, and the platform's ports are lower."""

DUTIES_PER_S = 64.0
"""Default rate of duties: the lowest one of the known deployments."""


@attrs.frozen
class NodeSettings:
    """The settings that the platform provides for one daemon.

    :param callers: ``host:port`` that serves callers.
    :param readiness: ``host:port`` that answers the platform's readiness checks.
    :param duties_per_s: number of machine orders per second that the cloud service
        accepts from all daemons together; on the wire ``dutyPerS``.
    :param cores: CPU capacity of this daemon, in cores.
    :param tolerated_halls: how many halls may be lost at once without an outage; on the
        wire ``faultTolerance.zones``. 0: a lost hall gets no special treatment.
    :param operators_port: port for metrics and operators' queries; 0 lets the operating
        system choose.
    :param peer_ports: first and last port for the traffic between daemons.
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
    tolerated_halls: int = 0
    bounds: Bounds = attrs.field(factory=Bounds)


class BadNodeSettings(ExceptionGroup[SettingsError]):
    """All errors in a daemon's settings, raised together."""


def decode_node(text: str) -> NodeSettings:
    """Decode the settings.

    :raises BadNodeSettings: the settings are invalid; it contains every error.
    """
    try:
        value = json.loads(text)
    except ValueError as error:
        mistake = SettingsError(
            f"is not JSON: {error}",
            remedy="correct the file at this position",
            location="$",
        )
        raise BadNodeSettings("the settings are invalid", [mistake]) from error
    errors = list(_find_errors(value))
    if errors:
        raise BadNodeSettings("the settings are invalid", errors)
    return _decode(value)


_REQUIRED: tuple[tuple[str, type], ...] = (
    ("node", str),
    ("ip", str),
    ("bindAddresses.front", str),
    ("bindAddresses.readiness", str),
    ("portRange", list),
    ("platform.address", str),
)

_NUMERIC = (
    "platform.writes_per_s",
    "platform.reads_per_s",
    "platform.row_bytes",
    "cloud.dutyPerS",
    "faultTolerance.zones",
)


def _find_errors(value: t.Any) -> t.Iterator[SettingsError]:
    """Yield one error per field that is missing or has the wrong type."""
    for path, kind in _REQUIRED:
        found = _find(value, path)
        if found is None:
            yield _error(path, "is missing", f"give a {kind.__name__}")
        elif not isinstance(found, kind):
            yield _error(path, "has the wrong type", f"give a {kind.__name__}")
    ports = _find(value, "portRange")
    if isinstance(ports, list) and not _is_port_range(ports):
        yield _error(
            "portRange", "is not a port range", "give the first and the last port"
        )
    bounds = _find(value, "bounds")
    numbers = [f"bounds.{name}" for name in bounds] if isinstance(bounds, dict) else []
    for path in (*_NUMERIC, *numbers):
        found = _find(value, path)
        if found is not None and not isinstance(found, int | float):
            yield _error(path, "is not a number", "give a number")


def _is_port_range(ports: list[t.Any]) -> bool:
    return len(ports) == 2 and all(isinstance(port, int) for port in ports)


def _find(value: t.Any, path: str) -> t.Any:
    for name in path.split("."):
        if not isinstance(value, dict):
            return None
        value = value.get(name)
    return value


def _error(path: str, message: str, remedy: str) -> SettingsError:
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
        tolerated_halls=int(_find(value, "faultTolerance.zones") or 0),
        operators_port=int(value.get("operatorsPort", OPERATORS_PORT)),
        bounds=_decode_bounds(value.get("bounds") or {}),
    )


def _cores(limits: JsonObject) -> float:
    """Return a daemon's CPU cores: its share of the cores of a faster machine."""
    share = float(limits.get("cpuShare", 1.0))
    return share * float(limits.get("cores", 1)) or 1.0


def _decode_store(value: JsonObject) -> StoreLimits:
    return StoreLimits(
        address=value["address"],
        writes_per_s=float(value.get("writes_per_s", 800.0)),
        reads_per_s=float(value.get("reads_per_s", 2000.0)),
        row_bytes=int(value.get("row_bytes", DEFAULT_ROW_BYTES)),
    )


def _decode_bounds(value: JsonObject) -> Bounds:
    """Decode the bounds; those that the settings leave out have defaults."""
    defaults = Bounds()

    def number(name: str, default: float) -> float:
        return float(value.get(name, default))

    def milliseconds(name: str, default_s: float) -> float:
        return float(value.get(name, default_s * 1000)) / 1000

    evacuate_s: float | None = None
    if value.get("evacuateMs") is not None:
        evacuate_s = milliseconds("evacuateMs", 0.0)
    return Bounds(
        grace_s=number("graceS", defaults.grace_s),
        most_hold_s=milliseconds("maxHoldMs", defaults.most_hold_s),
        stop_s=milliseconds("stop_ms", defaults.stop_s),
        notice_s=milliseconds("notice_ms", defaults.notice_s),
        move_s=number("move_s", defaults.move_s),
        upkeep_s=number("upkeep_s", defaults.upkeep_s),
        harm_s=milliseconds("harm_ms", defaults.harm_s),
        early_s=milliseconds("early_ms", defaults.early_s),
        evacuate_s=evacuate_s,
        cold_excess=number("coldExcess", defaults.cold_excess),
        cold_slack=number("coldSlack", defaults.cold_slack),
    )
