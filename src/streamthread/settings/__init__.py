"""The settings file of a daemon, in JSON, checked as a whole."""

import json
import pathlib
import typing as t

import attrs
from cattrs.errors import BaseValidationError

from ..configuration import BadConfiguration
from ..configuration import Change
from ..configuration import check_changes
from ..configuration import flatten
from ..errors import leaf_errors
from ..errors import SettingsError
from ..errors import StreamthreadError
from ..fleet.service import FleetSettings
from ..jobs.service import JobSettings
from ..leases import LeaseSettings
from ..peers import PeerSettings
from ..providers import JsonObject
from ..requests import ClaimSettings
from ..requests import SweepSettings
from ..structure import strict_converter
from ..structure import structure_errors
from ..timeline import ArchiveSettings

__all__ = [
    "BadSettings",
    "EntrySettings",
    "ListenSettings",
    "PlatformSettings",
    "check_settings",
    "load_json",
    "load_settings",
]


class BadSettings(ExceptionGroup[StreamthreadError]):
    """All that is wrong with a settings file, at once."""


@attrs.frozen
class ListenSettings:
    """Where a port listens; port 0 lets the system choose."""

    host: str = "127.0.0.1"
    port: int = attrs.field(
        default=0,
        validator=attrs.validators.and_(
            attrs.validators.ge(0), attrs.validators.le(65535)
        ),
    )


@attrs.frozen
class PlatformSettings:
    """Which platform: ``http`` with its URL, or ``memory`` within the process."""

    kind: str = attrs.field(validator=attrs.validators.in_(("http", "memory")))
    url: str = ""
    timeout_s: float = 2.0


@attrs.frozen
class EntrySettings:
    """The settings of one entry daemon.

    :param advertised_peers_address: ``host:port`` that peers should use, where
        it is not the one that the peers' port listens on.
    :param stale_s: cut off from the store and most peers for longer, the daemon
        takes no new requests.
    :param linger_s: how long a stopping daemon still accepts, unready.
    :param finish_s: how long it waits for requests in flight.
    :param configuration: applied once, where there is none yet.
    """

    daemon_id: str
    hall: str
    platform: PlatformSettings
    peers: PeerSettings
    callers: ListenSettings = attrs.field(factory=ListenSettings)
    operators: ListenSettings = attrs.field(factory=ListenSettings)
    advertised_peers_address: str = ""
    configuration_poll_s: float = 4.0
    stale_s: float = 8.0
    linger_s: float = 2.0
    finish_s: float = 60.0
    leases: LeaseSettings = attrs.field(factory=LeaseSettings)
    fleet: FleetSettings = attrs.field(factory=FleetSettings)
    jobs: JobSettings = attrs.field(factory=JobSettings)
    claims: ClaimSettings = attrs.field(factory=ClaimSettings)
    sweep: SweepSettings = attrs.field(factory=SweepSettings)
    archive: ArchiveSettings = attrs.field(factory=ArchiveSettings)
    configuration: dict[str, t.Any] | None = None


def load_json(path: pathlib.Path) -> JsonObject:
    """Read a JSON object from a file.

    :raises SettingsError: it cannot be read; the location is its place.
    """
    try:
        value = json.loads(path.read_text())
    except OSError as error:
        raise SettingsError(
            f"cannot be read: {error.strerror}",
            remedy="name a file that exists",
            location=str(path),
        ) from error
    except json.JSONDecodeError as error:
        raise SettingsError(
            f"is not JSON: {error.msg}",
            remedy="mend it at this place",
            location=f"{path}:{error.lineno}:{error.colno}",
        ) from error
    if not isinstance(value, dict):
        raise SettingsError(
            "is not a JSON object", remedy="begin with {", location=str(path)
        )
    return value


def check_settings(value: JsonObject) -> list[StreamthreadError]:
    """Return all that is wrong with the settings in a JSON object."""
    errors: list[StreamthreadError] = []
    try:
        strict_converter.structure(value, EntrySettings)
    except BaseValidationError as group:
        errors.extend(structure_errors(group, "$"))
    configuration = value.get("configuration")
    if isinstance(configuration, dict):
        errors.extend(_check_configuration(configuration))
    return errors


def _check_configuration(document: JsonObject) -> t.Sequence[StreamthreadError]:
    try:
        changes = [Change(key, item) for key, item in flatten(document).items()]
        check_changes(changes, {})
    except BadConfiguration as group:
        return leaf_errors(group)
    return []


def load_settings(path: pathlib.Path) -> EntrySettings:
    """Read and check a settings file.

    :raises SettingsError: it is not a JSON object.
    :raises BadSettings: it has mistakes; all of them.
    """
    value = load_json(path)
    errors = check_settings(value)
    if errors:
        raise BadSettings(f"{path} has mistakes", errors)
    return strict_converter.structure(value, EntrySettings)
