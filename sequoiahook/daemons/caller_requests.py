"""Reading of a caller's requests, also of those sent ahead of earlier answers."""

import asyncio
import io
from collections.abc import Callable
from typing import Protocol

import h11

from sequoiahook.clock import MS_PER_S
from sequoiahook.daemons.caller_exchange import (
    CallerAnswer,
    CallerRequest,
    CallerServerSettings,
    refusal_answer,
)
from sequoiahook.messages.requests import NOT_RUN

__all__ = [
    "READ_BYTES",
    "CallerDisconnectedError",
    "CallerExchange",
    "ReadLimits",
    "RequestReader",
]

READ_BYTES = 65_536
READ_AHEAD_BYTES_MAX = 65_536
"""Bytes that are read without being parsed; beyond them a caller that leaves is noticed
only once its earlier requests are answered."""


class ReadLimits(Protocol):
    """What limits the reading of requests, for all connections of a server.

    Attributes:
        settings: Limits of the server.
        buffered_bytes: Bytes in the bodies of all open requests.
    """

    settings: CallerServerSettings
    buffered_bytes: int


class CallerDisconnectedError(Exception):
    """The caller closed the connection."""


class _RefusedRequestError(Exception):
    """A request that is refused with a status before it reaches the handler."""

    def __init__(self, status: int, cause: str):
        super().__init__(cause)
        self.status = status


class CallerExchange:
    """A request of a connection and its answer.

    Attributes:
        http: Protocol state of this request alone.
        method: HTTP method; empty before the head was read.
        request: The complete request; None if it was refused while it was read.
        refusal: Answer to a request that was refused while it was read.
        task: Runs the handler; None before the start, or if the connection's own task
            runs it.
        body_bytes: Bytes counted towards the limit on all bodies.
    """

    def __init__(self, http: h11.Connection):
        self.http = http
        self.method = b""
        self.request: CallerRequest | None = None
        self.refusal: CallerAnswer | None = None
        self.task: asyncio.Task | None = None
        self.body_bytes = 0

    @property
    def is_last(self) -> bool:
        """Whether no request can follow on the connection."""
        return self.http.their_state is not h11.DONE


class RequestReader:
    """Reads the requests of one connection in order.

    Args:
        limits: Limits of the server.
        connection_id: Number of the connection, unique in this process.
        reader: Stream from the caller.
        writer: Stream to the caller; only interim responses are written.
        count_open: Returns the number of requests that are read but not answered.
    """

    def __init__(
        self,
        limits: ReadLimits,
        connection_id: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        count_open: Callable[[], int],
    ):
        self._limits = limits
        self._settings = limits.settings
        self._id = connection_id
        self._reader = reader
        self._writer = writer
        self._count_open = count_open
        peer = writer.get_extra_info("peername")
        self._peer_host = peer[0] if peer else ""
        self._http: h11.Connection | None = None
        self._has_bytes = False
        self._idle_since = asyncio.get_running_loop().time()
        self._timer: asyncio.Timeout | None = None
        self._woken = asyncio.Event()
        self.is_closing = False

    def wake(self) -> None:
        """Check again what is waited for, as a request was answered or the end came."""
        now = asyncio.get_running_loop().time()
        self._idle_since = now
        self._woken.set()
        if self._timer is not None and not self._timer.expired():
            self._timer.reschedule(now)

    async def read(self) -> CallerExchange:
        """Read the next request; an unacceptable one is returned with its refusal.

        Raises:
            CallerDisconnectedError: If the caller closed the connection, or left it
                idle for too long.
        """
        exchange = self._next_exchange()
        try:
            await self._read(exchange)
        except h11.RemoteProtocolError as error:
            exchange.refusal = refusal_answer(
                error.error_status_hint, "malformed request", NOT_RUN
            )
        except _RefusedRequestError as error:
            exchange.refusal = refusal_answer(error.status, str(error), NOT_RUN)
        except BaseException:
            self.release(exchange)
            raise
        return exchange

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait for a condition that holds after a wake-up, or until the caller leaves.

        Raises:
            CallerDisconnectedError: If the caller closed the connection.
        """
        byte_count = 0
        while not condition():
            self._woken.clear()
            if byte_count >= READ_AHEAD_BYTES_MAX:
                await self._woken.wait()
                continue
            try:
                async with asyncio.timeout(None) as self._timer:
                    byte_count += await self._receive()
            except TimeoutError:
                continue
            finally:
                self._timer = None

    def release(self, exchange: CallerExchange) -> None:
        """Stop counting a body towards the limit on all bodies."""
        self._limits.buffered_bytes -= exchange.body_bytes
        exchange.body_bytes = 0

    def _next_exchange(self) -> CallerExchange:
        """Return an exchange that begins with the bytes that are already read."""
        http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._settings.header_bytes_max
        )
        ahead = b"" if self._http is None else self._http.trailing_data[0]
        self._has_bytes = bool(ahead)
        if ahead:
            http.receive_data(ahead)
        self._http = http
        return CallerExchange(http)

    async def _read(self, exchange: CallerExchange) -> None:
        head = await self._read_head()
        exchange.method = head.method
        if head.method == b"CONNECT":
            raise _RefusedRequestError(400, "method not allowed here")
        body = b""
        event = self._http.next_event()
        if not isinstance(event, h11.EndOfMessage):
            body = await self._read_body(exchange, event)
        exchange.request = CallerRequest(
            self._id,
            self._peer_host,
            head.method.decode("ascii"),
            bytes(head.target),
            tuple((bytes(name), bytes(value)) for name, value in head.headers),
            body,
        )

    async def _read_head(self) -> h11.Request:
        if not self._has_bytes:
            await self._wait_for_first_byte()
        event = self._http.next_event()
        if event is h11.NEED_DATA:
            event = await self._read_rest_of_head()
        if not isinstance(event, h11.Request):
            raise CallerDisconnectedError
        if _header_bytes(event) > self._settings.header_bytes_max:
            raise _RefusedRequestError(431, "header too large")
        return event

    async def _read_rest_of_head(self) -> h11.Event:
        event = h11.NEED_DATA
        try:
            async with asyncio.timeout(self._settings.header_timeout_ms / MS_PER_S):
                while event is h11.NEED_DATA:
                    await self._receive()
                    event = self._http.next_event()
        except TimeoutError:
            raise _RefusedRequestError(408, "header too slow") from None
        return event

    async def _wait_for_first_byte(self) -> None:
        """Wait for the next request, idle only once all others are answered."""
        while True:
            try:
                async with asyncio.timeout_at(self._idle_until()) as self._timer:
                    await self._receive()
                return
            except TimeoutError:
                idle_until = self._idle_until()
                now = asyncio.get_running_loop().time()
                if idle_until is not None and now >= idle_until:
                    await self._receive_available()
                    return
            finally:
                self._timer = None

    def _idle_until(self) -> float | None:
        """Return when the idle time ends; None while requests are open."""
        if self._count_open():
            return None
        # While the server only announces its close, a new connection keeps its idle
        # time-out, since its first request may be in transit.
        idle_ms = 0 if self.is_closing else self._settings.idle_timeout_ms
        return self._idle_since + idle_ms / MS_PER_S

    async def _receive_available(self) -> None:
        """Receive bytes that arrived just as the idle wait ended.

        Raises:
            CallerDisconnectedError: If there are none.
        """
        try:
            async with asyncio.timeout(0):
                await self._receive()
        except TimeoutError:
            raise CallerDisconnectedError from None

    async def _read_body(self, exchange: CallerExchange, event: h11.Event) -> bytes:
        """Read a body once all earlier requests are answered."""
        await self.wait_until(lambda: not self._count_open())
        if self._http.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            self._writer.write(self._http.send(interim))
        # Unlike that of a bytearray, the content becomes bytes without a copy.
        body = io.BytesIO()
        try:
            async with asyncio.timeout(self._settings.body_timeout_ms / MS_PER_S):
                while not isinstance(event, h11.EndOfMessage):
                    await self._add_to_body(exchange, body, event)
                    event = self._http.next_event()
        except TimeoutError:
            raise _RefusedRequestError(408, "body too slow") from None
        return body.getvalue()

    async def _add_to_body(
        self, exchange: CallerExchange, body: io.BytesIO, event: h11.Event
    ) -> None:
        if event is h11.NEED_DATA:
            await self._receive()
        elif isinstance(event, h11.Data):
            body.write(event.data)
            self._count_body_bytes(exchange, len(event.data))
            if body.tell() > self._settings.body_bytes_max:
                raise _RefusedRequestError(413, "body too large")
        else:
            raise CallerDisconnectedError

    def _count_body_bytes(self, exchange: CallerExchange, byte_count: int) -> None:
        exchange.body_bytes += byte_count
        self._limits.buffered_bytes += byte_count
        if self._limits.buffered_bytes > self._settings.all_body_bytes_max:
            raise _RefusedRequestError(503, "too many bytes in open requests")

    async def _receive(self) -> int:
        """Pass received bytes on for parsing and return their number.

        Raises:
            CallerDisconnectedError: At the end of the stream.
        """
        data = await self._reader.read(READ_BYTES)
        if not data:
            raise CallerDisconnectedError
        self._http.receive_data(data)
        return len(data)


def _header_bytes(head: h11.Request) -> int:
    fields = sum(len(name) + len(value) for name, value in head.headers)
    return len(head.method) + len(head.target) + fields
