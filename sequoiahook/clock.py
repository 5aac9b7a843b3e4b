"""Time in whole milliseconds.

A reading has a meaning only within one process: readings of two processes are
never compared, and messages between processes carry durations.
"""

import time
from typing import Protocol

__all__ = ["MS_PER_S", "BootClock", "Clock", "ManualClock", "MonotonicClock"]

MS_PER_S = 1000
NS_PER_MS = 1_000_000


class Clock(Protocol):
    """A source of time in milliseconds."""

    def now(self) -> int:
        """Return the time in milliseconds since an arbitrary start."""


class MonotonicClock:
    """The system's monotonic clock, which keeps counting while a process is stopped."""

    def now(self) -> int:
        """Return the monotonic time in milliseconds."""
        return time.monotonic_ns() // NS_PER_MS


class BootClock:
    """A monotonic clock that also goes on while the machine is suspended."""

    def now(self) -> int:
        """Return the time since the machine was started, in milliseconds."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NS_PER_MS


class ManualClock:
    """A clock that moves only when told to, for tests and virtual time."""

    def __init__(self, start_ms: int = 0):
        self._now_ms = start_ms

    def now(self) -> int:
        """Return the time that was last set, in milliseconds."""
        return self._now_ms

    def advance(self, duration_ms: int) -> int:
        """Move forward.

        Args:
            duration_ms: How far to move, in milliseconds; not negative.

        Returns:
            The new time in milliseconds.

        Raises:
            ValueError: If the duration is negative.
        """
        if duration_ms < 0:
            raise ValueError(f"a clock cannot go back by {duration_ms} ms")
        self._now_ms += duration_ms
        return self._now_ms
