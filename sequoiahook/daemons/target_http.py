"""The HTTP client towards targets; it reports how far each exchange got."""

from collections.abc import Callable

from sequoiahook.daemons.target_exchange import (
    IdleConnection,
    TargetClientSettings,
    TargetExchange,
    TargetRequest,
    now_ms,
)
from sequoiahook.decisions.exchange.target_result import TargetResult
from sequoiahook.wire.target_dialect import NATIVE_DIALECT, TargetDialect
from sequoiahook.world.instance import Address

__all__ = ["TargetClient", "TargetClientSettings", "TargetExchange", "TargetRequest"]


class TargetClient:
    """Exchanges requests with targets; connections with a doubt are closed.

    Args:
        settings: Limits.
        dialect: How targets tell what became of a request.
    """

    def __init__(
        self, settings: TargetClientSettings, dialect: TargetDialect = NATIVE_DIALECT
    ):
        self.settings = settings
        self.dialect = dialect
        self._idle_by_address: dict[Address, list[IdleConnection]] = {}

    def open(self, request: TargetRequest) -> TargetExchange:
        """Prepare the exchange of a request; nothing is connected yet."""
        return TargetExchange(request, self)

    async def exchange(
        self, request: TargetRequest, may_write: Callable[[], bool]
    ) -> TargetResult:
        """Write a request to a target and read the whole answer.

        Args:
            request: The request.
            may_write: Asked right before the first byte, with no await between.

        Returns:
            How far it got; never an exception for what the target or the network does.

        Raises:
            asyncio.CancelledError: If the task is cancelled; the connection is closed.
        """
        return await self.open(request).run(may_write)

    def close(self) -> None:
        """Close all idle connections."""
        for kept in self._idle_by_address.values():
            for idle in kept:
                idle.writer.close()
        self._idle_by_address.clear()

    def take_idle(self, request: TargetRequest) -> IdleConnection | None:
        """Return a kept-alive connection for a request, if it may have one."""
        if not request.may_reuse:
            return None
        kept = self._idle_by_address.get(request.address, [])
        while kept:
            idle = kept[-1]
            idle_ms = now_ms() - idle.since_ms
            if request.idle_max_ms is not None and idle_ms > request.idle_max_ms:
                return None  # The last one is the youngest.
            kept.pop()
            is_open = not idle.reader.at_eof() and not idle.writer.is_closing()
            if now_ms() <= idle.until_ms and is_open and not idle.reader.unread_bytes:
                return idle
            idle.writer.close()
        return None

    def put_back(self, exchange: TargetExchange) -> None:
        """Keep the connection of a finished exchange, or close it."""
        if exchange.writer is None:
            return
        kept = self._idle_by_address.setdefault(exchange.request.address, [])
        self._drop_old(kept)
        if exchange.can_keep and len(kept) < self.settings.idle_max:
            now = now_ms()
            idle = IdleConnection(
                exchange.reader, exchange.writer, now, now + exchange.idle_ms
            )
            kept.append(idle)
        else:
            exchange.close()

    def _drop_old(self, kept: list[IdleConnection]) -> None:
        while kept and kept[0].until_ms < now_ms():
            kept.pop(0).writer.close()
