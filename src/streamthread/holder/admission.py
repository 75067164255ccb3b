"""Resolves a request's route and client account by the newest configuration."""

import typing as t

import logbook
import msgspec

from ..cell import cell_pb2 as pb
from ..errors import UnreadableError
from ..platform.accounts import Limit
from ..platform.manifest import AdvicePolicy
from ..platform.manifest import Manifest
from ..platform.manifest import Route
from ..scheduler import Job
from ..scheduler import JobTerms
from ..scheduler.accounts import may_see
from .context import ManifestSource
from .inbox import InboxEntry
from .pending_cancels import Cancel

__all__ = ["AdmissionPolicy"]

log = logbook.Logger("streamthread.holder")


class AdmissionPolicy:
    """Judges requests by the newer of the sender's configuration and this daemon's."""

    def __init__(self, documents: ManifestSource) -> None:
        self._documents = documents
        # The weights of the configuration for which they were computed last.
        self._weighed: Manifest | None = None
        self._weights: dict[str, float] = {}

    @property
    def manifest(self) -> Manifest | None:
        """The configuration that this daemon uses."""
        return self._documents.manifest

    @property
    def version(self) -> int:
        """The version of the configuration that this daemon uses, or 0."""
        return self.manifest.version if self.manifest is not None else 0

    def route(self, name: str) -> Route | None:
        """Return a route of this daemon's configuration, or None if it has none."""
        manifest = self.manifest
        if manifest is None:
            return None
        return manifest.routes_by_name.get(name)

    def are_limits_known(self) -> bool:
        """Return whether this daemon has read a configuration."""
        return self.manifest is not None

    def terms_for(self, request: pb.CallRequest, route: Route) -> JobTerms:
        """Return the terms of a new job by the newer one of the two configurations.

        :param route: the route in this daemon's configuration.
        """
        if request.terms and self.version < request.configuration_version:
            try:
                return JobTerms.decode(request.terms, request.job_id)
            except UnreadableError as error:
                # A later version may state them in another format.
                log.warning(
                    "terms-unreadable",
                    extra={"job": request.job_id, "error": str(error)},
                )
        return JobTerms.of_route(route, request.account)

    def limit_of(self, account: str) -> Limit | None:
        """Return what an account may have running at once; None if it is unknown."""
        manifest = self.manifest
        return manifest.limit_of(account) if manifest is not None else None

    def weights(self) -> t.Mapping[str, float] | None:
        """Return the weight of each account; None if no configuration was read."""
        manifest = self.manifest
        if manifest is None:
            return None
        if manifest is not self._weighed:
            accounts = manifest.accounts.values()
            self._weights = {account.name: account.share for account in accounts}
            self._weighed = manifest
        return self._weights

    def authorize(self, request: pb.CallRequest) -> str | None:
        """Return the account of a request, or None if the request is not allowed.

        A key that was removed from the configuration is refused as soon as the holder
        has the new version, even if the daemon that received the request does not have
        it yet.
        """
        manifest = self.manifest
        if manifest is None or manifest.version <= request.configuration_version:
            return request.account
        route = self.route(request.route)
        if not request.checks_keys or (route is not None and not route.needs_key):
            return ""
        if request.key_digest:
            return manifest.account_of(request.key_digest) or None
        # The request has no key. The route was removed, or needs a key only since a
        # newer version than the sender's.
        return "" if route is None else None

    def is_behind(
        self, route: Route | None, version: int, pool: str, account: str
    ) -> bool:
        """Whether this daemon's configuration is too old to judge a sender's request.

        An older configuration is sufficient if it sends the route to the same pool and
        contains the account.

        :param route: the route in this daemon's configuration.
        :param version: version of the configuration in which the sender found the
            route.
        :param pool: the pool to which that configuration sends the route's jobs.
        :param account: the account of the caller's key in that configuration.
        """
        manifest = self.manifest
        if manifest is not None and manifest.version >= version:
            return False
        if route is None or route.service != pool:
            return True
        return not self._knows_account(account)

    def terms_of(self, entry: InboxEntry) -> JobTerms | None:
        """Return what a job in the inbox was accepted with.

        An earlier version recorded only the pool and the account. The other terms are
        then those of the route, or the defaults if the route has been removed since.

        :return: None if the terms, or the account, are in a newer configuration.
        """
        if entry.terms is not None:
            known = self._knows_account(entry.terms.account)
            behind = self.version < entry.configuration_version and not known
            return None if behind else entry.terms
        route = self.route(entry.route)
        account = entry.account
        if self.is_behind(route, entry.configuration_version, entry.pool, account):
            return None
        if route is not None:
            return JobTerms.of_route(route, account)
        if not entry.pool:
            return None
        return JobTerms(entry.route, entry.pool, account=account)

    def advice_of(self, job: Job) -> AdvicePolicy | None:
        """Return the advice policy of a job, or None if any runner may run its steps.

        Only for a job of an earlier version, which recorded no policy, this is the
        present one of its route.
        """
        if job.terms.advice is not msgspec.UNSET:
            return job.terms.advice
        route = self.route(job.route)
        return route.advice if route is not None else None

    def _knows_account(self, account: str) -> bool:
        """Whether this daemon's configuration has an account; "" needs none."""
        manifest = self.manifest
        return not account or (manifest is not None and account in manifest.accounts)

    def refers_to(self, job: Job, route: str, account: str) -> bool:
        """Whether a request for a job's id, on a route and account, means this job.

        The job's route may have been renamed since. A job of another route or of
        another account does not match. On a route that may be the renamed one, callers
        without an account see no job of an account: other routes are public, too.
        """
        if route == job.route:
            return may_see(account, job.account)
        return self._may_be_renamed(job.route, route) and job.account in ("", account)

    def covers(self, cancel: Cancel, job: Job) -> bool:
        """Whether a cancel applies to a job that has its id."""
        return self.refers_to(job, cancel.route, cancel.account)

    def _may_be_renamed(self, route: str, other: str) -> bool:
        """Whether two names may mean one route; an unknown name counts as renamed."""
        return self.route(route) is None or self.route(other) is None
