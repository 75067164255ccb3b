"""From a service to its upstreams: pool views, marks, health and slots."""

import time
import typing as t

import attrs

from ..configuration import ConfigurationService
from ..configuration import ServiceSpec
from ..configuration import TeamSpec
from ..fleet.catalog import Catalog
from ..fleet.pools import MemberState
from ..fleet.views import PoolView
from ..fleet.views import PoolViews
from ..peers import peers_pb2 as pb
from ..peers.rumors import RumorStore
from ..providers import InstanceStatus
from ..timeline import Recorder
from .outcomes import Outcome
from .outcomes import Problem
from .shares import Borrowing
from .shares import own_slots
from .slots import SlotQueue
from .upstreams import choose
from .upstreams import Upstream
from .upstreams import UpstreamHealth

__all__ = ["Router", "Slot"]

AREA = "requests"
NO_UPSTREAM_RETRY_S = 2.0
WAITING_KEPT_S = 1.0
"""A service counts as waiting for so long after a request waited."""


@attrs.frozen
class Slot:
    """A slot that a request occupies.

    :param borrowed: it belongs to another entry.
    """

    service: str
    upstream: Upstream
    borrowed: bool


class Router:
    """Chooses upstreams and counts what is in flight on them.

    :param entry: this entry's id.
    :param entries: returns the live entries' ids, sorted, this one's among them.
    """

    def __init__(
        self,
        entry: str,
        hall: str,
        configuration: ConfigurationService,
        catalog: Catalog,
        views: PoolViews,
        rumors: RumorStore,
        recorder: Recorder,
        entries: t.Callable[[], tuple[str, ...]],
        spread_soon: t.Callable[[], None],
    ) -> None:
        self._entry = entry
        self._hall = hall
        self._configuration = configuration
        self._catalog = catalog
        self._views = views
        self._rumors = rumors
        self._recorder = recorder
        self._entries = entries
        self._spread_soon = spread_soon
        self._health: dict[str, UpstreamHealth] = {}
        self._queues: dict[str, SlotQueue] = {}
        self._borrowing: dict[str, Borrowing] = {}
        self._waited_at_s: dict[str, float] = {}
        self._upstreams: dict[str, tuple[t.Any, list[Upstream]]] = {}
        self._marks = 0
        self._waiting_at: dict[str, frozenset[str]] = {}
        rumors.listen(self._on_rumor)

    # Choice.

    async def acquire(
        self,
        name: str,
        spec: ServiceSpec,
        deadline_at_s: float,
        tried: set[str],
        again: bool = False,
        team: str = "",
    ) -> Slot:
        """Return a slot on an upstream; :meth:`release` it later.

        :param tried: the upstreams that refused this request lately.
        :param again: it was refused, and keeps its place in front.
        :param team: whose request it is; teams wait in fair turns.
        :raises Problem: not-run, at once when waiting would be in vain.
        """
        queue = self._queue(name, spec)
        slot = self._take(name, spec, tried) if again or not len(queue) else None
        if slot is None:
            if not again:
                self._refuse_hopeless(name, queue, deadline_at_s)
            self._note_waiting(name)
            slot = await queue.take(
                lambda: self._take(name, spec, tried),
                deadline_at_s - queue.run_s,
                in_front=again,
                team=team,
                weight=self._weight_of(team),
            )
        if slot is None:
            raise _overloaded(
                name, "no upstream had a free slot in time", queue.expected_wait_s()
            )
        return slot

    def _weight_of(self, team: str) -> float:
        spec = (
            self._configuration.active.spec(f"team/{team}", TeamSpec) if team else None
        )
        return spec.weight if spec is not None else 1.0

    def release(self, slot: Slot) -> None:
        """Give a slot back."""
        self._health[slot.upstream.instance_id].in_flight -= 1
        queue = self._queues.get(slot.service)
        if queue is not None:
            queue.release()

    def _queue(self, name: str, spec: ServiceSpec) -> SlotQueue:
        queue = self._queues.get(name)
        if queue is None or queue.limit != spec.queue_limit:
            queue = self._queues[name] = SlotQueue(spec.queue_limit)
        return queue

    def _take(self, name: str, spec: ServiceSpec, tried: set[str]) -> Slot | None:
        upstreams = self.upstreams(spec)
        if not upstreams:
            raise _overloaded(name, "no upstream is in service", NO_UPSTREAM_RETRY_S)
        may_borrow = not self._others_wait(name) and self._borrowing_of(name).may_try(
            time.monotonic()
        )
        chosen = choose(upstreams, self._health, self._hall, tried, may_borrow)
        if chosen is None:
            tried.clear()
            return None
        self._health[chosen.upstream.instance_id].in_flight += 1
        return Slot(name, chosen.upstream, chosen.borrowed)

    def _others_wait(self, name: str) -> bool:
        """Whether another entry lacks slots itself, so that it needs its own."""
        return any(
            name in self._waiting_at.get(entry, ())
            for entry in self._entries()
            if entry != self._entry
        )

    def _note_waiting(self, name: str) -> None:
        """Tell the others soon that requests wait here."""
        now_s = time.monotonic()
        if now_s - self._waited_at_s.get(name, -WAITING_KEPT_S) >= WAITING_KEPT_S:
            self._spread_soon()
        self._waited_at_s[name] = now_s

    def waiting(self) -> list[str]:
        """Return the services for which requests waited here lately."""
        since_s = time.monotonic() - WAITING_KEPT_S
        return sorted(
            name for name, at_s in self._waited_at_s.items() if at_s >= since_s
        )

    def _borrowing_of(self, name: str) -> Borrowing:
        return self._borrowing.setdefault(name, Borrowing())

    @staticmethod
    def _refuse_hopeless(name: str, queue: SlotQueue, deadline_at_s: float) -> None:
        """Refuse at once what would wait in vain, or run past its deadline."""
        wait_s = queue.expected_wait_s()
        if queue.is_full:
            raise _overloaded(name, "the queue is full", wait_s)
        if wait_s + queue.run_s > deadline_at_s - time.monotonic():
            cause = "the queue is longer than the deadline allows"
            raise _overloaded(name, cause, wait_s)

    def upstreams(self, spec: ServiceSpec) -> list[Upstream]:
        """Return the upstreams that may take new work for a service."""
        view = self._views.view(spec.pool)
        if view is None:
            return []
        state = (
            spec,
            view.version,
            self._catalog.version,
            self._marks,
            self._entries(),
        )
        known = self._upstreams.get(spec.pool)
        if known is None or known[0] != state:
            known = (state, self._find_upstreams(spec, view))
            self._upstreams[spec.pool] = known
        return known[1]

    def _find_upstreams(self, spec: ServiceSpec, view: PoolView) -> list[Upstream]:
        entries = self._entries()
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
            self._upstream(instance_id, max(1, limit), own.get(instance_id, 0))
            for instance_id in serving
        ]

    def _may_serve(self, instance_id: str) -> bool:
        instance = self._catalog.instances.get(instance_id)
        if instance is None or not instance.address:
            return False
        health = self._health.setdefault(instance_id, UpstreamHealth())
        if instance.status is not InstanceStatus.LIVE:
            return False
        return health.left_boot < instance.boot

    def _upstream(self, instance_id: str, limit: int, own: int) -> Upstream:
        instance = self._catalog.instances[instance_id]
        return Upstream(
            instance_id, instance.address, instance.hall, instance.boot, limit, own
        )

    # Signs of health.

    def note_accepted(self, slot: Slot) -> None:
        """Note that an upstream took the request."""
        if slot.borrowed:
            self._borrowing_of(slot.service).note_taken()

    def note_success(self, slot: Slot, run_s: float) -> None:
        """Note a whole answer, and how long it took."""
        self._health[slot.upstream.instance_id].note_success()
        queue = self._queues.get(slot.service)
        if queue is not None:
            queue.note_run(run_s)

    def note_failure(self, upstream: Upstream, cause: str) -> None:
        """Note a broken or refused connection."""
        health = self._health[upstream.instance_id]
        if health.note_failure(time.monotonic()):
            self._recorder.record(
                AREA, "upstream-ejected", f"instance/{upstream.instance_id}", cause
            )

    def note_full(self, slot: Slot) -> None:
        """Note a refusal for want of a slot."""
        now_s = time.monotonic()
        self._health[slot.upstream.instance_id].note_full(now_s)
        if slot.borrowed:
            self._borrowing_of(slot.service).note_refused(now_s)

    def note_leaving(self, upstream: Upstream, reason: str) -> None:
        """Note that an upstream said it leaves, and tell the peers."""
        mark = pb.LeavingMark(instance_id=upstream.instance_id, reason=reason)
        rumor = pb.Rumor(
            key=f"leaving/{upstream.instance_id}", version=upstream.boot, leaving=mark
        )
        if self._rumors.offer(rumor):
            self._spread_soon()

    def _on_rumor(self, rumor: pb.Rumor) -> None:
        body = rumor.WhichOneof("body")
        if body == "daemon":
            waiting = frozenset(rumor.daemon.waiting)
            self._waiting_at[rumor.daemon.daemon_id] = waiting
        elif body == "leaving":
            self._on_leaving(rumor)

    def _on_leaving(self, rumor: pb.Rumor) -> None:
        instance_id = rumor.leaving.instance_id
        health = self._health.setdefault(instance_id, UpstreamHealth())
        health.left_boot = max(health.left_boot, rumor.version)
        self._marks += 1
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
