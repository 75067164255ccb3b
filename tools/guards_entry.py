"""The guards of the entry daemon and its slices, and the tests that prove them."""

from tools.guard import Guard

__all__ = ["ENTRY_GUARDS"]

INTERLEAVINGS = "tests/test_fleet_interleavings.py"
OWNERSHIP = "tests/test_ownership.py"
REQUESTS = "tests/integration/test_requests.py"

ENTRY_GUARDS = (
    Guard(
        "budget",
        "maintenance/budgets.py",
        "return max(0, self.available - self.min_available)",
        "return self.available",
        (INTERLEAVINGS,),
    ),
    Guard(
        "grant-on-fresh-list",
        "fleet/service.py",
        "            await self.poll_membership()\n"
        "            steps = decide_pool(self._snapshot(name, loaded))\n",
        "            pass\n",
        (f"{OWNERSHIP}::TestPools",),
    ),
    Guard(
        "one-pool-row",
        "fleet/rows.py",
        'if known is not None and known.value["pool"]:',
        "if False:",
        (f"{OWNERSHIP}::TestPools",),
    ),
    Guard(
        "row-versions",
        "providers/memory.py",
        "            (write.key, write.expected_version) for write in "
        "transaction.writes\n",
        "",
        (f"{OWNERSHIP}::TestPools",),
    ),
    Guard(
        "newer-generation-decides",
        "fleet/service.py",
        "if loaded.row.generation > self._configuration.active.generation:",
        "if False:",
        (f"{OWNERSHIP}::TestPools",),
    ),
    Guard(
        "epoch-fence",
        "fleet/rows.py",
        "transaction = Transaction(tuple(writes), (loaded.fence,))",
        "transaction = Transaction(tuple(writes))",
        (f"{OWNERSHIP}::TestLateWrite",),
    ),
    Guard(
        "observation-break",
        "leases/observer.py",
        "        if self._has_gap(now_s):\n            self._observations.clear()\n",
        "",
        (f"{OWNERSHIP}::TestStoreOutage",),
    ),
    Guard(
        "own-lease-margin",
        "leases/service.py",
        "valid_s = self.settings.term_s - self.settings.margin_s",
        "valid_s = self.settings.term_s * 10",
        (f"{OWNERSHIP}::TestShards",),
    ),
    Guard(
        "lapsed-holder-names-nobody",
        "leases/service.py",
        "return self.record if self.holds(subject) else None",
        "return self.record",
        ("src/streamthread/leases/tests/test_service.py",),
    ),
    Guard(
        "settle-by-token",
        "leases/committer.py",
        "return row is not None and row.token == transaction.token",
        "return False",
        ("src/streamthread/leases/tests/test_committer.py",),
    ),
    Guard(
        "unsafe-parked",
        "jobs/pool_jobs.py",
        "state = JobState.QUEUED if job.spec.repeat_safe else JobState.PARKED",
        "state = JobState.QUEUED",
        (f"{OWNERSHIP}::TestUnsafeJob",),
    ),
    Guard(
        "generations-only-up",
        "configuration/active.py",
        "if snapshot.generation <= self.generation:",
        "if False:",
        ("src/streamthread/configuration/tests/test_active.py",),
    ),
    Guard(
        "digest-follows",
        "configuration/active.py",
        "if step.digest != next_digest(self.digest, step.changes):",
        "if False:",
        ("src/streamthread/configuration/tests/test_active.py",),
    ),
    Guard(
        "operators-conflict",
        "configuration/service.py",
        "        if changed:\n            raise ConflictError(",
        "        if False:\n            raise ConflictError(",
        ("src/streamthread/configuration/tests/test_service.py",),
    ),
    Guard(
        "claim-before-dispatch",
        "requests/at_most_once.py",
        "if result.existing is not None:",
        "if False:",
        (f"{REQUESTS}::TestAtMostOnce",),
    ),
    Guard(
        "unsafe-is-not-resent",
        "requests/dispatch.py",
        "if not call.repeat_safe or lost_count >= MAX_LOST_ANSWERS:",
        "if lost_count >= MAX_LOST_ANSWERS:",
        (f"{REQUESTS}::TestAtMostOnce",),
    ),
    Guard(
        "not-run-is-certain",
        "requests/dispatch.py",
        '        remedy="it may have run; ask the service before sending it again",\n'
        "        outcome=Outcome.UNKNOWN,\n",
        '        remedy="",\n        outcome=Outcome.NOT_RUN,\n',
        (f"{REQUESTS}::TestAtMostOnce",),
    ),
    Guard(
        "not-run-marks-own-claims",
        "requests/claims.py",
        "            if row is not None and row.token == token:\n",
        "            if row is not None:\n",
        ("src/streamthread/requests/tests/test_claims.py::TestClaim",),
    ),
    Guard(
        "lost-then-refused",
        "requests/dispatch.py",
        "            if lost is not None:\n",
        "            if False:\n",
        (f"{REQUESTS}::TestNotRun",),
    ),
    Guard(
        "break-never-ends-clean",
        "requests/answers.py",
        "request.transport.abort()",
        "pass",
        (f"{REQUESTS}::TestWholeAnswers",),
    ),
    Guard(
        "leaving-by-header",
        "requests/directory.py",
        "return health.left_boot < instance.boot",
        "return True",
        (f"{REQUESTS}::TestLeavingUpstream",),
    ),
    Guard(
        "leaving-by-membership",
        "requests/directory.py",
        "if instance.status is not InstanceStatus.LIVE:",
        "if False:",
        (f"{REQUESTS}::TestLeavingUpstream",),
    ),
    Guard(
        "stop-waits",
        "entry/daemon.py",
        "cut = await self.requests.finish(self.settings.finish_s)",
        "cut = 0",
        (f"{REQUESTS}::TestPlannedStop",),
    ),
    Guard(
        "drain-waits",
        "fleet/progress.py",
        "        return self._drains.is_idle(instance_id, daemons, self._reports)",
        "        return True",
        ("tests/integration/test_holders.py",),
    ),
    Guard(
        "cut-off-refuses",
        "entry/daemon.py",
        "return heard * 2 > self.daemon_count()",
        "return True",
        ("tests/integration/test_configuration.py::TestCutOff",),
    ),
    Guard(
        "peers-pass-generations-on",
        "peers/service.py",
        "return [generation_record(step) for step in steps]",
        "return []",
        ("tests/integration/test_configuration.py::TestRollOut",),
        (
            "if reply.generation > mine:",
            "if False:",
        ),
    ),
    Guard(
        "late-attempt-is-stopped",
        "jobs/service.py",
        "            jobs.stop_superseded(jobs.pending_reports)\n",
        "",
        ("tests/test_job_cancels.py::TestCancelledJob",),
    ),
    Guard(
        "lost-answers-are-bounded",
        "requests/dispatch.py",
        "if not call.repeat_safe or lost_count >= MAX_LOST_ANSWERS:",
        "if not call.repeat_safe:",
        ("src/streamthread/requests/tests/test_lost_upstreams.py",),
    ),
    Guard(
        "sleep-counts",
        "clocks.py",
        "    return time.clock_gettime(_CLOCK)\n",
        "    return time.monotonic()\n",
        ("tests/test_suspended_machine.py",),
    ),
    Guard(
        "failed-jobs-go-apart",
        "jobs/decide.py",
        "                suspect and free.has_failed_jobs,\n",
        "",
        ("src/streamthread/jobs/tests/test_lost_workers.py",),
    ),
)
