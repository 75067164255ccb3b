"""The platform over HTTP: JSON bodies, one path a verb.

A connection that could not be made, and a 503 or 429, mean that nothing was
done. A commit whose answer was lost is UNKNOWN.
"""

import typing as t

import aiohttp
import cattrs

from ..errors import BadInputError
from ..errors import ConflictError
from ..errors import OutcomeUnknownError
from ..errors import StoreThrottledError
from ..errors import StoreUnavailableError
from .services import Membership
from .services import MembershipChanges
from .services import Objects
from .services import Task
from .services import TaskChanges
from .services import TaskStart
from .services import Workers
from .tables import CommitOutcome
from .tables import CommitResult
from .tables import MAX_ROWS_PER_SCAN
from .tables import Row
from .tables import Tables
from .tables import Transaction

__all__ = [
    "HttpMembership",
    "HttpObjects",
    "HttpTables",
    "HttpWorkers",
    "PlatformClient",
    "converter",
]

converter = cattrs.Converter()

_WAIT = "the platform is down or slow: nothing is lost, it is tried again"


class PlatformClient:
    """One session to the platform, shared by its four adapters.

    :param timeout_s: each part of a call takes no longer: connecting, until the answer
        begins, and each pause in it. How long an answer takes as a whole depends on its
        size and the link: a limit on that would keep a large object out for good.
    """

    def __init__(self, base_url: str, timeout_s: float) -> None:
        self._base_url = base_url
        self._timeout = aiohttp.ClientTimeout(
            total=None, connect=timeout_s, sock_read=timeout_s
        )
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close the session."""
        if self._session is not None:
            await self._session.close()

    async def call(self, path: str, body: t.Any) -> t.Any:
        """POST a JSON body and return the JSON answer.

        :raises StoreUnavailableError: nothing was done.
        :raises OutcomeUnknownError: the request went out, no answer came.
        """
        url = f"{self._base_url}{path}"
        try:
            async with self._open().post(url, json=body) as response:
                self._refuse_status(response.status, path)
                answer = await response.json()
        except aiohttp.ClientConnectorError as error:
            raise StoreUnavailableError(
                str(error), remedy=_WAIT, location=path
            ) from error
        except (aiohttp.ClientError, TimeoutError) as error:
            raise OutcomeUnknownError(
                f"no answer ({type(error).__name__})", remedy=_WAIT, location=path
            ) from error
        if "conflict" in answer:
            raise ConflictError(answer["conflict"], remedy="read again and retry")
        return answer

    async def read(self, path: str, body: t.Any) -> t.Any:
        """Like :meth:`call`, for calls without effect: no answer is unavailable."""
        try:
            return await self.call(path, body)
        except OutcomeUnknownError as error:
            raise StoreUnavailableError(
                error.message, remedy=_WAIT, location=path
            ) from error

    def _open(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(timeout=self._timeout)
        return self._session

    @staticmethod
    def _refuse_status(status: int, path: str) -> None:
        if status == 429:
            raise StoreThrottledError("over its rate", remedy=_WAIT, location=path)
        if status == 503:
            raise StoreUnavailableError("refused", remedy=_WAIT, location=path)
        if status == 400:
            raise BadInputError(
                "the platform refused the request as malformed",
                remedy="check that both sides speak the same version",
                location=path,
            )
        if status != 200:
            raise OutcomeUnknownError(
                f"answered with status {status}", remedy=_WAIT, location=path
            )


class HttpTables(Tables):
    """The table service over HTTP."""

    def __init__(self, client: PlatformClient) -> None:
        self._client = client

    async def get(self, keys: t.Sequence[str]) -> dict[str, Row]:
        """Return the rows that exist among ``keys``."""
        answer = await self._client.read("/tables/get", {"keys": list(keys)})
        rows = converter.structure(answer["rows"], list[Row])
        return {row.key: row for row in rows}

    async def scan(
        self, prefix: str, after: str = "", limit: int = MAX_ROWS_PER_SCAN
    ) -> list[Row]:
        """Return one page of rows."""
        body = {"prefix": prefix, "after": after, "limit": limit}
        answer = await self._client.read("/tables/scan", body)
        return converter.structure(answer["rows"], list[Row])

    async def commit(self, transaction: Transaction) -> CommitResult:
        """Send a transaction."""
        try:
            answer = await self._client.call(
                "/tables/commit", converter.unstructure(transaction)
            )
        except OutcomeUnknownError:
            return CommitResult(CommitOutcome.UNKNOWN)
        return converter.structure(answer, CommitResult)


class HttpObjects(Objects):
    """The object store over HTTP; bodies travel as text."""

    def __init__(self, client: PlatformClient) -> None:
        self._client = client

    async def put(self, key: str, body: bytes) -> None:
        """Store an object."""
        await self._client.read("/objects/put", {"key": key, "body": body.decode()})

    async def get(self, key: str) -> bytes | None:
        """Return an object, or None."""
        answer = await self._client.read("/objects/get", {"key": key})
        body = answer["body"]
        return None if body is None else body.encode()

    async def list_keys(self, prefix: str) -> list[str]:
        """Return the keys under a prefix."""
        answer = await self._client.read("/objects/list", {"prefix": prefix})
        return t.cast(list[str], answer["keys"])


class HttpMembership(Membership):
    """The membership list over HTTP."""

    def __init__(self, client: PlatformClient) -> None:
        self._client = client

    async def changes(self, cursor: int) -> MembershipChanges:
        """Return what changed after ``cursor``."""
        answer = await self._client.read("/membership/changes", {"cursor": cursor})
        return converter.structure(answer, MembershipChanges)


class HttpWorkers(Workers):
    """Workers and reboots over HTTP."""

    def __init__(self, client: PlatformClient) -> None:
        self._client = client

    async def start(self, start: TaskStart) -> None:
        """Start a task."""
        await self._client.call("/workers/start", converter.unstructure(start))

    async def stop(self, job_id: str, attempt: int, checkpoint: bool) -> None:
        """Stop a task."""
        body = {"job_id": job_id, "attempt": attempt, "checkpoint": checkpoint}
        await self._client.read("/workers/stop", body)

    async def stop_many(self, tasks: t.Sequence[tuple[str, int]]) -> None:
        """Stop many tasks in one call."""
        await self._client.read("/workers/stop-many", {"tasks": list(tasks)})

    async def task_changes(self, cursor: int) -> TaskChanges:
        """Return the task reports after ``cursor``."""
        answer = await self._client.read("/workers/task-changes", {"cursor": cursor})
        return converter.structure(answer, TaskChanges)

    async def find_task(self, job_id: str, attempt: int) -> Task | None:
        """Return the report of one attempt."""
        body = {"job_id": job_id, "attempt": attempt}
        answer = await self._client.read("/workers/find-task", body)
        task = answer["task"]
        return None if task is None else converter.structure(task, Task)

    async def reboot(self, instance_id: str, from_boot: int) -> None:
        """Reboot an instance."""
        body = {"instance_id": instance_id, "from_boot": from_boot}
        await self._client.read("/workers/reboot", body)
