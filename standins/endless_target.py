"""A target whose answers do not end: ``python -m standins.endless_target KIND``.

It prints one line of JSON with its port. Requests for paths under ``/open/`` are
answered as usual; all others get the beginning of an answer of the kind, and then the
same bytes again and again until the connection is closed.
"""

import asyncio
import contextlib
import json
import sys

__all__ = ["KINDS"]

HEAD_BYTES_MAX = 65_536
PART_BYTES = 16_384
ID_FIELD = b"request-id"
OWN_ID = b"{id}"
"""Stands for the id of the request."""

_OK = b"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: stamp\r\n"
_WHOLE = _OK + b"Content-Length: 2\r\n\r\nok"
_FAILURE = b"HTTP/1.1 500 No\r\nRequest-Id: {id}\r\nServer-Stamp: stamp\r\n"
_REFUSAL = b"HTTP/1.1 503 No\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\n"
_FOREIGN = b"HTTP/1.1 200 OK\r\nRequest-Id: foreign\r\n"
_CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
_LONG = b"Content-Length: 99999999999\r\n\r\n"
_END = b"\r\n"
_BYTES = b"x" * PART_BYTES
_CHUNK = b"4000\r\n" + _BYTES + b"\r\n"
_SMALL_CHUNKS = b"1\r\nx\r\n" * (PART_BYTES // 6)

KINDS = {
    "bytes": (b"", _BYTES),
    "zeros": (b"", bytes(PART_BYTES)),
    "lines": (b"", b"\r\n" * (PART_BYTES // 2)),
    "status line": (b"HTTP/1.1 200 ", _BYTES),
    "field": (_OK + b"X: ", _BYTES),
    "fields": (_OK, b"X: y\r\n" * (PART_BYTES // 6)),
    "informational": (b"", b"HTTP/1.1 103 No\r\n\r\n" * (PART_BYTES // 19)),
    "informational with fields": (
        b"",
        b"HTTP/1.1 103 No\r\n" + b"X: y\r\n" * 200 + b"\r\n",
    ),
    "success": (_OK + _END, _BYTES),
    "long success": (_OK + _LONG, _BYTES),
    "chunked success": (_OK + _CHUNKED, _CHUNK),
    "success in small chunks": (_OK + _CHUNKED, _SMALL_CHUNKS),
    "chunk extension": (_OK + _CHUNKED + b"1;x=", _BYTES),
    "chunk size": (_OK + _CHUNKED, b"0" * PART_BYTES),
    "trailers": (_OK + _CHUNKED + b"0\r\n", b"X: y\r\n" * (PART_BYTES // 6)),
    "failure": (_FAILURE + _END, _BYTES),
    "long failure": (_FAILURE + _LONG, _BYTES),
    "chunked failure": (_FAILURE + _CHUNKED, _CHUNK),
    "failure in small chunks": (_FAILURE + _CHUNKED, _SMALL_CHUNKS),
    "refusal": (_REFUSAL + _END, _BYTES),
    "long refusal": (_REFUSAL + _LONG, _BYTES),
    "chunked refusal": (_REFUSAL + _CHUNKED, _CHUNK),
    "refusal in small chunks": (_REFUSAL + _CHUNKED, _SMALL_CHUNKS),
    "foreign": (_FOREIGN + _END, _BYTES),
    "foreign in small chunks": (_FOREIGN + _CHUNKED, _SMALL_CHUNKS),
    "after the answer": (_WHOLE, _BYTES),
    "more answers": (b"", _WHOLE * 100),
}
"""First bytes of each kind of answer, and those that are repeated."""


async def _serve(kind: str, reader, writer) -> None:
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            path = head.split(b" ")[1]
            request_id = _field(head, ID_FIELD)
            if path.startswith(b"/open/"):
                writer.write(_WHOLE.replace(OWN_ID, request_id))
                continue
            await _discard_body(reader, head)
            first, repeated = KINDS[kind]
            writer.write(first.replace(OWN_ID, request_id))
            repeated = repeated.replace(OWN_ID, request_id)
            while True:
                writer.write(repeated)
                await writer.drain()
    writer.transport.abort()


async def _discard_body(reader, head: bytes) -> None:
    length = _field(head, b"content-length")
    if length:
        await reader.readexactly(int(length))


def _field(head: bytes, name: bytes) -> bytes:
    for line in head.split(b"\r\n")[1:]:
        field, _, value = line.partition(b":")
        if field.lower() == name:
            return value.strip()
    return b""


async def _main(kind: str) -> None:
    server = await asyncio.start_server(
        lambda reader, writer: _serve(kind, reader, writer),
        "127.0.0.1",
        0,
        limit=HEAD_BYTES_MAX,
    )
    print(json.dumps({"port": server.sockets[0].getsockname()[1]}), flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(_main(sys.argv[1]))
