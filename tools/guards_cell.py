"""The guards of a cell's daemon, and the tests that prove them."""

from tools.guard import Guard

__all__ = ["CELL_GUARDS"]

NO_JOB = "tests/cell/test_cancels_without_job.py"
LISTING_TESTS = "src/streamthread/holder/tests/test_listing.py"
LISTING = f"{LISTING_TESTS}::TestForeignEntries"
RESTARTS = "src/streamthread/scheduler/tests/test_restarts.py"
CRASHES = "src/streamthread/scheduler/tests/test_crashes.py"
QUARANTINE = "src/streamthread/scheduler/tests/test_quarantine.py"
WAVES = "tests/model/test_waves.py"
LONG_RUNNING = "src/streamthread/holder/tests/test_long_running.py"

CELL_GUARDS = (
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
        "            self._close_idle(request.address)\n",
        "",
        ("src/streamthread/platform/tests/test_http.py::TestSilentConnections",),
    ),
    Guard(
        "overdue-reads-are-repeated",
        "platform/inflight.py",
        "            timer = loop.call_later(self._overdue_s, self._on_overdue)\n",
        "",
        (
            "src/streamthread/platform/tests/test_http.py::TestSilentConnections",
            "tests/cell/test_silent_connections.py::TestSilentConnectionsToTheCloud",
        ),
    ),
    Guard(
        "silence-ends-overdue-writes",
        "platform/inflight.py",
        "        left_s = self.attempt.sent_at_s + self._overdue_s - boot_s()\n",
        "        return\n",
        ("src/streamthread/platform/tests/test_http.py::TestSilentConnections",),
    ),
    Guard(
        "silent-channel-is-replaced",
        "cell/peer.py",
        "                await self._verify_if_in_doubt(address, answer)\n",
        "                pass\n",
        ("tests/cell/test_silent_connections.py::TestSilentConnectionsToTheHolder",),
    ),
    Guard(
        "inbox-writes-are-read-back",
        "gateway/forwarding.py",
        "            version = await version_written(\n"
        "                write, lambda: self._find_written(row), self._response_times\n"
        "            )\n",
        "            version = (await write).version\n",
        ("src/streamthread/gateway/tests/test_forwarding.py::TestSubmit",),
    ),
    Guard(
        "over-is-stopped",
        "scheduler/progress_codec.py",
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
        "stops-go-out-during-a-release",
        "holder/queue.py",
        "        stops = engine.take_stops()\n",
        "        stops = engine.take_stops() if self._owner.may_place else []\n",
        ("tests/cell/test_cancels.py::TestStopDuringRelease",),
    ),
    Guard(
        "no-older-configuration",
        "holder/admission.py",
        "        if route is None or route.service != pool:\n",
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
        "        return self._report_waiting(request)\n",
        "        return self._report_waiting(request)\n",
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
        "return not self._owner.retain_cancel(cancel, may_arrive)",
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
        '            self._suspend(row.key, "its entry can\'t be decoded")\n',
        "",
        (LISTING,),
    ),
    Guard(
        "unnamed-pool-suspends",
        "holder/listing.py",
        "if not self._is_named(entry.service):",
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
        "        if request.job_id in self._excluded:\n",
        "        if False:\n",
        ("tests/cell/test_foreign_entries.py::TestOwnRows",),
    ),
    Guard(
        "loops-are-begun-again",
        "holder/service.py",
        "group.create_task(self._supervisor.keep(name, loop))",
        "group.create_task(loop())",
        ("tests/cell/test_foreign_entries.py::TestUnforeseenFailures",),
    ),
    Guard(
        "term-follows-slow-commits",
        "cell/times.py",
        "        wanted_s = TERM_COMMIT_FACTOR * commit_s + self.renew_s\n",
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
        ("src/streamthread/cell/tests/test_commits.py::TestUnmark",),
    ),
    Guard(
        "overdue-hand-ins-are-refused",
        "holder/housekeeping.py",
        "            self._intake.refuse_overdue(max(0.0, boot_s() - due_at_s))\n",
        "",
        ("tests/cell/test_silent_store.py",),
    ),
    Guard(
        "stalls-of-the-loop-are-not-the-stores",
        "holder/submissions.py",
        "self._commits.tried_for_s() - self._stalled_s > limit_s",
        "self._commits.tried_for_s() > limit_s",
        ("src/streamthread/holder/tests/test_submissions.py::TestCheckAfterAStall",),
    ),
    Guard(
        "submissions-share-a-read-in-progress",
        "holder/inbox.py",
        "        if self.behind and self._current_read is not None:\n"
        "            await asyncio.wait((self._current_read,))\n",
        "",
        ("src/streamthread/holder/tests/test_inbox.py::TestRefresh",),
    ),
    Guard(
        "channels-are-verified-when-due",
        "cell/peer.py",
        "left_s if 0 < left_s < CALL_CHECK_S else CALL_CHECK_S",
        "CALL_CHECK_S",
        ("src/streamthread/cell/tests/test_peer.py::TestChannelInDoubt",),
    ),
    Guard(
        "late-loops-end-no-call",
        "platform/overdue.py",
        "            self._limit.reschedule(now_s + RECHECK_S)\n",
        "            return\n",
        ("src/streamthread/platform/tests/test_late_loop.py",),
    ),
    Guard(
        "ends-of-runners-are-laid-to-tasks",
        "scheduler/engine.py",
        "        for attempt in attribution.blamed:\n",
        "        for attempt in ():\n",
        ("tests/cell/test_crashing_tasks.py::TestTaskThatCrashesRunners",),
    ),
    Guard(
        "outlived-starts-are-no-crashes",
        "scheduler/crashes.py",
        "[a for a in candidates if not _is_outlived(a, runner)]",
        "candidates",
        (f"{CRASHES}::TestRunnersThatOutliveStarts",),
    ),
    Guard(
        "recorded-runs-stay-blamed",
        "scheduler/progress_codec.py",
        "[attempt.blamed, attempt.cleared, machine_id]",
        "[False, attempt.cleared, machine_id]",
        (f"{RESTARTS}::TestRecordedRuns",),
    ),
    Guard(
        "cleared-runs-are-not-blamed",
        "scheduler/crashes.py",
        "        cleared_before = attempt.cleared and not attempt.first_confirmed_ms\n",
        "        cleared_before = False\n",
        (
            f"{CRASHES}::TestClearedRuns",
            "tests/model/test_stops.py::"
            "test_no_job_fails_for_runners_that_no_holder_saw_exit",
        ),
    ),
    Guard(
        "suspects-start-on-runners-that-answer",
        "scheduler/orders.py",
        "        if not await link.probe():\n",
        "        if False:\n",
        ("src/streamthread/scheduler/tests/test_suspect_starts.py",),
    ),
    Guard(
        "overdue-starts-are-sent-again",
        "scheduler/orders.py",
        "            overdue_s=None if was_overdue else overdue_s,\n",
        "            overdue_s=None,\n",
        (
            "src/streamthread/scheduler/tests/test_overdue_starts.py",
            "tests/cell/test_runners.py::TestSilentConnections",
        ),
    ),
    Guard(
        "busy-holders-repeat-no-start",
        "platform/overdue.py",
        "        if self._loop.time() - self._due_at_s > MAX_LOOP_DELAY_S:\n",
        "        if False:\n",
        ("src/streamthread/platform/tests/test_overdue.py",),
    ),
    Guard(
        "unknown-limits-allow-nothing",
        "scheduler/accounts.py",
        "        if job.account and not self._are_limits_known():\n"
        "            return 0\n",
        "",
        (
            "tests/model/test_stops.py::test_no_account_is_over_its_limit"
            "_before_a_holder_reads_the_configuration",
        ),
    ),
    Guard(
        "trials-run-apart",
        "scheduler/probation.py",
        "    return runner.probation_job is job and not runner.probation_alone\n",
        "    return True\n",
        (f"{CRASHES}::TestProbation",),
    ),
    Guard(
        "suspects-start-apart",
        "scheduler/probation.py",
        "[r for r in open_runners if not _is_starting_suspects(job, r, now_s)]",
        "open_runners",
        (f"{CRASHES}::TestProbation",),
    ),
    Guard(
        "recorded-starts-are-starting",
        "scheduler/probation.py",
        "    pending = attempt.phase in (Phase.PLANNED, Phase.SENT)\n",
        "    pending = attempt.phase is Phase.PLANNED\n",
        ("src/streamthread/scheduler/tests/test_suspect_starts.py",),
    ),
    Guard(
        "unreached-starts-are-no-crashes",
        "scheduler/orders.py",
        "            attempt.sent_at_s = sent_before_s\n",
        "",
        ("src/streamthread/scheduler/tests/test_unreached_starts.py",),
    ),
    Guard(
        "unsteady-pools-ask-for-more",
        "scheduler/crashes.py",
        "self.at_start and self._single_confirmed_job and self.in_stable_pool",
        "self.at_start and self._single_confirmed_job",
        (f"{CRASHES}::TestRunnersThatOutliveStarts",),
    ),
    Guard(
        "takeovers-know-no-stable-pool",
        "scheduler/stability.py",
        "        if boot_s() - self._observed_from_s < EXIT_WINDOW_S:\n",
        "        if False:\n",
        (f"{CRASHES}::TestRunnersThatOutliveStarts",),
    ),
    Guard(
        "takeovers-keep-the-quarantine",
        "scheduler/engine.py",
        "        self.quarantine.judge_job(job)\n",
        "",
        (f"{QUARANTINE}::TestQuarantine",),
    ),
    Guard(
        "stable-runners-get-the-start-that-decides",
        "scheduler/placement.py",
        "task.needs_stable_runner and not _is_stable_enough(task, runner)",
        "False",
        (f"{QUARANTINE}::TestStableRunners",),
    ),
    Guard(
        "crashes-are-recorded",
        "scheduler/progress_codec.py",
        "    return [*row, *_without_trailing_zeros(exits)]\n",
        "    return row\n",
        (f"{CRASHES}::TestOneTaskAtFault",),
    ),
    Guard(
        "runners-heard-again-clear-tasks",
        "scheduler/outcomes.py",
        "        self._crashes.on_runner_response(runner)\n",
        "",
        (f"{CRASHES}::TestExitsThatAreNoCrash",),
    ),
    Guard(
        "late-crashes-hold-tasks-back",
        "scheduler/crashes.py",
        "        task.late_crashes += attribution.late_crash\n",
        "",
        (f"{QUARANTINE}::TestExitsThatFollowStarts",),
    ),
    Guard(
        "survived-starts-clear-tasks",
        "scheduler/crashes.py",
        "        if not counted or outlived_ms < SURVIVED_MS:\n",
        "        if True:\n",
        (f"{QUARANTINE}::TestSurvivedStarts",),
    ),
    Guard(
        "truncated-ends-prove-nothing",
        "scheduler/outcomes.py",
        "            elif reply.omits_runs:\n",
        "            elif False:\n",
        ("src/streamthread/scheduler/tests/test_truncated_ends.py",),
    ),
    Guard(
        "rows-refused-for-good-are-left-out",
        "cell/commits.py",
        "                parts[:0] = self._isolate(changes, refused_once, error)\n",
        "                raise\n",
        ("src/streamthread/cell/tests/test_commits.py::TestRowsThatCannotBeWritten",),
    ),
    Guard(
        "chunks-outlive-what-refers-to-them",
        "holder/job_rows.py",
        "        written.add_done_callback(\n"
        "            functools.partial(self._delete_chunks, job.job_id, unused)\n"
        "        )\n",
        "        for chunk in unused:\n"
        "            self._delete(TABLE_CHUNKS, chunk.key(job.job_id))\n",
        ("src/streamthread/holder/tests/test_job_rows.py::TestLargeJob",),
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
        "        if self.runner.is_next_incarnation(reply.born_ms):\n",
        "        if False:\n",
        ("src/streamthread/runners/tests/test_restarts.py::TestNextIncarnation",),
    ),
    Guard(
        "entries-tell-lives-apart",
        "holder/listing.py",
        "        if link.runner.is_next_incarnation(entry.born_ms):\n",
        "        if False:\n",
        (f"{LISTING_TESTS}::TestRestartedRunners",),
    ),
    Guard(
        "former-links-conclude-nothing",
        "runners/link.py",
        "        if self.over:\n"
        "            # The next incarnation under this id has runs of its own.\n"
        "            return\n",
        "",
        ("src/streamthread/runners/tests/test_restarts.py::TestFormerLink",),
    ),
    Guard(
        "silent-runners-confirm-nothing",
        "runners/link.py",
        "        self._confirmed = self._recorded = 0\n        if not self.silent:\n",
        "        if not self.silent:\n",
        ("src/streamthread/runners/tests/test_restarts.py::TestConfirmations",),
    ),
    Guard(
        "ends-are-confirmed-soon",
        "runners/link.py",
        "        self._confirmed = 0 if self._recorded_late else listed\n",
        "        self._confirmed = listed\n",
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
        "                if attempt.is_of_other_incarnation(runner.born_ms):\n",
        "                if False:\n",
        (f"{RESTARTS}::TestRecordedRuns",),
    ),
    Guard(
        "open-starts-are-stopped",
        "scheduler/attempts.py",
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
        "acknowledged-elsewhere-is-kept",
        "holder/submissions.py",
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
    Guard(
        "earlier-stops-take-effect-first",
        "upkeep/plan.py",
        "    return 0 < fenced_ms < listed_ms - stop_effect_ms\n",
        "    return True\n",
        (f"{WAVES}::test_counts_tasks_that_an_earlier_holder_stopped_as_away",),
    ),
    Guard(
        "earlier-duties-are-carried-out-first",
        "holder/long_running.py",
        "        if attempt.listed_at_s <= self._duties_until_s:\n",
        "        if not attempt.listed_at_s:\n",
        (f"{LONG_RUNNING}::TestTasksOfThisHolder",),
    ),
)
