"""Reading of a caller's requests, also of those sent ahead of earlier answers."""

import asyncio
import io
from collections.abc import Callable

import h11

from sequoiahook.clock import MS_PER_S
from sequoiahook.daemons.caller_exchange import (
    CallerDisconnectedError,
    CallerExchange,
    CallerRequest,
    announced_bytes,
    header_bytes,
    refusal_answer,
)
from sequoiahook.daemons.caller_load import CallerLoad
from sequoiahook.daemons.caller_progress import Progress
from sequoiahook.daemons.caller_turns import Turns
from sequoiahook.messages.requests import NOT_RUN, fields_bytes

__all__ = ["RequestReader"]

HEAD_READ_BYTES = 4_096
"""Most bytes that are read at once otherwise."""

HEAD_PART_BYTES = 1_024
"""Bytes that are passed on at a time to be parsed as a head. The protocol state of each
open request keeps what was passed on behind it."""

HEAD_BYTES_PER_TURN = 2_048
"""Bytes of a head that are passed on without a turn; most heads are smaller."""

EVENTS_PER_TURN = 64
"""Parts of a body that are parsed in one turn; it may come in chunks of one byte."""

ROOM_CHECK_MS = 50
"""Interval between checks whether a connection may read again."""


class _RefusedRequestError(Exception):
    """A request that is refused with a status before it reaches the handler."""

    def __init__(self, status: int, cause: str):
        super().__init__(cause)
        self.status = status


class RequestReader:
    """Reads the requests of one connection in order.

    Attributes:
        is_closing: Whether the connection closes after its next answer.
        has_read_request: Whether a request was read.
        idle_since: Time at which the last request was answered or the connection
            began, in seconds of the event loop.
        progress: Progress of the request that is being read; None between requests.

    Args:
        load: What all connections take, and their limits.
        turns: Turns of connections with bytes that take long to parse.
        connection_id: Number of the connection, unique in this process.
        reader: Stream from the caller.
        writer: Stream to the caller; only interim responses are written.
        count_open: Returns the number of requests that are read but not answered.
        may_read: Returns whether bytes may be read while earlier requests are open.
    """

    def __init__(
        self,
        load: CallerLoad,
        turns: Turns,
        connection_id: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        count_open: Callable[[], int],
        may_read: Callable[[], bool],
    ):
        self._load = load
        self._turns = turns
        self._settings = load.settings
        self._ahead = bytearray()
        self._held_bytes = 0
        self._turn_bytes = 0
        self._id = connection_id
        self._reader = reader
        self._writer = writer
        self._count_open = count_open
        self._may_read = may_read
        peer = writer.get_extra_info("peername")
        self._peer_host = peer[0] if peer else ""
        self._http: h11.Connection | None = None
        self.idle_since = asyncio.get_running_loop().time()
        self._timer: asyncio.Timeout | None = None
        self._woken = asyncio.Event()
        self.is_closing = False
        self.has_read_request = False
        self.progress: Progress | None = None
        self._set_receive_bytes(HEAD_READ_BYTES)

    def wake(self) -> None:
        """Check again what is waited for, as a request was answered or the end came."""
        now = asyncio.get_running_loop().time()
        self.idle_since = now
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
        self.progress = Progress() if self._ahead else None
        try:
            await self._read(exchange)
        except h11.RemoteProtocolError as error:
            exchange.refusal = refusal_answer(
                error.error_status_hint, "malformed request", NOT_RUN
            )
        except _RefusedRequestError as error:
            # Others must not be refused because of the body of this one.
            self.release(exchange)
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
        while not condition():
            self._woken.clear()
            if not self._may_read_ahead():
                await self._woken.wait()
                continue
            try:
                async with asyncio.timeout(None) as self._timer:
                    await self._receive_ahead()
            except TimeoutError:
                continue
            finally:
                self._timer = None

    def _may_read_ahead(self) -> bool:
        has_room = self._held_bytes < self._settings.read_ahead_bytes_max
        return (
            has_room
            and self._may_read()
            and self._load.may_read_ahead(self._held_bytes)
        )

    def release(self, exchange: CallerExchange) -> None:
        """Give up a request that has ended."""
        self.release_body(exchange)
        self._load.head_bytes -= exchange.head_bytes
        exchange.head_bytes = 0
        exchange.request = None

    def release_body(self, exchange: CallerExchange) -> None:
        """Give up the body of a request that needs it no longer."""
        self._load.body_bytes -= exchange.body_bytes
        exchange.body_bytes = 0
        if exchange.request is not None:
            exchange.request = exchange.request._replace(body=b"")

    @property
    def has_bytes(self) -> bool:
        """Whether bytes behind the last request that was read have arrived."""
        return bool(self._ahead or self._http.trailing_data[0])

    def close(self) -> None:
        """Give up the bytes that were read ahead."""
        self._ahead.clear()
        self._set_held_bytes(0)

    def _set_held_bytes(self, byte_count: int) -> None:
        self._load.read_ahead_bytes += byte_count - self._held_bytes
        self._held_bytes = byte_count

    def _next_exchange(self) -> CallerExchange:
        """Return an exchange that begins with the bytes that are already read."""
        http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._settings.header_bytes_max
        )
        if self._http is not None:
            self._ahead[:0] = self._http.trailing_data[0]
        self._set_held_bytes(len(self._ahead))
        self._turn_bytes = 0
        self._http = http
        return CallerExchange(http)

    async def _read(self, exchange: CallerExchange) -> None:
        head = await self._read_head()
        exchange.method = head.method
        if head.method == b"CONNECT":
            raise _RefusedRequestError(400, "method not allowed here")
        if announced_bytes(head) > self._settings.body_bytes_max:
            raise _RefusedRequestError(413, "body too large")
        self._count_head_bytes(exchange, fields_bytes(head.headers))
        body = b""
        event = self._http.next_event()
        if not isinstance(event, h11.EndOfMessage):
            body = await self._read_body(exchange, event)
        self.has_read_request = True
        self.progress = None
        exchange.request = CallerRequest(
            self._id,
            self._peer_host,
            head.method.decode("ascii"),
            bytes(head.target),
            tuple((bytes(name), bytes(value)) for name, value in head.headers),
            body,
        )

    async def _read_head(self) -> h11.Request:
        if not self._ahead:
            await self._wait_for_first_byte()
        event = await self._parse_head()
        if event is h11.NEED_DATA:
            event = await self._read_rest_of_head()
        if not isinstance(event, h11.Request):
            raise CallerDisconnectedError
        if header_bytes(event) > self._settings.header_bytes_max:
            raise _RefusedRequestError(431, "header too large")
        return event

    async def _parse_head(self) -> h11.Event:
        """Parse what was received, but little more than the head."""
        event = self._http.next_event()
        while event is h11.NEED_DATA and self._ahead:
            if self._turn_bytes >= HEAD_BYTES_PER_TURN:
                await self._turns.wait()
                self._turn_bytes = 0
            self._pass_on(HEAD_PART_BYTES)
            self._turn_bytes += HEAD_PART_BYTES
            event = self._http.next_event()
        return event

    def _pass_on(self, byte_count: int) -> None:
        self._http.receive_data(bytes(self._ahead[:byte_count]))
        del self._ahead[:byte_count]

    async def _read_rest_of_head(self) -> h11.Event:
        event = h11.NEED_DATA
        try:
            async with asyncio.timeout(self._settings.header_timeout_ms / MS_PER_S):
                while event is h11.NEED_DATA:
                    await self._wait_for_room()
                    await self._receive_ahead()
                    event = await self._parse_head()
        except TimeoutError:
            raise _RefusedRequestError(408, "header too slow") from None
        return event

    async def _wait_for_room(self) -> None:
        while not self._load.may_read_ahead(self._held_bytes):
            await asyncio.sleep(ROOM_CHECK_MS / MS_PER_S)

    async def _wait_for_first_byte(self) -> None:
        """Wait for the next request, idle only once all others are answered."""
        while True:
            try:
                async with asyncio.timeout_at(self._idle_until()) as self._timer:
                    await self._receive_ahead()
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
        return self.idle_since + idle_ms / MS_PER_S

    async def _receive_available(self) -> None:
        """Receive bytes that arrived just as the idle wait ended.

        Raises:
            CallerDisconnectedError: If there are none.
        """
        try:
            async with asyncio.timeout(0):
                await self._receive_ahead()
        except TimeoutError:
            raise CallerDisconnectedError from None

    async def _read_body(self, exchange: CallerExchange, event: h11.Event) -> bytes:
        """Read a body once all earlier requests are answered."""
        await self.wait_until(lambda: not self._count_open())
        # What was read of the body counts as such from now on.
        self._set_held_bytes(0)
        if self._http.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            self._writer.write(self._http.send(interim))
        # Unlike that of a bytearray, the content becomes bytes without a copy.
        body = io.BytesIO()
        self._load.upload_count += 1
        try:
            async with asyncio.timeout(self._settings.body_timeout_ms / MS_PER_S):
                await self._add_events(exchange, body, event)
            return body.getvalue()
        except TimeoutError:
            raise _RefusedRequestError(408, "body too slow") from None
        finally:
            # Frames of an exception may refer to it for longer.
            body.close()
            self._load.upload_count -= 1
            self._set_receive_bytes(HEAD_READ_BYTES)

    async def _add_events(
        self, exchange: CallerExchange, body: io.BytesIO, event: h11.Event
    ) -> None:
        """Add the parts of a body until its end; many small ones take several turns."""
        event_count = 0
        while not isinstance(event, h11.EndOfMessage):
            event_count += 1
            if event_count % EVENTS_PER_TURN == 0:
                await self._turns.wait()
            await self._add_to_body(exchange, body, event)
            event = self._http.next_event()

    def _set_receive_bytes(self, byte_count: int) -> None:
        """Set how much the transport receives at once; its own limit is 262,144."""
        self._writer.transport.max_size = byte_count

    async def _add_to_body(
        self, exchange: CallerExchange, body: io.BytesIO, event: h11.Event
    ) -> None:
        if event is h11.NEED_DATA and self._ahead:
            self._pass_on(len(self._ahead))
        elif event is h11.NEED_DATA:
            byte_count = self._load.upload_read_bytes
            self._set_receive_bytes(byte_count)
            self._http.receive_data(await self._receive(byte_count))
        elif isinstance(event, h11.Data):
            body.write(event.data)
            self._count_body_bytes(exchange, len(event.data))
            if body.tell() > self._settings.body_bytes_max:
                raise _RefusedRequestError(413, "body too large")
        else:
            raise CallerDisconnectedError

    def _count_head_bytes(self, exchange: CallerExchange, byte_count: int) -> None:
        if not self._load.has_room_for_head(byte_count):
            raise _RefusedRequestError(503, "too many header fields in open requests")
        exchange.head_bytes = byte_count
        self._load.head_bytes += byte_count

    def _count_body_bytes(self, exchange: CallerExchange, byte_count: int) -> None:
        exchange.body_bytes += byte_count
        self._load.body_bytes += byte_count
        if self._load.has_too_many_body_bytes:
            raise _RefusedRequestError(503, "too many bytes in open requests")

    async def _receive_ahead(self) -> None:
        """Receive bytes that may belong to later requests, and count them.

        Raises:
            CallerDisconnectedError: At the end of the stream.
        """
        data = await self._receive(HEAD_READ_BYTES)
        self._ahead += data
        self._set_held_bytes(self._held_bytes + len(data))

    async def _receive(self, byte_count: int) -> bytes:
        """Receive bytes.

        Args:
            byte_count: Most bytes to return.

        Raises:
            CallerDisconnectedError: At the end of the stream.
        """
        data = await self._reader.read(byte_count)
        if not data:
            raise CallerDisconnectedError
        if self.progress is None:
            self.progress = Progress()
        self.progress.byte_count += len(data)
        return data
