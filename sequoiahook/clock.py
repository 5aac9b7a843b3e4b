"""Clocks with a resolution of one millisecond.

A reading is valid only within its process. Readings of different processes are never
compared; messages between processes carry durations instead.
"""

import time
from typing import Protocol

__all__ = ["MS_PER_S", "BootClock", "Clock", "ManualClock", "MonotonicClock"]

MS_PER_S = 1000
NS_PER_MS = 1_000_000


class Clock(Protocol):
    """Interface of a clock."""

    def now(self) -> int:
        """Return the time since an arbitrary origin, in milliseconds."""


class MonotonicClock:
    """Monotonic clock of the system, which advances while the process is stopped."""

    def now(self) -> int:
        """Return the monotonic time, in milliseconds."""
        return time.monotonic_ns() // NS_PER_MS


class BootClock:
    """Monotonic clock that also advances while the machine is suspended."""

    def now(self) -> int:
        """Return the time since the machine was booted, in milliseconds."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NS_PER_MS


class ManualClock:
    """Clock that advances only on request, for tests and simulations."""

    def __init__(self, start_ms: int = 0):
        self._now_ms = start_ms

    def now(self) -> int:
        """Return the current time of the clock, in milliseconds."""
        return self._now_ms

    def advance(self, duration_ms: int) -> int:
        """Advance the clock.

        Args:
            duration_ms: Time to advance by, in milliseconds; not negative.

        Returns:
            The new time in milliseconds.

        Raises:
            ValueError: If the duration is negative.
        """
        if duration_ms < 0:
            raise ValueError(f"cannot advance a clock by {duration_ms} ms")
        self._now_ms += duration_ms
        return self._now_ms
