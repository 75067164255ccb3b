"""What the operators' port and the metrics read of a daemon."""

import typing as t
from abc import ABC
from abc import abstractmethod

from ..cell import cell_pb2 as pb
from ..cell import CellLease
from ..cell import PeerLinks
from ..holder import Holder
from ..loops import Failures
from ..platform.cloud import CloudClient
from ..platform.node import NodeSettings
from ..platform.runners import RunnerClient
from ..platform.store import RowStore
from ..unreadable import UnreadableNotes
from .documents import Documents
from .frontend import Frontend

__all__ = ["DaemonView"]


class DaemonView(ABC):
    """A daemon's parts, to be read and not changed.

    :param holder: what it does as the cell's holder; None while another one holds it.
    :param cloud: None where machines cannot be moved.
    :param notes: what of its reading was passed over.
    :param failures: what failed in it and nobody foresaw.
    :param lines_dropped: returns how many log lines were dropped.
    """

    node: NodeSettings
    lease: CellLease
    peers: PeerLinks
    documents: Documents
    frontend: Frontend
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
