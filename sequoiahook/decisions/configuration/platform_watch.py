"""The watch of the root object that the watching instances keep."""

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

__all__ = ["PlatformWatch", "Seen"]


LATE_CALLS_MAX = 8


class Seen(NamedTuple):
    """A root value that the watch brought."""

    version: int
    value: object


class PlatformWatch:
    """Keeps one watch under way, and starts another one when it ends or is silent.

    A watch may end at once, late or never; it may bring an older version than one
    seen before. The first only costs the pause between two watches, the second is
    dropped, and a silent one is given up by this part's own time.
    """

    def __init__(
        self, settings: RolloutSettings, ids: Iterator[int], rng: random.Random
    ):
        self._settings = settings
        self._rng = rng
        self._calls = CallQueue(1, ids, LATE_CALLS_MAX)
        self._version = 0
        self._next_start = 0
        self._give_up_at: int | None = None

    def tick(self, is_watcher: bool, now: int) -> list[PlatformCall]:
        """Start a watch if one is due."""
        if self._give_up_at is not None and now >= self._give_up_at:
            self._calls.expire()
            self._give_up_at = None
        if not is_watcher or self._give_up_at is not None or now < self._next_start:
            return []
        settings = self._settings
        self._next_start = now + settings.watch_pause_ms
        self._give_up_at = now + settings.watch_wait_ms + settings.call_timeout_ms
        self._calls.add(Watch, ROOT_NAME, self._version, settings.watch_wait_ms)
        return self._calls.start_due()

    def next_wake(self, is_watcher: bool, now: int) -> int | None:
        """Return when to tick; None if nothing is due."""
        if self._give_up_at is not None:
            return self._give_up_at
        return max(now, self._next_start) if is_watcher else None

    def is_mine(self, call_id: int) -> bool:
        """Return whether a call of this part has the id, and end it."""
        if self._calls.remove(call_id) is None:
            return False
        if self._calls.is_idle:
            self._give_up_at = None
        return True

    def read_again(self) -> None:
        """Let the next watch bring the current version, also if it was seen."""
        self._version = 0

    def see(self, answer: CallAnswer, now: int) -> Seen | None:
        """Take an answer; None if it brings nothing new."""
        if not isinstance(answer, ObjectRead | ObjectUnchanged):
            retry_ms = self._settings.watch_retry_ms
            self._next_start = now + self._rng.randint(retry_ms // 2, retry_ms)
        if not isinstance(answer, ObjectRead) or answer.version <= self._version:
            return None
        self._version = answer.version
        return Seen(answer.version, answer.value)
