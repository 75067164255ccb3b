"""Reads of the cell's small tables that return None instead of raising an error."""

import logbook

from ..errors import OutcomeUnknownError
from ..errors import StoreUnavailableError
from ..errors import UnreadableError
from ..platform.store import Page
from ..platform.store import RowStore
from .rows import Head

__all__ = ["head_or_none", "read_or_none"]

log = logbook.Logger("streamthread.cell")


async def read_or_none(store: RowStore, table: str, part: str) -> Page | None:
    """Read a table of one row, or return None if the store does not answer."""
    try:
        return await store.read(table, part)
    except (StoreUnavailableError, OutcomeUnknownError):
        return None


def head_or_none(value: bytes) -> Head | None:
    """Decode a head row, or return None if it cannot be decoded and so is not ours."""
    try:
        return Head.decode(value)
    except UnreadableError as error:
        log.warning("head-row-unreadable", extra={"error": str(error)})
        return None
