"""HTTP/1.1 client for one server, with a pool of kept-alive connections."""

import asyncio
from typing import NamedTuple

import h11

from sequoiahook.daemons.allocator import RECEIVE_BYTES_MAX
from sequoiahook.errors import SequoiahookError

__all__ = [
    "HttpAnswerLostError",
    "HttpClient",
    "HttpClientSettings",
    "HttpNotSentError",
    "HttpResponse",
]

READ_BYTES = 65_536
MS_PER_S = 1000
SILENCE_MS = 500
"""Time without a sign of life after which a connection may have gone silent."""


class HttpNotSentError(SequoiahookError):
    """No byte of the request was sent."""


class HttpAnswerLostError(SequoiahookError):
    """The request was sent, at least in part, but no complete answer was received."""


class HttpClientSettings(NamedTuple):
    """Settings of a client.

    Attributes:
        host: IP address of the server.
        port: TCP port of the server.
        connections_max: Largest number of open connections; further requests wait.
        connect_timeout_ms: Longest time to wait for a free connection slot and to
            connect, in milliseconds.
        body_bytes_max: Largest accepted answer body, in bytes.
        idle_ms: How long an idle connection is kept for reuse, in milliseconds; one
            that has gone silent meanwhile costs its next request a time-out.
    """

    host: str
    port: int
    connections_max: int = 8
    connect_timeout_ms: int = 1000
    body_bytes_max: int = 4_000_000
    idle_ms: int = 60_000


class HttpResponse(NamedTuple):
    """A complete answer.

    Attributes:
        status: The HTTP status.
        headers: Header values by lower-case name.
        body: The body.
    """

    status: int
    headers: dict[str, str]
    body: bytes


class HttpClient:
    """Sends requests to one server.

    A connection returns to the pool only after a complete exchange and is closed
    otherwise, so that no answer is assigned to another request. If an exchange gets no
    answer in time, all connections on which nothing has arrived lately are closed as
    well: what silenced one may have silenced the others, and each would cost a time-out
    of its own.
    """

    def __init__(self, settings: HttpClientSettings):
        self._settings = settings
        self._idle: list[_Connection] = []
        self._reading: set[_Connection] = set()
        self._slots = asyncio.Semaphore(settings.connections_max)

    async def request(
        self,
        method: str,
        target_path: str,
        headers: dict[str, str],
        body: bytes = b"",
        *,
        timeout_ms: int,
        use_new_connection: bool = False,
    ) -> HttpResponse:
        """Send a request and read the complete answer.

        Args:
            method: The HTTP method.
            target_path: Path and query.
            headers: Header fields without host and content-length.
            body: The body.
            timeout_ms: Longest time for the exchange once connected, in milliseconds.
            use_new_connection: Whether to open a new connection. If a kept-alive one
                is lost, it is unknown whether the request ran.

        Raises:
            HttpNotSentError: If nothing was sent.
            HttpAnswerLostError: If no complete answer was received in time.
        """
        connection = await self._acquire(use_new_connection)
        is_reusable = False
        if method == "GET":
            self._reading.add(connection)
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_S):
                response = await connection.exchange(
                    self._request_head(method, target_path, headers, body), body
                )
            is_reusable = connection.start_next_cycle()
            return response
        except (OSError, TimeoutError, h11.ProtocolError) as error:
            if isinstance(error, TimeoutError):
                self._close_silent()
            raise HttpAnswerLostError(f"no complete answer: {error!r}") from error
        finally:
            self._reading.discard(connection)
            self._release(connection, is_reusable)

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().close()

    async def _acquire(self, use_new_connection: bool) -> "_Connection":
        settings = self._settings
        try:
            async with asyncio.timeout(settings.connect_timeout_ms / MS_PER_S):
                await self._slots.acquire()
                try:
                    return self._take_idle(use_new_connection) or await self._open()
                except BaseException:
                    self._slots.release()
                    raise
        except (OSError, TimeoutError) as error:
            address = f"{settings.host}:{settings.port}"
            raise HttpNotSentError(f"no connection to {address}: {error!r}") from error

    def _take_idle(self, use_new_connection: bool) -> "_Connection | None":
        if use_new_connection:
            return None
        used_since = (
            asyncio.get_running_loop().time() - self._settings.idle_ms / MS_PER_S
        )
        while self._idle:
            connection = self._idle.pop()
            if not connection.is_closed() and connection.received_at >= used_since:
                return connection
            connection.close()
        return None

    def _close_silent(self) -> None:
        """Close the idle connections and fail the reads without a sign of life.

        Writes that wait for an answer go on: closing would make their outcome unknown.
        """
        since = asyncio.get_running_loop().time() - SILENCE_MS / MS_PER_S
        for connection in self._idle:
            if connection.received_at < since:
                connection.close()
        for connection in self._reading:
            if max(connection.used_at, connection.received_at) < since:
                connection.abort()

    async def _open(self) -> "_Connection":
        settings = self._settings
        reader, writer = await asyncio.open_connection(settings.host, settings.port)
        writer.transport.max_size = RECEIVE_BYTES_MAX
        return _Connection(reader, writer, settings.body_bytes_max)

    def _release(self, connection: "_Connection", is_reusable: bool) -> None:
        if is_reusable and len(self._idle) < self._settings.connections_max:
            self._idle.append(connection)
        else:
            connection.close()
        self._slots.release()

    def _request_head(self, method, target_path, headers, body) -> h11.Request:
        fields = [("host", f"{self._settings.host}:{self._settings.port}")]
        fields.extend(headers.items())
        if body:
            fields.append(("content-length", str(len(body))))
        return h11.Request(method=method, target=target_path, headers=fields)


class _Connection:
    def __init__(self, reader, writer, body_bytes_max: int):
        self._reader = reader
        self._writer = writer
        self._body_bytes_max = body_bytes_max
        self._h11 = h11.Connection(h11.CLIENT)
        self._loop = asyncio.get_running_loop()
        self.used_at = self.received_at = self._loop.time()

    def is_closed(self) -> bool:
        return self._reader.at_eof() or self._writer.is_closing()

    def close(self) -> None:
        self._writer.close()

    def abort(self) -> None:
        """Close at once; an exchange under way fails with ConnectionAbortedError."""
        self._writer.transport.abort()
        self._reader.set_exception(ConnectionAbortedError("no sign of life"))

    def start_next_cycle(self) -> bool:
        try:
            self._h11.start_next_cycle()
        except h11.LocalProtocolError:
            return False
        return True

    async def exchange(self, head: h11.Request, body: bytes) -> HttpResponse:
        self.used_at = self._loop.time()
        data = self._h11.send(head)
        if body:
            data += self._h11.send(h11.Data(data=body))
        self._writer.write(data + self._h11.send(h11.EndOfMessage()))
        await self._writer.drain()
        return await self._read_response()

    async def _read_response(self) -> HttpResponse:
        head = None
        body = bytearray()
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > self._body_bytes_max:
                    raise h11.RemoteProtocolError("answer body too large")
            elif isinstance(event, h11.EndOfMessage):
                return _response(head, bytes(body))
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionResetError(
                    "connection closed before the answer was complete"
                )

    async def _next_event(self):
        while True:
            event = self._h11.next_event()
            if event is not h11.NEED_DATA:
                return event
            data = await self._reader.read(READ_BYTES)
            self.received_at = self._loop.time()
            self._h11.receive_data(data)


def _response(head: h11.Response, body: bytes) -> HttpResponse:
    headers = {name.decode(): value.decode("latin-1") for name, value in head.headers}
    return HttpResponse(head.status_code, headers, body)
