"""Reads of the cell's small tables, where no answer is an answer, too."""

from ..errors import OutcomeUnknownError
from ..errors import StoreUnavailableError
from ..platform.store import Page
from ..platform.store import RowStore

__all__ = ["read_or_none"]


async def read_or_none(store: RowStore, table: str, part: str) -> Page | None:
    """Read a table of one row, or return None: the store does not answer."""
    try:
        return await store.read(table, part)
    except (StoreUnavailableError, OutcomeUnknownError):
        return None
