"""The configuration's items: pools, services, teams, label rules and waves.

The configuration is a map from an item's key (``pool/billing``) to its JSON
object. A change replaces or deletes single items, so its cost does not depend
on how many others there are.
"""

import datetime
import enum
import typing as t

import attrs
import cattrs
from cattrs.errors import ClassValidationError

from ..errors import SelectorError
from ..errors import SettingsError
from ..errors import StreamthreadError
from ..fleet.selectors import Selector
from ..providers import JsonObject
from ..structure import strict_converter
from ..structure import structure_errors

__all__ = [
    "BurstSpec",
    "Change",
    "HoldSpec",
    "ItemKind",
    "LabelRule",
    "PoolSpec",
    "RouteSpec",
    "ServiceSpec",
    "TeamSpec",
    "WaveSpec",
    "at_least",
    "check_item",
    "is_moment",
    "is_selector",
    "item_key",
    "parse_item",
    "split_key",
]


class ItemKind(enum.Enum):
    """The sections of the configuration."""

    POOL = "pool"
    SERVICE = "service"
    TEAM = "team"
    LABELS = "labels"
    WAVE = "wave"
    HOLD = "hold"
    BURST = "burst"


def is_selector(instance: t.Any, attribute: t.Any, value: str) -> None:
    """Check that a field holds a selector; the error names the field."""
    try:
        Selector.parse(value)
    except SelectorError as error:
        message = f"{error.message} at {error.location}"
        raise SettingsError(
            message, remedy=error.remedy, location=attribute.name
        ) from error


def at_least(lowest: float) -> t.Any:
    """Return a validator for numbers with a lower bound."""
    return attrs.validators.ge(lowest)


@attrs.frozen
class PoolSpec:
    """A pool: which instances may serve it, and its availability budget.

    :param min_available: a grant never leaves fewer serving instances.
    :param target: how many instances it wants; 0 takes all that match.
    :param priority: of two pools that an instance matches, the higher takes it.
    :param group: pools of one group share spares; empty for none.
    :param spare: whether this pool holds its group's spares; its target follows.
    :param size_error: the relative error that its declared bursts have shown.
    """

    selector: str = attrs.field(validator=is_selector)
    min_available: int = attrs.field(validator=at_least(0))
    target: int = attrs.field(default=0, validator=at_least(0))
    priority: int = 0
    group: str = ""
    spare: bool = False
    size_error: float = attrs.field(default=0.25, validator=at_least(0))


@attrs.frozen
class RouteSpec:
    """Requests below a path of a service, and whether they may be repeated."""

    prefix: str
    repeat_safe: bool


@attrs.frozen
class ServiceSpec:
    """A service that callers reach, and the pool that serves it.

    :param deadline_s: the longest a request may take, and the default.
    :param slots_per_instance: how many requests an upstream runs at once.
    """

    pool: str
    deadline_s: float = attrs.field(default=30.0, validator=at_least(0.1))
    slots_per_instance: int = attrs.field(default=8, validator=at_least(1))
    connections_per_instance: int = attrs.field(default=64, validator=at_least(1))
    queue_limit: int = attrs.field(default=200, validator=at_least(0))
    routes: tuple[RouteSpec, ...] = ()


@attrs.frozen
class TeamSpec:
    """A team with its quota of cores for jobs and its callers' token hash."""

    cores_quota: int = attrs.field(default=0, validator=at_least(0))
    token_sha256: str = ""
    weight: float = attrs.field(default=1.0, validator=at_least(0.01))


@attrs.frozen
class LabelRule:
    """Sets labels on all instances that a selector matches."""

    selector: str = attrs.field(validator=is_selector)
    set: dict[str, str]


@attrs.frozen
class WaveSpec:
    """A maintenance wave: each matching instance is rebooted once.

    :param period_days: once in each period of so many days, spread over it, for
        ever; 0 for a wave that runs once.
    :param max_failed_fraction: a pool halts when more of its reboots fail.
    """

    selector: str = attrs.field(validator=is_selector)
    paused: bool = False
    max_failed_fraction: float = attrs.field(default=0.1, validator=at_least(0))
    period_days: float = attrs.field(default=0.0, validator=at_least(0))


@attrs.frozen
class HoldSpec:
    """Keeps all matching instances drained until the item is deleted."""

    selector: str = attrs.field(validator=is_selector)


def is_moment(instance: t.Any, attribute: t.Any, value: str) -> None:
    """Check that a field holds a date and time with its zone."""
    try:
        moment = datetime.datetime.fromisoformat(value)
    except ValueError:
        moment = None
    if moment is None or moment.tzinfo is None:
        raise SettingsError(
            f"{value!r} is not a date and time with a zone",
            remedy="write it like 2026-12-31T08:00:00+00:00",
            location=attribute.name,
        )


@attrs.frozen
class BurstSpec:
    """An entry of the burst calendar: a pool needs more for a time.

    :param instances: how many more than its target.
    """

    pool: str
    start: str = attrs.field(validator=is_moment)
    end: str = attrs.field(validator=is_moment)
    instances: int = attrs.field(validator=at_least(1))


ItemSpec = (
    PoolSpec | ServiceSpec | TeamSpec | LabelRule | WaveSpec | HoldSpec | BurstSpec
)

_SPECS: dict[ItemKind, type[t.Any]] = {
    ItemKind.POOL: PoolSpec,
    ItemKind.SERVICE: ServiceSpec,
    ItemKind.TEAM: TeamSpec,
    ItemKind.LABELS: LabelRule,
    ItemKind.WAVE: WaveSpec,
    ItemKind.HOLD: HoldSpec,
    ItemKind.BURST: BurstSpec,
}


@attrs.frozen
class Change:
    """One item replaced, or deleted with ``value=None``."""

    key: str
    value: JsonObject | None


def item_key(kind: ItemKind, name: str) -> str:
    """Return the key of an item."""
    return f"{kind.value}/{name}"


def split_key(key: str) -> tuple[ItemKind, str]:
    """Return the kind and name of a key.

    :raises SettingsError: there is no such kind.
    """
    kind, _, name = key.partition("/")
    known = {member.value for member in ItemKind}
    if kind not in known or not name:
        raise SettingsError(
            f"unknown item {key!r}",
            remedy=f"use one of {', '.join(sorted(known))}, then / and a name",
            location=key,
        )
    return ItemKind(kind), name


def parse_item(key: str, value: JsonObject) -> ItemSpec:
    """Return an item that was checked before."""
    kind, _ = split_key(key)
    return t.cast(ItemSpec, strict_converter.structure(value, _SPECS[kind]))


def check_item(key: str, value: JsonObject) -> list[StreamthreadError]:
    """Return all that is wrong with an item."""
    try:
        parse_item(key, value)
    except SettingsError as error:
        return [error]
    except (ClassValidationError, cattrs.BaseValidationError) as group:
        return structure_errors(group, f"$.{key.replace('/', '.', 1)}")
    return []
