"""What operators read: lists of pools, instances, waves and entries.

Every daemon answers from what it was told, so the answer can lag by a second.
"""

import typing as t

from ..configuration import ItemKind
from ..configuration import PoolSpec
from ..configuration import WaveSpec
from ..errors import NotFoundError
from ..fleet.planner import utc_now
from ..fleet.pools import MemberState
from ..fleet.pools import pool_key
from ..fleet.selectors import Selector
from ..fleet.views import view_as_row
from ..jobs import JobState
from ..jobs.router import PoolJobsRequest
from ..maintenance import measure_budget
from ..maintenance import run_key
from ..providers import JsonObject
from ..timeline import EventFilter

if t.TYPE_CHECKING:
    from .daemon import Entry

__all__ = [
    "entries",
    "explain",
    "explain_job",
    "instances",
    "pools",
    "status",
    "waves",
]

EXPLAINED_EVENTS = 10


def pools(entry: "Entry") -> list[JsonObject]:
    """Return each pool with its budget."""
    specs = entry.configuration.active.specs(ItemKind.POOL, PoolSpec)
    return [_pool(entry, name, spec) for name, spec in specs.items()]


def _pool(entry: "Entry", name: str, spec: PoolSpec) -> JsonObject:
    view = entry.fleet.views.view(name)
    holder = entry.leases.holder_of(pool_key(name))
    report: JsonObject = {
        "pool": name,
        "selector": spec.selector,
        "min_available": spec.min_available,
        "members": len(view.states) if view else 0,
        "available": 0,
        "holder": holder.daemon_id if holder else "",
    }
    if view is not None:
        fresh = entry.fleet.membership_is_fresh()
        row = view_as_row(view)
        live = entry.fleet.catalog.live_among(row.members)
        budget = measure_budget(row, live, fresh, spec.min_available)
        report["available"] = budget.available
        report["states"] = _count(state.value for state in view.states.values())
    return report


def _count(values: t.Iterable[str]) -> dict[str, int]:
    counts: dict[str, int] = {}
    for value in values:
        counts[value] = counts.get(value, 0) + 1
    return counts


def instances(entry: "Entry", selector: str) -> list[JsonObject]:
    """Return the instances that a selector matches."""
    wanted = Selector.parse(selector)
    catalog = entry.fleet.catalog
    found: list[JsonObject] = []
    for instance_id in sorted(catalog.instances):
        if not wanted.matches(catalog.labels(instance_id)):
            continue
        instance = catalog.instances[instance_id]
        pool = entry.fleet.views.pool_of(instance_id)
        view = entry.fleet.views.view(pool)
        state = view.states.get(instance_id) if view else None
        found.append(
            {
                "instance": instance_id,
                "pool": pool,
                "state": state.value if state else "",
                "status": instance.status.value,
                "boot": instance.boot,
                "labels": dict(catalog.labels(instance_id)),
            }
        )
    return found


def waves(entry: "Entry") -> list[JsonObject]:
    """Return each wave with how far it is."""
    specs = entry.configuration.active.specs(ItemKind.WAVE, WaveSpec)
    found: list[JsonObject] = []
    for name, spec in specs.items():
        key = run_key(f"wave/{name}", spec.period_days, utc_now())
        selected = entry.fleet.catalog.matching(f"wave/{name}")
        done = {
            instance_id
            for view in entry.fleet.views.all()
            for instance_id in view.done_with(key)
        }
        found.append(
            {
                "wave": name,
                "run": key,
                "paused": spec.paused,
                "selected": len(selected),
                "done": len(done & selected),
            }
        )
    return found


def entries(entry: "Entry") -> list[JsonObject]:
    """Return each live entry, as it said of itself last."""
    return [
        {
            "entry": state.daemon_id,
            "incarnation": state.incarnation,
            "generation": state.generation,
            "ready": state.ready,
            "requests_in_flight": state.requests_in_flight,
        }
        for state in entry.daemon_states()
    ]


def status(entry: "Entry") -> JsonObject:
    """Return this entry in a few lines."""
    return {
        "entry": entry.settings.daemon_id,
        "ready": entry.is_ready(),
        "generation": entry.configuration.active.generation,
        "lease_trusted": entry.leases.is_trusted(),
        "shards_held": len(entry.leases.held_shards()),
        "peers": sorted(peer.daemon_id for peer in entry.leases.peers()),
        "callers_port": entry.requests.port,
        "moves": entry.fleet.moves,
    }


def explain(entry: "Entry", kind: str, name: str) -> JsonObject:
    """Return why something is where it is, and what it waits for.

    :raises NotFoundError: there is no such thing.
    """
    if kind == "pool":
        return _explain_pool(entry, name)
    if kind == "instance":
        return _explain_instance(entry, name)
    if kind == "wave":
        return _explain_wave(entry, name)
    raise NotFoundError(
        f"nothing to say of {kind!r}", remedy="ask of pool, instance, wave or job"
    )


async def explain_job(entry: "Entry", name: str) -> JsonObject:
    """Return where a job stands, and what it waits for.

    :param name: ``POOL/JOB_ID``.
    :raises NotFoundError: there is no such job.
    """
    pool, _, job_id = name.partition("/")
    answer = await entry.job_router.handle(PoolJobsRequest(pool, list_jobs=True))
    for job in answer.jobs:
        if job.spec.job_id == job_id:
            return {
                "job": job_id,
                "pool": pool,
                "state": job.state.value,
                "attempt": job.attempt,
                "worker": job.worker_id,
                "reason": job.reason,
                "failed_on": list(job.own_failures_on),
                "lost_attempts": job.lost_attempts,
                "waits_for": _JOB_WAITS.get(job.state, ""),
                "events": _events(entry, job_id),
            }
    raise NotFoundError(f"no job {name!r}", remedy="name it POOL/JOB_ID")


_JOB_WAITS = {
    JobState.QUEUED: "a worker with room for it, inside its team's quota",
    JobState.STARTED: "its worker to report the end",
    JobState.PARKED: "an operator: it is not run again by itself",
}


def _explain_pool(entry: "Entry", name: str) -> JsonObject:
    for report in pools(entry):
        if report["pool"] == name:
            left = report["available"] - report["min_available"]
            waits = "" if left > 0 else "no grant: the budget has nothing left"
            return {**report, "waits_for": waits, "events": _events(entry, name)}
    raise NotFoundError(f"no pool {name!r}", remedy="see 'get pools'")


def _explain_wave(entry: "Entry", name: str) -> JsonObject:
    found = [wave for wave in waves(entry) if wave["wave"] == name]
    if not found:
        raise NotFoundError(f"no wave {name!r}", remedy="see 'get waves'")
    report = found[0]
    left = entry.fleet.catalog.matching(f"wave/{name}") - {
        instance_id
        for view in entry.fleet.views.all()
        for instance_id in view.done_with(report["run"])
    }
    by_pool = _count(entry.fleet.views.pool_of(one) or "no pool" for one in left)
    waits = "to be resumed" if report["paused"] else "budgets, drains and reboots"
    return {
        **report,
        "left_by_pool": by_pool,
        "waits_for": f"{waits}; see 'explain pool NAME'" if left else "",
    }


def _explain_instance(entry: "Entry", name: str) -> JsonObject:
    found = instances(entry, f"instance = {name}")
    if not found:
        raise NotFoundError(f"no instance {name!r}", remedy="see 'get instances'")
    report = found[0]
    waits = {
        "": "a pool with room whose selector matches it",
        MemberState.DRAINING.value: "every entry to confirm that it is idle",
        MemberState.REBOOTING.value: "its next boot in the membership list",
        MemberState.HELD.value: "the hold to be deleted",
    }
    return {
        **report,
        "matches": [
            pool
            for pool in entry.configuration.active.specs(ItemKind.POOL, PoolSpec)
            if name in entry.fleet.catalog.matching(pool_key(pool))
        ],
        "waits_for": waits.get(report["state"], ""),
        "events": _events(entry, name),
    }


def _events(entry: "Entry", name: str) -> list[str]:
    events = [
        event
        for event in entry.recorder.select(EventFilter())
        if event.subject.endswith(f"/{name}") or f"pool/{name}:" in event.cause
    ]
    return [
        f"{event.kind} {event.subject}: {event.cause}"
        for event in events[-EXPLAINED_EVENTS:]
    ]
