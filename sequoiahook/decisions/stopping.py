"""A planned stop: from the first signal to the exit, without cutting a request.

The longest time from the first signal to the exit is the time to hand over, the
longest lifetime of a look-up answer with its margin, and the longest deadline of a
request, one after the other; see :attr:`StoppingSettings.drain_ms`.
"""

from enum import IntEnum
from typing import NamedTuple

__all__ = [
    "AnnounceLeaving",
    "CloseIdleConnections",
    "Exit",
    "HandOver",
    "LeaveViews",
    "ReportOverdue",
    "Stage",
    "Stopping",
    "StoppingSettings",
]


class StoppingSettings(NamedTuple):
    """Bounds of the stages of a stop.

    Attributes:
        hand_over_ms: Longest time to hand over rights and pools; not below the
            longest lease and its margin, so that what was not handed over has lapsed.
        lookup_lifetime_ms: Longest lifetime of a look-up answer.
        lookup_margin_ms: Time until all instances leave this one out of answers.
        deadline_longest_ms: Longest time that a request may run.
        close_ms: Longest time to close idle connections.
    """

    hand_over_ms: int = 4500
    lookup_lifetime_ms: int = 10_000
    lookup_margin_ms: int = 4000
    deadline_longest_ms: int = 60_000
    close_ms: int = 1000

    @property
    def drain_ms(self) -> int:
        """Longest time from the first signal to the exit."""
        serving_ms = self.lookup_lifetime_ms + self.lookup_margin_ms
        waiting_ms = max(self.hand_over_ms, serving_ms)
        return waiting_ms + self.deadline_longest_ms + self.close_ms


class Stage(IntEnum):
    """Stages in the only order in which they are passed."""

    RUNNING = 0
    HANDING_OVER = 1
    SERVING = 2
    FINISHING = 3
    CLOSING = 4
    DONE = 5


class AnnounceLeaving(NamedTuple):
    """Tell the peers, and leave this instance out of look-up answers."""


class HandOver(NamedTuple):
    """Hand over rights and pools; nothing is lent out any more.

    Attributes:
        deadline_ms: How long it may take, in milliseconds.
    """

    deadline_ms: int


class LeaveViews(NamedTuple):
    """Stop to be a keeper: all that was lent is handed over or has lapsed."""


class CloseIdleConnections(NamedTuple):
    """Close connections without an exchange; there is no other kind left."""


class ReportOverdue(NamedTuple):
    """Work runs for longer than any deadline allows; the exit waits for it.

    Attributes:
        in_flight: How many requests run.
    """

    in_flight: int


class Exit(NamedTuple):
    """End the process.

    Attributes:
        code: Exit code.
    """

    code: int


class Stopping:
    """The stages of a planned stop.

    Every piece of work, from a caller or from another instance, is entered with
    start_work and left with finish_work, so what is in flight is counted in one place.

    Args:
        settings: Bounds of the stages.
    """

    def __init__(self, settings: StoppingSettings):
        self.stage = Stage.RUNNING
        self.in_flight = 0
        self._settings = settings
        self._announced_at = 0
        self._stage_at = 0
        self._is_hurried = False
        self._is_reported = False

    def start_work(self) -> bool:
        """Enter a piece of work; return False if it must be refused as not run."""
        if self.stage >= Stage.FINISHING:
            return False
        self.in_flight += 1
        return True

    def finish_work(self, now: int) -> list:
        """Leave a piece of work.

        Raises:
            ValueError: If nothing is in flight.
        """
        if self.in_flight == 0:
            raise ValueError("no work is in flight")
        self.in_flight -= 1
        return self.tick(now)

    def signal(self, now: int) -> list:
        """Take in a request to stop; a second one ends the waits for others."""
        if self.stage == Stage.RUNNING:
            self._announced_at = now
            self._enter(Stage.HANDING_OVER, now)
            return [AnnounceLeaving(), HandOver(self._settings.hand_over_ms)]
        self._is_hurried = True
        return self.tick(now)

    def handed_over(self, now: int) -> list:
        """Take in that all rights and pools are handed over."""
        if self.stage != Stage.HANDING_OVER:
            return []
        self._enter(Stage.SERVING, now)
        return [LeaveViews(), *self.tick(now)]

    def connections_closed(self, now: int) -> list:
        """Take in that no connection is open any more."""
        if self.stage != Stage.CLOSING:
            return []
        return self._exit(now)

    def tick(self, now: int) -> list:
        """Pass on to the next stages that are due.

        Returns:
            Effects.
        """
        effects: list = []
        if self.stage == Stage.HANDING_OVER and self._is_hand_over_over(now):
            effects += self._end_hand_over(now)
        if self.stage == Stage.SERVING and self._is_serving_over(now):
            self._enter(Stage.FINISHING, now)
        if self.stage == Stage.FINISHING:
            effects += self._finish(now)
        if self.stage == Stage.CLOSING and self._is_past(self._settings.close_ms, now):
            effects += self._exit(now)
        return effects

    def next_wake(self, now: int) -> int | None:
        """Return when tick is to be called next; None if only an input matters."""
        settings = self._settings
        if self.stage == Stage.HANDING_OVER:
            return max(now, self._stage_at + settings.hand_over_ms)
        if self.stage == Stage.SERVING:
            return max(now, self._serving_until())
        if self.stage == Stage.FINISHING and not self._is_reported:
            return max(now, self._stage_at + settings.deadline_longest_ms)
        if self.stage == Stage.CLOSING:
            return max(now, self._stage_at + settings.close_ms)
        return None

    def _enter(self, stage: Stage, now: int) -> None:
        self.stage = stage
        self._stage_at = now

    def _is_past(self, duration_ms: int, now: int) -> bool:
        return now - self._stage_at >= duration_ms

    def _is_hand_over_over(self, now: int) -> bool:
        return self._is_hurried or self._is_past(self._settings.hand_over_ms, now)

    def _serving_until(self) -> int:
        settings = self._settings
        wait_ms = settings.lookup_lifetime_ms + settings.lookup_margin_ms
        return self._announced_at + wait_ms

    def _is_serving_over(self, now: int) -> bool:
        return self._is_hurried or now >= self._serving_until()

    def _end_hand_over(self, now: int) -> list:
        has_lapsed = self._is_past(self._settings.hand_over_ms, now)
        self._enter(Stage.SERVING, now)
        return [LeaveViews()] if has_lapsed else []

    def _finish(self, now: int) -> list:
        if self.in_flight == 0:
            self._enter(Stage.CLOSING, now)
            return [CloseIdleConnections()]
        if self._is_reported or not self._is_past(
            self._settings.deadline_longest_ms, now
        ):
            return []
        self._is_reported = True
        return [ReportOverdue(self.in_flight)]

    def _exit(self, now: int) -> list:
        self._enter(Stage.DONE, now)
        return [Exit(0)]
