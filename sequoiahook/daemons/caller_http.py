"""HTTP server for callers; a handler decides about the requests."""

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable

import h11
from logbook import Logger

from sequoiahook.clock import MS_PER_S
from sequoiahook.daemons.caller_connection import (
    CallerConnection,
    CallerDisconnectedError,
    reset_connection,
)
from sequoiahook.daemons.caller_exchange import (
    CallerAnswer,
    CallerRequest,
    CallerServerSettings,
    call_at_end,
    refusal_answer,
)
from sequoiahook.daemons.caller_load import Admission, CallerLoad
from sequoiahook.daemons.caller_turns import Turns
from sequoiahook.daemons.held_answers import AnswerMemory
from sequoiahook.daemons.listening import ACCEPTED_AT_ONCE_MAX, extend_backlog
from sequoiahook.errors import AnswerIncompleteError
from sequoiahook.messages.requests import NOT_RUN, UNKNOWN

__all__ = [
    "CallerAnswer",
    "CallerRequest",
    "CallerServer",
    "CallerServerSettings",
    "refusal_answer",
]

_log = Logger("caller_http")

UNREAD_BYTES_MAX = 2_048
"""Received bytes beyond twice of which reading from a connection stops."""

RETRY_AFTER_MS = 1_000
LOG_INTERVAL_MS = 1_000
"""Least time between two lines about limits that were reached."""

Handler = Callable[[CallerRequest], Awaitable[CallerAnswer]]


class CallerServer:
    """Serves HTTP/1.1 to callers.

    The handler is cancelled if the caller disconnects.

    Args:
        settings: Listening address and limits.
        handler: Called for each complete request; returns the answer.
        is_repeatable: Returns whether a request may run beside others of its
            connection; by default the requests of a connection run one by one.
        answers: Counts the answers that the process holds; None to count only those of
            this server.
    """

    def __init__(
        self,
        settings: CallerServerSettings,
        handler: Handler,
        is_repeatable: Callable[[CallerRequest], bool] = lambda request: False,
        answers: AnswerMemory | None = None,
    ):
        self.load = CallerLoad(settings, answers)
        self.turns = Turns()
        self.is_repeatable = is_repeatable
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._connections_by_id: dict[int, CallerConnection] = {}
        self._tasks_by_id: dict[int, asyncio.Task] = {}
        self._last_id = 0
        self._logged_at = 0.0
        self.is_closing = False

    @property
    def settings(self) -> CallerServerSettings:
        """Listening address and limits; a connection keeps those of its start."""
        return self.load.settings

    @settings.setter
    def settings(self, settings: CallerServerSettings) -> None:
        self.load.settings = settings

    @property
    def buffered_bytes(self) -> int:
        """Bytes in the bodies of all open requests."""
        return self.load.body_bytes

    @property
    def port(self) -> int:
        """TCP port that the server listens on."""
        return self._server.sockets[0].getsockname()[1]

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._connections_by_id)

    async def start(self) -> None:
        """Start listening.

        Raises:
            OSError: If the address cannot be bound.
        """
        settings = self.settings
        self._server = await asyncio.start_server(
            self._serve,
            settings.host,
            settings.port,
            limit=UNREAD_BYTES_MAX,
            backlog=ACCEPTED_AT_ONCE_MAX,
        )
        extend_backlog(self._server.sockets, settings.backlog)

    def announce_close(self) -> None:
        """Close each connection after its next answer, but keep accepting new ones."""
        self.is_closing = True

    def stop_listening(self) -> None:
        """Accept no more connections; open connections continue.

        A connection that was accepted in this round of the event loop gets its
        transport in the next one. If the server is closed by then, the loop forgets the
        connection without closing it.
        """
        loop = asyncio.get_running_loop()
        for listening in self._server.sockets:
            loop.remove_reader(listening)
        loop.call_soon(self._server.close)

    async def close_gracefully(self) -> None:
        """Stop accepting, close idle connections and wait for all others to end."""
        self.is_closing = True
        self.stop_listening()
        for connection in list(self._connections_by_id.values()):
            connection.close_if_idle()
        tasks = list(self._tasks_by_id.values())
        if tasks:
            await asyncio.wait(tasks)

    async def end_connections(self, timeout_ms: int) -> None:
        """Accept no more connections, and end all at the exit.

        Answers that are ready are still written.

        Args:
            timeout_ms: Longest time for which callers may read them, in milliseconds.
        """
        self.is_closing = True
        self.stop_listening()
        tasks = list(self._tasks_by_id.values())
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks, timeout=timeout_ms / MS_PER_S)
        for connection in list(self._connections_by_id.values()):
            connection.drop()
        tasks = list(self._tasks_by_id.values())
        if tasks:
            await asyncio.wait(tasks, timeout=timeout_ms / MS_PER_S)

    def close_connection(self, connection_id: int) -> None:
        """Close a connection after its next answer.

        An idle connection is not closed at once, since a request in transit would be
        lost without an answer.
        """
        connection = self._connections_by_id.get(connection_id)
        if connection is not None:
            connection.is_last_request = True

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        admission = self.load.admit_connection()
        if admission is not Admission.ACCEPT and self._drop_slowest(
            CallerConnection.is_droppable
        ):
            admission = Admission.ACCEPT
        if admission is not Admission.ACCEPT:
            self._log_limit("too many connections")
        if admission is Admission.DROP:
            reset_connection(writer)
            return
        _limit_unsent(writer, self.settings.unsent_bytes_max)
        self._last_id += 1
        connection_id = self._last_id
        connection = CallerConnection(self, connection_id, reader, writer)
        self._connections_by_id[connection_id] = connection
        self._tasks_by_id[connection_id] = asyncio.current_task()
        is_refused = admission is Admission.REFUSE
        self._count_connection(1, is_refused=is_refused)
        try:
            if is_refused:
                await connection.refuse(503, "too many connections")
            else:
                await connection.run()
        except (
            OSError,
            h11.LocalProtocolError,
            AnswerIncompleteError,
            CallerDisconnectedError,
            asyncio.CancelledError,  # The event loop would log it as an error.
        ) as error:
            _log.debug("caller connection ended: {}", type(error).__name__)
        finally:
            with contextlib.suppress(asyncio.CancelledError):
                await connection.end()
            self._count_connection(-1, is_refused=is_refused)
            del self._connections_by_id[connection_id]
            del self._tasks_by_id[connection_id]

    def _drop_slowest(
        self, is_droppable: Callable[[CallerConnection, float], bool]
    ) -> bool:
        """Drop the connection that has waited longest for its caller.

        Connections that never carried a request come first.

        Args:
            is_droppable: Whether a connection may be dropped at a time.

        Returns:
            Whether there was one.
        """
        now = asyncio.get_running_loop().time()
        connections = [
            connection
            for connection in self._connections_by_id.values()
            if is_droppable(connection, now)
        ]
        if not connections:
            return False
        min(connections, key=lambda c: (c.has_served, c.slow_since)).drop()
        return True

    def _count_connection(self, change: int, *, is_refused: bool) -> None:
        if is_refused:
            self.load.refusing_count += change
        else:
            self.load.connection_count += change

    async def handle(self, request: CallerRequest) -> CallerAnswer:
        """Call the handler; if it fails, answer that the outcome is unknown.

        Beyond the limits the request is refused without a call.
        """
        cause = self.load.refusal_cause()
        if cause:
            self._log_limit(cause)
            self._drop_slowest(CallerConnection.is_reading_slowly)
            return refusal_answer(503, cause, NOT_RUN, RETRY_AFTER_MS)
        self.load.request_count += 1
        answer = None
        try:
            answer = await self._handle(request)
        finally:
            call_at_end(answer, self._on_request_ended)
        return answer

    def _on_request_ended(self) -> None:
        self.load.request_count -= 1

    def _log_limit(self, cause: str) -> None:
        now = asyncio.get_running_loop().time()
        if now - self._logged_at < LOG_INTERVAL_MS / MS_PER_S:
            return
        self._logged_at = now
        load = self.load
        fields = {
            "cause": cause,
            "connections": load.connection_count,
            "requests": load.request_count,
            "body_bytes": load.body_bytes,
            "held_bytes": load.answers.held_bytes,
            "unread_bytes": load.unread_bytes,
            "read_ahead_bytes": load.read_ahead_bytes,
        }
        _log.warning("limit on callers reached", extra=fields)

    async def _handle(self, request: CallerRequest) -> CallerAnswer:
        try:
            return await self._handler(request)
        except Exception as error:
            _log.error("request handler failed: {}", type(error).__name__)
            answer = refusal_answer(500, "internal error", UNKNOWN)
            return answer._replace(must_close=True)


def _limit_unsent(writer: asyncio.StreamWriter, byte_count: int) -> None:
    """Limit what the system holds for a caller that does not read.

    Bytes that were sent and not acknowledged are not limited, so that connections with
    long round trips keep their throughput.
    """
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, byte_count)
