"""The evidence about one request under which targets ended."""

from collections.abc import Callable
from typing import NamedTuple

from sequoiahook.messages.crashes import NEVER, Crash, SuspectStatement

__all__ = ["CrashInterval", "Suspect", "TargetRun", "occasions"]

CRASHES_MAX = 6
"""Most crashes that are stored for one request."""


class TargetRun(NamedTuple):
    """One run of a target.

    Attributes:
        target: Id of the target.
        started_at: Start of the target.
    """

    target: str
    started_at: int


class CrashInterval(NamedTuple):
    """Time of an attempt that the target ended.

    Attributes:
        sent_at: When the request was sent, in milliseconds.
        ended_at: When the connection ended.
    """

    sent_at: int
    ended_at: int


IsCredible = Callable[[TargetRun, CrashInterval], bool]


class Suspect:
    """Crashes of one request since it was last answered, on the local clock.

    Attributes:
        crashes_by_run: Time of the crash of each run of a target.
        answered_at: When a target last answered the request; None if never.
        trial_at: When it was last sent as a trial; None if never.
    """

    def __init__(self):
        self.crashes_by_run: dict[TargetRun, CrashInterval] = {}
        self.answered_at: int | None = None
        self.trial_at: int | None = None

    def add_crash(self, run: TargetRun, crash: CrashInterval) -> bool:
        """Add a crash; return whether it is new and later than the last answer.

        A run of a target ends once: a later attempt shows that an earlier one had not
        ended it, and replaces it.
        """
        known = self.crashes_by_run.get(run)
        is_cleared = self.answered_at is not None and crash.ended_at <= self.answered_at
        if is_cleared or (known is not None and crash.sent_at < known.ended_at):
            return False
        self.crashes_by_run[run] = crash
        if len(self.crashes_by_run) > CRASHES_MAX:
            self._drop_least_useful()
        return True

    def add_answer(self, answered_at: int) -> bool:
        """Record an answer, which clears earlier crashes; return whether it did."""
        if self.answered_at is not None and answered_at <= self.answered_at:
            return False
        self.answered_at = answered_at
        remaining = {
            run: crash
            for run, crash in self.crashes_by_run.items()
            if crash.ended_at > answered_at
        }
        has_cleared = len(remaining) < len(self.crashes_by_run)
        self.crashes_by_run = remaining
        return has_cleared

    def credible(self, is_credible: IsCredible) -> list[CrashInterval]:
        """Return the crashes that are credible, the first end first."""
        crashes = [
            crash
            for run, crash in self.crashes_by_run.items()
            if is_credible(run, crash)
        ]
        return sorted(crashes, key=lambda crash: crash.ended_at)

    def last_event_at(self) -> int:
        """Return the time of the last event; 0 without one."""
        times = [crash.ended_at for crash in self.crashes_by_run.values()]
        times += [at for at in (self.answered_at, self.trial_at) if at is not None]
        return max(times, default=0)

    def merge(self, statement: SuspectStatement, now: int) -> None:
        """Apply what another instance knows."""
        if statement.answered_age_ms != NEVER:
            self.add_answer(now - statement.answered_age_ms)
        for crash in statement.crashes:
            ended_at = now - crash.age_ms
            interval = CrashInterval(ended_at - crash.ran_ms, ended_at)
            self.add_crash(TargetRun(crash.target, crash.started_at), interval)
        if statement.trial_age_ms != NEVER:
            trial_at = now - statement.trial_age_ms
            self.trial_at = max(trial_at, self.trial_at or trial_at)

    def statement(
        self, organisation: str, fingerprint: bytes, now: int
    ) -> SuspectStatement:
        """Return the statement for other instances."""
        crashes = tuple(
            Crash(
                run.target,
                run.started_at,
                max(0, crash.ended_at - crash.sent_at),
                max(0, now - crash.ended_at),
            )
            for run, crash in self.crashes_by_run.items()
        )
        return SuspectStatement(
            organisation,
            fingerprint,
            crashes,
            _age_ms(self.answered_at, now),
            _age_ms(self.trial_at, now),
        )

    def _drop_least_useful(self) -> None:
        """Drop the oldest crash that no occasion is counted for, else the oldest."""
        crashes = sorted(self.crashes_by_run.values(), key=lambda c: c.ended_at)
        counted = set(occasions(crashes))
        dropped = next((c for c in crashes if c not in counted), crashes[0])
        run = next(r for r, c in self.crashes_by_run.items() if c == dropped)
        del self.crashes_by_run[run]


def occasions(crashes: list[CrashInterval]) -> list[CrashInterval]:
    """Return the crashes that were one after the other.

    Attempts that were open at the same time count once: targets may have ended
    together for a reason of their own.

    Args:
        crashes: Crashes in the order of their ends.
    """
    chosen: list[CrashInterval] = []
    for crash in crashes:
        if not chosen or crash.sent_at >= chosen[-1].ended_at:
            chosen.append(crash)
    return chosen


def _age_ms(at: int | None, now: int) -> int:
    return NEVER if at is None else max(0, now - at)
