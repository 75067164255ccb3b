"""The entry daemon."""

from .daemon import Entry

__all__ = ["Entry"]
