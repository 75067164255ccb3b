"""When a holder's lease is certainly valid, and what its heartbeats report about it."""

import typing as t

from streamthread.cell import CommitLog
from streamthread.cell import LeaseTimes
from streamthread.clocks import boot_s
from streamthread.holder.lease_validity import LeaseValidity
from streamthread.holder.lease_validity import RELEASE_TIMEOUT_S

HEAD_VERSION = 17


def _lease(confirmed_s_ago: float) -> LeaseValidity:
    confirmed_at_s = boot_s() - confirmed_s_ago
    log = CommitLog(t.cast(t.Any, None), "main", 1, HEAD_VERSION, confirmed_at_s, 0.4)
    return LeaseValidity(log, LeaseTimes(), most_hold_s=6.0)


class TestLeaseValidity:
    async def test_lasts_a_while_after_a_commit(self) -> None:
        assert _lease(0.0).trusted
        assert not _lease(LeaseTimes().trust_s).trusted

    async def test_is_required_to_accept_and_to_extend(self) -> None:
        fresh, stale = _lease(0.0), _lease(2.0)
        assert fresh.may_accept() and fresh.may_extend_s(3.0) == 3.0
        assert not stale.may_accept() and stale.may_extend_s(3.0) == 0.0

    async def test_slow_commits_do_not_refuse_jobs(self) -> None:
        lease = _lease(0.0)
        lease._log.trying_since_s = boot_s() - 0.5
        assert lease.may_accept()
        assert lease.may_extend_s(3.0) == 6.0
        lease._log.failing_since_s = boot_s()
        assert not lease.may_accept()


class TestIdleHeadVersion:
    async def test_is_reported_by_a_holder_that_orders_nothing(self) -> None:
        assert _lease(2.0).idle_head_version == HEAD_VERSION

    async def test_is_not_reported_while_runs_may_be_extended(self) -> None:
        """While the store does not accept the release, others may acquire the cell,
        but this holder still extends runs.
        """
        lease = _lease(0.0)
        lease.begin_release()
        lease._release_began_at_s -= 2 * RELEASE_TIMEOUT_S
        assert lease.doubtful
        assert lease.may_extend_s(3.0) > 0
        assert lease.idle_head_version == 0
