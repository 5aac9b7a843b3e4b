"""Registry of the handovers received by an executor, to detect duplicates."""

import heapq
from typing import Generic, TypeVar

from sequoiahook.messages.requests import MessageId

__all__ = ["HandoverRegistry"]

ExecutionT = TypeVar("ExecutionT")


class HandoverRegistry(Generic[ExecutionT]):
    """Executions of open handovers, and for closed ones whether they ran.

    An id is kept until its deadline plus a margin for clock drift, and for as long as
    it is open. Every copy of a handover has the same deadline on the clock of the
    executor, so a copy that arrives after its id was removed is past its deadline.

    Args:
        margin_ms: How long ids are kept after their deadline, in milliseconds.
    """

    def __init__(self, margin_ms: int):
        self._margin_ms = margin_ms
        self._open_by_id: dict[MessageId, ExecutionT] = {}
        self._ran_by_id: dict[MessageId, str] = {}
        self._expiries: list[tuple[int, MessageId]] = []

    def __len__(self) -> int:
        return len(self._open_by_id) + len(self._ran_by_id)

    def __contains__(self, message_id: MessageId) -> bool:
        return message_id in self._open_by_id or message_id in self._ran_by_id

    def open(
        self, message_id: MessageId, execution: ExecutionT, deadline_at: int
    ) -> None:
        """Add an open id with its execution."""
        self._open_by_id[message_id] = execution
        heapq.heappush(self._expiries, (deadline_at + self._margin_ms, message_id))

    def get(self, message_id: MessageId) -> ExecutionT | None:
        """Return the execution of an open id; None if the id is not open."""
        return self._open_by_id.get(message_id)

    def ran(self, message_id: MessageId) -> str | None:
        """Return whether a closed id ran; None if it is open or unknown."""
        return self._ran_by_id.get(message_id)

    def close(self, message_id: MessageId, ran: str) -> None:
        """Close an id, keeping only whether it ran."""
        if self._open_by_id.pop(message_id, None) is not None:
            self._ran_by_id[message_id] = ran

    def executions(self) -> list[ExecutionT]:
        """Return the executions of all open ids."""
        return list(self._open_by_id.values())

    @property
    def open_count(self) -> int:
        """Number of open ids."""
        return len(self._open_by_id)

    @property
    def next_expiry_at(self) -> int | None:
        """When the next id expires; None if there are no ids."""
        return self._expiries[0][0] if self._expiries else None

    def expire(self, now: int) -> None:
        """Remove expired closed ids; open ones are checked again after the margin."""
        while self._expiries and self._expiries[0][0] <= now:
            _, message_id = heapq.heappop(self._expiries)
            if message_id in self._open_by_id:
                recheck_at = now + self._margin_ms
                heapq.heappush(self._expiries, (recheck_at, message_id))
            else:
                del self._ran_by_id[message_id]
