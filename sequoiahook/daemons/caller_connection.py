"""HTTP/1.1 connection of a caller: reads complete requests and writes answers."""

import asyncio
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
    "CallerConnection",
    "CallerDisconnectedError",
    "ConnectionServer",
]

READ_BYTES = 65_536
DISCARD_TIMEOUT_MS = 500
_NO_BODY_STATUSES = frozenset({204, 304})


class ConnectionServer(Protocol):
    """Interface of the server that a connection belongs to.

    Attributes:
        settings: Limits of the server.
        is_closing: Whether each connection closes after its next answer.
        buffered_bytes: Bytes in the bodies of all open requests.
    """

    settings: CallerServerSettings
    is_closing: bool
    buffered_bytes: int

    async def handle(self, request: CallerRequest) -> CallerAnswer:
        """Answer a request."""


class _RefusedRequestError(Exception):
    """A request that is refused with a status before it reaches the handler."""

    def __init__(self, status: int, cause: str):
        super().__init__(cause)
        self.status = status


class CallerDisconnectedError(Exception):
    """The caller closed the connection."""


class CallerConnection:
    """One connection of a caller, run by one task.

    Args:
        server: The server that it belongs to.
        connection_id: Number of the connection, unique in this process.
        reader: Stream from the caller.
        writer: Stream to the caller.
    """

    def __init__(
        self,
        server: ConnectionServer,
        connection_id: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ):
        self._server = server
        self._settings = server.settings
        self._id = connection_id
        self._reader = reader
        self._writer = writer
        self._h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._settings.header_bytes_max
        )
        peer = writer.get_extra_info("peername")
        self._peer_host = peer[0] if peer else ""
        self._idle_timer: asyncio.Timeout | None = None
        self._method = b""
        self._buffered_bytes = 0
        self.is_last_request = False

    def close_if_idle(self) -> None:
        """Close now if no request has begun, otherwise after its answer."""
        self.is_last_request = True
        if self._idle_timer is not None:
            self._idle_timer.reschedule(asyncio.get_running_loop().time())

    async def end(self) -> None:
        """Close the connection after all written bytes are sent.

        It is aborted if an answer is incomplete or the bytes are not sent in time.
        """
        if self._h11.our_state in (h11.SEND_BODY, h11.ERROR):
            self._writer.transport.abort()
        self._writer.close()
        try:
            async with asyncio.timeout(self._settings.write_timeout_ms / MS_PER_S):
                await self._writer.wait_closed()
        except OSError:
            self._writer.transport.abort()

    async def run(self) -> None:
        """Serve requests until the connection ends."""
        while True:
            try:
                request = await self._read_request()
            except h11.RemoteProtocolError as error:
                await self.refuse(error.error_status_hint, "malformed request")
                return
            except _RefusedRequestError as error:
                await self.refuse(error.status, str(error))
                return
            answer = await self._handle(request)
            self.release_body()
            await self._write_answer(answer)
            if self._must_close():
                await self._discard_input()
                return
            if self._h11.our_state is not h11.DONE:
                return
            if self._h11.their_state is not h11.DONE:
                return
            self._h11.start_next_cycle()

    async def refuse(self, status: int, cause: str) -> None:
        """Refuse a request without calling the handler, and stop reading requests."""
        answer = refusal_answer(status, cause, NOT_RUN)
        if self._h11.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            await self._write_answer(answer._replace(must_close=True))
            await self._discard_input()

    async def _discard_input(self) -> None:
        """Discard input for a while.

        Bytes left unread at the close would reset the connection before the caller has
        the answer.
        """
        self._writer.write_eof()
        remaining_bytes = self._settings.body_bytes_max
        try:
            async with asyncio.timeout(DISCARD_TIMEOUT_MS / MS_PER_S):
                while remaining_bytes > 0 and (
                    data := await self._reader.read(READ_BYTES)
                ):
                    remaining_bytes -= len(data)
        except OSError:
            return

    def _must_close(self) -> bool:
        return self.is_last_request or self._server.is_closing

    async def _read_request(self) -> CallerRequest:
        head = await self._read_head()
        self._method = head.method
        if head.method == b"CONNECT":
            raise _RefusedRequestError(400, "method not allowed here")
        if self._h11.they_are_waiting_for_100_continue:
            await self._write(h11.InformationalResponse(status_code=100, headers=[]))
        try:
            async with asyncio.timeout(self._settings.body_timeout_ms / MS_PER_S):
                body = await self._read_body()
        except TimeoutError:
            raise _RefusedRequestError(408, "body too slow") from None
        return CallerRequest(
            self._id,
            self._peer_host,
            head.method.decode("ascii"),
            bytes(head.target),
            tuple((bytes(name), bytes(value)) for name, value in head.headers),
            body,
        )

    async def _read_head(self) -> h11.Request:
        event = self._h11.next_event()
        if event is h11.NEED_DATA and not self._h11.trailing_data[0]:
            await self._wait_idle()
            event = self._h11.next_event()
        try:
            async with asyncio.timeout(self._settings.header_timeout_ms / MS_PER_S):
                while event is h11.NEED_DATA:
                    await self._receive()
                    event = self._h11.next_event()
        except TimeoutError:
            raise _RefusedRequestError(408, "header too slow") from None
        if not isinstance(event, h11.Request):
            raise CallerDisconnectedError
        if _header_bytes(event) > self._settings.header_bytes_max:
            raise _RefusedRequestError(431, "header too large")
        return event

    async def _wait_idle(self) -> None:
        # While the server only announces its close, a new connection keeps its idle
        # time-out, since its first request may be in transit.
        idle_ms = 0 if self.is_last_request else self._settings.idle_timeout_ms
        try:
            async with asyncio.timeout(idle_ms / MS_PER_S) as self._idle_timer:
                await self._receive()
        except TimeoutError:
            await self._receive_available()
        finally:
            self._idle_timer = None

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

    async def _read_body(self) -> bytes:
        body = bytearray()
        while True:
            event = self._h11.next_event()
            if event is h11.NEED_DATA:
                await self._receive()
            elif isinstance(event, h11.Data):
                body += event.data
                self._count_body_bytes(len(event.data))
                if len(body) > self._settings.body_bytes_max:
                    raise _RefusedRequestError(413, "body too large")
            elif isinstance(event, h11.EndOfMessage):
                return bytes(body)
            else:
                raise CallerDisconnectedError

    def _count_body_bytes(self, byte_count: int) -> None:
        self._buffered_bytes += byte_count
        self._server.buffered_bytes += byte_count
        if self._server.buffered_bytes > self._settings.all_body_bytes_max:
            raise _RefusedRequestError(503, "too many bytes in open requests")

    def release_body(self) -> None:
        """Stop counting the current body towards the limit on all bodies."""
        self._server.buffered_bytes -= self._buffered_bytes
        self._buffered_bytes = 0

    async def _receive(self) -> None:
        data = await self._reader.read(READ_BYTES)
        self._h11.receive_data(data)

    async def _handle(self, request: CallerRequest) -> CallerAnswer:
        """Run the handler, and cancel it if the caller disconnects."""
        handler_task = asyncio.ensure_future(self._server.handle(request))
        read_task = asyncio.ensure_future(self._reader.read(READ_BYTES))
        try:
            await asyncio.wait(
                {handler_task, read_task}, return_when=asyncio.FIRST_COMPLETED
            )
            if read_task.done():
                data = read_task.result()
                if not data and not handler_task.done():
                    raise CallerDisconnectedError
                self._h11.receive_data(data)
            return await handler_task
        finally:
            for task in (handler_task, read_task):
                if not task.done():
                    task.cancel()
            await asyncio.gather(handler_task, read_task, return_exceptions=True)

    async def _write_answer(self, answer: CallerAnswer) -> None:
        headers = list(answer.headers)
        has_body = self._method != b"HEAD" and answer.status not in _NO_BODY_STATUSES
        if has_body:
            headers.append((b"content-length", b"%d" % len(answer.body)))
        if answer.must_close or self._must_close():
            headers.append((b"connection", b"close"))
        head = h11.Response(status_code=answer.status, headers=headers)
        data = self._h11.send(head)
        if has_body:
            data += self._h11.send(h11.Data(data=answer.body))
        data += self._h11.send(h11.EndOfMessage())
        await self._write_bytes(data)

    async def _write(self, event: h11.Event) -> None:
        await self._write_bytes(self._h11.send(event))

    async def _write_bytes(self, data: bytes) -> None:
        self._writer.write(data)
        async with asyncio.timeout(self._settings.write_timeout_ms / MS_PER_S):
            await self._writer.drain()


def _header_bytes(head: h11.Request) -> int:
    fields = sum(len(name) + len(value) for name, value in head.headers)
    return len(head.method) + len(head.target) + fields
