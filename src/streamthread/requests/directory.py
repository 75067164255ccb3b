"""Lists the upstreams that may accept requests for a service, with their health."""

import typing as t

import attrs

from ..configuration import ServiceSpec
from ..fleet.catalog import Catalog
from ..fleet.pools import MemberState
from ..fleet.views import PoolView
from ..fleet.views import PoolViews
from ..providers import InstanceStatus
from .shares import own_slots
from .upstreams import Upstream
from .upstreams import UpstreamHealth

__all__ = ["UpstreamDirectory"]


@attrs.frozen
class _Inputs:
    """The inputs from which a list of upstreams was computed."""

    spec: ServiceSpec
    view_version: int
    catalog_version: int
    mark_count: int
    entries: tuple[str, ...]


@attrs.frozen
class _Listing:
    """The cached upstreams of a pool, valid until an input changes."""

    inputs: _Inputs
    upstreams: list[Upstream]


class UpstreamDirectory:
    """Computes lists of upstreams from pool views, membership and leaving marks.

    :param entry: this daemon's id.
    :param entries: returns the sorted ids of the live daemons, including this one.
    """

    def __init__(
        self,
        entry: str,
        catalog: Catalog,
        views: PoolViews,
        entries: t.Callable[[], tuple[str, ...]],
    ) -> None:
        self.health_by_id: dict[str, UpstreamHealth] = {}
        """Health by instance id; it is kept after an upstream leaves the list."""
        self._entry = entry
        self._catalog = catalog
        self._views = views
        self._entries = entries
        self._listings: dict[str, _Listing] = {}
        self._mark_count = 0

    def health(self, upstream: Upstream) -> UpstreamHealth:
        """Return the health of an upstream that this directory has listed."""
        return self.health_by_id[upstream.instance_id]

    def note_leaving(self, instance_id: str, boot: int) -> None:
        """Leave an instance out of the lists until it has booted again."""
        health = self.health_by_id.setdefault(instance_id, UpstreamHealth())
        health.left_boot = max(health.left_boot, boot)
        self._mark_count += 1

    def upstreams_for(self, spec: ServiceSpec) -> list[Upstream]:
        """Return the upstreams that may accept new requests for a service."""
        view = self._views.view(spec.pool)
        if view is None:
            return []
        inputs = _Inputs(
            spec, view.version, self._catalog.version, self._mark_count, self._entries()
        )
        listing = self._listings.get(spec.pool)
        if listing is None or listing.inputs != inputs:
            listing = _Listing(inputs, self._list_upstreams(spec, view, inputs.entries))
            self._listings[spec.pool] = listing
        return listing.upstreams

    def _list_upstreams(
        self, spec: ServiceSpec, view: PoolView, entries: tuple[str, ...]
    ) -> list[Upstream]:
        limit = min(
            spec.slots_per_instance, spec.connections_per_instance // len(entries)
        )
        serving = tuple(
            instance_id
            for instance_id, state in view.states.items()
            if state is MemberState.SERVING and self._may_serve(instance_id)
        )
        own = own_slots(
            tuple(sorted(serving)), spec.slots_per_instance, entries, self._entry
        )
        return [
            self._make_upstream(instance_id, max(1, limit), own.get(instance_id, 0))
            for instance_id in serving
        ]

    def _may_serve(self, instance_id: str) -> bool:
        instance = self._catalog.instances.get(instance_id)
        if instance is None or not instance.address:
            return False
        health = self.health_by_id.setdefault(instance_id, UpstreamHealth())
        if instance.status is not InstanceStatus.LIVE:
            return False
        return health.left_boot < instance.boot

    def _make_upstream(self, instance_id: str, limit: int, own: int) -> Upstream:
        instance = self._catalog.instances[instance_id]
        return Upstream(
            instance_id, instance.address, instance.hall, instance.boot, limit, own
        )
