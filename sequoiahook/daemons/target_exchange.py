"""Exchange of one request with a target over HTTP/1.1."""

import asyncio
import contextlib
import time
from collections.abc import Callable
from typing import NamedTuple, Protocol

import h11

from sequoiahook.clock import MS_PER_S, NS_PER_MS
from sequoiahook.daemons.answer_reader import (
    AnswerReader,
    ReaderSettings,
)
from sequoiahook.daemons.caller_turns import Turns
from sequoiahook.daemons.held_answers import HeldAnswers
from sequoiahook.decisions.exchange.target_result import (
    Stage,
    StreamEnd,
    TargetResult,
)
from sequoiahook.messages.requests import Fields
from sequoiahook.names import bounded_name
from sequoiahook.wire.target_dialect import TargetDialect
from sequoiahook.world.instance import Address

__all__ = [
    "ConnectionPool",
    "IdleConnection",
    "TargetClientSettings",
    "TargetExchange",
    "TargetRequest",
    "monotonic_ms",
]

_BODILESS_METHODS = frozenset({"DELETE", "GET", "HEAD", "OPTIONS"})

IDLE_PERCENT = 70
"""Part of a target's keep-alive time for which idle connections are reused."""

PERCENT = 100

PART_BYTES = 65_536
"""Largest part of a body that is passed to the transport at a time. It copies what it
cannot write at once."""

UNREAD_BYTES_MAX = 16_384
"""Received bytes beyond twice of which reading from the connection stops."""

RECEIVE_BYTES = 32_768
"""Most bytes that are received at once; the transport's own limit is 262,144."""

REFUSED_IDS_MAX = 32
"""Refused requests after which a connection is not used again."""


class TargetClientSettings(NamedTuple):
    """Limits of the client.

    Attributes:
        connect_timeout_ms: Longest time to open a connection, in milliseconds.
        answer_bytes_max: Largest answer body, in bytes.
        all_answer_bytes_max: Largest size of all answers that the process holds, in
            bytes, beyond which an answer is passed on or given up.
        header_bytes_max: Largest status line and header fields, in bytes.
        idle_max: Largest number of idle connections kept for each target.
        idle_ms: Longest time to keep an idle connection, in milliseconds.
        all_idle_max: Largest number of idle connections kept for all targets.
    """

    connect_timeout_ms: int = 500
    answer_bytes_max: int = 4 * 1024 * 1024
    header_bytes_max: int = 64 * 1024
    idle_max: int = 8
    idle_ms: int = 10_000
    all_idle_max: int = 1_000
    all_answer_bytes_max: int = 64 * 1024 * 1024


class TargetRequest(NamedTuple):
    """A request as it is written to a target.

    Attributes:
        address: Address of the target.
        method: HTTP method.
        target_path: Path and query, without any key.
        headers: Header fields without host and content-length.
        body: Complete body.
        timeout_ms: Longest time for the whole exchange, in milliseconds.
        may_reuse: Whether a kept-alive connection may be used. If one closes while the
            request is sent, it is unknown whether the request ran, so only idempotent
            requests or a short idle_max_ms allow it.
        id: Request id that the answer must repeat; empty if answers carry none.
        host: Host header field; empty for the address of the target.
        idle_max_ms: Longest idle time of a kept-alive connection, in milliseconds;
            None for no limit of this request.
        may_stream: Whether the result may have a body that is still to be read.
    """

    address: Address
    method: str
    target_path: str
    headers: Fields
    body: bytes
    timeout_ms: int
    may_reuse: bool
    id: str = ""
    host: bytes = b""
    idle_max_ms: int | None = None
    may_stream: bool = False


class CountingReader(asyncio.StreamReader):
    """A stream reader that counts received bytes that are still unread.

    On a connection without an exchange such bytes belong to no request.

    Attributes:
        unread_bytes: Number of received bytes that are still unread.
    """

    def __init__(self, limit: int):
        super().__init__(limit=limit)
        self.unread_bytes = 0

    def feed_data(self, data: bytes) -> None:
        """Append bytes received from the target."""
        self.unread_bytes += len(data)
        super().feed_data(data)

    async def read(self, n: int = -1) -> bytes:
        """Return up to n received bytes as soon as there are any."""
        data = await super().read(n)
        self.unread_bytes -= len(data)
        return data


class IdleConnection(NamedTuple):
    """A kept-alive connection that carries no exchange.

    Attributes:
        reader: Stream from the target.
        writer: Stream to the target.
        became_idle_at: Monotonic time at which it became idle, in milliseconds.
        expires_at: Monotonic time until which it may be used, in milliseconds.
        refused_ids: Bounded ids of the requests that the target refused over it.
    """

    reader: CountingReader
    writer: asyncio.StreamWriter
    became_idle_at: int
    expires_at: int
    refused_ids: frozenset[str] = frozenset()


class ConnectionPool(Protocol):
    """Pool of kept-alive connections for exchanges.

    Attributes:
        settings: Limits of the client.
        dialect: Interpretation of the answers of targets.
        turns: Turns of answers that take long to parse.
    """

    settings: TargetClientSettings
    dialect: TargetDialect
    turns: Turns

    def take_idle(self, request: TargetRequest) -> IdleConnection | None:
        """Remove and return a usable connection for a request, or None."""

    def release(self, exchange: "TargetExchange") -> None:
        """Keep the connection of a finished exchange if it is reusable, or close it."""


def monotonic_ms() -> int:
    """Return the monotonic time in milliseconds."""
    return time.monotonic_ns() // NS_PER_MS


class TargetExchange:
    """The exchange of one request with a target.

    Args:
        request: The request.
        pool: Pool that provides and keeps connections.
        held: Counts what is held of the answers to the request.
    """

    def __init__(self, request: TargetRequest, pool: ConnectionPool, held: HeldAnswers):
        self.request = request
        self.stage = Stage.NOTHING_WRITTEN
        self.reader: CountingReader | None = None
        self.writer: asyncio.StreamWriter | None = None
        self._pool = pool
        self._held = held
        self._settings = pool.settings
        self._dialect = pool.dialect
        self._connect_ms: int | None = None
        self._h11 = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=pool.settings.header_bytes_max
        )
        self._answer: AnswerReader | None = None
        self._deadline_at = 0.0
        self._started_at = monotonic_ms()
        self._exchange_task: asyncio.Task | None = None
        self._write_task: asyncio.Task | None = None
        self._is_aborted = False
        self._is_released = False
        self._is_timed_out = False
        self._refused_ids: frozenset[str] = frozenset()

    async def run(self, may_write: Callable[[], bool]) -> TargetResult:
        """Connect, write and read; see :meth:`TargetClient.exchange`."""
        if self._is_aborted:
            return self._result()
        self._exchange_task = asyncio.ensure_future(self._run_exchange(may_write))
        try:
            await self._wait_for_exchange()
        except asyncio.CancelledError:
            self._release()
            self._give_up_bodies()
            raise
        finally:
            if self._answer is None or self._answer.stream is None:
                self._release()
        result = self._result()
        if result.stream is None:
            self._give_up_bodies()
        return result

    async def _wait_for_exchange(self) -> None:
        try:
            await self._exchange_task
        except TimeoutError:
            self._is_timed_out = True
            self._mark_incomplete()
        except (OSError, ValueError, h11.ProtocolError):
            self._mark_incomplete()
        except asyncio.CancelledError:
            if self._answer is not None and self._answer.stream is not None:
                self._answer.stream.close()
            if not self._is_aborted or asyncio.current_task().cancelling():
                raise
            self._mark_incomplete()

    def _release(self) -> None:
        if not self._is_released:
            self._is_released = True
            self._pool.release(self)

    def _give_up_bodies(self) -> None:
        """Free the bodies, which reference cycles would keep until a collection."""
        self.request = self.request._replace(body=b"")
        self._answer = self._exchange_task = self._write_task = None

    def abort(self) -> None:
        """Close the connection; ``run`` then returns the stage that was reached."""
        self._is_aborted = True
        if self._exchange_task is not None:
            self._exchange_task.cancel()

    async def _run_exchange(self, may_write: Callable[[], bool]) -> None:
        async with asyncio.timeout(self.request.timeout_ms / MS_PER_S) as timeout:
            self._deadline_at = timeout.when()
            idle = self._pool.take_idle(self.request)
            if idle is not None:
                self.reader, self.writer = idle.reader, idle.writer
                self._refused_ids = idle.refused_ids
            elif not await self.connect():
                return
            self.stage = Stage.NOTHING_WRITTEN
            if self.is_closed or not may_write():
                return
            self._write_first_part()
            if self._h11.our_state is h11.SEND_BODY:
                self._write_task = asyncio.create_task(self._write_rest())
            await self._read_answer()

    async def connect(self) -> bool:
        """Open a connection and return whether that was possible."""
        self.stage = Stage.CONNECT_TIMEOUT
        timeout_s = self._settings.connect_timeout_ms / MS_PER_S
        connect_started_at = monotonic_ms()
        try:
            async with asyncio.timeout(timeout_s):
                await self._open_connection()
        except TimeoutError:
            return False
        except OSError:
            self.stage = Stage.CONNECT_REFUSED
            return False
        self._connect_ms = monotonic_ms() - connect_started_at
        return True

    async def _open_connection(self) -> None:
        loop = asyncio.get_running_loop()
        reader = CountingReader(UNREAD_BYTES_MAX)
        protocol = asyncio.StreamReaderProtocol(reader)
        transport, _ = await loop.create_connection(
            lambda: protocol, *self.request.address
        )
        transport.max_size = RECEIVE_BYTES
        self.reader = reader
        self.writer = asyncio.StreamWriter(transport, protocol, reader, loop)

    @property
    def is_closed(self) -> bool:
        """Whether the connection is known to be closed."""
        return self.reader.at_eof() or self.writer.is_closing()

    @property
    def is_reusable(self) -> bool:
        """Whether the connection can carry another request."""
        is_done = self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE
        has_read_all = is_done and not self._h11.trailing_data[0]
        has_answer = self.stage in (Stage.ANSWERED, Stage.SHED)
        if len(self._refused_ids) >= REFUSED_IDS_MAX:
            return False
        return has_answer and has_read_all and self._has_sent_all and not self.is_closed

    @property
    def _has_sent_all(self) -> bool:
        """Whether the system has taken the whole request."""
        is_written = self._h11.our_state in (h11.DONE, h11.MUST_CLOSE)
        return is_written and not self.writer.transport.get_write_buffer_size()

    @property
    def refused_ids(self) -> frozenset[str]:
        """Bounded ids of the requests that the target refused over the connection."""
        if self.stage is Stage.SHED:
            return self._refused_ids | {bounded_name(self.request.id)}
        return self._refused_ids

    @property
    def idle_ms(self) -> int:
        """Longest time to keep the connection idle, in milliseconds."""
        headers = () if self._answer is None else self._answer.head.headers
        keep_alive_ms = self._dialect.idle_ms(headers)
        return min(self._settings.idle_ms, keep_alive_ms * IDLE_PERCENT // PERCENT)

    def _write_first_part(self) -> None:
        """Pass the head and the first part of the body on, without an await."""
        request = self.request
        host = request.host or str(request.address).encode("ascii")
        fields = [(b"host", host), *request.headers]
        if request.body or request.method not in _BODILESS_METHODS:
            fields.append((b"content-length", b"%d" % len(request.body)))
        head = h11.Request(
            method=request.method, target=request.target_path, headers=fields
        )
        data = self._h11.send(head)
        data += self._h11.send(h11.Data(data=request.body[:PART_BYTES]))
        if len(request.body) <= PART_BYTES:
            data += self._h11.send(h11.EndOfMessage())
        self._started_at = monotonic_ms()
        self.stage = Stage.PARTLY_WRITTEN
        self.writer.write(data)

    async def _write_rest(self) -> None:
        """Write the rest of the body while the answer is already awaited.

        A failure of the connection is left to the task that reads the answer.
        """
        body = memoryview(self.request.body)
        with contextlib.suppress(OSError):
            for start in range(PART_BYTES, len(body), PART_BYTES):
                await self.writer.drain()
                part = body[start : start + PART_BYTES]
                self.writer.write(self._h11.send(h11.Data(data=part)))
            self.writer.write(self._h11.send(h11.EndOfMessage()))

    async def _read_answer(self) -> None:
        """Read the answer until it is complete, has failed or is to be passed on."""
        self._answer = AnswerReader(
            ReaderSettings(
                self.request.id,
                self.request.method == "HEAD",
                self.request.may_stream,
                self._settings.answer_bytes_max,
                self._deadline_at,
            ),
            self._dialect,
            self._h11,
            self.reader,
            self._held,
            self._pool.turns,
            self._drain,
            self._on_stream_ended,
        )
        self.stage = await self._answer.read()

    async def _drain(self) -> None:
        """Wait until the system has taken the whole request.

        Raises:
            OSError: If the connection fails before.
        """
        self.writer.transport.set_write_buffer_limits(high=0)
        if self._write_task is not None:
            await asyncio.wait({self._write_task})
        await self.writer.drain()
        if not self._has_sent_all:
            raise ConnectionResetError("connection ended within the request")

    def _on_stream_ended(self, end: StreamEnd) -> None:
        if end is not StreamEnd.COMPLETE:
            self.stage = Stage.ANSWER_TRUNCATED
        self._release()
        self._give_up_bodies()

    def _mark_incomplete(self) -> None:
        """Record that no complete answer was received."""
        if self.stage is not Stage.PARTLY_WRITTEN:
            return
        if self._answer is not None and self._answer.head is not None:
            self.stage = Stage.ANSWER_TRUNCATED
        elif self._has_sent_all:
            self.stage = Stage.WRITTEN_NO_ANSWER

    def close(self) -> None:
        """Close the connection, and abort it unless the exchange was answered."""
        if self._write_task is not None:
            self._write_task.cancel()
        if self.stage is not Stage.ANSWERED:
            self.writer.transport.abort()
        self.writer.close()

    def _result(self) -> TargetResult:
        """Return the stage that was reached, with the answer if there is one."""
        result = TargetResult(self.stage)
        if self._answer is not None:
            result = self._answer.result(self.stage)
        return result._replace(
            duration_ms=self._elapsed_ms(),
            connect_ms=self._connect_ms,
            is_timed_out=self._is_timed_out,
        )

    def _elapsed_ms(self) -> int:
        return monotonic_ms() - self._started_at
