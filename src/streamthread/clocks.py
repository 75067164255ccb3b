"""How far apart the clocks of two machines may run."""

__all__ = ["SLOWEST_CLOCK"]

SLOWEST_CLOCK = 0.98
"""A steady clock may run 2% slow: the platform promises it of the runners, and
daemons are given the same margin."""
