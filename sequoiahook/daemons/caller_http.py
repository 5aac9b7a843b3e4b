"""HTTP server for callers; a handler decides about the requests."""

import asyncio
from collections.abc import Awaitable, Callable

import h11
from logbook import Logger

from sequoiahook.daemons.caller_connection import (
    READ_BYTES,
    CallerConnection,
    CallerDisconnectedError,
)
from sequoiahook.daemons.caller_exchange import (
    CallerAnswer,
    CallerRequest,
    CallerServerSettings,
    refusal_answer,
)
from sequoiahook.errors import AnswerIncompleteError
from sequoiahook.messages.requests import UNKNOWN

__all__ = [
    "CallerAnswer",
    "CallerRequest",
    "CallerServer",
    "CallerServerSettings",
    "refusal_answer",
]

_log = Logger("caller_http")

Handler = Callable[[CallerRequest], Awaitable[CallerAnswer]]


class CallerServer:
    """Serves HTTP/1.1 to callers.

    The handler is cancelled if the caller disconnects.

    Args:
        settings: Listening address and limits.
        handler: Called for each complete request; returns the answer.
        is_repeatable: Returns whether a request may run beside others of its
            connection; by default the requests of a connection run one by one.
    """

    def __init__(
        self,
        settings: CallerServerSettings,
        handler: Handler,
        is_repeatable: Callable[[CallerRequest], bool] = lambda request: False,
    ):
        self.settings = settings
        self.is_repeatable = is_repeatable
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._connections_by_id: dict[int, CallerConnection] = {}
        self._tasks_by_id: dict[int, asyncio.Task] = {}
        self._last_id = 0
        self.is_closing = False
        self.buffered_bytes = 0

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
        self._server = await asyncio.start_server(
            self._serve,
            self.settings.host,
            self.settings.port,
            limit=READ_BYTES,
            backlog=self.settings.backlog,
        )

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
        self._last_id += 1
        connection_id = self._last_id
        connection = CallerConnection(self, connection_id, reader, writer)
        is_full = len(self._connections_by_id) >= self.settings.connections_max
        self._connections_by_id[connection_id] = connection
        self._tasks_by_id[connection_id] = asyncio.current_task()
        try:
            if is_full:
                await connection.refuse(503, "too many connections")
            else:
                await connection.run()
        except (
            OSError,
            h11.LocalProtocolError,
            AnswerIncompleteError,
            CallerDisconnectedError,
        ) as error:
            _log.debug("caller connection ended: {}", type(error).__name__)
        finally:
            await connection.end()
            del self._connections_by_id[connection_id]
            del self._tasks_by_id[connection_id]

    async def handle(self, request: CallerRequest) -> CallerAnswer:
        """Call the handler; if it fails, answer that the outcome is unknown."""
        try:
            return await self._handler(request)
        except Exception as error:
            _log.error("request handler failed: {}", type(error).__name__)
            answer = refusal_answer(500, "internal error", UNKNOWN)
            return answer._replace(must_close=True)
