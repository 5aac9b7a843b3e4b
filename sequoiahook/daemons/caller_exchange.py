"""What passes between the caller server and the handler of its requests."""

import json
from typing import NamedTuple

from sequoiahook.clock import MS_PER_S
from sequoiahook.messages.requests import Fields

__all__ = ["CallerAnswer", "CallerRequest", "CallerServerSettings", "refusal_answer"]

_JSON = (b"content-type", b"application/json")


class CallerServerSettings(NamedTuple):
    """Limits of the server.

    Attributes:
        host: IP number to listen on.
        port: TCP port; 0 for any free one.
        header_bytes_max: Most bytes of a request's line and fields.
        body_bytes_max: Most bytes of a request's body.
        all_body_bytes_max: Most bytes in the bodies of all requests at a time.
        header_timeout_ms: Longest time for a request's line and fields, in
            milliseconds.
        body_timeout_ms: Longest time for a request's body, in milliseconds.
        idle_timeout_ms: Longest time between requests, in milliseconds.
        write_timeout_ms: Longest time for a caller to take an answer, in milliseconds.
        connections_max: Most open connections.
        backlog: Most connections that wait to be accepted.
    """

    host: str = "127.0.0.1"
    port: int = 0
    header_bytes_max: int = 32 * 1024
    body_bytes_max: int = 4 * 1024 * 1024
    all_body_bytes_max: int = 128 * 1024 * 1024
    header_timeout_ms: int = 5_000
    body_timeout_ms: int = 30_000
    idle_timeout_ms: int = 60_000
    write_timeout_ms: int = 30_000
    connections_max: int = 2_000
    backlog: int = 1_024


class CallerRequest(NamedTuple):
    """A whole request as a caller sent it; it may hold a key.

    Attributes:
        connection_id: Number of the connection, unique in this process.
        peer_host: IP number of the caller.
        method: HTTP method.
        target_path: Path and query.
        headers: Fields; trailers are left out.
        body: Whole body.
    """

    connection_id: int
    peer_host: str
    method: str
    target_path: bytes
    headers: Fields
    body: bytes


class CallerAnswer(NamedTuple):
    """A whole answer to a caller.

    Attributes:
        status: HTTP status.
        headers: Fields without content-length and connection.
        body: Whole body.
        must_close: Whether the connection ends with it.
    """

    status: int
    headers: Fields
    body: bytes
    must_close: bool = False


def refusal_answer(
    status: int, cause: str, ran: str, retry_after_ms: int = 0
) -> CallerAnswer:
    """Make the answer that tells a caller that its request has none.

    Args:
        status: HTTP status.
        cause: Why.
        ran: ``not run`` or ``unknown``.
        retry_after_ms: When to come back, in milliseconds; 0 if there is no advice.
    """
    document = {"error": cause, "ran": ran, "retry_after_ms": retry_after_ms}
    headers: list[tuple[bytes, bytes]] = [_JSON]
    if retry_after_ms > 0:
        seconds = -(-retry_after_ms // MS_PER_S)
        headers.append((b"retry-after", b"%d" % seconds))
    return CallerAnswer(status, tuple(headers), json.dumps(document).encode())
