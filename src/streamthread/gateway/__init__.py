"""The cell's daemon: serves callers, readiness checks, peers and operators."""

from .daemon import CellDaemon

__all__ = ["CellDaemon"]
