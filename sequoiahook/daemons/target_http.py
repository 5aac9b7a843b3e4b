"""HTTP client for targets; it reports the stage that each exchange reached."""

from collections.abc import Callable

from sequoiahook.daemons.caller_turns import Turns
from sequoiahook.daemons.held_answers import AnswerMemory, HeldAnswers
from sequoiahook.daemons.target_exchange import (
    IdleConnection,
    TargetClientSettings,
    TargetExchange,
    TargetRequest,
    monotonic_ms,
)
from sequoiahook.decisions.exchange.target_result import TargetResult
from sequoiahook.names import bounded_name
from sequoiahook.wire.target_dialect import NATIVE_DIALECT, TargetDialect
from sequoiahook.world.instance import Address

__all__ = ["TargetClient", "TargetClientSettings", "TargetExchange", "TargetRequest"]


class TargetClient:
    """Exchanges requests with targets, over kept-alive connections if allowed.

    Args:
        settings: Limits of the client.
        dialect: Interpretation of the answers of targets.
        memory: Counts the answers that the process holds; None to count only those that
            arrive here.
    """

    def __init__(
        self,
        settings: TargetClientSettings,
        dialect: TargetDialect = NATIVE_DIALECT,
        memory: AnswerMemory | None = None,
    ):
        self.settings = settings
        self.dialect = dialect
        self.turns = Turns()
        self._memory = memory or AnswerMemory()
        self._idle_by_address: dict[Address, list[IdleConnection]] = {}

    def hold_answers(self) -> HeldAnswers:
        """Return a count of the answers to one request, which its user releases."""
        return HeldAnswers(self._memory, self.settings.all_answer_bytes_max)

    def open(
        self, request: TargetRequest, held: HeldAnswers | None = None
    ) -> TargetExchange:
        """Prepare the exchange of a request without connecting.

        Args:
            request: The request.
            held: Counts what is held of the answers to the request; None to count
                nothing that the process holds beside them.
        """
        limit = self.settings.all_answer_bytes_max
        return TargetExchange(request, self, held or HeldAnswers(AnswerMemory(), limit))

    async def exchange(
        self, request: TargetRequest, may_write: Callable[[], bool]
    ) -> TargetResult:
        """Write a request to a target and read the complete answer.

        Args:
            request: The request.
            may_write: Called right before the first byte is written, without an await
                in between; the request is not written if it returns False.

        Returns:
            The stage that was reached; faults of the target or the network raise no
            exception.

        Raises:
            asyncio.CancelledError: If the task is cancelled; the connection is closed.
        """
        held = self.hold_answers()
        try:
            return await self.open(request, held).run(may_write)
        finally:
            held.release()

    async def connect(self, address: Address) -> bool:
        """Open a connection, keep it for requests, and return whether it was opened.

        Raises:
            asyncio.CancelledError: If the task is cancelled.
        """
        request = TargetRequest(
            address, "GET", "/", (), b"", timeout_ms=0, may_reuse=False
        )
        exchange = self.open(request)
        if not await exchange.connect():
            return False
        self._keep_or_close(exchange, is_reusable=True)
        return True

    def close(self) -> None:
        """Close all idle connections."""
        for connections in self._idle_by_address.values():
            for idle in connections:
                idle.writer.close()
        self._idle_by_address.clear()

    def take_idle(self, request: TargetRequest) -> IdleConnection | None:
        """Remove and return a usable connection for a request, or None."""
        if not request.may_reuse:
            return None
        connections = self._idle_by_address.get(request.address, [])
        while connections:
            idle = connections[-1]
            idle_ms = monotonic_ms() - idle.became_idle_at
            if request.idle_max_ms is not None and idle_ms > request.idle_max_ms:
                return None  # The last connection has been idle for the shortest time.
            connections.pop()
            is_open = not idle.reader.at_eof() and not idle.writer.is_closing()
            is_expired = monotonic_ms() > idle.expires_at
            # A faulty target may write a refusal again, which only its id tells apart.
            is_ambiguous = bounded_name(request.id) in idle.refused_ids
            has_unread = idle.reader.unread_bytes > 0
            if is_open and not (is_expired or is_ambiguous or has_unread):
                return idle
            idle.writer.close()
        return None

    def release(self, exchange: TargetExchange) -> None:
        """Keep the connection of a finished exchange if it is reusable, or close it."""
        if exchange.writer is None:
            return
        self._keep_or_close(exchange, is_reusable=exchange.is_reusable)

    def _keep_or_close(self, exchange: TargetExchange, *, is_reusable: bool) -> None:
        connections = self._idle_by_address.setdefault(exchange.request.address, [])
        self._close_expired(connections)
        if is_reusable and self._has_room(connections):
            now = monotonic_ms()
            idle = IdleConnection(
                exchange.reader,
                exchange.writer,
                now,
                now + exchange.idle_ms,
                exchange.refused_ids,
            )
            connections.append(idle)
        else:
            exchange.close()

    def _has_room(self, connections: list[IdleConnection]) -> bool:
        """Return whether one more connection to a target may be kept."""
        if len(connections) >= self.settings.idle_max:
            return False
        if self._idle_count() >= self.settings.all_idle_max:
            for others in self._idle_by_address.values():
                self._close_expired(others)
        return self._idle_count() < self.settings.all_idle_max

    def _idle_count(self) -> int:
        return sum(len(c) for c in self._idle_by_address.values())

    def _close_expired(self, connections: list[IdleConnection]) -> None:
        while connections and connections[0].expires_at < monotonic_ms():
            connections.pop(0).writer.close()
