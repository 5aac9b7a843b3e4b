"""Numbers platform calls, and keeps which are waiting and which are under way."""

import itertools
from collections.abc import Iterator

from sequoiahook.decisions.platform_calls import PlatformCall

__all__ = ["CallBook"]


class CallBook:
    """The platform calls of one part.

    Args:
        at_once: Most calls under way at a time; further ones wait.
        late_max: How many overdue calls are remembered, whose answers still count.
        ids: Source of call ids, shared by the books of one part.
    """

    def __init__(
        self, at_once: int, ids: Iterator[int] | None = None, late_max: int = 0
    ):
        self._at_once = at_once
        self._ids = itertools.count(1) if ids is None else ids
        self._waiting: list[PlatformCall] = []
        self._under_way_by_id: dict[int, PlatformCall] = {}
        self._late_by_id: dict[int, PlatformCall] = {}
        self._late_max = late_max

    @property
    def is_idle(self) -> bool:
        """Whether no call is waiting or under way."""
        return not self._waiting and not self._under_way_by_id

    def add(self, kind: type, *fields) -> int:
        """Add a call of a kind, with its fields after the id; return its id."""
        call = kind(next(self._ids), *fields)
        self._waiting.append(call)
        return call.call_id

    def due(self) -> list[PlatformCall]:
        """Return the calls to make now; they are under way from here on."""
        count = self._at_once - len(self._under_way_by_id)
        calls, self._waiting = self._waiting[:count], self._waiting[count:]
        self._under_way_by_id.update((call.call_id, call) for call in calls)
        return calls

    def take(self, call_id: int) -> PlatformCall | None:
        """Remove a call that was answered; None if it was abandoned."""
        late = self._late_by_id.pop(call_id, None)
        return self._under_way_by_id.pop(call_id, late)

    def overdue(self) -> None:
        """Go on without the calls under way; drop those that wait.

        Answers of the latest ones still count, so that a slow platform only delays.
        """
        self._late_by_id.update(self._under_way_by_id)
        for call_id in list(self._late_by_id)[: -self._late_max or None]:
            del self._late_by_id[call_id]
        self._waiting.clear()
        self._under_way_by_id.clear()

    def abandon(self) -> None:
        """Forget all calls; their answers are not taken."""
        self._waiting.clear()
        self._under_way_by_id.clear()
        self._late_by_id.clear()
