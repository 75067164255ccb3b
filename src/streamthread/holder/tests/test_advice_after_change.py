"""Tickets that a configuration change made unnecessary can be requested again later."""

import asyncio

from streamthread.holder.advice import AdviceCache
from streamthread.platform.manifest import AdvicePolicy

from .test_advice import _cache
from .test_advice import _Client
from .test_advice import _step
from .test_advice import _until_allowed
from .test_advice import POLICY


class TestAdvice:
    async def test_is_requested_once_its_route_has_a_policy_again(self) -> None:
        """The route was missing or had no policy when the request reached its turn."""
        client, step = _Client(), _step()
        policies: list[AdvicePolicy | None] = [POLICY]
        cache: AdviceCache = _cache(client)
        cache._policy = lambda job: policies[-1]
        cache.request(step)
        policies.append(None)
        running = asyncio.ensure_future(cache.run())
        async with asyncio.timeout(5):
            while cache._turns:
                await asyncio.sleep(0)
        policies.append(POLICY)
        assert await _until_allowed(cache, step) == ["i-1"]
        running.cancel()
