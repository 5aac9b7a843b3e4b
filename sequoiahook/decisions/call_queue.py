"""Queue of platform calls with a limit on concurrent calls."""

import itertools
from collections.abc import Iterator

from sequoiahook.decisions.platform_calls import PlatformCall

__all__ = ["CallQueue"]


class CallQueue:
    """The platform calls of one component, queued or active.

    Args:
        max_concurrent: Most active calls at a time; further calls are queued.
        ids: Source of call ids, shared by the queues of one component.
        max_late: Number of expired calls whose answers are still accepted.
    """

    def __init__(
        self, max_concurrent: int, ids: Iterator[int] | None = None, max_late: int = 0
    ):
        self._max_concurrent = max_concurrent
        self._ids = itertools.count(1) if ids is None else ids
        self._waiting: list[PlatformCall] = []
        self._active_by_id: dict[int, PlatformCall] = {}
        self._late_by_id: dict[int, PlatformCall] = {}
        self._max_late = max_late

    @property
    def is_idle(self) -> bool:
        """Whether no call is queued or active."""
        return not self._waiting and not self._active_by_id

    def add(self, call_type: type, *fields) -> int:
        """Queue a call of a type with the fields that follow the id; return the id."""
        call = call_type(next(self._ids), *fields)
        self._waiting.append(call)
        return call.call_id

    def start_due(self) -> list[PlatformCall]:
        """Return the calls to make now, which become active."""
        count = self._max_concurrent - len(self._active_by_id)
        calls, self._waiting = self._waiting[:count], self._waiting[count:]
        self._active_by_id.update((call.call_id, call) for call in calls)
        return calls

    def remove(self, call_id: int) -> PlatformCall | None:
        """Remove and return an answered call; None if it is no longer known."""
        late = self._late_by_id.pop(call_id, None)
        return self._active_by_id.pop(call_id, late)

    def expire(self) -> None:
        """Expire the active calls and drop the queued ones.

        Answers to the latest expired calls are still accepted, so that a slow platform
        causes a delay only.
        """
        self._late_by_id.update(self._active_by_id)
        for call_id in list(self._late_by_id)[: -self._max_late or None]:
            del self._late_by_id[call_id]
        self._waiting.clear()
        self._active_by_id.clear()

    def clear(self) -> None:
        """Remove all calls; their answers are no longer accepted."""
        self._waiting.clear()
        self._active_by_id.clear()
        self._late_by_id.clear()
