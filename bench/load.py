"""A bounded open-loop load: arrivals from a seeded schedule.

Latency counts from the scheduled arrival, so a slow answer does not hide the
arrivals behind it.
"""

import asyncio
import collections
import hashlib
import random
import time
import typing as t

import aiohttp
import attrs
from hdrh.histogram import HdrHistogram

__all__ = ["Load", "LoadPlan", "LoadResult"]

LOWEST_US = 1
HIGHEST_US = 120_000_000
DIGITS = 3


@attrs.frozen
class LoadPlan:
    """What to send.

    :param urls: prefixes, used in turn: ``http://host:port/services/x``.
    :param unsafe: send POSTs with a key of their own, repeated elsewhere when
        the outcome is not ``done``.
    :param repeat_step: a repeat goes so many prefixes further, to another entry
        of the same service.
    """

    urls: tuple[str, ...]
    per_s: float
    duration_s: float
    delay_ms: int
    unsafe: bool = False
    repeat_step: int = 1
    deadline_s: float = 10.0
    seed: int = 1
    name: str = "load"


@attrs.define
class LoadResult:
    """What came back.

    :param not_run: the keys that were only ever told ``not-run``.
    """

    outcomes: collections.Counter[str] = attrs.field(
        factory=lambda: collections.Counter[str]()
    )
    mixed_or_short: int = 0
    not_run: list[str] = attrs.field(factory=list)
    done_keys: list[str] = attrs.field(factory=list)
    latency_us: t.Any = attrs.field(
        factory=lambda: HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
    )
    done_at_s: list[float] = attrs.field(factory=list)

    def latency_ms(self, percentile: float) -> float:
        """Return a percentile of the latency of whole answers."""
        return float(self.latency_us.get_value_at_percentile(percentile)) / 1000

    def done_per_s(self, after_s: float, until_s: float) -> float:
        """Return whole answers a second between two times after the start."""
        count = sum(after_s <= at_s < until_s for at_s in self.done_at_s)
        return count / (until_s - after_s)


class Load:
    """Sends one plan."""

    def __init__(self, plan: LoadPlan) -> None:
        self.result = LoadResult()
        self._plan = plan
        self._random = random.Random(plan.seed)
        self._began_s = 0.0

    async def run(self) -> LoadResult:
        """Send everything and wait for every end."""
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            self._began_s = time.perf_counter()
            tasks: list[asyncio.Task[None]] = []
            for number, due_s in enumerate(self._schedule()):
                pause_s = self._began_s + due_s - time.perf_counter()
                if pause_s > 0:
                    await asyncio.sleep(pause_s)
                work = self._one(session, number, self._began_s + due_s)
                tasks.append(asyncio.create_task(work))
            await asyncio.gather(*tasks)
        return self.result

    def _schedule(self) -> t.Iterator[float]:
        due_s = 0.0
        while due_s < self._plan.duration_s:
            yield due_s
            due_s += self._random.expovariate(self._plan.per_s)

    async def _one(
        self, session: aiohttp.ClientSession, number: int, due_s: float
    ) -> None:
        if self._plan.unsafe:
            await self._unsafe(session, number, due_s)
        else:
            await self._send(session, number, due_s, f"{number}", "GET", b"", "")

    async def _unsafe(
        self, session: aiohttp.ClientSession, number: int, due_s: float
    ) -> None:
        key = f"{self._plan.name}-{number}"
        outcomes: set[str] = set()
        for attempt in range(3):
            body = f"body of {key}".encode()
            outcome = await self._send(
                session,
                number + attempt * self._plan.repeat_step,
                due_s,
                f"{number}",
                "POST",
                body,
                key,
            )
            outcomes.add(outcome)
            if outcome == "done":
                self.result.done_keys.append(key)
                return
            await asyncio.sleep(0.05)
        if outcomes <= {"not-run", "refused"}:
            self.result.not_run.append(key)

    async def _send(
        self,
        session: aiohttp.ClientSession,
        which: int,
        due_s: float,
        path: str,
        method: str,
        body: bytes,
        key: str,
    ) -> str:
        plan = self._plan
        query = f"{path}?delay_ms={plan.delay_ms}"
        headers = {"Streamthread-Deadline-S": str(plan.deadline_s)}
        if key:
            headers["Idempotency-Key"] = key
        url = f"{plan.urls[which % len(plan.urls)]}/{query}"
        try:
            async with session.request(
                method, url, data=body or None, headers=headers
            ) as response:
                answer = await response.read()
                outcome = response.headers.get("Streamthread-Outcome", "done")
        except aiohttp.ClientConnectorError:
            outcome, answer = "refused", b""
        except aiohttp.ClientError:
            outcome, answer = "broken", b""
        self.result.outcomes[outcome] += 1
        if outcome == "done":
            self._note_done(due_s, f"/{query}", body, answer)
        return outcome

    def _note_done(self, due_s: float, path: str, body: bytes, answer: bytes) -> None:
        now_s = time.perf_counter()
        self.result.done_at_s.append(now_s - self._began_s)
        self.result.latency_us.record_value(int((now_s - due_s) * 1e6))
        digest = hashlib.sha256(path.encode() + body).hexdigest()
        if digest.encode() not in answer:
            self.result.mixed_or_short += 1
