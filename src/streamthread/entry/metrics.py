"""The metrics of a daemon, read from its slices when they are scraped."""

import typing as t

from prometheus_client import CollectorRegistry
from prometheus_client import GCCollector
from prometheus_client import ProcessCollector
from prometheus_client.core import CounterMetricFamily
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.registry import Collector

from ..clocks import boot_s

if t.TYPE_CHECKING:
    from .daemon import Entry

__all__ = ["make_registry"]


def _gauge(name: str, text: str, value: float) -> GaugeMetricFamily:
    return GaugeMetricFamily(name, text, value=value)


class _EntryCollector(Collector):
    """Reads the slices at each scrape, so that no slice counts for metrics."""

    def __init__(self, entry: "Entry") -> None:
        self._entry = entry

    def collect(self) -> t.Iterator[GaugeMetricFamily | CounterMetricFamily]:
        """Yield the present values."""
        yield from self._configuration()
        yield from self._fleet()
        yield from self._requests()
        yield self._dropped()
        yield _gauge(
            "streamthread_shards_held",
            "Shards that this daemon holds.",
            len(self._entry.leases.held_shards()),
        )
        yield _gauge(
            "streamthread_lease_trusted",
            "1 while this daemon may rely on its own lease.",
            self._entry.leases.is_trusted(),
        )

    def _dropped(self) -> CounterMetricFamily:
        """Count what bounded memory had to let go."""
        family = CounterMetricFamily(
            "streamthread_dropped",
            "Records dropped because a bounded memory was full.",
            labels=["what"],
        )
        family.add_metric(["events"], self._entry.recorder.dropped)
        family.add_metric(["archived-events"], self._entry.archive.dropped)
        family.add_metric(["claim-outcomes"], self._entry.claims.outcomes_dropped)
        return family

    def _configuration(self) -> t.Iterator[GaugeMetricFamily]:
        configuration = self._entry.configuration
        yield _gauge(
            "streamthread_configuration_generation",
            "The generation in force here.",
            configuration.active.generation,
        )
        yield _gauge(
            "streamthread_configuration_age_seconds",
            "Since the generation in force here was adopted.",
            boot_s() - configuration.adopted_at_s,
        )

    def _fleet(self) -> t.Iterator[GaugeMetricFamily | CounterMetricFamily]:
        fleet = self._entry.fleet
        yield CounterMetricFamily(
            "streamthread_moves",
            "Moves between pools that this daemon committed.",
            value=fleet.moves,
        )
        buffer = GaugeMetricFamily(
            "streamthread_buffer_instances",
            "Available instances above the budget, in the pools held here.",
            labels=["pool"],
        )
        for pool, spare in fleet.buffers().items():
            buffer.add_metric([pool], spare)
        yield buffer

    def _requests(self) -> t.Iterator[GaugeMetricFamily | CounterMetricFamily]:
        requests = self._entry.requests
        yield _gauge(
            "streamthread_requests_in_flight",
            "Callers' requests in flight.",
            requests.in_flight,
        )
        yield _gauge(
            "streamthread_requests_queued",
            "Callers' requests that wait for a slot.",
            self._entry.router.queued(),
        )
        outcomes = CounterMetricFamily(
            "streamthread_requests", "Callers' requests ended.", labels=["outcome"]
        )
        for outcome, count in requests.outcomes.items():
            outcomes.add_metric([outcome], count)
        yield outcomes


def make_registry(entry: "Entry") -> CollectorRegistry:
    """Return the registry that a daemon's metrics port serves."""
    registry = CollectorRegistry()
    registry.register(_EntryCollector(entry))
    ProcessCollector(registry=registry)
    GCCollector(registry=registry)
    return registry
