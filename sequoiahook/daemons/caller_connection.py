"""HTTP/1.1 connection of a caller: answers its requests in their order."""

import asyncio
import socket
from collections import deque
from typing import Protocol

import h11

from sequoiahook.clock import MS_PER_S
from sequoiahook.daemons.caller_exchange import (
    CallerAnswer,
    CallerDisconnectedError,
    CallerExchange,
    CallerRequest,
    refusal_answer,
)
from sequoiahook.daemons.caller_load import CallerLoad
from sequoiahook.daemons.caller_requests import RequestReader
from sequoiahook.daemons.caller_turns import Turns
from sequoiahook.daemons.caller_writer import AnswerWriter, reset_connection
from sequoiahook.messages.requests import NOT_RUN

__all__ = [
    "CallerConnection",
    "CallerDisconnectedError",
    "ConnectionServer",
    "reset_connection",
]

DISCARD_TIMEOUT_MS = 500
DISCARD_READ_BYTES = 65_536
IDLE_MS_MIN = 200
"""Time without a request after which a connection is dropped if another one needs its
place."""

TCP_CLOSE_WAIT = 8
"""State of a connection that the other side has closed, as `TCP_INFO` states it."""

OPEN_REQUESTS_MAX = 4
"""Requests of one connection that are read, and that may run, at the same time."""


class ConnectionServer(Protocol):
    """Interface of the server that a connection belongs to.

    Attributes:
        load: What all connections take, and their limits.
        turns: Turns of connections whose next request has already arrived.
        is_closing: Whether each connection closes after its next answer.
    """

    load: CallerLoad
    turns: Turns
    is_closing: bool

    async def handle(self, request: CallerRequest) -> CallerAnswer:
        """Answer a request."""

    def is_repeatable(self, request: CallerRequest) -> bool:
        """Return whether a request may run beside others of its connection."""


class CallerConnection:
    """One connection of a caller.

    A caller may send requests before earlier ones are answered. Repeatable ones run
    side by side; any other starts only after all before it are answered, and those
    behind it wait for its answer. Answers leave in the order of the requests. Nothing
    behind an answer that closes the connection has been started.

    While answers are not read, nothing is read or started. A caller that reads nothing
    for some seconds is disconnected. When all connections are taken, those with
    requests sent ahead close after their next answer.

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
        self._load = server.load
        self._settings = server.load.settings
        self._reader = reader
        self._writer = writer
        self._is_dropped = False
        self._answers = AnswerWriter(writer, server.load, self._on_read)
        self._exchanges: deque[CallerExchange] = deque()
        self._has_arrived = asyncio.Event()
        self._requests = RequestReader(
            server.load,
            server.turns,
            connection_id,
            reader,
            writer,
            lambda: len(self._exchanges),
            lambda: not self._answers.is_unread,
        )

    @property
    def is_last_request(self) -> bool:
        """Whether the connection closes after its next answer."""
        return self._requests.is_closing

    @is_last_request.setter
    def is_last_request(self, is_last: bool) -> None:
        self._requests.is_closing = is_last

    @property
    def has_served(self) -> bool:
        """Whether a request was read."""
        return self._requests.has_read_request

    @property
    def slow_since(self) -> float:
        """Time since which the caller is awaited, in seconds of the event loop."""
        progress = self._answers.progress or self._requests.progress
        return self._requests.idle_since if progress is None else progress.since

    def is_reading_slowly(self, now: float) -> bool:
        """Return whether the caller reads an answer slowly.

        Args:
            now: Time of the event loop, in seconds.
        """
        if self._is_dropped or self._answers.progress is None:
            return False
        return self._answers.progress.is_slow(now)

    def is_droppable(self, now: float) -> bool:
        """Return whether the caller is idle, has left, or sends or reads slowly.

        Args:
            now: Time of the event loop, in seconds.
        """
        if self._is_dropped or self._answers.progress is not None:
            return self.is_reading_slowly(now)
        if self._exchanges:
            return False
        if self._requests.progress is not None:
            return self._requests.progress.is_slow(now) or self._has_caller_left()
        return (now - self._requests.idle_since) * MS_PER_S >= IDLE_MS_MIN

    def _has_caller_left(self) -> bool:
        """Return whether the caller has closed, also behind bytes that are not read."""
        sock = self._writer.get_extra_info("socket")
        if sock.fileno() < 0:
            return False
        (state,) = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        return state == TCP_CLOSE_WAIT

    def drop(self) -> None:
        """Close at once, as another connection needs the place."""
        self._is_dropped = True
        self._writer.transport.abort()

    def _on_read(self) -> None:
        self._requests.wake()

    def close_if_idle(self) -> None:
        """Close now if no request has begun, otherwise after its answer."""
        self.is_last_request = True
        self._requests.wake()

    async def end(self) -> None:
        """Close the connection after all written bytes are sent.

        It is aborted if an answer is incomplete or the bytes are not sent in time.
        """
        if self._answers.has_incomplete_answer:
            reset_connection(self._writer)
        self._writer.close()
        try:
            async with asyncio.timeout(self._settings.write_timeout_ms / MS_PER_S):
                await self._writer.wait_closed()
        except OSError:
            self._writer.transport.abort()

    async def run(self) -> None:
        """Serve requests until the connection ends."""
        reading = asyncio.create_task(self._read_requests())
        answering = asyncio.create_task(self._answer_requests())
        try:
            await asyncio.wait(
                {reading, answering}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            await self._cancel(reading, answering)
        try:
            if reading.done() and not reading.cancelled():
                reading.result()
            has_read_all = answering.result()
        finally:
            # Exceptions of the tasks refer to this frame, and to requests.
            del reading, answering
        if not has_read_all:
            await self._discard_input()

    async def refuse(self, status: int, cause: str) -> None:
        """Refuse the connection without reading a request."""
        exchange = CallerExchange(h11.Connection(h11.SERVER))
        answer = refusal_answer(status, cause, NOT_RUN)
        try:
            await self._answers.write(exchange, answer, is_last=True)
        finally:
            self._release(exchange)
        await self._discard_input()

    async def _read_requests(self) -> None:
        """Read requests until the caller leaves.

        Raises:
            CallerDisconnectedError: When the caller has closed the connection.
        """
        is_last = False
        while not is_last:
            exchange = await self._requests.read()
            is_last = exchange.refusal is not None or exchange.is_last
            self._exchanges.append(exchange)
            self._has_arrived.set()
            self._start_ahead()
            await self._requests.wait_until(self._has_room)
        await self._requests.wait_until(lambda: False)

    def _has_room(self) -> bool:
        if self._answers.is_unread or not self._exchanges:
            return not self._answers.is_unread
        has_place = len(self._exchanges) < OPEN_REQUESTS_MAX
        return has_place and self._load.may_start_ahead()

    def _start_ahead(self) -> None:
        """Start the requests that may run beside the one that is answered next."""
        if len(self._exchanges) < 2 or self._must_close():
            return
        for index, exchange in enumerate(self._exchanges):
            request = exchange.request
            if request is None or not self._server.is_repeatable(request):
                return
            if index and exchange.task is None:
                if self._answers.is_unread or not self._load.may_start_ahead():
                    return
                exchange.task = asyncio.create_task(self._handle_ahead(exchange))

    async def _handle_ahead(self, exchange: CallerExchange) -> CallerAnswer:
        answer = await self._server.handle(exchange.request)
        self._count_unread(exchange, self._load.size(answer))
        return answer

    def _count_unread(self, exchange: CallerExchange, byte_count: int) -> None:
        self._load.unread_bytes += byte_count - exchange.unread_bytes
        exchange.unread_bytes = byte_count

    async def _answer_requests(self) -> bool:
        """Answer requests in order until the connection has to close.

        Returns:
            Whether no bytes of the caller are left unread.
        """
        while True:
            while not self._exchanges:
                self._has_arrived.clear()
                await self._has_arrived.wait()
            exchange = self._exchanges[0]
            if exchange.refusal is not None:
                await self._answers.write(exchange, exchange.refusal, is_last=True)
                return False
            answer = await self._answer(exchange)
            if answer.must_close:
                self.is_last_request = True
            is_last = self._must_close() and not self._has_started_next()
            await self._deliver(exchange, answer, is_last=is_last)
            if is_last:
                return False
            if exchange.http.our_state is not h11.DONE or exchange.is_last:
                return not self._requests.has_bytes
            self._exchanges.popleft()
            self._requests.wake()
            self._start_ahead()
            if self._exchanges or self._requests.has_bytes:
                await self._server.turns.wait()

    async def _deliver(
        self, exchange: CallerExchange, answer: CallerAnswer, *, is_last: bool
    ) -> None:
        """Write the answer of the handler, and give up what it needed."""
        self._count_unread(exchange, self._load.size(answer))
        if answer.stream is None:
            self._requests.release_body(exchange)
        # While an answer still arrives, the exchange with the target has the body.
        try:
            await self._answers.write(exchange, answer, is_last=is_last)
        finally:
            self._answers.progress = None
            if answer.stream is not None:
                answer.stream.close()
            self._release(exchange)

    async def _answer(self, exchange: CallerExchange) -> CallerAnswer:
        if exchange.task is None:
            return await self._server.handle(exchange.request)
        return await exchange.task

    def _has_started_next(self) -> bool:
        return len(self._exchanges) > 1 and self._exchanges[1].task is not None

    def _must_close(self) -> bool:
        return self.is_last_request or self._server.is_closing or self._must_make_room()

    def _must_make_room(self) -> bool:
        """Return whether others need a place, while the caller sends requests ahead.

        The requests behind the next answer have not started.
        """
        if not self._load.has_too_many_connections:
            return False
        return len(self._exchanges) > 1 or self._requests.has_bytes

    async def _cancel(self, *tasks: asyncio.Task) -> None:
        """Cancel tasks of the connection and all open requests."""
        running = [*tasks, *(e.task for e in self._exchanges if e.task)]
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
        for exchange in self._exchanges:
            self._release(exchange)
            _close_stream(exchange.task)
            exchange.task = None  # Its exception refers to the exchange.
        self._requests.close()

    def _release(self, exchange: CallerExchange) -> None:
        self._requests.release(exchange)
        self._count_unread(exchange, 0)

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
                    data := await self._reader.read(DISCARD_READ_BYTES)
                ):
                    remaining_bytes -= len(data)
        except OSError:
            return


def _close_stream(task: asyncio.Task | None) -> None:
    """Close the body of an answer that will not be written."""
    if task is None or task.cancelled() or task.exception() is not None:
        return
    stream = task.result().stream
    if stream is not None:
        stream.close()
