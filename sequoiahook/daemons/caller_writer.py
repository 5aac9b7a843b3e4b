"""Writing of answers to a caller, as fast as it reads them."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import Callable

import h11

from sequoiahook.clock import MS_PER_S
from sequoiahook.daemons.caller_exchange import CallerAnswer, CallerExchange
from sequoiahook.daemons.caller_load import CallerLoad
from sequoiahook.daemons.caller_progress import Progress

__all__ = ["AnswerWriter", "reset_connection"]

PART_BYTES = 65_536
"""Largest part of an answer that is passed to the transport at a time, which copies
it."""

UNREAD_CHECK_MS = 250
"""Interval between checks whether a caller has read anything."""

_NO_BODY_STATUSES = frozenset({204, 304})
_LINGER_ZERO = struct.pack("ii", 1, 0)


class AnswerWriter:
    """Writes the answers of one connection.

    Attributes:
        is_unread: Whether written bytes wait for the caller to read.
        progress: Progress of the answer that is being written, from the first time on
            that the caller was waited for; None before.

    Args:
        writer: Stream to the caller.
        load: What all connections take, and their limits.
        on_read: Called when the caller has read what it was waited for.
    """

    def __init__(
        self,
        writer: asyncio.StreamWriter,
        load: CallerLoad,
        on_read: Callable[[], None],
    ):
        self.is_unread = False
        self.progress: Progress | None = None
        self._writer = writer
        self._load = load
        self._settings = load.settings
        self._on_read = on_read
        self._http: h11.Connection | None = None
        # Each write then ends only when the system has taken all of it.
        writer.transport.set_write_buffer_limits(high=0)

    @property
    def has_incomplete_answer(self) -> bool:
        """Whether a part of an answer was written and the rest was not."""
        http = self._http
        return http is not None and http.our_state in (h11.SEND_BODY, h11.ERROR)

    async def write(
        self, exchange: CallerExchange, answer: CallerAnswer, *, is_last: bool
    ) -> None:
        """Write an answer, and wait until the system has taken all of it.

        Raises:
            AnswerIncompleteError: If its body cannot be completed.
            OSError: If the connection fails, or the caller reads nothing for too long.
        """
        http = self._http = exchange.http
        if http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers = list(answer.headers)
        has_body = exchange.method != b"HEAD" and answer.status not in _NO_BODY_STATUSES
        if has_body:
            headers.append(_framing_field(answer))
        if is_last:
            headers.append((b"connection", b"close"))
        data = http.send(h11.Response(status_code=answer.status, headers=headers))
        if has_body:
            data = await self._write_body(http, answer, data)
        await self._write_bytes(data + http.send(h11.EndOfMessage()))

    async def _write_body(
        self, http: h11.Connection, answer: CallerAnswer, data: bytes
    ) -> bytes:
        """Write a body as fast as the caller reads it.

        Args:
            http: Protocol state of the request.
            answer: Its answer.
            data: Bytes that precede the body.

        Returns:
            Bytes that are still to be written.

        Raises:
            AnswerIncompleteError: If the body cannot be completed; the caller must not
                take it for a complete one.
        """
        body = memoryview(answer.body)
        data += http.send(h11.Data(data=body[:PART_BYTES]))
        for start in range(PART_BYTES, len(body), PART_BYTES):
            await self._write_bytes(data)
            data = http.send(h11.Data(data=body[start : start + PART_BYTES]))
        if answer.stream is None:
            return data
        await self._write_bytes(data)
        while part := await answer.stream.read():
            await self._write_bytes(http.send(h11.Data(data=part)))
        return b""

    async def _write_bytes(self, data: bytes) -> None:
        """Write bytes, and wait until the system has taken them."""
        self._writer.write(data)
        if self.progress is not None:
            self.progress.byte_count += len(data)
        if not self._writer.transport.get_write_buffer_size():
            await self._writer.drain()  # It reports a connection that is lost.
            return
        self.is_unread = True
        if self.progress is None:
            self.progress = Progress()
        try:
            await self._wait_for_caller()
        finally:
            self.is_unread = False
            self._on_read()

    async def _wait_for_caller(self) -> None:
        """Wait until the caller has read enough for all bytes to be taken.

        Raises:
            TimeoutError: If it reads nothing for too long; the connection is reset.
        """
        loop, transport = asyncio.get_running_loop(), self._writer.transport
        check_ms = min(UNREAD_CHECK_MS, self._settings.write_timeout_ms)
        read_at, waiting_bytes = loop.time(), transport.get_write_buffer_size()
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(check_ms / MS_PER_S):
                    await self._writer.drain()
                    return
            if transport.get_write_buffer_size() < waiting_bytes:
                read_at = loop.time()
                waiting_bytes = transport.get_write_buffer_size()
            elif self._load.is_overdue((loop.time() - read_at) * MS_PER_S):
                reset_connection(self._writer)
                raise TimeoutError("caller does not read")


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Close with a reset: a body without a length would else look complete."""
    sock = writer.get_extra_info("socket")
    if sock.fileno() >= 0:  # It is closed if the caller has reset the connection.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
    writer.transport.abort()


def _framing_field(answer: CallerAnswer) -> tuple[bytes, bytes]:
    if answer.stream is None:
        return (b"content-length", b"%d" % len(answer.body))
    if answer.stream.length is None:
        return (b"transfer-encoding", b"chunked")
    return (b"content-length", b"%d" % answer.stream.length)
