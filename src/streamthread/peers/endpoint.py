"""The served side of the peers' port."""

import json
import typing as t

import cattrs
from grpclib.const import Status
from grpclib.exceptions import GRPCError

from ..configuration import ConfigurationService
from ..providers import JsonObject
from ..timeline import EventFilter
from ..timeline import Recorder
from . import peers_pb2 as pb
from .peers_grpc import PeersBase

__all__ = ["Exchange", "JobsHandler", "PeerEndpoint"]

JobsHandler = t.Callable[[JsonObject], t.Awaitable[JsonObject]]
"""Carries out an operator's wish about jobs, here, as the holder."""


class Exchange(t.Protocol):
    """What the endpoint needs of the service."""

    def answer(self, request: pb.ExchangeRequest) -> pb.ExchangeReply:
        """Take a peer's news and return ours."""

    def sender(self) -> pb.Sender:
        """Return what every message begins with."""


class PeerEndpoint(PeersBase):
    """The served side of the peers' port."""

    def __init__(
        self,
        exchange: "Exchange",
        recorder: Recorder,
        configuration: ConfigurationService,
        jobs: JobsHandler,
    ) -> None:
        self._exchange = exchange
        self._recorder = recorder
        self._configuration = configuration
        self._jobs = jobs

    async def Exchange(self, stream: t.Any) -> None:  # noqa: N802
        """Answer an exchange."""
        request = await _receive(stream)
        await stream.send_message(self._exchange.answer(request))

    async def Snapshot(self, stream: t.Any) -> None:  # noqa: N802
        """Send the whole configuration."""
        await _receive(stream)
        snapshot = cattrs.unstructure(self._configuration.book.snapshot())
        reply = pb.SnapshotReply(
            sender=self._exchange.sender(), snapshot_json=json.dumps(snapshot)
        )
        await stream.send_message(reply)

    async def Timeline(self, stream: t.Any) -> None:  # noqa: N802
        """Send the events that match a filter."""
        request = await _receive(stream)
        event_filter = cattrs.structure(json.loads(request.filter_json), EventFilter)
        events = cattrs.unstructure(self._recorder.select(event_filter))
        reply = pb.TimelineReply(
            sender=self._exchange.sender(), events_json=json.dumps(events)
        )
        await stream.send_message(reply)

    async def Jobs(self, stream: t.Any) -> None:  # noqa: N802
        """Carry out a wish about jobs."""
        request = await _receive(stream)
        result = await self._jobs(json.loads(request.wish_json))
        reply = pb.JobsReply(
            sender=self._exchange.sender(), result_json=json.dumps(result)
        )
        await stream.send_message(reply)


async def _receive(stream: t.Any) -> t.Any:
    request = await stream.recv_message()
    if request is None:
        raise GRPCError(Status.INVALID_ARGUMENT, "the call carried no message")
    return request
