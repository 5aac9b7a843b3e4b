"""Watch of the root object on the platform."""

import random
from collections.abc import Iterator
from typing import NamedTuple

from sequoiahook.decisions.call_queue import CallQueue
from sequoiahook.decisions.configuration.rollout_settings import RolloutSettings
from sequoiahook.decisions.configuration.root import ROOT_NAME
from sequoiahook.decisions.platform_calls import (
    CallAnswer,
    ObjectRead,
    ObjectUnchanged,
    PlatformCall,
    Watch,
)

__all__ = ["PlatformWatch", "WatchedRoot"]


LATE_CALLS_MAX = 8


class WatchedRoot(NamedTuple):
    """A root value that a watch returned, with its version on the platform."""

    version: int
    value: object


class PlatformWatch:
    """Keeps one watch open, and starts another when it ends or times out.

    A watch may end at once, late or never, and may return an older version than an
    earlier one. Early ends are limited by the pause between two watches, older
    versions are dropped, and a watch that never ends times out locally.
    """

    def __init__(
        self, settings: RolloutSettings, ids: Iterator[int], rng: random.Random
    ):
        self._settings = settings
        self._rng = rng
        self._calls = CallQueue(1, ids, LATE_CALLS_MAX)
        self._version = 0
        self._next_start_at = 0
        self._timeout_at: int | None = None

    def tick(self, is_watcher: bool, now: int) -> list[PlatformCall]:
        """Start a watch if one is due; return the platform calls to make."""
        if self._timeout_at is not None and now >= self._timeout_at:
            self._calls.expire()
            self._timeout_at = None
        if not is_watcher or self._timeout_at is not None or now < self._next_start_at:
            return []
        settings = self._settings
        self._next_start_at = now + settings.watch_pause_ms
        self._timeout_at = now + settings.watch_wait_ms + settings.call_timeout_ms
        self._calls.add(Watch, ROOT_NAME, self._version, settings.watch_wait_ms)
        return self._calls.start_due()

    def next_wake(self, is_watcher: bool, now: int) -> int | None:
        """Return when to call :meth:`tick`; None if nothing is due."""
        if self._timeout_at is not None:
            return self._timeout_at
        return max(now, self._next_start_at) if is_watcher else None

    def finish_call(self, call_id: int) -> bool:
        """Remove an answered call; return whether it was a watch."""
        if self._calls.remove(call_id) is None:
            return False
        if self._calls.is_idle:
            self._timeout_at = None
        return True

    def reset_version(self) -> None:
        """Make the next watch return the current version, even if already received."""
        self._version = 0

    def on_answer(self, answer: CallAnswer, now: int) -> WatchedRoot | None:
        """Handle an answer; return the root value if its version is new."""
        if not isinstance(answer, ObjectRead | ObjectUnchanged):
            retry_ms = self._settings.watch_retry_ms
            self._next_start_at = now + self._rng.randint(retry_ms // 2, retry_ms)
        if not isinstance(answer, ObjectRead) or answer.version <= self._version:
            return None
        self._version = answer.version
        return WatchedRoot(answer.version, answer.value)
