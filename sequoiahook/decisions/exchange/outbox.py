"""Retransmission of outcomes until they are acknowledged."""

import heapq
from random import Random

from sequoiahook.decisions.exchange.execution import Execution

__all__ = ["Outbox"]


class Outbox:
    """Schedule of retransmissions of the outcomes of finished handovers.

    Args:
        first_delay_ms: Delay before an outcome is first sent again, in milliseconds;
            it doubles each time.
        rng: Source of randomness for the jitter of the delays.
    """

    def __init__(self, first_delay_ms: int, rng: Random):
        self._first_delay_ms = first_delay_ms
        self._rng = rng
        self._scheduled: list[tuple[int, int, Execution]] = []
        self._sequence = 0

    @property
    def next_resend_at(self) -> int | None:
        """When the next retransmission is due; None if none is scheduled."""
        return self._scheduled[0][0] if self._scheduled else None

    def add(self, execution: Execution, now: int) -> None:
        """Schedule the next transmission of an outcome that was just sent."""
        delay_ms = self._first_delay_ms << execution.send_count
        execution.send_count += 1
        due_at = now + delay_ms + self._rng.randint(0, delay_ms // 2)
        self._sequence += 1
        heapq.heappush(self._scheduled, (due_at, self._sequence, execution))

    def pop_due(self, now: int) -> list[Execution]:
        """Remove and return the executions whose outcome is to be sent again now."""
        due = []
        while self._scheduled and self._scheduled[0][0] <= now:
            due.append(heapq.heappop(self._scheduled)[2])
        return due
