"""Advice that a change of the configuration made needless can be asked for later."""

import asyncio

from streamthread.holder.advice import AdviceDesk
from streamthread.platform.manifest import AdvicePolicy

from .test_advice import _Client
from .test_advice import _desk
from .test_advice import _step
from .test_advice import _until_allowed
from .test_advice import POLICY


class TestAdvice:
    async def test_is_asked_for_once_its_route_has_a_policy_again(self) -> None:
        """The route was away, or without a policy, when its turn came."""
        client, step = _Client(), _step()
        policies: list[AdvicePolicy | None] = [POLICY]
        desk: AdviceDesk = _desk(client)
        desk._policy = lambda route: policies[-1]
        desk.want(step)
        policies.append(None)
        running = asyncio.ensure_future(desk.run())
        async with asyncio.timeout(5):
            while desk._wanted:
                await asyncio.sleep(0)
        policies.append(POLICY)
        assert await _until_allowed(desk, step) == ["i-1"]
        running.cancel()
