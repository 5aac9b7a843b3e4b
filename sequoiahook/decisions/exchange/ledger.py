"""Which hand-overs an executor has seen, so that a repeat never runs again."""

from collections import OrderedDict
from typing import Generic, TypeVar

from sequoiahook.messages.requests import MessageId

__all__ = ["Ledger"]

W = TypeVar("W")


class Ledger(Generic[W]):
    """Open hand-overs whole, and closed ones by what is known of them.

    An id is kept for the memory's length after it was first noted, and longer while
    it is open. A hand-over is accepted only if its stamp is younger than the memory:
    since the stamp was given before the id was first noted, a repeat that arrives
    after the id was forgotten carries a stamp that is too old.

    Args:
        memory_ms: How long ids are kept, in milliseconds.
    """

    def __init__(self, memory_ms: int):
        self._memory_ms = memory_ms
        self._open_by_id: dict[MessageId, W] = {}
        self._ran_by_id: dict[MessageId, str] = {}
        self._noted_at_by_id: OrderedDict[MessageId, int] = OrderedDict()

    def __len__(self) -> int:
        return len(self._noted_at_by_id)

    def __contains__(self, message_id: MessageId) -> bool:
        return message_id in self._noted_at_by_id

    def open(self, message_id: MessageId, work: W, now: int) -> None:
        """Note an id with its work."""
        self._noted_at_by_id[message_id] = now
        self._open_by_id[message_id] = work

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

    def is_too_old(self, stamped_at: int, now: int) -> bool:
        """Return whether an id with such a stamp may have been forgotten."""
        return not 0 <= now - stamped_at <= self._memory_ms

    def forget_old(self, now: int) -> None:
        """Forget closed ids that are older than the memory."""
        while self._noted_at_by_id:
            message_id, noted_at = next(iter(self._noted_at_by_id.items()))
            if now - noted_at <= self._memory_ms:
                return
            if message_id in self._open_by_id:
                self._noted_at_by_id[message_id] = now
                self._noted_at_by_id.move_to_end(message_id)
                continue
            del self._noted_at_by_id[message_id]
            del self._ran_by_id[message_id]
