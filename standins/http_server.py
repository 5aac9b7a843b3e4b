"""A small HTTP/1.1 server with asyncio and h11, for the stand-ins."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple
from urllib.parse import parse_qs, unquote, urlsplit

import h11

__all__ = ["CloseConnectionError", "HttpRequest", "HttpResponse", "serve"]

READ_BYTES = 65_536
BODY_BYTES_MAX = 4_000_000


class CloseConnectionError(Exception):
    """Raised by a handler to close the connection without a response."""


class HttpRequest(NamedTuple):
    """A completely received request.

    Attributes:
        method: The HTTP method.
        path: The decoded path.
        query: Query parameters by name; the last value of a repeated one.
        headers: Header values by lower-case name.
        body: The body.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the body parsed as JSON.

        Raises:
            ValueError: If the body is not JSON.
        """
        return json.loads(self.body)


class HttpResponse(NamedTuple):
    """A response with a JSON body.

    Attributes:
        status: The HTTP status.
        value: Value of the body; None for no body.
        headers: Additional header fields.
        body: The encoded body, if it is not to be encoded from the value.
    """

    status: int
    value: Any = None
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


async def serve(handler: Handler, host: str, port: int) -> asyncio.Server:
    """Start serving; port 0 selects a free port."""

    async def on_connection(reader, writer):
        try:
            await _ConnectionHandler(handler, reader, writer).run()
        except (CloseConnectionError, ConnectionError, h11.RemoteProtocolError):
            pass
        except asyncio.CancelledError:
            pass  # The event loop is closing; nothing awaits this task.
        finally:
            writer.close()

    return await asyncio.start_server(on_connection, host, port)


class _ConnectionHandler:
    def __init__(self, handler, reader, writer):
        self._handler = handler
        self._reader = reader
        self._writer = writer
        self._connection = h11.Connection(h11.SERVER)

    async def run(self) -> None:
        while True:
            request = await self._read_request()
            if request is None:
                return
            await self._send(await self._handler(request))
            if self._connection.our_state is h11.MUST_CLOSE:
                return
            self._connection.start_next_cycle()

    async def _read_request(self) -> HttpRequest | None:
        head = None
        body = bytearray()
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > BODY_BYTES_MAX:
                    raise CloseConnectionError
            elif isinstance(event, h11.EndOfMessage):
                return _decode_request(head, bytes(body))
            else:
                return None

    async def _next_event(self):
        while True:
            event = self._connection.next_event()
            if event is not h11.NEED_DATA:
                return event
            self._connection.receive_data(await self._reader.read(READ_BYTES))

    async def _send(self, response: HttpResponse) -> None:
        body = response.body
        if not body and response.value is not None:
            body = json.dumps(response.value).encode()
        headers = [("content-type", "application/json"), *response.headers]
        if response.status != 304:
            headers.append(("content-length", str(len(body))))
        events = [h11.Response(status_code=response.status, headers=headers)]
        if body and response.status != 304:
            events.append(h11.Data(data=body))
        events.append(h11.EndOfMessage())
        data = b"".join(self._connection.send(event) for event in events)
        self._writer.write(data)
        await self._writer.drain()


def _decode_request(head: h11.Request, body: bytes) -> HttpRequest:
    parts = urlsplit(head.target.decode("ascii"))
    query = {name: values[-1] for name, values in parse_qs(parts.query).items()}
    headers = {name.decode(): value.decode("latin-1") for name, value in head.headers}
    return HttpRequest(head.method.decode(), unquote(parts.path), query, headers, body)
