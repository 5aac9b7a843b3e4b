"""Requests that a caller sends before it has read the answers to earlier ones."""

import http.client
from collections.abc import Iterator
from typing import NamedTuple

import h11

from standins.platform_fleet import Request

__all__ = ["Answer", "send_ahead"]

READ_BYTES = 65_536


class Answer(NamedTuple):
    """The answer to one request of several that were sent together.

    Attributes:
        status: HTTP status; 0 without a complete answer.
        error: ``""``, ``cut``, ``timeout``, or ``unread`` for a request behind an
            answer that closes the connection.
        headers: Header fields by name in lower case.
        body: The body.
    """

    status: int = 0
    error: str = ""
    headers: dict[str, str] = {}
    body: str = ""


def send_ahead(
    connection: http.client.HTTPConnection, requests: list[Request]
) -> Iterator[Answer]:
    """Send requests without bodies and yield the answer to each.

    Raises:
        OSError: If the requests cannot be written.
    """
    connection.sock.sendall(b"".join(map(_encode, requests)))
    data, error = b"", ""
    for request in requests:
        if error:
            yield Answer(error=error)
            continue
        http_state = h11.Connection(h11.CLIENT)
        http_state.send(h11.Request(method=request.method, target="/", headers=_HOST))
        http_state.send(h11.EndOfMessage())
        if data:
            http_state.receive_data(data)
        try:
            answer = _read(connection, http_state)
        except TimeoutError:
            answer = Answer(error="timeout")
        except (OSError, h11.ProtocolError):
            answer = Answer(error="cut")
        yield answer
        closes = http_state.their_state is not h11.DONE
        error = answer.error or ("unread" if closes else "")
        data = http_state.trailing_data[0]


_HOST = [("Host", "a.example")]


def _encode(request: Request) -> bytes:
    fields = [f"{name}: {value}" for name, value in request.all_headers().items()]
    lines = [f"{request.method} {request.path} HTTP/1.1", *fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def _read(connection: http.client.HTTPConnection, state: h11.Connection) -> Answer:
    head, body = None, bytearray()
    while True:
        event = state.next_event()
        if event is h11.NEED_DATA:
            state.receive_data(connection.sock.recv(READ_BYTES))
        elif isinstance(event, h11.Response):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            headers = {name.decode(): value.decode() for name, value in head.headers}
            text = body.decode("utf-8", "replace")
            return Answer(head.status_code, "", headers, text)
        else:
            raise ConnectionResetError("connection closed within an answer")
