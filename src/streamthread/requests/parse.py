"""Validates callers' HTTP requests and prepares them for an upstream."""

import hashlib
import typing as t

import attrs
from aiohttp import web

from ..clocks import boot_s
from ..configuration import ActiveConfiguration
from ..configuration import ConfigurationService
from ..configuration import ItemKind
from ..configuration import ServiceSpec
from ..configuration import TeamSpec
from .outcomes import DEADLINE_HEADER
from .outcomes import IDEMPOTENCY_HEADER
from .outcomes import Outcome
from .outcomes import Problem
from .outcomes import REPEAT_HEADER

__all__ = ["Call", "TokenAuthenticator", "parse_call"]

MAX_BODY_BYTES = 1024 * 1024
MAX_KEY_LENGTH = 200
BEARER = "Bearer "


@attrs.frozen
class Call:
    """A validated request of a caller.

    :param path: path below the service, with the query string.
    :param repeat_safe: whether the request may run more than once.
    :param deadline_at_s: deadline on this process's boot clock.
    """

    service: str
    spec: ServiceSpec
    team: str
    method: str
    path: str
    body: bytes
    headers: dict[str, str]
    repeat_safe: bool
    idempotency_key: str
    deadline_at_s: float

    def digest(self) -> str:
        """Return a digest that distinguishes different requests with the same key."""
        head = f"{self.method} {self.path}\0".encode()
        return hashlib.sha256(head + self.body).hexdigest()

    def left_s(self) -> float:
        """Return the time left until the deadline."""
        return self.deadline_at_s - boot_s()


class TokenAuthenticator:
    """Identifies teams by their tokens, from the active configuration."""

    def __init__(self, configuration: ConfigurationService) -> None:
        self._active = configuration.active
        self._teams: dict[str, str] | None = None
        configuration.listen(self._on_configuration)

    def _on_configuration(self, keys: t.Collection[str] | None) -> None:
        if keys is None or any(key.startswith("team/") for key in keys):
            self._teams = None

    def team_of(self, request: web.Request) -> str:
        """Return the caller's team, or an empty string if no token is configured.

        :raises Problem: no team has this token.
        """
        if self._teams is None:
            teams = self._active.specs(ItemKind.TEAM, TeamSpec)
            self._teams = {spec.token_sha256: name for name, spec in teams.items()}
            self._teams.pop("", None)
        if not self._teams:
            return ""
        given = request.headers.get("Authorization", "").removeprefix(BEARER)
        team = self._teams.get(hashlib.sha256(given.encode()).hexdigest())
        if team is None:
            raise _refusal(
                401, "unauthenticated", "no team has this token", "send a valid token"
            )
        return team


async def parse_call(
    request: web.Request, active: ActiveConfiguration, authenticator: TokenAuthenticator
) -> Call:
    """Validate a request and read its body.

    :raises Problem: the request cannot be dispatched; it was not run.
    """
    service = request.match_info["service"]
    spec = active.spec(f"service/{service}", ServiceSpec)
    if spec is None:
        raise _refusal(404, "no-such-service", f"there is no service {service!r}")
    team = authenticator.team_of(request)
    deadline_s = _deadline_s(request, spec)
    repeat_safe = _is_repeat_safe(request, spec)
    key = request.headers.get(IDEMPOTENCY_HEADER, "")
    if not repeat_safe:
        _check_unsafe(request, key)
    started_at_s = boot_s()
    return Call(
        service=service,
        spec=spec,
        team=team,
        method=request.method,
        path="/" + request.raw_path.split("/", 3)[-1],
        body=await _read_body(request),
        headers=_forwarded_headers(request),
        repeat_safe=repeat_safe,
        idempotency_key=key,
        deadline_at_s=started_at_s + deadline_s,
    )


def _refusal(status: int, kind: str, detail: str, remedy: str = "") -> Problem:
    return Problem(
        status=status,
        kind=kind,
        detail=detail,
        remedy=remedy or "see the callers' guide",
        outcome=Outcome.NOT_RUN,
    )


def _deadline_s(request: web.Request, spec: ServiceSpec) -> float:
    text = request.headers.get(DEADLINE_HEADER)
    if text is None:
        return spec.deadline_s
    try:
        requested_s = float(text)
    except ValueError:
        requested_s = -1.0
    if not 0 < requested_s < float("inf"):
        raise _refusal(
            400,
            "bad-deadline",
            f"invalid value of {DEADLINE_HEADER}: {text!r}",
            "send a number of seconds greater than 0",
        )
    return min(requested_s, spec.deadline_s)


def _is_repeat_safe(request: web.Request, spec: ServiceSpec) -> bool:
    """Whether the request may run more than once.

    The longest matching route decides, or the method if no route matches. The
    request's own header can only make the result stricter.
    """
    safe = request.method == "GET"
    path = "/" + request.match_info["path"]
    matching = [route for route in spec.routes if path.startswith(route.prefix)]
    if matching:
        safe = max(matching, key=lambda route: len(route.prefix)).repeat_safe
    return safe and request.headers.get(REPEAT_HEADER, "safe") == "safe"


def _check_unsafe(request: web.Request, key: str) -> None:
    if request.method != "POST":
        raise _refusal(
            400,
            "unsafe-method",
            "a request that is not safe to repeat must be a POST",
            "send it as POST",
        )
    if not key or len(key) > MAX_KEY_LENGTH:
        raise _refusal(
            400,
            "no-idempotency-key",
            f"a request that is not safe to repeat needs {IDEMPOTENCY_HEADER}",
            f"send a unique key of 1 to {MAX_KEY_LENGTH} characters for each request",
        )


async def _read_body(request: web.Request) -> bytes:
    try:
        return await request.read()
    except web.HTTPRequestEntityTooLarge:
        raise _refusal(
            413,
            "body-too-large",
            f"the body has more than {MAX_BODY_BYTES} bytes",
            "send a smaller body",
        ) from None


_FORWARDED_HEADER_NAMES = ("Accept", "Content-Type", "User-Agent", "Traceparent")


def _forwarded_headers(request: web.Request) -> dict[str, str]:
    return {
        name: request.headers[name]
        for name in _FORWARDED_HEADER_NAMES
        if name in request.headers
    }
