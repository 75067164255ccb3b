"""The parts of a daemon that the operators' port and the metrics read."""

import typing as t
from abc import ABC
from abc import abstractmethod

from ..cell import cell_pb2 as pb
from ..cell import CellLease
from ..cell import PeerLinks
from ..halls import HallRegistry
from ..holder import Holder
from ..loops import Failures
from ..platform.cloud import CloudClient
from ..platform.node import NodeSettings
from ..platform.runners import RunnerClient
from ..platform.store import RowStore
from ..unreadable import UnreadableNotes
from .documents import Documents
from .forwarding import Forwarder
from .frontend import Frontend
from .reachability import ReachabilityMonitor
from .stored_states import StoredStates

__all__ = ["DaemonView"]


class DaemonView(ABC):
    """A read-only view of a daemon's parts.

    :param holder: None while another daemon holds the cell.
    :param reachability: None where the settings tolerate the loss of no hall.
    :param stored_states: None where the settings tolerate the loss of no hall.
    :param cloud: None if machines cannot be moved.
    :param notes: records input that was unreadable and was skipped.
    :param failures: counts unexpected failures.
    :param lines_dropped: returns the number of dropped log lines.
    """

    node: NodeSettings
    lease: CellLease
    peers: PeerLinks
    documents: Documents
    halls: HallRegistry
    frontend: Frontend
    forwarder: Forwarder
    stored_states: StoredStates | None
    reachability: ReachabilityMonitor | None
    holder: Holder | None
    store: RowStore
    runner_client: RunnerClient
    cloud: CloudClient | None
    notes: UnreadableNotes
    failures: Failures
    lines_dropped: t.Callable[[], int]

    @abstractmethod
    def is_ready(self) -> bool:
        """Whether the platform should send new connections here."""

    @abstractmethod
    def explain(self, request: pb.ExplainRequest) -> pb.ExplainReply:
        """Answer an operator's question as the holder."""
