"""One exchange with a target over HTTP/1.1, and how far it got."""

import asyncio
import time
from collections.abc import Callable
from typing import NamedTuple, Protocol

import h11

from sequoiahook.clock import MS_PER_S, NS_PER_MS
from sequoiahook.decisions.exchange.target_result import Stage, TargetResult
from sequoiahook.messages.requests import Fields
from sequoiahook.wire.target_dialect import TargetDialect
from sequoiahook.world.instance import Address

__all__ = [
    "ConnectionKeeper",
    "IdleConnection",
    "TargetClientSettings",
    "TargetExchange",
    "TargetRequest",
    "now_ms",
]

READ_BYTES = 65_536
_BODILESS_METHODS = frozenset({"DELETE", "GET", "HEAD", "OPTIONS"})


IDLE_PERCENT = 70
"""Part of the time that a target promises to keep an idle connection."""

PERCENT = 100


class TargetClientSettings(NamedTuple):
    """Limits of the client.

    Attributes:
        connect_timeout_ms: Longest time to open a connection, in milliseconds.
        answer_bytes_max: Most bytes of an answer's body.
        header_bytes_max: Most bytes of an answer's line and fields.
        idle_max: Most idle connections kept for each target.
        idle_ms: How long an idle connection is kept, in milliseconds.
    """

    connect_timeout_ms: int = 500
    answer_bytes_max: int = 4 * 1024 * 1024
    header_bytes_max: int = 64 * 1024
    idle_max: int = 8
    idle_ms: int = 10_000


class TargetRequest(NamedTuple):
    """A request as it is written to a target.

    Attributes:
        address: Where the target listens.
        method: HTTP method.
        target_path: Path and query, without any key.
        headers: All fields but host and content-length.
        body: Whole body.
        timeout_ms: Longest time for the whole exchange, in milliseconds.
        may_reuse: Whether a kept-alive connection may be used. A kept-alive connection
            that closes as the request goes out proves nothing, so this is for
            idempotent requests, or with a short idle_max_ms.
        id: Id that the answer must name; empty if answers name none.
        host: Host field; empty for the target's address.
        idle_max_ms: How long a kept-alive connection may have been idle; None for as
            long as it is kept.
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


class WatchfulReader(asyncio.StreamReader):
    """A reader that counts the bytes which nobody has read yet.

    On a connection without an exchange such bytes belong to no request.

    Attributes:
        unread_bytes: How many there are.
    """

    def __init__(self, limit: int):
        super().__init__(limit=limit)
        self.unread_bytes = 0

    def feed_data(self, data: bytes) -> None:
        """Take bytes of the target."""
        self.unread_bytes += len(data)
        super().feed_data(data)

    async def read(self, n: int = -1) -> bytes:
        """Return bytes of the target, as soon as there are any."""
        data = await super().read(n)
        self.unread_bytes -= len(data)
        return data


class IdleConnection(NamedTuple):
    """A kept-alive connection that carries no exchange.

    Attributes:
        reader: What the target sends.
        writer: What the target gets.
        since_ms: Since when it is idle, in milliseconds.
        until_ms: How long it may be used, in milliseconds.
    """

    reader: WatchfulReader
    writer: asyncio.StreamWriter
    since_ms: int
    until_ms: int


class ConnectionKeeper(Protocol):
    """Where an exchange gets a kept-alive connection from, and leaves its own.

    Attributes:
        settings: Limits.
        dialect: How targets tell what became of a request.
    """

    settings: TargetClientSettings
    dialect: TargetDialect

    def take_idle(self, request: TargetRequest) -> IdleConnection | None:
        """Return a kept-alive connection for a request, if it may have one."""

    def put_back(self, exchange: "TargetExchange") -> None:
        """Keep the connection of a finished exchange, or close it."""


def now_ms() -> int:
    """Return the monotonic time in milliseconds."""
    return time.monotonic_ns() // NS_PER_MS


class TargetExchange:
    """One request on its way to a target.

    Args:
        request: The request.
        client: Where connections are kept.
    """

    def __init__(self, request: TargetRequest, client: ConnectionKeeper):
        self.request = request
        self.stage = Stage.NOTHING_WRITTEN
        self.reader: WatchfulReader | None = None
        self.writer: asyncio.StreamWriter | None = None
        self._client = client
        self._settings = client.settings
        self._dialect = client.dialect
        self._connect_ms: int | None = None
        self._h11 = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=client.settings.header_bytes_max
        )
        self._head: h11.Response | None = None
        self._body = bytearray()
        self._started_ms = now_ms()
        self._steps: asyncio.Task | None = None
        self._is_aborted = False

    async def run(self, may_write: Callable[[], bool]) -> TargetResult:
        """Connect, write and read; see :meth:`TargetClient.exchange`."""
        if self._is_aborted:
            return self._result()
        self._steps = asyncio.ensure_future(self._run_steps(may_write))
        try:
            await self._steps
        except (OSError, ValueError, h11.ProtocolError):
            self._fail()
        except asyncio.CancelledError:
            if not self._is_aborted or asyncio.current_task().cancelling():
                raise
            self._fail()
        finally:
            self._client.put_back(self)
        return self._result()

    def abort(self) -> None:
        """Close the connection; ``run`` then returns how far it got."""
        self._is_aborted = True
        if self._steps is not None:
            self._steps.cancel()

    async def _run_steps(self, may_write: Callable[[], bool]) -> None:
        async with asyncio.timeout(self.request.timeout_ms / MS_PER_S):
            idle = self._client.take_idle(self.request)
            if idle is not None:
                self.reader, self.writer = idle.reader, idle.writer
            elif not await self._connect():
                return
            self.stage = Stage.NOTHING_WRITTEN
            if self.is_closed or not may_write():
                return
            self._write()
            await self._read_answer()

    async def _connect(self) -> bool:
        self.stage = Stage.CONNECT_TIMEOUT
        timeout_s = self._settings.connect_timeout_ms / MS_PER_S
        began_ms = now_ms()
        try:
            async with asyncio.timeout(timeout_s):
                await self._open_connection()
        except TimeoutError:
            return False
        except OSError:
            self.stage = Stage.CONNECT_REFUSED
            return False
        self._connect_ms = now_ms() - began_ms
        return True

    async def _open_connection(self) -> None:
        loop = asyncio.get_running_loop()
        reader = WatchfulReader(READ_BYTES)
        protocol = asyncio.StreamReaderProtocol(reader)
        transport, _ = await loop.create_connection(
            lambda: protocol, *self.request.address
        )
        self.reader = reader
        self.writer = asyncio.StreamWriter(transport, protocol, reader, loop)

    @property
    def is_closed(self) -> bool:
        """Whether the connection is known to be closed before anything is written."""
        return self.reader.at_eof() or self.writer.is_closing()

    @property
    def can_keep(self) -> bool:
        """Whether the connection can carry another request."""
        is_done = self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE
        is_empty = is_done and not self._h11.trailing_data[0]
        is_whole = self.stage in (Stage.ANSWERED, Stage.SHED)
        is_sent = self.writer.transport.get_write_buffer_size() == 0
        return is_whole and is_empty and is_sent and not self.is_closed

    @property
    def idle_ms(self) -> int:
        """How long the connection may be kept without an exchange."""
        promised_ms = self._dialect.idle_ms(self._head.headers)
        return min(self._settings.idle_ms, promised_ms * IDLE_PERCENT // PERCENT)

    def _write(self) -> None:
        """Give all bytes to the transport at once, without an await."""
        request = self.request
        host = request.host or str(request.address).encode("ascii")
        fields = [(b"host", host), *request.headers]
        if request.body or request.method not in _BODILESS_METHODS:
            fields.append((b"content-length", b"%d" % len(request.body)))
        head = h11.Request(
            method=request.method, target=request.target_path, headers=fields
        )
        data = self._h11.send(head)
        data += self._h11.send(h11.Data(data=request.body))
        data += self._h11.send(h11.EndOfMessage())
        self._started_ms = now_ms()
        self.stage = Stage.PARTLY_WRITTEN
        self.writer.write(data)

    async def _read_answer(self) -> None:
        """Read the whole answer."""
        while True:
            event = self._h11.next_event()
            if event is h11.NEED_DATA:
                self._h11.receive_data(await self.reader.read(READ_BYTES))
            elif isinstance(event, h11.Response):
                self._head = event
            elif isinstance(event, h11.Data):
                self._body += event.data
                if len(self._body) > self._settings.answer_bytes_max:
                    self._fail()
                    return
            elif isinstance(event, h11.EndOfMessage):
                self._finish()
                return
            elif isinstance(event, h11.ConnectionClosed):
                self._fail()
                return

    def _fail(self) -> None:
        """Note that no whole answer came."""
        if self.stage is not Stage.PARTLY_WRITTEN:
            return
        if self._head is not None:
            self.stage = Stage.ANSWER_TRUNCATED
        elif not self.writer.transport.get_write_buffer_size():
            self.stage = Stage.WRITTEN_NO_ANSWER

    def close(self) -> None:
        """Close the connection; at once if the exchange did not end well."""
        if self.stage is not Stage.ANSWERED:
            self.writer.transport.abort()
        self.writer.close()

    def _result(self) -> TargetResult:
        """Return how far the exchange got."""
        if self._head is None or self.stage is Stage.ANSWER_TRUNCATED:
            return TargetResult(
                self.stage,
                duration_ms=self._elapsed_ms(),
                connect_ms=self._connect_ms,
            )
        headers = self._head.headers
        return TargetResult(
            stage=self.stage,
            status=self._head.status_code,
            headers=self._dialect.answer_fields(headers),
            body=bytes(self._body),
            requests_close=self._has(b"connection", b"close"),
            duration_ms=self._elapsed_ms(),
            retry_after_ms=self._retry_after_ms(),
            connect_ms=self._connect_ms,
            open_count=self._dialect.open_count(headers),
        )

    def _finish(self) -> None:
        headers = self._head.headers
        is_cut = self._is_end_unmarked() and not self._dialect.allows_close_delimited
        if is_cut or not self._dialect.is_answer_to(self.request.id, headers):
            self.stage = Stage.ANSWER_TRUNCATED
        elif self._dialect.is_not_run(self._head.status_code, headers):
            self.stage = Stage.SHED
        else:
            self.stage = Stage.ANSWERED

    def _is_end_unmarked(self) -> bool:
        """Whether only the close of the connection ended the body."""
        has_length = any(name == b"content-length" for name, _ in self._head.headers)
        is_chunked = self._has(b"transfer-encoding", b"chunked")
        is_bodiless = self.request.method == "HEAD"
        is_bodiless = is_bodiless or self._head.status_code in (204, 304)
        return not (has_length or is_chunked or is_bodiless)

    def _has(self, name: bytes, word: bytes) -> bool:
        values = [v for n, v in self._head.headers if n == name]
        return any(
            word == token.strip().lower()
            for value in values
            for token in value.split(b",")
        )

    def _retry_after_ms(self) -> int:
        for name, value in self._head.headers:
            if name == b"retry-after" and value.isdigit():
                return int(value) * MS_PER_S
        return 0

    def _elapsed_ms(self) -> int:
        return now_ms() - self._started_ms
