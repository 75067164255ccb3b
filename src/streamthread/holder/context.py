"""What a daemon passes to its holder: clients, documents and settings."""

import typing as t

import attrs

from ..capacity import CapacitySettings
from ..cell import LeaseTimes
from ..halls import HallPolicy
from ..halls import OPEN_HALLS
from ..loops import Failures
from ..platform.advice import AdviceClient
from ..platform.cloud import CloudClient
from ..platform.documents import Wave
from ..platform.manifest import Manifest
from ..platform.runners import RunnerClient
from ..platform.store import DEFAULT_ROW_BYTES
from ..platform.store import RowStore
from ..runners import LinkSettings
from ..scheduler import EngineSettings
from ..scheduler.orders import OrderSettings
from ..sharing import SharingSettings
from ..unreadable import UnreadableNotes
from ..upkeep import UpkeepSettings

__all__ = ["CellSettings", "DutySettings", "HolderContext", "ManifestSource"]


class ManifestSource(t.Protocol):
    """Provides the operator's newest documents."""

    manifest: Manifest | None
    waves: dict[int, Wave]


@attrs.frozen
class DutySettings:
    """How machines are monitored, and how their duties are decided.

    :param list_s: interval between reads of the list of machines.
    :param tick_s: interval between decisions.
    :param settle_s: an unanswered duty counts as not carried out if the list still
        shows no sign of it after this time.
    :param learn_s: a runner that a new holder has not reached yet counts as arriving
        for this time; a healthy one answers within about 0.1 s.
    :param arrive_s: a machine that is up may take this long until its runner is listed.
    """

    list_s: float = 0.5
    tick_s: float = 0.1
    settle_s: float = 4.0
    arrive_s: float = 3.0
    learn_s: float = 1.0
    capacity: CapacitySettings = attrs.field(factory=CapacitySettings)
    upkeep: UpkeepSettings = attrs.field(factory=UpkeepSettings)


@attrs.frozen
class CellSettings:
    """Settings of one cell.

    :param part: the part of the tables that contains the cell's rows.
    :param forget_s: the state of an ended job is available for at least this long.
    :param list_pause_s: pause between two reads of the list of runners.
    :param max_row_bytes: maximum size of a row's value in the store.
    :param watches_halls: whether halls are watched for the loss of most runners.
    """

    part: str = "main"
    forget_s: float = 150.0
    list_pause_s: float = 0.1
    max_row_bytes: int = DEFAULT_ROW_BYTES
    watches_halls: bool = False
    times: LeaseTimes = attrs.field(factory=LeaseTimes)
    links: LinkSettings = attrs.field(factory=LinkSettings)
    orders: OrderSettings = attrs.field(factory=OrderSettings)
    engine: EngineSettings = attrs.field(factory=EngineSettings)
    duties: DutySettings = attrs.field(factory=DutySettings)
    sharing: SharingSettings = attrs.field(factory=SharingSettings)


@attrs.define
class HolderContext:
    """The clients and documents that a holder works with.

    :param notes: collects reports of data that can't be decoded.
    :param failures: collects unexpected failures.
    :param halls: says which halls may be used.
    """

    daemon_id: str
    store: RowStore
    runners: RunnerClient
    cloud: CloudClient | None
    advice: AdviceClient | None
    documents: ManifestSource
    settings: CellSettings
    notes: UnreadableNotes = attrs.field(factory=UnreadableNotes)
    failures: Failures = attrs.field(factory=Failures)
    halls: HallPolicy = OPEN_HALLS
