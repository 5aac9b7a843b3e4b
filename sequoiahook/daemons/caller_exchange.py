"""Requests and answers between the caller server and its request handler."""

import asyncio
import json
from collections.abc import Callable
from typing import NamedTuple

import h11

from sequoiahook.clock import MS_PER_S
from sequoiahook.decisions.exchange.target_result import AnswerStream
from sequoiahook.messages.requests import Fields

__all__ = [
    "CallerAnswer",
    "CallerDisconnectedError",
    "CallerExchange",
    "CallerRequest",
    "CallerServerSettings",
    "announced_bytes",
    "call_at_end",
    "header_bytes",
    "refusal_answer",
]

_JSON_CONTENT_TYPE = (b"content-type", b"application/json")


class CallerServerSettings(NamedTuple):
    """Listening address and limits of the server.

    Attributes:
        host: IP address to listen on.
        port: TCP port; 0 selects a free port.
        header_bytes_max: Largest request line and header fields, in bytes.
        body_bytes_max: Largest request body, in bytes.
        all_head_bytes_max: Largest total of the memory of the header fields of all open
            requests, in bytes; one request within its own limit is always accepted.
        all_body_bytes_max: Largest total of the bodies of all open requests, in
            bytes.
        header_timeout_ms: Longest time to receive a request line and header fields, in
            milliseconds.
        body_timeout_ms: Longest time to receive a request body, in milliseconds.
        idle_timeout_ms: Longest time between requests, in milliseconds.
        write_timeout_ms: Longest time for which a caller may read nothing while answers
            wait for it, in milliseconds. A caller that reads 64 KB in this time is
            kept; the system may report no less.
        pressed_write_timeout_ms: The same while too many connections are open or too
            many answers are unread, in milliseconds.
        connections_max: Largest number of open connections.
        refusals_max: Largest number of connections beyond these that are refused with
            an answer at the same time; others are closed without one.
        requests_max: Largest number of requests in progress.
        unread_bytes_max: Largest total of answers that wait for their callers to read,
            in bytes.
        read_ahead_bytes_max: Most bytes that a connection reads ahead, in bytes. While
            they are read, a caller that leaves is noticed before its answers.
        all_read_ahead_bytes_max: Largest total of bytes that are read for requests that
            are not complete, in bytes.
        unsent_bytes_max: Most bytes of a connection that the system holds before they
            are sent.
        backlog: Largest number of connections that wait to be accepted.
    """

    host: str = "127.0.0.1"
    port: int = 0
    header_bytes_max: int = 32 * 1024
    body_bytes_max: int = 4 * 1024 * 1024
    all_head_bytes_max: int = 32 * 1024 * 1024
    all_body_bytes_max: int = 128 * 1024 * 1024
    header_timeout_ms: int = 5_000
    body_timeout_ms: int = 30_000
    idle_timeout_ms: int = 60_000
    write_timeout_ms: int = 10_000
    pressed_write_timeout_ms: int = 2_000
    connections_max: int = 2_000
    refusals_max: int = 100
    requests_max: int = 2_000
    unread_bytes_max: int = 64 * 1024 * 1024
    read_ahead_bytes_max: int = 16_384
    all_read_ahead_bytes_max: int = 32 * 1024 * 1024
    unsent_bytes_max: int = 65_536
    backlog: int = 1_024


class CallerRequest(NamedTuple):
    """A complete request as received from a caller; it may contain a key.

    Attributes:
        connection_id: Number of the connection, unique in this process.
        peer_host: IP address of the caller.
        method: HTTP method.
        target_path: Path and query.
        headers: Header fields; trailers are left out.
        body: Complete body.
    """

    connection_id: int
    peer_host: str
    method: str
    target_path: bytes
    headers: Fields
    body: bytes


class CallerAnswer(NamedTuple):
    """An answer to a caller.

    Attributes:
        status: HTTP status.
        headers: Header fields without content-length and connection.
        body: Body, without the part that is still to be read.
        must_close: Whether the connection closes after it.
        stream: The rest of the body; None if the body is complete.
    """

    status: int
    headers: Fields
    body: bytes
    must_close: bool = False
    stream: AnswerStream | None = None


class CallerDisconnectedError(Exception):
    """The caller closed the connection."""


class CallerExchange:
    """A request of a connection and its answer.

    Attributes:
        http: Protocol state of this request alone.
        method: HTTP method; empty before the head was read.
        request: The complete request; None if it was refused while it was read.
        refusal: Answer to a request that was refused while it was read.
        task: Runs the handler; None before the start, or if the connection's own task
            runs it.
        head_bytes: Bytes counted towards the limit on all heads.
        body_bytes: Bytes counted towards the limit on all bodies.
        unread_bytes: Bytes counted towards the limit on all unread answers.
    """

    def __init__(self, http: h11.Connection):
        self.http = http
        self.method = b""
        self.request: CallerRequest | None = None
        self.refusal: CallerAnswer | None = None
        self.task: asyncio.Task | None = None
        self.head_bytes = 0
        self.body_bytes = 0
        self.unread_bytes = 0

    @property
    def is_last(self) -> bool:
        """Whether no request can follow on the connection."""
        return self.http.their_state is not h11.DONE


def call_at_end(answer: CallerAnswer | None, callback: Callable[[], None]) -> None:
    """Call a function once the body of an answer has ended, or now without a stream.

    Args:
        answer: The answer; None if there is none.
        callback: The function.
    """
    if answer is None or answer.stream is None:
        callback()
    else:
        answer.stream.add_end_callback(lambda end: callback())


def refusal_answer(
    status: int, cause: str, ran: str, retry_after_ms: int = 0
) -> CallerAnswer:
    """Return the answer to a request that was refused or has no known result.

    Args:
        status: HTTP status.
        cause: Reason, shown to the caller.
        ran: ``not run`` or ``unknown``.
        retry_after_ms: Time until the caller should retry, in milliseconds; 0 for
            none.
    """
    document = {"error": cause, "ran": ran, "retry_after_ms": retry_after_ms}
    headers: list[tuple[bytes, bytes]] = [_JSON_CONTENT_TYPE]
    if retry_after_ms > 0:
        seconds = -(-retry_after_ms // MS_PER_S)
        headers.append((b"retry-after", b"%d" % seconds))
    return CallerAnswer(status, tuple(headers), json.dumps(document).encode())


def announced_bytes(head: h11.Request) -> int:
    """Return the length that a head states for its body; 0 if it states none."""
    return next(
        (int(value) for name, value in head.headers if name == b"content-length"), 0
    )


def header_bytes(head: h11.Request) -> int:
    """Return the size of a request line and header fields, in bytes."""
    fields = sum(len(name) + len(value) for name, value in head.headers)
    return len(head.method) + len(head.target) + fields
