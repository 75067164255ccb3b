"""Whom a holder counts as its followers."""

import asyncio
import typing as t

import pytest

from streamthread.cell import cell_pb2 as pb
from streamthread.cell import CellEndpoint

BEAT_S = 0.01


class _Stream:
    """A follower's stream, which breaks when a test says so."""

    def __init__(self) -> None:
        self.beats = 0
        self.broken = False

    async def recv_message(self) -> pb.FollowRequest:
        return pb.FollowRequest(daemon_id="daemon-1", address="peer:1")

    async def send_message(self, beat: pb.Beat) -> None:
        if self.broken:
            raise ConnectionResetError
        self.beats += 1


def _endpoint() -> CellEndpoint:
    unused = t.cast(t.Any, None)
    return CellEndpoint(unused, lambda: pb.Beat(token=1), BEAT_S, unused, unused)


async def _until_heard(stream: _Stream) -> None:
    while not stream.beats:
        await asyncio.sleep(BEAT_S)


class TestFollowers:
    async def test_that_came_back_stay_when_their_old_stream_ends(self) -> None:
        endpoint = _endpoint()
        old, new = _Stream(), _Stream()
        following_old = asyncio.ensure_future(endpoint.Follow(old))
        await _until_heard(old)
        following_new = asyncio.ensure_future(endpoint.Follow(new))
        await _until_heard(new)
        old.broken = True
        with pytest.raises(ConnectionResetError):
            await following_old
        assert endpoint.followers == {"daemon-1": "peer:1"}
        new.broken = True
        with pytest.raises(ConnectionResetError):
            await following_new
        assert endpoint.followers == {}
