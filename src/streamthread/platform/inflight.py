"""Calls in flight: their progress, and their second attempts on new connections.

An open connection can stop responding without being reset. A call on it would wait for
its whole time limit, which allows for a slow service and is many times longer than an
answer usually takes. A call that may be repeated is therefore sent again on a new
connection once its answer is overdue. If the second attempt is answered first, the
connections that were open before it most likely have stopped responding, too.
"""

import asyncio
import collections
import contextlib
import enum
import math
import typing as t

import aiohttp
import attrs
import logbook

from ..clocks import boot_s
from ..errors import OutcomeUnknownError
from ..errors import StoreUnavailableError
from ..response_times import ResponseTimes
from .overdue import LateLoopGuard

__all__ = [
    "Address",
    "Answer",
    "Attempt",
    "ConnectionUse",
    "Flight",
    "Flights",
    "SendAgain",
    "SendPermit",
    "connection_trace",
]

log = logbook.Logger("streamthread.platform")


@attrs.frozen
class Answer:
    """One complete answer.

    :param url: the URL that was called.
    :param instance_id: the runner incarnation that answered, if the answer names it.
    """

    status: int
    text: bytes
    url: str = ""
    instance_id: str = ""


class ConnectionUse(enum.Enum):
    """Which connection a call is sent on; the values appear in error messages."""

    NONE = " without a free connection"
    NEW = " on a new connection"
    REUSED = " on a reused connection"
    UNKNOWN = ""


@attrs.frozen
class SendPermit:
    """Decides whether a call may still be sent, at the moment its first byte leaves.

    :param may_leave: whether the call may be sent now; asked once it has a connection.
    :param connect_s: maximum time to open a connection for it.
    """

    may_leave: t.Callable[[], bool]
    connect_s: float


class _WithheldError(Exception):
    """Ends an attempt that must not be sent any more."""


@attrs.define
class Attempt:
    """One attempt of a call, as far as it has come.

    :param permit: decides whether it may be sent; None: it may.
    :param left: with a permit: the first byte may have left.
    :param sent_at_s: when it got a connection, on the boot clock.
    :param begun: the answer has begun.
    :param received_bytes: how much of the answer's body has arrived.
    """

    began_at_s: float = attrs.field(factory=boot_s)
    sent_at_s: float = 0.0
    begun: bool = False
    received_bytes: int = 0
    connection: ConnectionUse = ConnectionUse.UNKNOWN
    permit: SendPermit | None = None
    left: bool = False

    @property
    def withheld(self) -> bool:
        """Whether certainly nothing of it was sent."""
        return self.permit is not None and not self.left

    def on_body(self) -> None:
        """Send the request now, headers and body at once, if that is permitted."""
        if self.permit is None or self.left:
            return
        if not self.permit.may_leave():
            raise _WithheldError("the order may not be sent any more")
        self.left = True

    def on_connection(self, connection: ConnectionUse) -> None:
        """Record that the call is sent."""
        self.connection = connection
        self.sent_at_s = boot_s()

    def __str__(self) -> str:
        took_s = boot_s() - self.began_at_s
        size = f"{self.received_bytes} bytes"
        return f"after {took_s:.2f} s and {size}{self.connection.value}"


Address = tuple[str | None, int | None]
"""The host and port of a service."""

SendAgain = t.Callable[[float], t.Awaitable[Answer]]
"""Makes the second attempt of a call, with this time limit in seconds."""


class Flight:
    """One call in flight.

    :param wait_s: how long the service may wait before it answers the first attempt.
    :param send_again: makes the second attempt; None if the call must not be repeated.
    :param permit: decides whether the call may be sent; None: it may.
    :param attempt: its first attempt.
    :param answer: the answer to its second attempt, if that was answered first.
    """

    def __init__(
        self,
        flights: "Flights",
        address: Address,
        wait_s: float = 0.0,
        send_again: SendAgain | None = None,
        permit: SendPermit | None = None,
    ) -> None:
        self.attempt = Attempt(connection=ConnectionUse.NONE, permit=permit)
        self.answer: Answer | None = None
        self._flights = flights
        self._address = address
        self._wait_s = wait_s
        self._limit_s = math.inf
        self._send_again = send_again
        self._second: asyncio.Task[None] | None = None
        # The service had time to answer the first attempt.
        self._overdue = False
        self._guard: LateLoopGuard | None = None

    @contextlib.contextmanager
    def tracked(self, limit: asyncio.Timeout) -> t.Iterator[None]:
        """Make the first attempt within this block.

        If the call may be repeated, it is once its answer is overdue.

        :param limit: the time limit of the call.
        """
        self._limit = limit
        end_at_s = limit.when()
        if end_at_s is not None:
            self._limit_s = end_at_s - asyncio.get_running_loop().time()
        timer = None
        if self._send_again is not None:
            loop = asyncio.get_running_loop()
            timer = loop.call_later(self._overdue_s, self._on_overdue)
        self._guard = LateLoopGuard(limit)
        self._flights.add(self._address, self)
        try:
            yield
        finally:
            self._guard.cancel()
            self._flights.remove(self._address, self)
            if timer is not None:
                timer.cancel()
            self._cancel_second()

    def _cancel_second(self) -> None:
        if self._second is not None:
            self._second.cancel()

    @property
    def _overdue_s(self) -> float:
        return self._wait_s + self._flights.times.answer_timeout_s

    def on_begun(self) -> None:
        """Handle that the answer to the first attempt has begun."""
        self.attempt.begun = True
        if self._guard is not None:
            self._guard.cancel()
        self._cancel_second()
        if not self.attempt.sent_at_s:
            return
        now_s = boot_s()
        # The call would have ended by then if this process had not stood still.
        if now_s - self.attempt.began_at_s > self._limit_s:
            return
        took_s = now_s - self.attempt.sent_at_s
        # A call that waits is answered early if there is something to report.
        if took_s >= self._wait_s:
            self._flights.times.observe(took_s - self._wait_s)

    def _on_overdue(self) -> None:
        self._overdue = True
        self._start_second()

    def _start_second(self) -> None:
        if self._second is None and not self.attempt.begun:
            self._second = asyncio.get_running_loop().create_task(self._make_second())

    async def _make_second(self) -> None:
        # An answer that arrived while the event loop was busy is handled before this.
        if self.attempt.begun or self._send_again is None:
            return
        sent_at_s = boot_s()
        left_s = (self._limit.when() or 0.0) - asyncio.get_running_loop().time()
        try:
            answer = await self._send_again(left_s)
        except (StoreUnavailableError, OutcomeUnknownError) as error:
            log.debug("second-attempt-failed", extra={"error": str(error)})
            return
        if self.attempt.begun or _is_refusal(answer):
            return
        self.answer = answer
        self._limit.reschedule(asyncio.get_running_loop().time())
        if self._overdue:
            self._flights.on_silence(self._address, sent_at_s)

    def on_silence(self) -> None:
        """Handle that this call's connection most likely has stopped responding.

        A call that can't be repeated ends as soon as its answer is overdue.
        """
        if self.attempt.begun or self.answer is not None:
            return
        if self._send_again is not None:
            self._start_second()
            return
        loop = asyncio.get_running_loop()
        left_s = self.attempt.sent_at_s + self._overdue_s - boot_s()
        end_at_s = loop.time() + max(0.0, left_s)
        self._limit.reschedule(min(self._limit.when() or end_at_s, end_at_s))


class Flights:
    """All calls in flight of one client.

    :param times: how long the answers take.
    :param close_idle: closes the connections to an address that have been idle since
        a time on the boot clock; returns their number.
    """

    def __init__(self, close_idle: t.Callable[[Address, float], int]) -> None:
        self.times = ResponseTimes()
        self._close_idle = close_idle
        self._open: collections.defaultdict[Address, set[Flight]]
        self._open = collections.defaultdict(set)

    def add(self, address: Address, flight: Flight) -> None:
        """Track a call until :meth:`remove`."""
        self._open[address].add(flight)

    def remove(self, address: Address, flight: Flight) -> None:
        """Stop tracking a call."""
        self._open[address].discard(flight)
        if not self._open[address]:
            del self._open[address]

    def on_silence(self, address: Address, since_s: float) -> None:
        """Handle that connections to an address have stopped responding.

        :param since_s: connections that were not used after this time, on the boot
            clock, most likely have.
        """
        affected = [
            flight
            for flight in self._open.get(address, ())
            if not flight.attempt.begun and 0.0 < flight.attempt.sent_at_s <= since_s
        ]
        closed = self._close_idle(address, since_s)
        if affected or closed:
            host, port = address
            log.info(
                "connections-silent",
                extra={
                    "address": f"{host}:{port}",
                    "calls": len(affected),
                    "idle": closed,
                },
            )
        for flight in affected:
            flight.on_silence()


def _is_refusal(answer: Answer) -> bool:
    """Whether a service was too busy; the first attempt may be in its queue."""
    return answer.status == 429 or answer.status >= 500


def connection_trace() -> aiohttp.TraceConfig:
    """Return the hooks that record which connection an attempt is sent on.

    They also ask its permit before the first byte leaves.
    """

    async def on_reused(session: t.Any, context: t.Any, params: t.Any) -> None:
        context.trace_request_ctx.on_connection(ConnectionUse.REUSED)

    async def on_created(session: t.Any, context: t.Any, params: t.Any) -> None:
        context.trace_request_ctx.on_connection(ConnectionUse.NEW)

    async def on_body(session: t.Any, context: t.Any, params: t.Any) -> None:
        # The library calls this before it writes the headers and the body together.
        context.trace_request_ctx.on_body()

    trace = aiohttp.TraceConfig()
    trace.on_connection_reuseconn.append(on_reused)
    trace.on_connection_create_end.append(on_created)
    trace.on_request_chunk_sent.append(on_body)
    return trace
