"""What an executor asks of a pool of targets, and what the pool answers."""

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
        """Queue a request that is of no use after ``deadline_at``.

        With a wait limit it is refused if it would wait longer.
        """

    def finish(
        self, request_id: MessageId, result: TargetResult, now: int
    ) -> list[PoolEffect]:
        """Give the slot of a started request back, with what its target showed."""

    def cancel(self, request_id: MessageId, now: int) -> list[PoolEffect]:
        """Forget a queued request; it gets neither Start nor Refuse."""

    def tick(self, now: int) -> list[PoolEffect]:
        """Do what is due."""

    def next_wake(self, now: int) -> int | None:
        """Return when ``tick`` is next due; None if never."""
