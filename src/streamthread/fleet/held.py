"""Which pools are held here, found anew only when that may have changed."""

import typing as t

from ..configuration import ConfigurationService
from ..configuration import ItemKind
from ..configuration import PoolSpec
from ..leases import LeaseService
from .pools import pool_key
from .views import PoolViews

__all__ = ["HeldPools"]


class HeldPools:
    """The pools whose shards this daemon holds and may decide about."""

    def __init__(
        self,
        leases: LeaseService,
        configuration: ConfigurationService,
        views: PoolViews,
    ) -> None:
        self._leases = leases
        self._configuration = configuration
        self._views = views
        self._found_for: t.Any = None
        self._names: frozenset[str] = frozenset()

    def names(self) -> frozenset[str]:
        """Return the pools that are configured or have members, and are held."""
        state = (
            self._leases.holdings,
            self._leases.is_trusted(),
            self._configuration.active.generation,
            len(self._views.names()),
        )
        if state != self._found_for:
            self._found_for = state
            self._names = self._find()
        return self._names

    def _find(self) -> frozenset[str]:
        configured = self._configuration.active.specs(ItemKind.POOL, PoolSpec)
        names = configured.keys() | self._views.names()
        return frozenset(name for name in names if self._leases.holds(pool_key(name)))
