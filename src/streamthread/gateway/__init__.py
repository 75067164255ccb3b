"""The daemon in front of the runners: callers, readiness, peers and the cell."""

from .daemon import CellDaemon

__all__ = ["CellDaemon"]
