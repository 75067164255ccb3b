"""The metrics of a cell's daemon, read from its parts at each scrape."""

import itertools
import time
import typing as t

from prometheus_client import CollectorRegistry
from prometheus_client import Metric
from prometheus_client import ProcessCollector
from prometheus_client.core import CounterMetricFamily
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.core import HistogramMetricFamily
from prometheus_client.registry import Collector

from ..clocks import boot_s
from ..halls import HallState
from ..holder import Holder
from .account_report import MAX_ACCOUNTS
from .hall_report import count_runs
from .hall_report import list_halls
from .hall_report import state_of
from .view import DaemonView

__all__ = ["delayed_stops", "make_registry", "overdue_holder"]

Family = GaugeMetricFamily | CounterMetricFamily | HistogramMetricFamily


def _counter_family(name: str, text: str, label: str, counts: dict[str, int]) -> Family:
    family = CounterMetricFamily(name, text, labels=[label])
    for value, count in counts.items():
        family.add_metric([value], count)
    return family


def overdue_holder(given_up: int, from_store: int) -> t.Iterator[Family]:
    """Yield what a daemon did while the holder's heartbeats were overdue.

    :param given_up: number of forwarded calls that were given up.
    :param from_store: number of states that were read from the store.
    """
    yield CounterMetricFamily(
        "streamthread_forwards_given_up",
        "Calls to the holder that were given up for overdue heartbeats.",
        value=given_up,
    )
    yield CounterMetricFamily(
        "streamthread_states_from_store",
        "States that were read from the store while heartbeats were overdue.",
        value=from_store,
    )


class _CellCollector(Collector):
    """Reads the daemon's parts at each scrape."""

    def __init__(self, daemon: DaemonView) -> None:
        self._daemon = daemon

    def collect(self) -> t.Iterator[Metric]:
        """Yield the current values."""
        yield from self._frontend()
        yield from self._platform()
        yield from self._lease()
        if self._daemon.holder is not None:
            yield from self._holder(self._daemon.holder)

    def _frontend(self) -> t.Iterator[Family]:
        frontend = self._daemon.frontend
        yield _counter_family(
            "streamthread_answers",
            "Answers to callers, by method and status.",
            "answer",
            frontend.answers,
        )
        by_account = CounterMetricFamily(
            "streamthread_account_answers",
            "Answers to callers with a key, by client account and status.",
            labels=["account", "status"],
        )
        for (account, status), count in frontend.account_answers.counts.items():
            by_account.add_metric([account, str(status)], count)
        yield by_account
        yield GaugeMetricFamily(
            "streamthread_requests_in_flight",
            "Callers' requests in flight.",
            value=frontend.in_flight,
        )
        states = self._daemon.stored_states
        if states is not None:
            given_up = self._daemon.forwarder.given_up
            yield from overdue_holder(given_up, states.answered)
        documents = self._daemon.documents
        version = documents.manifest.version if documents.manifest else 0
        yield GaugeMetricFamily(
            "streamthread_manifest_version", "In force here.", value=version
        )
        age_s = boot_s() - documents.confirmed_at_s
        yield GaugeMetricFamily(
            "streamthread_manifest_confirmed_age_seconds",
            "Since the store last answered what the operator's documents are.",
            value=age_s,
        )
        yield GaugeMetricFamily(
            "streamthread_evacuations_in_force",
            "Evacuations of halls that are in force, as known here.",
            value=len(documents.evacuations.in_force),
        )

    def _platform(self) -> t.Iterator[Family]:
        daemon = self._daemon
        yield _counter_family(
            "streamthread_store_calls",
            "Calls to the store.",
            "call",
            daemon.store.calls,
        )
        yield _counter_family(
            "streamthread_runner_calls",
            "Calls to runners.",
            "call",
            daemon.runner_client.calls,
        )
        if daemon.cloud is not None:
            yield _counter_family(
                "streamthread_cloud_calls",
                "Calls to the machines' owner.",
                "call",
                daemon.cloud.calls,
            )
        yield _counter_family(
            "streamthread_unreadable",
            "What others wrote and could not be read, by its source.",
            "source",
            daemon.notes.counts,
        )
        yield _counter_family(
            "streamthread_unforeseen_failures",
            "Failures that nobody foresaw, by the loop that was begun again.",
            "loop",
            daemon.failures.counts,
        )
        yield CounterMetricFamily(
            "streamthread_log_lines_dropped",
            "Log lines over the rate, or that were not taken in time.",
            value=daemon.lines_dropped(),
        )

    def _lease(self) -> t.Iterator[Family]:
        lease = self._daemon.lease
        yield GaugeMetricFamily(
            "streamthread_holding", "1 while this daemon holds the cell.", lease.holding
        )
        yield CounterMetricFamily(
            "streamthread_takeovers",
            "How often this daemon took the cell.",
            value=lease.takeovers,
        )
        token = lease.owner.token if lease.owner is not None else 0
        yield GaugeMetricFamily(
            "streamthread_owner_token", "The holder's token, as known here.", token
        )

        yield from self._reachability()

    def _reachability(self) -> t.Iterator[Family]:
        monitor = self._daemon.reachability
        if monitor is None:
            return
        yield GaugeMetricFamily(
            "streamthread_cut_off",
            "1 while this daemon reaches neither store, holder nor other halls.",
            monitor.cut_off,
        )
        yield CounterMetricFamily(
            "streamthread_times_cut_off",
            "How often this daemon was cut off.",
            value=monitor.times_cut_off,
        )

    def _holder(self, holder: Holder) -> t.Iterator[Metric]:
        engine = holder.engine
        yield GaugeMetricFamily(
            "streamthread_trusted",
            "1 while the holder may rely on holding the cell.",
            holder.trusted,
        )
        yield GaugeMetricFamily(
            "streamthread_open_jobs",
            "Jobs of which something may still run.",
            len(engine.open_jobs()),
        )
        yield _counter_family(
            "streamthread_runs",
            "Runs that ended or were refused.",
            "how",
            engine.counts,
        )
        yield _counter_family(
            "streamthread_jobs_failed",
            "Jobs that have failed with this holder, by cause.",
            "cause",
            engine.failures,
        )
        yield _counter_family(
            "streamthread_tasks_quarantined",
            "How often tasks that seem to crash runners were held back, by cause.",
            "cause",
            engine.quarantine.entered,
        )
        yield GaugeMetricFamily(
            "streamthread_quarantined_tasks",
            "Tasks that are held back, since they seem to crash their runners.",
            len(engine.quarantine),
        )
        yield CounterMetricFamily(
            "streamthread_commits", "Commits of this holder.", value=holder.log.sequence
        )
        yield CounterMetricFamily(
            "streamthread_rows_written",
            "Rows in these commits.",
            value=holder.log.rows_written,
        )
        yield CounterMetricFamily(
            "streamthread_rows_refused",
            "Rows that the store never takes, and that were left out of a commit.",
            value=holder.log.rows_refused,
        )
        yield GaugeMetricFamily(
            "streamthread_stops_overdue",
            "Runs that go on though they were to be stopped long ago.",
            engine.overdue_stops,
        )
        yield GaugeMetricFamily(
            "streamthread_runs_unlisted",
            "Runs that count as running and that their runners do not list.",
            engine.unlisted_runs,
        )
        yield CounterMetricFamily(
            "streamthread_runner_restarts",
            "Runners that started again under their ids.",
            value=engine.restarts,
        )
        silent = sum(link.silent for link in holder.links.values())
        yield GaugeMetricFamily(
            "streamthread_runners_silent", "Runners that do not answer.", silent
        )
        yield GaugeMetricFamily(
            "streamthread_halls_lost",
            "Halls most of whose runners do not answer.",
            len(holder.outages.lost_since_s),
        )
        yield GaugeMetricFamily(
            "streamthread_runner_list_age_seconds",
            "Since the store last confirmed which runners there are.",
            holder.listing.age_s,
        )
        yield from holder.queue.pass_interval_s.collect()
        yield from self._duties(holder)
        yield from self._halls(holder)
        yield from self._shares(holder)

    def _halls(self, holder: Holder) -> t.Iterator[Family]:
        halls = self._daemon.halls
        names = list_halls(holder, halls)
        state = GaugeMetricFamily(
            "streamthread_hall_state",
            "1 for the state that a hall is in, 0 for the others.",
            labels=["hall", "state"],
        )
        runs = GaugeMetricFamily(
            "streamthread_hall_runs", "Runs in a hall.", labels=["hall"]
        )
        counts = count_runs(holder)
        for name in names:
            current = state_of(name, holder, halls)
            for each in HallState:
                state.add_metric([name, each.value], each is current)
            runs.add_metric([name], counts[name])
        yield state
        yield runs

    @staticmethod
    def _shares(holder: Holder) -> t.Iterator[Family]:
        """Yield what accounts were served; nothing where shares are not in force."""
        shares = holder.engine.shares
        if not shares.in_force:
            return
        served = GaugeMetricFamily(
            "streamthread_account_served_pool_seconds",
            "What an account was served lately, in seconds of a whole pool.",
            labels=["account"],
        )
        for name, value in itertools.islice(
            shares.served(time.time()).items(), MAX_ACCOUNTS
        ):
            served.add_metric([name], value)
        yield served
        jobs = CounterMetricFamily(
            "streamthread_account_jobs",
            "Jobs that this holder accepted or read, within the weight or excess.",
            labels=["account", "kind"],
        )
        for name, counts in itertools.islice(shares.counts.items(), MAX_ACCOUNTS):
            jobs.add_metric([name, "within"], counts.within)
            jobs.add_metric([name, "excess"], counts.excess)
        yield jobs
        yield _counter_family(
            "streamthread_jobs_refused_overload",
            "New jobs that were refused since they could not end in time.",
            "account",
            holder.intake.refused_overload,
        )
        errors = holder.forecasts.errors
        yield HistogramMetricFamily(
            "streamthread_start_forecast_error_seconds",
            "How much later accepted jobs started than was forecast.",
            buckets=errors.buckets(),
            sum_value=errors.sum_s,
        )

    @staticmethod
    def _duties(holder: Holder) -> t.Iterator[Family]:
        if holder.duties is None:
            return
        yield CounterMetricFamily(
            "streamthread_machine_moves", "Moves ordered.", holder.duties.moves
        )
        yield CounterMetricFamily(
            "streamthread_machines_handed_over",
            "Busy machines that were emptied for a pool with a shortage.",
            holder.duties.handovers,
        )
        yield GaugeMetricFamily(
            "streamthread_machine_list_age_seconds",
            "Since the list of machines was last read.",
            holder.duties.machines_age_s,
        )
        yield CounterMetricFamily(
            "streamthread_upkeeps", "Upkeeps ordered.", holder.duties.upkeeps
        )
        yield CounterMetricFamily(
            "streamthread_duties_aborted",
            "Moves and upkeeps taken back as the lease was no longer certainly valid.",
            holder.duties.aborted,
        )
        yield delayed_stops(holder.duties.delayed_stops)


def delayed_stops(count: int) -> CounterMetricFamily:
    """Return the metric of stops that waited for orders of an earlier holder."""
    return CounterMetricFamily(
        "streamthread_long_running_stops_delayed",
        "Stops of long-running tasks for a wave that waited until no order of an "
        "earlier holder could end others of their step any more.",
        count,
    )


def make_registry(daemon: DaemonView) -> CollectorRegistry:
    """Return the registry that the operators' port serves."""
    registry = CollectorRegistry()
    registry.register(_CellCollector(daemon))
    registry.register(daemon.frontend.answer_s)
    ProcessCollector(registry=registry)
    return registry
