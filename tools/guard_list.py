"""The guards of the promises, and the tests that prove them."""

import attrs

__all__ = ["GUARDS", "Guard"]

INTERLEAVINGS = "tests/test_fleet_interleavings.py"
OWNERSHIP = "tests/test_ownership.py"
NO_JOB = "tests/cell/test_cancels_without_job.py"
LISTING_TESTS = "src/streamthread/holder/tests/test_listing.py"
LISTING = f"{LISTING_TESTS}::TestForeignEntries"
RESTARTS = "src/streamthread/scheduler/tests/test_restarts.py"
REQUESTS = "tests/integration/test_requests.py"


@attrs.frozen
class Guard:
    """A piece of the product, and what stands there without it.

    :param file: below ``src/streamthread``.
    :param also: a second text of the file, and what stands there without it.
    """

    name: str
    file: str
    present: str
    without: str
    tests: tuple[str, ...]
    also: tuple[str, str] = ("", "")


GUARDS = (
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
        "        if self._was_broken(now_s):\n            self._sightings.clear()\n",
        "",
        (f"{OWNERSHIP}::TestStoreOutage",),
    ),
    Guard(
        "own-lease-margin",
        "leases/service.py",
        "lasts_s = self.settings.term_s - self.settings.margin_s",
        "lasts_s = self.settings.term_s * 10",
        (f"{OWNERSHIP}::TestShards",),
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
        "if not call.repeat_safe or lost_count >= MOST_LOST:",
        "if lost_count >= MOST_LOST:",
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
        "silence-not-length",
        "platform/http.py",
        "    async for part in response.content.iter_any():\n"
        "        limit.reschedule(loop.time() + SILENCE_S)\n",
        "    async for part in response.content.iter_any():\n",
        ("tests/cell/test_documents.py::TestLargeConfiguration",),
    ),
    Guard(
        "idle-connections-closed",
        "platform/http.py",
        "            if isinstance(error, TimeoutError):",
        "            if False:",
        ("tests/cell/test_runners.py::TestSilentConnections",),
    ),
    Guard(
        "over-is-stopped",
        "scheduler/codec.py",
        "if attempt.blamed or task.state is TaskState.DONE or job_over:",
        "if False:",
        ("tests/cell/test_holders.py::TestCancelledJobs",),
    ),
    Guard(
        "listed-run-is-stopped-again",
        "scheduler/outcomes.py",
        "                self._ledger.stops.on_listed(attempt, reply.clock_ms)\n",
        "",
        ("tests/cell/test_cancels.py::TestStopWithoutEffect",),
    ),
    Guard(
        "late-attempt-is-stopped",
        "jobs/service.py",
        "            jobs.note_running(jobs.reported)\n",
        "",
        ("tests/test_job_cancels.py::TestCancelledJob",),
    ),
    Guard(
        "stops-go-out-during-a-release",
        "holder/queue.py",
        "        stops = engine.take_stops()\n",
        "        stops = engine.take_stops() if self._owner.may_place else []\n",
        ("tests/cell/test_cancels.py::TestStopDuringRelease",),
    ),
    Guard(
        "no-older-configuration",
        "holder/admission.py",
        "        if route is None or route.service != pool or manifest is None:\n",
        "        if False:\n",
        ("tests/cell/test_documents.py::TestHolderThatIsBehind",),
    ),
    Guard(
        "inbox-before-unknown",
        "holder/intake.py",
        "        await self._inbox().catch_up()\n"
        "        return self._engine.jobs.get(job_id)\n",
        "        return None\n",
        (f"{NO_JOB}::TestJobThatWaitsInTheInbox",),
    ),
    Guard(
        "hand-in-after-the-inbox",
        "holder/intake.py",
        "if not self._inbox().behind:",
        "if True:",
        (f"{NO_JOB}::TestJobThatWaitsInTheInbox",),
    ),
    Guard(
        "unknown-is-committed",
        "holder/intake.py",
        "            await self._commits.confirmed()\n"
        "            job = self._engine.jobs.get(job_id)\n",
        "            pass\n",
        (f"{NO_JOB}::TestHolderThatWasReplaced",),
    ),
    Guard(
        "cancel-of-no-job-is-committed",
        "holder/intake.py",
        "        await self._commits.flushed()\n"
        "        return self._tell_waiting(request)\n",
        "        return self._tell_waiting(request)\n",
        (f"{NO_JOB}::TestHolderThatWasReplaced",),
    ),
    Guard(
        "cancel-waits-for-its-job",
        "holder/intake.py",
        "if any(self._admission.covers(cancel, job) for cancel in cancels):",
        "if False:",
        (f"{NO_JOB}::TestCancelOfNoJob",),
    ),
    Guard(
        "kept-cancel-outlasts-its-holder",
        "holder/inbox.py",
        "return not self._owner.keep_cancel(cancel, may_come)",
        "return True",
        (f"{NO_JOB}::TestCancelOfNoJob", f"{NO_JOB}::TestCancelInTheInbox"),
    ),
    Guard(
        "doubted-cancel-is-settled-first",
        "holder/intake.py",
        "        if not self._is_trusted():\n"
        "            await self._commits.confirmed()\n"
        "        await self._commits.flushed()\n",
        "        await self._commits.flushed()\n",
        ("src/streamthread/holder/tests/test_intake.py",),
    ),
    Guard(
        "unreadable-entry-suspends",
        "holder/listing.py",
        '            self._suspend(row.key, "its entry can\'t be read")\n',
        "",
        (LISTING,),
    ),
    Guard(
        "unnamed-pool-suspends",
        "holder/listing.py",
        "if not self._names(entry.service):",
        "if False:",
        (LISTING,),
    ),
    Guard(
        "unreadable-route-stays-alone",
        "platform/manifest.py",
        "                part = known.get(_name_of(text))\n",
        "                part = None\n",
        ("tests/test_unreadable.py::TestConfiguration",),
    ),
    Guard(
        "accepted-row-is-kept",
        "holder/intake.py",
        "        if request.job_id in self._aside:\n",
        "        if False:\n",
        ("tests/cell/test_foreign_entries.py::TestOwnRows",),
    ),
    Guard(
        "loops-are-begun-again",
        "holder/service.py",
        "group.create_task(self._keeper.keep(name, loop))",
        "group.create_task(loop())",
        ("tests/cell/test_foreign_entries.py::TestUnforeseenFailures",),
    ),
    Guard(
        "term-follows-slow-commits",
        "cell/times.py",
        "        wanted_s = TERM_COMMITS * commit_s + self.renew_s\n",
        "        wanted_s = 0.0\n",
        ("tests/cell/test_slow_store.py",),
    ),
    Guard(
        "sent-term-counts",
        "cell/commits.py",
        "return min(self._confirmed_term_s, self._sent_term_s)",
        "return self._confirmed_term_s",
        ("src/streamthread/cell/tests/test_commits.py::TestTerm",),
    ),
    Guard(
        "late-confirmation-counts-from-its-try",
        "cell/commits.py",
        "            self._effective_at_s = sent_at_s\n",
        "",
        ("src/streamthread/cell/tests/test_commits.py::TestLateConfirmation",),
    ),
    Guard(
        "sent-rows-are-not-taken-back",
        "cell/commits.py",
        "        if (table, key) in self._in_flight:\n            return False\n",
        "",
        ("src/streamthread/cell/tests/test_commits.py::TestTakenBack",),
    ),
    Guard(
        "overdue-hand-ins-are-refused",
        "holder/housekeeping.py",
        "            self._intake.refuse_overdue()\n",
        "",
        ("tests/cell/test_silent_store.py",),
    ),
    Guard(
        "lost-answers-are-bounded",
        "requests/dispatch.py",
        "if not call.repeat_safe or lost_count >= MOST_LOST:",
        "if not call.repeat_safe:",
        ("src/streamthread/requests/tests/test_lost_upstreams.py",),
    ),
    Guard(
        "ends-of-runners-are-laid-to-tasks",
        "scheduler/engine.py",
        "        given_up = self._crashes.settle(runner)\n",
        "        given_up: list[Task] = []\n",
        ("tests/cell/test_crashing_tasks.py::TestTaskThatCrashesRunners",),
    ),
    Guard(
        "outlived-starts-are-no-crashes",
        "scheduler/crashes.py",
        "        blamed = [a for a in candidates if not _is_outlived(a, runner)]\n",
        "        blamed = candidates\n",
        ("src/streamthread/scheduler/tests/test_crashes.py::TestRunnersThatLivedOn",),
    ),
    Guard(
        "recorded-runs-stay-blamed",
        "scheduler/codec.py",
        "        return [*row, attempt.born_ms, True]\n",
        "        pass\n",
        (f"{RESTARTS}::TestRecordedRuns",),
    ),
    Guard(
        "trials-run-apart",
        "scheduler/trials.py",
        "    return runner.trial_until_s <= now_s or runner.trial_job is job\n",
        "    return True\n",
        ("src/streamthread/scheduler/tests/test_crashes.py::TestTrial",),
    ),
    Guard(
        "crashes-are-recorded",
        "scheduler/codec.py",
        "    return [*row, task.crashes] if task.crashes else row\n",
        "    return row\n",
        ("src/streamthread/scheduler/tests/test_crashes.py::TestOneTaskAtFault",),
    ),
    Guard(
        "runners-heard-again-clear-tasks",
        "scheduler/outcomes.py",
        "        self._crashes.on_heard(runner)\n",
        "",
        ("src/streamthread/scheduler/tests/test_crashes.py::TestWhatIsNoCrash",),
    ),
    Guard(
        "rooms-are-followed",
        "holder/listing.py",
        "        if link.runner.update(entry):\n",
        "        if False:\n",
        ("tests/cell/test_room.py::TestRoomThatShrinks",),
    ),
    Guard(
        "lives-are-told-apart",
        "runners/link.py",
        "        if self.runner.is_next_life(reply.born_ms):\n",
        "        if False:\n",
        ("src/streamthread/runners/tests/test_restarts.py::TestNextLife",),
    ),
    Guard(
        "entries-tell-lives-apart",
        "holder/listing.py",
        "        if link.runner.is_next_life(entry.born_ms):\n",
        "        if False:\n",
        (f"{LISTING_TESTS}::TestRestartedRunners",),
    ),
    Guard(
        "silent-runners-confirm-nothing",
        "runners/link.py",
        "        self._confirmed = 0\n        if not self.silent:\n",
        "        if not self.silent:\n",
        ("src/streamthread/runners/tests/test_restarts.py::TestConfirmations",),
    ),
    Guard(
        "runs-are-blamed-once",
        "scheduler/crashes.py",
        "        over = attempt.task.step.occurrence.job.over or attempt.blamed\n",
        "        over = attempt.task.step.occurrence.job.over\n",
        (RESTARTS,),
    ),
    Guard(
        "recorded-runs-name-their-life",
        "scheduler/engine.py",
        "                if attempt.is_of_other_life(runner.born_ms):\n",
        "                if False:\n",
        (f"{RESTARTS}::TestRecordedRuns",),
    ),
    Guard(
        "open-starts-are-stopped",
        "scheduler/model.py",
        "        return bool(self.seen_at_s) and not self.read_back"
        " and not self.open_starts\n",
        "        return True\n",
        (RESTARTS,),
    ),
    Guard(
        "stopping-runs-take-room",
        "scheduler/outcomes.py",
        "        if self._may_be_stopping(attempt, clock_ms):\n            return\n",
        "",
        ("tests/cell/test_room.py::TestRunThatIsBeingStopped",),
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
        "                suspect and room.has_failed_jobs,\n",
        "",
        ("src/streamthread/jobs/tests/test_lost_workers.py",),
    ),
    Guard(
        "acknowledged-elsewhere-is-kept",
        "holder/handins.py",
        "        if job.left_in_inbox:\n",
        "        if False:\n",
        (
            "src/streamthread/holder/tests/test_intake.py"
            "::TestJobThatAnotherDaemonAccepted",
        ),
    ),
    Guard(
        "keys-are-asked-for",
        "gateway/keys.py",
        "    if not route.needs_key:\n",
        "    if True:\n",
        ("tests/cell/test_accounts.py::TestStranger",),
    ),
    Guard(
        "newer-configuration-judges-keys",
        "holder/admission.py",
        "            return manifest.account_of(request.key_digest) or None\n",
        "            return request.account\n",
        ("src/streamthread/holder/tests/test_accounts.py",),
    ),
    Guard(
        "jobs-of-others",
        "scheduler/accounts.py",
        "    return not account or not owner or account == owner\n",
        "    return True\n",
        ("src/streamthread/holder/tests/test_accounts.py::TestJobsOfOthers",),
    ),
    Guard(
        "key-of-two-accounts",
        "platform/accounts.py",
        "        if len(names) == 1:\n",
        "        if names:\n",
        ("src/streamthread/platform/tests/test_accounts.py::TestKeyOfTwoAccounts",),
    ),
    Guard(
        "account-limit",
        "scheduler/accounts.py",
        "                count = min(count, (whole - used) // each)\n",
        "                pass\n",
        ("tests/cell/test_accounts.py::TestLimit",),
    ),
    Guard(
        "limit-counts-what-was-read-back",
        "scheduler/ledger.py",
        "            self.accounts.add(attempt)\n            self.stops",
        "            self.stops",
        ("src/streamthread/scheduler/tests/test_accounts.py",),
    ),
    Guard(
        "limit-counts-until-over",
        "scheduler/ledger.py",
        "            self.accounts.remove(attempt)\n",
        "",
        ("src/streamthread/scheduler/tests/test_accounts.py",),
    ),
)
