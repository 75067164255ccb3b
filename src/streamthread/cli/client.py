"""The operators' API as the command line calls it."""

import typing as t

import aiohttp

from ..errors import BadInputError
from ..errors import ConflictError
from ..errors import NotFoundError
from ..errors import OutcomeUnknownError
from ..errors import StoreUnavailableError
from ..errors import StreamthreadError

__all__ = ["ApiErrors", "OperatorClient"]

_KINDS: dict[int, type[StreamthreadError]] = {
    400: BadInputError,
    404: NotFoundError,
    409: ConflictError,
    504: OutcomeUnknownError,
}


class ApiErrors(ExceptionGroup[StreamthreadError]):
    """All errors of one answer."""


class OperatorClient:
    """Calls one entry's operators' port.

    :param server: such as ``http://127.0.0.1:8081``.
    """

    def __init__(self, server: str, timeout_s: float = 30.0) -> None:
        self._server = server.rstrip("/")
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)

    async def get(self, path: str, **query: str) -> t.Any:
        """Return the JSON answer of a GET.

        :raises ApiErrors: the entry refused, or could not be reached.
        """
        return await self._call("GET", path, params=query)

    async def post(self, path: str, body: t.Any) -> t.Any:
        """Return the JSON answer of a POST.

        :raises ApiErrors: the entry refused, or could not be reached.
        """
        return await self._call("POST", path, json=body)

    async def _call(self, method: str, path: str, **arguments: t.Any) -> t.Any:
        url = f"{self._server}{path}"
        try:
            async with (
                aiohttp.ClientSession(timeout=self._timeout) as session,
                session.request(method, url, **arguments) as response,
            ):
                answer = await response.json()
                if response.status != 200:
                    raise _errors(response.status, answer)
                return answer
        except (aiohttp.ClientError, TimeoutError) as error:
            unreachable = StoreUnavailableError(
                f"the entry does not answer: {error!r}",
                remedy="name another entry with --server",
                location=self._server,
            )
            raise ApiErrors("no answer", [unreachable]) from error


def _errors(status: int, answer: t.Any) -> ApiErrors:
    kind = _KINDS.get(status, StoreUnavailableError)
    errors = [
        kind(part["message"], remedy=part["remedy"], location=part["location"])
        for part in answer["errors"]
    ]
    return ApiErrors("refused", errors)
