"""Dispatches requests that are not safe to repeat, at most once per key."""

import asyncio
import time

import attrs
from aiohttp import web

from ..errors import StoreUnavailableError
from .answers import RecordedAnswer
from .claims import Claim
from .claims import claim_key
from .claims import ClaimResult
from .claims import ClaimService
from .claims import ClaimState
from .dispatch import Dispatcher
from .outcomes import Outcome
from .outcomes import OUTCOME_HEADER
from .outcomes import Problem
from .outcomes import REPLAYED_HEADER
from .parse import Call

__all__ = ["AtMostOnce"]

CLAIM_RETRY_S = 2.0
"""Retry-After if a key could not be claimed or its first request may still run."""


class AtMostOnce:
    """Claims a request's key before dispatching it, then records the outcome."""

    def __init__(
        self, daemon_id: str, claims: ClaimService, dispatcher: Dispatcher
    ) -> None:
        self._daemon_id = daemon_id
        self._claims = claims
        self._dispatcher = dispatcher

    async def dispatch(self, request: web.Request, call: Call) -> web.StreamResponse:
        """Dispatch a request, or answer with the state of the key's first request.

        :raises Problem: the key is taken or could not be claimed, or the dispatch
            failed.
        """
        key = claim_key(call.service, call.team, call.idempotency_key)
        claim = Claim(call.digest(), self._daemon_id, time.time())
        result = await self._claim(key, claim, call)
        if result.existing is not None:
            return _answer_repeated_key(result.existing, claim)
        claim = attrs.evolve(claim, state=ClaimState.UNKNOWN)
        try:
            answer = RecordedAnswer()
            response = await self._dispatcher.dispatch(request, call, answer)
            claim = answer.final_claim(claim)
            return response
        except Problem as problem:
            state = ClaimState(problem.outcome.value)
            claim = attrs.evolve(claim, state=state)
            raise
        finally:
            self._claims.record_outcome(key, claim, result.version)

    async def _claim(self, key: str, claim: Claim, call: Call) -> ClaimResult:
        try:
            async with asyncio.timeout(max(0.0, call.left_s())):
                return await self._claims.claim(key, claim)
        except (StoreUnavailableError, TimeoutError) as error:
            detail = str(error) or "the key could not be claimed in time"
            raise Problem(
                status=503,
                kind="key-not-claimed",
                detail=detail,
                remedy="send it again with the same key",
                outcome=Outcome.NOT_RUN,
                retry_after_s=CLAIM_RETRY_S,
            ) from error


def _answer_repeated_key(existing: Claim, requested: Claim) -> web.Response:
    """Answer a repeated key with the outcome of its first request."""
    if existing.digest != requested.digest:
        raise Problem(
            status=422,
            kind="key-reused",
            detail="the key was already used for a different request",
            remedy="use a new key for each request",
            outcome=Outcome.NOT_RUN,
        )
    if existing.state is ClaimState.DONE and existing.body_hex is not None:
        return _replayed_response(existing, existing.body_hex)
    done = existing.state is ClaimState.DONE
    raise Problem(
        status=409,
        kind="already-done" if done else "already-taken",
        detail=f"the first request with this key is {existing.state.value}",
        remedy="ask the service whether it took effect; a new key runs it again",
        outcome=Outcome.DONE if done else Outcome.UNKNOWN,
        retry_after_s=None if done else CLAIM_RETRY_S,
    )


def _replayed_response(existing: Claim, body_hex: str) -> web.Response:
    """Return the recorded answer of the first request."""
    return web.Response(
        status=existing.status,
        body=bytes.fromhex(body_hex),
        headers={
            OUTCOME_HEADER: Outcome.DONE.value,
            REPLAYED_HEADER: "true",
            "Content-Type": existing.content_type,
        },
    )
