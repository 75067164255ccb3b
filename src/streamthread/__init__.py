"""streamthread, a fleet capacity and maintenance manager.

The daemons are thin; each slice (``leases``, ``configuration``, ``fleet``,
``maintenance``, ``jobs``, ``requests``) can be embedded on its own.
"""

__version__ = "0.1.0"

__all__ = ["__version__"]
