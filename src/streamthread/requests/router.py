"""From a service to its upstreams: pool views, marks, health and slots."""

import time
import typing as t

from ..configuration import ConfigurationService
from ..configuration import ServiceSpec
from ..fleet.catalog import Catalog
from ..fleet.pools import MemberState
from ..fleet.views import PoolViews
from ..peers import peers_pb2 as pb
from ..peers.rumors import RumorBook
from ..platform import InstanceStatus
from ..timeline import Recorder
from .outcomes import Outcome
from .outcomes import Problem
from .slots import SlotQueue
from .upstreams import choose
from .upstreams import Upstream
from .upstreams import UpstreamHealth

__all__ = ["Router"]

AREA = "requests"
NO_UPSTREAM_RETRY_S = 2.0


class Router:
    """Chooses upstreams and counts what is in flight on them.

    :param daemon_count: how many daemons share the upstreams' connections.
    """

    def __init__(
        self,
        hall: str,
        configuration: ConfigurationService,
        catalog: Catalog,
        views: PoolViews,
        rumors: RumorBook,
        recorder: Recorder,
        daemon_count: t.Callable[[], int],
        spread_soon: t.Callable[[], None],
    ) -> None:
        self._hall = hall
        self._configuration = configuration
        self._catalog = catalog
        self._views = views
        self._rumors = rumors
        self._recorder = recorder
        self._daemon_count = daemon_count
        self._spread_soon = spread_soon
        self._health: dict[str, UpstreamHealth] = {}
        self._queues: dict[str, SlotQueue] = {}
        rumors.listen(self._on_rumor)

    # Choice.

    async def acquire(
        self, name: str, spec: ServiceSpec, deadline_at_s: float, tried: set[str]
    ) -> Upstream:
        """Return an upstream with a slot taken on it; :meth:`release` it later.

        :raises Problem: not-run, at once when waiting would be in vain.
        """
        queue = self._queue(name, spec)
        upstream = None if len(queue) else self._take(name, spec, tried)
        if upstream is None:
            self._refuse_hopeless(name, spec, queue, deadline_at_s)
            upstream = await queue.take(
                lambda: self._take(name, spec, tried), deadline_at_s
            )
        if upstream is None:
            raise _overloaded(
                name, "no upstream had a free slot in time", queue.expected_wait_s()
            )
        return upstream

    def release(self, name: str, upstream: Upstream) -> None:
        """Give a slot back."""
        self._health[upstream.instance_id].in_flight -= 1
        queue = self._queues.get(name)
        if queue is not None:
            queue.release()

    def _queue(self, name: str, spec: ServiceSpec) -> SlotQueue:
        queue = self._queues.get(name)
        if queue is None or queue.limit != spec.queue_limit:
            queue = self._queues[name] = SlotQueue(spec.queue_limit)
        return queue

    def _take(self, name: str, spec: ServiceSpec, tried: set[str]) -> Upstream | None:
        upstreams = self.upstreams(spec)
        if not upstreams:
            raise _overloaded(name, "no upstream is in service", NO_UPSTREAM_RETRY_S)
        chosen = choose(upstreams, self._health, self._hall, tried)
        if chosen is None:
            tried.clear()
            return None
        self._health[chosen.instance_id].in_flight += 1
        return chosen

    @staticmethod
    def _refuse_hopeless(
        name: str, spec: ServiceSpec, queue: SlotQueue, deadline_at_s: float
    ) -> None:
        """Refuse at once what would wait in vain."""
        wait_s = queue.expected_wait_s()
        if queue.is_full:
            raise _overloaded(name, "the queue is full", wait_s)
        if wait_s > deadline_at_s - time.monotonic():
            cause = "the queue is longer than the deadline allows"
            raise _overloaded(name, cause, wait_s)

    def upstreams(self, spec: ServiceSpec) -> list[Upstream]:
        """Return the upstreams that may take new work for a service."""
        view = self._views.view(spec.pool)
        if view is None:
            return []
        connections = spec.connections_per_instance // max(1, self._daemon_count())
        limit = max(1, min(spec.slots_per_instance, connections))
        return [
            upstream
            for instance_id, state in view.states.items()
            if state is MemberState.SERVING
            and (upstream := self._upstream(instance_id, limit)) is not None
        ]

    def _upstream(self, instance_id: str, limit: int) -> Upstream | None:
        instance = self._catalog.instances.get(instance_id)
        if instance is None or not instance.address:
            return None
        health = self._health.setdefault(instance_id, UpstreamHealth())
        if instance.status is not InstanceStatus.LIVE:
            return None
        if health.left_boot >= instance.boot:
            return None
        return Upstream(
            instance_id, instance.address, instance.hall, instance.boot, limit
        )

    # Signs of health.

    def note_success(self, upstream: Upstream) -> None:
        """Note a whole answer."""
        self._health[upstream.instance_id].note_success()

    def note_failure(self, upstream: Upstream, cause: str) -> None:
        """Note a broken or refused connection."""
        health = self._health[upstream.instance_id]
        if health.note_failure(time.monotonic()):
            self._recorder.record(
                AREA, "upstream-ejected", f"instance/{upstream.instance_id}", cause
            )

    def note_full(self, upstream: Upstream) -> None:
        """Note a refusal for want of a slot."""
        self._health[upstream.instance_id].note_full(time.monotonic())

    def note_leaving(self, upstream: Upstream, reason: str) -> None:
        """Note that an upstream said it leaves, and tell the peers."""
        mark = pb.LeavingMark(instance_id=upstream.instance_id, reason=reason)
        rumor = pb.Rumor(
            key=f"leaving/{upstream.instance_id}", version=upstream.boot, leaving=mark
        )
        if self._rumors.offer(rumor):
            self._spread_soon()

    def _on_rumor(self, rumor: pb.Rumor) -> None:
        if rumor.WhichOneof("body") != "leaving":
            return
        instance_id = rumor.leaving.instance_id
        health = self._health.setdefault(instance_id, UpstreamHealth())
        health.left_boot = max(health.left_boot, rumor.version)
        self._recorder.record(
            AREA, "upstream-leaving", f"instance/{instance_id}", rumor.leaving.reason
        )

    # What others ask.

    def drain_reports(self) -> list[pb.DrainReport]:
        """Return what is still in flight here on the instances that drain."""
        return [
            pb.DrainReport(
                instance_id=instance_id,
                view_version=view.version,
                in_flight=self.in_flight_on(instance_id),
            )
            for view, instance_id in self._views.draining()
        ]

    def in_flight_on(self, instance_id: str) -> int:
        """Return how many requests are in flight on one instance."""
        health = self._health.get(instance_id)
        return health.in_flight if health else 0

    def queued(self) -> int:
        """Return how many requests wait for a slot."""
        return sum(len(queue) for queue in self._queues.values())


def _overloaded(name: str, cause: str, retry_after_s: float) -> Problem:
    return Problem(
        status=503,
        kind="overloaded",
        detail=f"service {name!r}: {cause}",
        remedy="send it again after the time in Retry-After",
        outcome=Outcome.NOT_RUN,
        retry_after_s=retry_after_s,
    )
