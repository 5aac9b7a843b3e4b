"""Status object of a data centre: the number in force at each instance."""

from collections.abc import Iterator
from typing import Any

from sequoiahook.decisions.call_queue import CallQueue
from sequoiahook.decisions.configuration.rollout_settings import RolloutSettings
from sequoiahook.decisions.platform_calls import (
    CallAnswer,
    CallUnavailable,
    ObjectWritten,
    PlatformCall,
    WriteConflict,
    WriteObject,
)

__all__ = ["STATUS_PREFIX", "StatusWriter"]

STATUS_PREFIX = "status-"


class StatusWriter:
    """Collects the numbers of a data centre and writes them when they change.

    The status is for operators; no decision depends on it. If two instances write
    for a while, conditional updates order their writes and the last one stays.
    """

    def __init__(self, settings: RolloutSettings, data_centre: str, ids: Iterator[int]):
        self._settings = settings
        self._data_centre = data_centre
        self._calls = CallQueue(1, ids)
        self._number_by_name: dict[str, int] = {}
        self._reported_at_by_name: dict[str, int] = {}
        self._written_status: dict[str, Any] | None = None
        self._pending_status: dict[str, Any] | None = None
        self._version = 0
        self._next_write_at = 0

    @property
    def number_by_name(self) -> dict[str, int]:
        """Number in force at each instance that reports one."""
        return dict(self._number_by_name)

    def record_number(self, name: str, number: int, now: int) -> None:
        """Record the number in force at an instance."""
        self._number_by_name[name] = number
        self._reported_at_by_name[name] = now

    def drop_unresponsive(self, now: int) -> None:
        """Remove instances without a report for the expiry time."""
        for name, reported_at in list(self._reported_at_by_name.items()):
            if now - reported_at >= self._settings.status_expiry_ms:
                del self._reported_at_by_name[name]
                del self._number_by_name[name]

    def tick(self, is_writer: bool, now: int) -> list[PlatformCall]:
        """Write the status if it changed and a write is due."""
        if now < self._next_write_at:
            return []
        self._calls.clear()
        if not is_writer:
            self._written_status = None
            return []
        status = self._status()
        if status == self._written_status:
            return []
        self._pending_status = status
        self._next_write_at = now + self._settings.status_interval_ms
        self._calls.add(
            WriteObject, STATUS_PREFIX + self._data_centre, status, self._version
        )
        return self._calls.start_due()

    def next_wake(self, is_writer: bool, now: int) -> int | None:
        """Return when to call :meth:`tick`; None if nothing is due."""
        if not is_writer or self._status() == self._written_status:
            return None
        return max(now, self._next_write_at)

    def finish_call(self, call_id: int) -> bool:
        """Remove an answered call; return whether it was the open write."""
        return self._calls.remove(call_id) is not None

    def on_answer(self, answer: CallAnswer, now: int) -> None:
        """Handle the answer to a write."""
        if isinstance(answer, ObjectWritten):
            self._version = answer.version
            self._written_status = self._pending_status
        elif isinstance(answer, WriteConflict):
            self._version = answer.current
            self._next_write_at = now
        elif not isinstance(answer, CallUnavailable):
            self._written_status = None

    def _status(self) -> dict[str, Any]:
        return {
            "data_centre": self._data_centre,
            "numbers_by_instance": dict(sorted(self._number_by_name.items())),
        }
