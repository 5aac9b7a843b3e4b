"""Which hand-overs an executor has seen, so that a repeat never runs again."""

import heapq
from typing import Generic, TypeVar

from sequoiahook.messages.requests import MessageId

__all__ = ["Ledger"]

W = TypeVar("W")


class Ledger(Generic[W]):
    """Open hand-overs whole, and closed ones by what is known of them.

    An id is noted until its deadline and a margin for the drift of clocks, and longer
    while it is open. Every copy of a hand-over has the same deadline on the clock of
    the executor, so a copy that arrives after the id was forgotten is past it.

    Args:
        margin_ms: How long ids are kept after their deadline, in milliseconds.
    """

    def __init__(self, margin_ms: int):
        self._margin_ms = margin_ms
        self._open_by_id: dict[MessageId, W] = {}
        self._ran_by_id: dict[MessageId, str] = {}
        self._forget_at: list[tuple[int, MessageId]] = []

    def __len__(self) -> int:
        return len(self._open_by_id) + len(self._ran_by_id)

    def __contains__(self, message_id: MessageId) -> bool:
        return message_id in self._open_by_id or message_id in self._ran_by_id

    def open(self, message_id: MessageId, work: W, deadline_at: int) -> None:
        """Note an id with its work."""
        self._open_by_id[message_id] = work
        heapq.heappush(self._forget_at, (deadline_at + self._margin_ms, message_id))

    def get(self, message_id: MessageId) -> W | None:
        """Return the work of an open id."""
        return self._open_by_id.get(message_id)

    def ran(self, message_id: MessageId) -> str | None:
        """Return whether a closed id ran; None if it is open or not noted."""
        return self._ran_by_id.get(message_id)

    def close(self, message_id: MessageId, ran: str) -> None:
        """Keep only whether the id ran."""
        if self._open_by_id.pop(message_id, None) is not None:
            self._ran_by_id[message_id] = ran

    def works(self) -> list[W]:
        """Return the work of all open ids."""
        return list(self._open_by_id.values())

    @property
    def open_count(self) -> int:
        """Number of open ids."""
        return len(self._open_by_id)

    @property
    def next_forget_at(self) -> int | None:
        """When the next id can be forgotten; None if none is noted."""
        return self._forget_at[0][0] if self._forget_at else None

    def forget_old(self, now: int) -> None:
        """Forget closed ids that are due; look at open ones again a margin later."""
        while self._forget_at and self._forget_at[0][0] <= now:
            _, message_id = heapq.heappop(self._forget_at)
            if message_id in self._open_by_id:
                again_at = now + self._margin_ms
                heapq.heappush(self._forget_at, (again_at, message_id))
            else:
                del self._ran_by_id[message_id]
