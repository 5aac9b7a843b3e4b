"""When a request may be tried again, and when a target is left alone for a while.

The table follows the endpoint fail-over rules of the UltraESB documentation
("Endpoints, Destinations and Addresses"), which retries only where a call to the next
address is proved safe. It differs in five points:

* A rejection by a response validator is not safe here: an answer proves that the
  request reached the target. Only a target's own statement that it shed the request
  before running it is taken as proof.
* "No byte written" is added to the safe stages.
* "All codes are safe" exists only for idempotent requests, and only within a budget.
* The paper prints the suspension as ``max(last * factor, maximum)``, which would jump
  to the maximum at once; the smaller of the two is meant and used.
* A single target is suspended as well: its requests can go to another data centre.
"""

from enum import Enum
from typing import NamedTuple

from sequoiahook.clock import MS_PER_S
from sequoiahook.decisions.exchange.target_result import Stage
from sequoiahook.messages.requests import NOT_RUN
from sequoiahook.world.contract import MICRO

__all__ = [
    "RetryBudget",
    "RetryBudgetSettings",
    "SuspensionSettings",
    "TargetMode",
    "TargetSuspension",
    "is_safe_to_retry",
]

PERCENT = 100
_SUSPENDING = frozenset({Stage.CONNECT_REFUSED})
_TEMPORARY = frozenset(
    {
        Stage.CONNECT_TIMEOUT,
        Stage.PARTLY_WRITTEN,
        Stage.WRITTEN_NO_ANSWER,
        Stage.ANSWER_TRUNCATED,
    }
)


def is_safe_to_retry(stage: Stage) -> bool:
    """Return whether any request, idempotent or not, may be tried again."""
    return stage.ran == NOT_RUN


class RetryBudgetSettings(NamedTuple):
    """Limits of a retry budget.

    Attributes:
        ratio_percent: Retries for each hundred first attempts.
        floor_per_s: Retries a second that are always there.
        burst: Most retries at once.
    """

    ratio_percent: int = 10
    floor_per_s: int = 2
    burst: int = 20


class RetryBudget:
    """Retries as a share of first attempts, plus a small floor.

    Args:
        settings: The limits.
        now: The time in milliseconds.
    """

    def __init__(self, settings: RetryBudgetSettings, now: int):
        self._settings = settings
        self._micro_tokens = settings.floor_per_s * MICRO
        self._refilled_at = now

    def first_attempt(self) -> None:
        """Count a first attempt."""
        self._add(MICRO * self._settings.ratio_percent // PERCENT)

    def take(self, now: int) -> bool:
        """Spend one retry.

        Returns:
            Whether there was one.
        """
        elapsed_ms = now - self._refilled_at
        self._refilled_at = now
        self._add(elapsed_ms * self._settings.floor_per_s * MICRO // MS_PER_S)
        if self._micro_tokens < MICRO:
            return False
        self._micro_tokens -= MICRO
        return True

    def _add(self, micro_tokens: int) -> None:
        most = self._settings.burst * MICRO
        self._micro_tokens = min(most, self._micro_tokens + micro_tokens)


class SuspensionSettings(NamedTuple):
    """How long a failing target is left alone.

    Attributes:
        initial_ms: First suspension, in milliseconds.
        factor_percent: Growth of each further one; 200 doubles it.
        maximum_ms: Longest suspension, in milliseconds.
        grace_ms: How long failures that may pass are put up with, in milliseconds.
        is_silence_final: Whether a connection that does not open in time suspends at
            once, like one that is refused.
    """

    initial_ms: int = 250
    factor_percent: int = 200
    maximum_ms: int = 10_000
    grace_ms: int = 500
    is_silence_final: bool = False


class TargetMode(Enum):
    """Whether a target is used."""

    READY = "ready"
    FAILING = "failing"
    SUSPENDED = "suspended"
    ON_TRIAL = "on trial"


class TargetSuspension:
    """Suspension of one target, by the results of its exchanges.

    A refused connection suspends at once. Other failures suspend when they have gone on
    for the grace period without a success. After a suspension one request is let
    through as a trial: a success makes the target ready, a failure suspends it for
    longer.

    Args:
        settings: The durations.
    """

    def __init__(self, settings: SuspensionSettings):
        self._settings = settings
        self._failing_since: int | None = None
        self._suspended_until: int | None = None
        self._last_duration_ms = 0
        self._is_trial_out = False

    def mode(self, now: int) -> TargetMode:
        """Return how the target stands."""
        if self._suspended_until is not None:
            is_over = now >= self._suspended_until and not self._is_trial_out
            return TargetMode.ON_TRIAL if is_over else TargetMode.SUSPENDED
        is_ready = self._failing_since is None
        return TargetMode.READY if is_ready else TargetMode.FAILING

    def may_send(self, now: int) -> bool:
        """Return whether a request may be sent to the target."""
        return self.mode(now) is not TargetMode.SUSPENDED

    def sent(self, now: int) -> None:
        """Note that a request goes to the target."""
        if self.mode(now) is TargetMode.ON_TRIAL:
            self._is_trial_out = True

    def result(self, stage: Stage, now: int) -> None:
        """Take the result of an exchange into account.

        A request that was not written, or that the target shed, says nothing against
        it; it only ends a trial.
        """
        is_on_trial = self._is_trial_out
        self._is_trial_out = False
        if stage is Stage.ANSWERED:
            self._recover()
        elif self._is_final(stage) or (stage in _TEMPORARY and is_on_trial):
            self._suspend(now)
        elif stage in _TEMPORARY:
            self._fail(now)

    def _is_final(self, stage: Stage) -> bool:
        is_silent = stage is Stage.CONNECT_TIMEOUT
        return stage in _SUSPENDING or (is_silent and self._settings.is_silence_final)

    @property
    def retry_at(self) -> int | None:
        """When a suspension ends; None if the target is not suspended."""
        return self._suspended_until

    def _recover(self) -> None:
        self._failing_since = None
        self._suspended_until = None
        self._last_duration_ms = 0

    def _fail(self, now: int) -> None:
        if self._failing_since is None:
            self._failing_since = now
        if now - self._failing_since >= self._settings.grace_ms:
            self._suspend(now)

    def _suspend(self, now: int) -> None:
        if self._suspended_until is not None and now < self._suspended_until:
            return
        settings = self._settings
        longer_ms = self._last_duration_ms * settings.factor_percent // PERCENT
        duration_ms = min(longer_ms or settings.initial_ms, settings.maximum_ms)
        self._last_duration_ms = duration_ms
        self._suspended_until = now + duration_ms
