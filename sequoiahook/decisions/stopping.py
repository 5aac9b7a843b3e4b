"""The stages of a graceful stop, which interrupts no request.

From the first signal to the exit, a stop takes at most the longer of the handover time
and the lifetime of look-up answers with its margin, then the longest deadline of a
request and the time to close connections; see :attr:`StoppingSettings.drain_ms`.
"""

from collections.abc import Callable
from enum import IntEnum
from typing import NamedTuple

__all__ = [
    "AnnounceLeaving",
    "CloseIdleConnections",
    "Exit",
    "LeaveViews",
    "ReportOverdue",
    "Stage",
    "StartHandover",
    "Stopping",
    "StoppingSettings",
]


class StoppingSettings(NamedTuple):
    """Bounds of the stages of a stop.

    Attributes:
        handover_ms: Longest time to hand over rights and pools, in milliseconds; not
            shorter than the longest lease and its margin, so that rights that were not
            handed over have lapsed.
        lookup_lifetime_ms: Longest lifetime of a look-up answer, in milliseconds.
        lookup_margin_ms: Time until no instance includes this one in look-up answers,
            in milliseconds.
        deadline_longest_ms: Longest time that a request may run, in milliseconds.
        close_ms: Longest time to close idle connections, in milliseconds.
    """

    handover_ms: int = 4500
    lookup_lifetime_ms: int = 10_000
    lookup_margin_ms: int = 4000
    deadline_longest_ms: int = 60_000
    close_ms: int = 1000

    @property
    def drain_ms(self) -> int:
        """Longest time from the first signal to the exit, in milliseconds."""
        serving_ms = self.lookup_lifetime_ms + self.lookup_margin_ms
        waiting_ms = max(self.handover_ms, serving_ms)
        return waiting_ms + self.deadline_longest_ms + self.close_ms


class Stage(IntEnum):
    """Stages of a stop, in the order in which they follow each other."""

    RUNNING = 0
    HANDING_OVER = 1
    SERVING = 2
    FINISHING = 3
    CLOSING = 4
    DONE = 5


class AnnounceLeaving(NamedTuple):
    """Announce the stop to the peers; look-up answers then omit this instance."""


class StartHandover(NamedTuple):
    """Hand over rights and pools, and stop lending rights.

    Attributes:
        deadline_ms: Longest time for the handover, in milliseconds.
    """

    deadline_ms: int


class LeaveViews(NamedTuple):
    """Give up leadership; all lent rights are handed over or have lapsed."""


class CloseIdleConnections(NamedTuple):
    """Close all connections; none of them has an exchange in progress."""


class ReportOverdue(NamedTuple):
    """Report that requests run longer than any deadline; the exit waits for them.

    Attributes:
        in_flight: Number of running requests.
    """

    in_flight: int


class Exit(NamedTuple):
    """End the process.

    Attributes:
        code: Exit code.
    """

    code: int


class Stopping:
    """State machine of a graceful stop.

    Each request of a caller is counted as in flight from ``start_work`` to
    ``finish_work``. The requests of other instances are counted by their executor.

    Args:
        settings: Bounds of the stages.
        count_executions: Returns the number of requests of other instances that run
            here, or whose outcome is not acknowledged.
    """

    def __init__(
        self,
        settings: StoppingSettings,
        count_executions: Callable[[], int] = lambda: 0,
    ):
        self.stage = Stage.RUNNING
        self.in_flight = 0
        self._settings = settings
        self._count_executions = count_executions
        self._announced_at = 0
        self._stage_at = 0
        self._skips_waits = False
        self._is_overdue_reported = False

    def start_work(self) -> bool:
        """Count a new request; return False if it must be refused as not run."""
        if self.stage >= Stage.FINISHING:
            return False
        self.in_flight += 1
        return True

    def finish_work(self, now: int) -> list:
        """Record the end of a request.

        Raises:
            ValueError: If no request is in flight.
        """
        if self.in_flight == 0:
            raise ValueError("finish_work called with no request in flight")
        self.in_flight -= 1
        return self.tick(now)

    def signal(self, now: int) -> list:
        """Start the stop; a second signal skips the waits for other instances."""
        if self.stage == Stage.RUNNING:
            self._announced_at = now
            self._enter(Stage.HANDING_OVER, now)
            return [AnnounceLeaving(), StartHandover(self._settings.handover_ms)]
        self._skips_waits = True
        return self.tick(now)

    def handed_over(self, now: int) -> list:
        """Record that all rights and pools are handed over."""
        if self.stage != Stage.HANDING_OVER:
            return []
        self._enter(Stage.SERVING, now)
        return [LeaveViews(), *self.tick(now)]

    def connections_closed(self, now: int) -> list:
        """Record that all connections are closed."""
        if self.stage != Stage.CLOSING:
            return []
        return self._exit(now)

    def tick(self, now: int) -> list:
        """Enter the next stages that are due.

        Returns:
            Effects.
        """
        effects: list = []
        if self.stage == Stage.HANDING_OVER and self._is_handover_over(now):
            effects += self._end_handover(now)
        if self.stage == Stage.SERVING and self._is_serving_over(now):
            self._enter(Stage.FINISHING, now)
        if self.stage == Stage.FINISHING:
            effects += self._finish(now)
        if self.stage == Stage.CLOSING and self._has_lasted(
            self._settings.close_ms, now
        ):
            effects += self._exit(now)
        return effects

    def next_wake(self, now: int) -> int | None:
        """Return the time at which ``tick`` is next due; None if never."""
        settings = self._settings
        if self.stage == Stage.HANDING_OVER:
            return max(now, self._stage_at + settings.handover_ms)
        if self.stage == Stage.SERVING:
            return max(now, self._serving_until())
        if self.stage == Stage.FINISHING and not self._is_overdue_reported:
            return max(now, self._stage_at + settings.deadline_longest_ms)
        if self.stage == Stage.CLOSING:
            return max(now, self._stage_at + settings.close_ms)
        return None

    def _enter(self, stage: Stage, now: int) -> None:
        self.stage = stage
        self._stage_at = now

    def _has_lasted(self, duration_ms: int, now: int) -> bool:
        return now - self._stage_at >= duration_ms

    def _is_handover_over(self, now: int) -> bool:
        return self._skips_waits or self._has_lasted(self._settings.handover_ms, now)

    def _serving_until(self) -> int:
        settings = self._settings
        wait_ms = settings.lookup_lifetime_ms + settings.lookup_margin_ms
        return self._announced_at + wait_ms

    def _is_serving_over(self, now: int) -> bool:
        return self._skips_waits or now >= self._serving_until()

    def _end_handover(self, now: int) -> list:
        has_lapsed = self._has_lasted(self._settings.handover_ms, now)
        self._enter(Stage.SERVING, now)
        return [LeaveViews()] if has_lapsed else []

    def _finish(self, now: int) -> list:
        in_flight = self.in_flight + self._count_executions()
        if in_flight == 0:
            self._enter(Stage.CLOSING, now)
            return [CloseIdleConnections()]
        if self._is_overdue_reported or not self._has_lasted(
            self._settings.deadline_longest_ms, now
        ):
            return []
        self._is_overdue_reported = True
        return [ReportOverdue(in_flight)]

    def _exit(self, now: int) -> list:
        self._enter(Stage.DONE, now)
        return [Exit(0)]
