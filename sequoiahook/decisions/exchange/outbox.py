"""Outcomes that are sent again until they are acknowledged."""

import heapq
from random import Random

from sequoiahook.decisions.exchange.work import Work

__all__ = ["Outbox"]


class Outbox:
    """When the outcome of each finished hand-over is sent again.

    Args:
        first_delay_ms: After which time an outcome is first sent again, in
            milliseconds; the time doubles.
        rng: Source of randomness, which spreads the repeats.
    """

    def __init__(self, first_delay_ms: int, rng: Random):
        self._first_delay_ms = first_delay_ms
        self._rng = rng
        self._due: list[tuple[int, int, Work]] = []
        self._count = 0

    @property
    def next_at(self) -> int | None:
        """When the next outcome is due; None if there is none."""
        return self._due[0][0] if self._due else None

    def add(self, work: Work, now: int) -> None:
        """Note that the outcome was sent, and is to be sent again."""
        delay_ms = self._first_delay_ms << work.resends
        work.resends += 1
        due_at = now + delay_ms + self._rng.randint(0, delay_ms // 2)
        self._count += 1
        heapq.heappush(self._due, (due_at, self._count, work))

    def take_due(self, now: int) -> list[Work]:
        """Return the work whose outcome is to be sent again now."""
        works = []
        while self._due and self._due[0][0] <= now:
            works.append(heapq.heappop(self._due)[2])
        return works
