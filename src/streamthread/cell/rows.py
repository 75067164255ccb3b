"""The stored rows that identify the cell's holder and its latest commit."""

import json
import uuid

import attrs
import msgspec

from ..decoding import Amount
from ..decoding import Count
from ..decoding import Decoder
from ..decoding import is_host_port
from ..decoding import OWN_ROW_REMEDY
from ..errors import UnreadableError

__all__ = [
    "HEAD_KEY",
    "OWNER_KEY",
    "TABLE_BODIES",
    "TABLE_CHUNKS",
    "TABLE_HEAD",
    "TABLE_INBOX",
    "TABLE_JOBS",
    "TABLE_MEMBERS",
    "TABLE_OWNER",
    "TABLE_RUNS",
    "Head",
    "Owner",
    "decode_address",
    "new_nonce",
]

TABLE_OWNER = "cell-owner"
"""Contains one row, which names the holder of the cell."""

TABLE_HEAD = "cell-head"
"""Contains one row, which each commit and acquisition replaces: see :class:`Head`."""

TABLE_JOBS = "cell-jobs"
"""One row per job: its submission, or how it ended."""

TABLE_BODIES = "cell-bodies"
"""Rows that each hold a part of a large job's submitted body."""

TABLE_RUNS = "cell-runs"
"""One row per job: its progress."""

TABLE_CHUNKS = "cell-chunks"
"""Rows that each hold the progress of some tasks of a large job."""

TABLE_MEMBERS = "cell-members"
"""One row per daemon: its address."""

TABLE_INBOX = "cell-inbox"
"""Submissions and cancels that wait for the holder, for their route or their job."""

OWNER_KEY = "owner"
HEAD_KEY = "head"


def new_nonce() -> str:
    """Return a unique identifier of a transaction."""
    return uuid.uuid4().hex[:16]


@attrs.frozen
class Owner:
    """The holder of the cell.

    :param token: the fencing token, which increases with each holder.
    :param released: whether the holder has released the cell.
    :param successor: the daemon that should acquire a released cell first.
    """

    daemon_id: str
    incarnation: str
    address: str
    token: Count
    released: bool = False
    successor: str = ""

    def encode(self) -> bytes:
        """Encode the row's value."""
        return json.dumps(attrs.asdict(self)).encode()

    @classmethod
    def decode(cls, value: bytes) -> "Owner":
        """Decode a row's value.

        :raises UnreadableError: the value does not describe an owner.
        """
        return _OWNERS.decode(value, f"{TABLE_OWNER}/{OWNER_KEY}")


@attrs.frozen
class Head:
    """Identifies the last transaction, so that its outcome can be read back.

    Every commit requires the version of this row that it saw, and replaces the row. Of
    two commits that saw the same version only one takes effect, however late they
    arrive.

    :param term_s: how long the holder's lease is valid after this transaction was sent;
        None if it is not stated.
    """

    nonce: str
    token: int
    term_s: float | None = None

    def encode(self) -> bytes:
        """Encode the row's value."""
        return json.dumps([self.nonce, self.token, self.term_s]).encode()

    @classmethod
    def decode(cls, value: bytes) -> "Head":
        """Decode a row's value.

        :raises UnreadableError: the value does not describe a transaction.
        """
        row = _HEADS.decode(value, f"{TABLE_HEAD}/{HEAD_KEY}")
        return cls(row.nonce, row.token, row.term_s)


def decode_address(daemon_id: str, value: bytes) -> str:
    """Decode the address in a member's row.

    :raises UnreadableError: the value is not a valid address.
    """
    text = value.decode(errors="replace")
    if not is_host_port(text):
        key = f"{TABLE_MEMBERS}/{daemon_id}"
        raise UnreadableError(
            "is not a host:port address", remedy=OWN_ROW_REMEDY, key=key
        )
    return text


class _HeadRow(msgspec.Struct, array_like=True):
    nonce: str
    token: Count
    term_s: Amount | None = None


_OWNERS = Decoder[Owner](Owner, remedy=OWN_ROW_REMEDY)
_HEADS = Decoder[_HeadRow](_HeadRow, remedy=OWN_ROW_REMEDY)
