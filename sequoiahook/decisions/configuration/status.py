"""The status object of a data centre: which instance has which number in force."""

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
    """Gathers the numbers of a data centre and writes them when they change.

    The status informs operators; nothing is decided by it. Of two writers for a
    while, the conditional update lets one write at a time, and the last one stays.
    """

    def __init__(self, settings: RolloutSettings, data_centre: str, ids: Iterator[int]):
        self._settings = settings
        self._data_centre = data_centre
        self._calls = CallQueue(1, ids)
        self._number_by_name: dict[str, int] = {}
        self._heard_at_by_name: dict[str, int] = {}
        self._written: dict[str, Any] | None = None
        self._sent: dict[str, Any] | None = None
        self._version = 0
        self._next_write = 0

    @property
    def number_by_name(self) -> dict[str, int]:
        """The number that each heard instance has in force."""
        return dict(self._number_by_name)

    def hear(self, name: str, number: int, now: int) -> None:
        """Take the number that an instance has in force."""
        self._number_by_name[name] = number
        self._heard_at_by_name[name] = now

    def forget_silent(self, now: int) -> None:
        """Drop instances that have been silent for long."""
        for name, at in list(self._heard_at_by_name.items()):
            if now - at >= self._settings.forget_ms:
                del self._heard_at_by_name[name]
                del self._number_by_name[name]

    def tick(self, is_writer: bool, now: int) -> list[PlatformCall]:
        """Write the status if it changed and a write is due."""
        if now < self._next_write:
            return []
        self._calls.clear()
        if not is_writer:
            self._written = None
            return []
        value = self._value()
        if value == self._written:
            return []
        self._sent = value
        self._next_write = now + self._settings.status_interval_ms
        self._calls.add(
            WriteObject, STATUS_PREFIX + self._data_centre, value, self._version
        )
        return self._calls.start_due()

    def next_wake(self, is_writer: bool, now: int) -> int | None:
        """Return when to tick; None if nothing is due."""
        if not is_writer or self._value() == self._written:
            return None
        return max(now, self._next_write)

    def is_mine(self, call_id: int) -> bool:
        """Return whether the call under way has the id, and end it."""
        return self._calls.remove(call_id) is not None

    def on_answer(self, answer: CallAnswer, now: int) -> None:
        """Take the answer to a write."""
        if isinstance(answer, ObjectWritten):
            self._version = answer.version
            self._written = self._sent
        elif isinstance(answer, WriteConflict):
            self._version = answer.current
            self._next_write = now
        elif not isinstance(answer, CallUnavailable):
            self._written = None

    def _value(self) -> dict[str, Any]:
        return {
            "data_centre": self._data_centre,
            "numbers_by_instance": dict(sorted(self._number_by_name.items())),
        }
