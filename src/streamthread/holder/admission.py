"""Which queue and client account a call means, by the newest configuration."""

from ..cell import cell_pb2 as pb
from ..platform.accounts import Limit
from ..platform.manifest import Manifest
from ..platform.manifest import Route
from ..scheduler import Job
from ..scheduler.accounts import may_see
from .context import ManifestSource
from .pending_cancels import Cancel

__all__ = ["AdmissionPolicy"]


class AdmissionPolicy:
    """Judges calls by the newer of two configurations: the sender's and ours."""

    def __init__(self, documents: ManifestSource) -> None:
        self._documents = documents

    @property
    def manifest(self) -> Manifest | None:
        """The configuration in force here."""
        return self._documents.manifest

    @property
    def version(self) -> int:
        """The version of the configuration in force here; 0: none is known."""
        return self.manifest.version if self.manifest is not None else 0

    def route(self, name: str) -> Route | None:
        """Return a route of the manifest in force."""
        manifest = self.manifest
        if manifest is None:
            return None
        return manifest.routes_by_name.get(name)

    def limit_of(self, account: str) -> Limit | None:
        """Return what an account may have running at once; None: it is not known."""
        manifest = self.manifest
        return manifest.limit_of(account) if manifest is not None else None

    def authorize(self, request: pb.CallRequest) -> str | None:
        """Return the account that a call is made for, or None where it may not be made.

        A key that was taken away opens nothing at a daemon that does not know it yet,
        as soon as the holder does.
        """
        manifest = self.manifest
        if manifest is None or manifest.version <= request.configuration_version:
            return request.account
        route = self.route(request.route)
        if not request.checks_keys or (route is not None and not route.needs_key):
            return ""
        if request.key_digest:
            return manifest.account_of(request.key_digest) or None
        # The route is gone, or has come to need a key.
        return "" if route is None else None

    def is_behind(
        self, route: Route | None, version: int, pool: str, account: str
    ) -> bool:
        """Whether only an older configuration than a sender's is known here.

        Where it says the same of the route, and knows the account, the job is taken
        nevertheless.

        :param route: as it is known here.
        :param version: of the configuration by which the sender found the route.
        :param pool: to which that one sends the route's jobs.
        :param account: that the caller's key opens by that one.
        """
        manifest = self.manifest
        if manifest is not None and manifest.version >= version:
            return False
        if route is None or route.service != pool or manifest is None:
            return True
        return bool(account) and account not in manifest.accounts

    def refers_to(self, job: Job, route: str, account: str) -> bool:
        """Whether a caller at a queue means a job of the id that it names.

        Its route may have another name by now; that of another queue is not meant, nor
        that of another account.
        """
        return self._is_same_queue(job.route, route) and may_see(account, job.account)

    def covers(self, cancel: Cancel, job: Job) -> bool:
        """Whether a cancel means a job of its id."""
        return self.refers_to(job, cancel.route, cancel.account)

    def _is_same_queue(self, route: str, other: str) -> bool:
        """Whether two names may stand for one route; one that is gone was renamed."""
        if route == other:
            return True
        return self.route(route) is None or self.route(other) is None
