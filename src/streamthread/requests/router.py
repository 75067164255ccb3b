"""Acquires slots on a service's upstreams for requests, and releases them."""

import typing as t

import attrs

from ..clocks import boot_s
from ..configuration import ConfigurationService
from ..configuration import ServiceSpec
from ..configuration import TeamSpec
from ..fleet.catalog import Catalog
from ..fleet.views import PoolViews
from ..peers import peers_pb2 as pb
from ..peers.rumors import RumorStore
from ..timeline import Recorder
from .directory import UpstreamDirectory
from .outcomes import Outcome
from .outcomes import Problem
from .shares import BorrowingBackoff
from .slots import SlotQueue
from .upstreams import choose
from .upstreams import Upstream
from .waiting import WaitingServices

__all__ = ["Router", "Slot"]

AREA = "requests"
NO_UPSTREAM_RETRY_S = 2.0
"""Retry-After while a service has no upstream; only a change of its pool adds one."""


@attrs.frozen
class Slot:
    """A slot that a request occupies.

    :param borrowed: whether the slot belongs to another daemon.
    """

    service: str
    upstream: Upstream
    borrowed: bool


class Router:
    """Chooses upstreams and counts the requests in flight on each of them.

    :param entry: this daemon's id.
    :param entries: returns the sorted ids of the live daemons, including this one.
    :param spread_soon: requests an early exchange of updates with the peers.
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
        self._hall = hall
        self._configuration = configuration
        self._views = views
        self._rumors = rumors
        self._recorder = recorder
        self._spread_soon = spread_soon
        self._directory = UpstreamDirectory(entry, catalog, views, entries)
        self._waiting = WaitingServices(entry, entries, spread_soon)
        self._queues: dict[str, SlotQueue] = {}
        self._borrowing_backoffs: dict[str, BorrowingBackoff] = {}
        rumors.listen(self._on_rumor)

    # Choice of an upstream.

    async def acquire(
        self,
        name: str,
        spec: ServiceSpec,
        deadline_at_s: float,
        tried: set[str],
        is_retry: bool = False,
        team: str = "",
    ) -> Slot:
        """Return a slot on an upstream; the caller must :meth:`release` it.

        :param tried: ids of the upstreams that recently refused or failed this
            request. It is cleared when no upstream can be chosen.
        :param is_retry: whether an upstream was already tried; the request then goes
            to the front of the queue, because it already had a slot.
        :param team: the caller's team; the queue is fair between teams.
        :raises Problem: no slot became free in time (outcome not-run). It is raised
            at once if no upstream is in service, the queue is full, or the request
            could not end before its deadline.
        """
        queue = self._queue(name, spec)
        slot = (
            self._try_acquire(name, spec, tried) if is_retry or not len(queue) else None
        )
        if slot is None:
            if not is_retry:
                self._reject_infeasible(name, queue, deadline_at_s)
            self._waiting.note_waiting_here(name)
            slot = await queue.acquire(
                lambda: self._try_acquire(name, spec, tried),
                deadline_at_s - queue.run_s,
                in_front=is_retry,
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
        """Free a slot that :meth:`acquire` returned."""
        self._directory.health(slot.upstream).in_flight -= 1
        queue = self._queues.get(slot.service)
        if queue is not None:
            queue.release()

    def _queue(self, name: str, spec: ServiceSpec) -> SlotQueue:
        queue = self._queues.get(name)
        if queue is None or queue.limit != spec.queue_limit:
            queue = self._queues[name] = SlotQueue(spec.queue_limit)
        return queue

    def _try_acquire(
        self, name: str, spec: ServiceSpec, tried: set[str]
    ) -> Slot | None:
        upstreams = self._directory.upstreams_for(spec)
        if not upstreams:
            raise _overloaded(name, "no upstream is in service", NO_UPSTREAM_RETRY_S)
        chosen = choose(
            upstreams,
            self._directory.health_by_id,
            self._hall,
            tried,
            self._may_borrow(name),
        )
        if chosen is None:
            tried.clear()
            return None
        self._directory.health(chosen.upstream).in_flight += 1
        return Slot(name, chosen.upstream, chosen.borrowed)

    def _may_borrow(self, name: str) -> bool:
        """Whether requests for the service may use slots of other daemons now.

        They may not while requests for it wait at another daemon, which then needs its
        own slots, nor during the backoff after an upstream refused such a request.
        """
        if self._waiting.is_waiting_elsewhere(name):
            return False
        return self._borrowing_backoff(name).may_try(boot_s())

    def _borrowing_backoff(self, name: str) -> BorrowingBackoff:
        return self._borrowing_backoffs.setdefault(name, BorrowingBackoff())

    @staticmethod
    def _reject_infeasible(name: str, queue: SlotQueue, deadline_at_s: float) -> None:
        """Reject a request that finds a full queue or cannot end by its deadline."""
        wait_s = queue.expected_wait_s()
        if queue.is_full:
            raise _overloaded(name, "the queue is full", wait_s)
        if wait_s + queue.run_s > deadline_at_s - boot_s():
            cause = "the queue is longer than the deadline allows"
            raise _overloaded(name, cause, wait_s)

    # Health of upstreams.

    def note_accepted(self, slot: Slot) -> None:
        """Record that an upstream accepted the request."""
        if slot.borrowed:
            self._borrowing_backoff(slot.service).note_accepted()

    def note_success(self, slot: Slot, run_s: float | None) -> None:
        """Record an answer, even one that broke off, and how long it took if known."""
        self._directory.health(slot.upstream).note_success()
        queue = self._queues.get(slot.service)
        if queue is not None and run_s is not None:
            queue.note_run(run_s)

    def note_failure(self, upstream: Upstream, cause: str) -> None:
        """Record a broken or refused connection."""
        health = self._directory.health(upstream)
        if health.note_failure(boot_s()):
            self._recorder.record(
                AREA, "upstream-ejected", f"instance/{upstream.instance_id}", cause
            )

    def note_full(self, slot: Slot) -> None:
        """Record that an upstream refused a request because it had no free slot."""
        now_s = boot_s()
        self._directory.health(slot.upstream).note_full(now_s)
        if slot.borrowed:
            self._borrowing_backoff(slot.service).note_refused(now_s)

    def note_leaving(self, upstream: Upstream, reason: str) -> None:
        """Record that an upstream announced that it is leaving; notify the peers."""
        mark = pb.LeavingMark(instance_id=upstream.instance_id, reason=reason)
        rumor = pb.Rumor(
            key=f"leaving/{upstream.instance_id}", version=upstream.boot, leaving=mark
        )
        if self._rumors.offer(rumor):
            self._spread_soon()

    def _on_rumor(self, rumor: pb.Rumor) -> None:
        body = rumor.WhichOneof("body")
        if body == "daemon":
            self._waiting.note_waiting_at(rumor.daemon.daemon_id, rumor.daemon.waiting)
        elif body == "leaving":
            instance_id = rumor.leaving.instance_id
            self._directory.note_leaving(instance_id, boot=rumor.version)
            self._recorder.record(
                AREA,
                "upstream-leaving",
                f"instance/{instance_id}",
                rumor.leaving.reason,
            )

    # Reports.

    def waiting(self) -> list[str]:
        """Return the services for which requests recently waited at this daemon."""
        return self._waiting.waiting_here()

    def drain_reports(self) -> list[pb.DrainReport]:
        """Return how many requests this daemon has in flight on draining instances."""
        return [
            pb.DrainReport(
                instance_id=instance_id,
                view_version=view.version,
                in_flight=self.in_flight_on(instance_id),
            )
            for view, instance_id in self._views.draining()
        ]

    def in_flight_on(self, instance_id: str) -> int:
        """Return how many requests this daemon has in flight on one instance."""
        health = self._directory.health_by_id.get(instance_id)
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
