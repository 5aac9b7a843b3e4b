"""Interface between an executor and a pool of targets."""

from typing import Protocol

from sequoiahook.decisions.exchange.target_result import TargetResult
from sequoiahook.decisions.pool.effects import PoolEffect, Refuse, Start
from sequoiahook.messages.requests import MessageId

__all__ = ["Pool", "PoolEffect", "Refuse", "Start"]


class Pool(Protocol):
    """The targets of one service in one data centre, with their queue and slots.

    Each submitted request gets exactly one Start or Refuse unless it is cancelled
    first. After a Start the executor calls ``finish`` exactly once; only then may it
    submit the same id again.
    """

    def submit(
        self,
        request_id: MessageId,
        organisation: str,
        deadline_at: int,
        now: int,
        wait_limit_ms: int | None = None,
    ) -> list[PoolEffect]:
        """Queue a request that must be answered by ``deadline_at``.

        With a wait limit, the request is refused if it would queue for longer.
        """

    def finish(
        self, request_id: MessageId, result: TargetResult, now: int
    ) -> list[PoolEffect]:
        """Free the slot of a started request and report the result of its exchange."""

    def cancel(self, request_id: MessageId, now: int) -> list[PoolEffect]:
        """Remove a queued request; it gets neither Start nor Refuse."""

    def tick(self, now: int) -> list[PoolEffect]:
        """Handle everything that is due."""

    def next_wake(self, now: int) -> int | None:
        """Return when ``tick`` is next due; None if never."""
