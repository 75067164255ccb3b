"""Calls that other daemons left in the store while the holder was out of reach."""

import json

import attrs

from ..cell.rows import new_nonce

__all__ = ["InboxEntry", "inbox_key"]


@attrs.frozen
class InboxEntry:
    """A job that was handed in, or a cancel, kept until the holder takes it.

    :param body: the job as it was handed in; empty for a cancel.
    """

    job_id: str
    route: str
    body: str = ""

    @property
    def is_cancel(self) -> bool:
        """Whether it asks for a cancel."""
        return not self.body

    def encode(self) -> bytes:
        """Return the row's value."""
        return json.dumps([self.job_id, self.route, self.body]).encode()

    @classmethod
    def decode(cls, value: bytes) -> "InboxEntry":
        """Return what a row's value says."""
        job_id, route, body = json.loads(value)
        return cls(job_id, route, body)


def inbox_key(entry: InboxEntry) -> str:
    """Return a key that no other entry has."""
    return f"{entry.job_id}.{new_nonce()}"
