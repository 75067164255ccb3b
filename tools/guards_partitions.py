"""The guards against late orders and outages of the cloud, and their tests."""

from tools.guard import Guard

__all__ = ["PARTITION_GUARDS"]

NO_MACHINES = "src/streamthread/holder/tests/test_machines_unreachable.py"
DUTIES_AND_LEASE = "src/streamthread/holder/tests/test_duties_and_lease.py"
HELD_BYTES = (
    "src/streamthread/platform/tests/test_held_bytes.py::TestOrdersThatWereGivenUp"
)
RETURNS = "src/streamthread/holder/tests/test_machine_restarts.py"
SUCCESSORS = "src/streamthread/holder/tests/test_runner_manager.py"

EVIDENCE = "src/streamthread/holder/tests/test_machine_evidence.py"

FORWARDS = "src/streamthread/gateway/tests/test_forwarding.py::TestOverdueHeartbeats"
LOST_CALLERS = "tests/cell/test_callers_of_lost_halls.py"

SILENT_STARTS = "src/streamthread/scheduler/tests/test_silent_starts.py"

PARTITION_GUARDS = (
    Guard(
        "unsent-starts-leave-silent-runners",
        "scheduler/orders.py",
        "        if self._is_placed_elsewhere(attempt, link):\n"
        "            return False\n",
        "",
        (SILENT_STARTS,),
    ),
    Guard(
        "sent-starts-stay-with-silent-runners",
        "scheduler/orders.py",
        "        unsent = attempt.phase is Phase.PLANNED and not"
        " attempt.task.step.request.gang\n",
        "        unsent = True\n",
        (SILENT_STARTS,),
    ),
    Guard(
        "overdue-heartbeats-end-forwards",
        "gateway/forwarding.py",
        "                if self._is_holder_overdue():\n"
        "                    self.given_up += 1\n",
        "                if False:\n                    self.given_up += 1\n",
        (FORWARDS, LOST_CALLERS),
    ),
    Guard(
        "overdue-heartbeats-open-the-inbox",
        "gateway/forwarding.py",
        "        if self._is_holder_overdue():\n            return True\n",
        "",
        (FORWARDS,),
    ),
    Guard(
        "states-are-read-from-the-store",
        "gateway/forwarding.py",
        "            if stored is not None:\n                return stored\n",
        "",
        (LOST_CALLERS,),
    ),
    Guard(
        "progress-is-read-before-the-definition",
        "holder/replay.py",
        "    progress = await _read_value(store, TABLE_RUNS, part, job_id)\n"
        "    definition = await _read_value(store, TABLE_JOBS, part, job_id)\n",
        "    definition = await _read_value(store, TABLE_JOBS, part, job_id)\n"
        "    progress = await _read_value(store, TABLE_RUNS, part, job_id)\n",
        ("src/streamthread/gateway/tests/test_stored_states.py::TestStoredStates",),
    ),
    Guard(
        "listed-machines-end-silent-runners",
        "holder/duties.py",
        "            self._lost_runners.check(self._table.listed)\n",
        "            pass\n",
        ("tests/cell/test_lost_halls.py::TestLostMachine",),
    ),
    Guard(
        "listed-machines-end-runs-of-earlier-holders",
        "holder/machine_evidence.py",
        "            self._drop_orphans(listed)\n",
        "            pass\n",
        (
            "tests/cell/test_returning_machines.py::TestMachineThatComesBack",
            f"{EVIDENCE}::TestRunsOfEarlierHolders",
        ),
    ),
    Guard(
        "runners-that-never-answered-end-no-others",
        "holder/machine_evidence.py",
        "    if other is None or not other.heard:\n",
        "    if other is None:\n",
        (f"{EVIDENCE}::TestRunsOfEarlierHolders",),
    ),
    Guard(
        "lists-before-the-silence-prove-nothing",
        "holder/machine_evidence.py",
        "    if max(runner.silent_at_s, known_since_s) >= listed.asked_at_s:\n"
        "        return Evidence.NONE\n",
        "",
        (f"{EVIDENCE}::TestEvidence",),
    ),
    Guard(
        "unreadable-machines-prove-nothing",
        "holder/machine_evidence.py",
        "        ambiguous = set(unreadable)\n",
        "        ambiguous: set[str] = set()\n",
        (f"{EVIDENCE}::TestEvidence",),
    ),
    Guard(
        "closed-connections-are-reset",
        "platform/connections.py",
        "    opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)\n",
        "",
        (HELD_BYTES, "tests/cell/test_partitioned_holder.py"),
    ),
    Guard(
        "buffered-bytes-are-discarded",
        "platform/connections.py",
        "        self.abort()\n",
        "        super().close()\n",
        (HELD_BYTES,),
    ),
    Guard(
        "orders-end-with-the-lease",
        "holder/lease_validity.py",
        "            while not task.done() and self.trusted:\n",
        "            while not task.done():\n",
        (f"{DUTIES_AND_LEASE}::TestDutyThatWasSent",),
    ),
    Guard(
        "orders-ask-before-they-leave",
        "platform/inflight.py",
        "    trace.on_request_chunk_sent.append(on_body)\n",
        "",
        (f"{DUTIES_AND_LEASE}::TestDutyThatIsNotSentYet",),
    ),
    Guard(
        "outdated-machines-are-not-ordered",
        "holder/machines.py",
        "            self._current = False\n            return False\n",
        "            return False\n",
        (f"{NO_MACHINES}::TestDecisionsAboutMachines",),
    ),
    Guard(
        "outages-of-the-cloud-are-observed",
        "holder/duties.py",
        "        self._waves.pause()\n        self._observe()\n",
        "        self._waves.pause()\n",
        (f"{NO_MACHINES}::TestDecisionsAboutMachines",),
    ),
    Guard(
        "replaced-runners-are-over",
        "holder/machines.py",
        "            self._report_replaced(machine, now_s)\n",
        "",
        (
            f"{RETURNS}::TestMachineWithAnotherRunner",
            "tests/cell/test_returning_machines.py",
        ),
    ),
    Guard(
        "outdated-lists-end-no-runner",
        "holder/machines.py",
        '        if machine.runner_id in ("", present, former):\n',
        '        if machine.runner_id in ("", present):\n',
        (f"{RETURNS}::TestMachineWithAnotherRunner",),
    ),
    Guard(
        "former-runners-end-with-the-next",
        "holder/runner_manager.py",
        "            self._end_former(link.runner.runner_id)\n",
        "            pass\n",
        (f"{SUCCESSORS}::TestMachineThatComesBack",),
    ),
    Guard(
        "runners-that-answer-are-not-former",
        "holder/runner_manager.py",
        "        elif former.silent:\n",
        "        else:\n",
        (f"{SUCCESSORS}::TestMachineThatComesBack",),
    ),
)
