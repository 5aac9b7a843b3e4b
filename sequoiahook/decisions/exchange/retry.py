"""Rules for retrying requests and for suspending failing targets.

The rules follow the endpoint fail-over of the UltraESB documentation ("Endpoints,
Destinations and Addresses"), which retries only where a call to the next address is
proved safe. They differ in five points:

* A rejection by a response validator is not safe here, because an answer proves that
  the request reached the target. Only a target's own statement that it shed the request
  before running it is taken as proof that it never ran.
* "No byte written" is added to the safe stages.
* "All codes are safe" applies only to idempotent requests, within a retry budget.
* The documentation gives the suspension as ``max(last * factor, maximum)``, which
  would be the maximum from the start; the smaller of the two is meant and used.
* A service's only target is suspended too, since its requests can go to another data
  centre.
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
_SUSPENDING_STAGES = frozenset({Stage.CONNECT_REFUSED})
_TRANSIENT_STAGES = frozenset(
    {
        Stage.CONNECT_TIMEOUT,
        Stage.PARTLY_WRITTEN,
        Stage.WRITTEN_NO_ANSWER,
        Stage.ANSWER_TRUNCATED,
    }
)


def is_safe_to_retry(stage: Stage) -> bool:
    """Return whether even a request that is not idempotent may be retried."""
    return stage.ran == NOT_RUN


class RetryBudgetSettings(NamedTuple):
    """Limits of a retry budget.

    Attributes:
        ratio_percent: Retries allowed per hundred first attempts.
        floor_per_s: Retries per second that are always allowed.
        burst: Maximum number of accumulated retries.
    """

    ratio_percent: int = 10
    floor_per_s: int = 2
    burst: int = 20


class RetryBudget:
    """Token bucket of retries: a share of first attempts plus a minimum rate.

    Args:
        settings: The limits.
        now: The time in milliseconds.
    """

    def __init__(self, settings: RetryBudgetSettings, now: int):
        self._settings = settings
        self._micro_tokens = settings.floor_per_s * MICRO
        self._refilled_at = now

    def record_first_attempt(self) -> None:
        """Count a first attempt."""
        self._add(MICRO * self._settings.ratio_percent // PERCENT)

    def try_spend(self, now: int) -> bool:
        """Take one retry from the budget.

        Returns:
            Whether a retry was available.
        """
        elapsed_ms = now - self._refilled_at
        self._refilled_at = now
        self._add(elapsed_ms * self._settings.floor_per_s * MICRO // MS_PER_S)
        if self._micro_tokens < MICRO:
            return False
        self._micro_tokens -= MICRO
        return True

    def _add(self, micro_tokens: int) -> None:
        max_micro_tokens = self._settings.burst * MICRO
        self._micro_tokens = min(max_micro_tokens, self._micro_tokens + micro_tokens)


class SuspensionSettings(NamedTuple):
    """Durations of the suspension of a failing target.

    Attributes:
        initial_ms: First suspension, in milliseconds.
        factor_percent: Each suspension as a percentage of the one before; 200 doubles.
        maximum_ms: Longest suspension, in milliseconds.
        grace_ms: How long transient failures are tolerated, in milliseconds.
        suspends_on_connect_timeout: Whether a connection that times out while opening
            suspends at once, as a refused one does.
    """

    initial_ms: int = 250
    factor_percent: int = 200
    maximum_ms: int = 10_000
    grace_ms: int = 500
    suspends_on_connect_timeout: bool = False


class TargetMode(Enum):
    """Availability of a target."""

    READY = "ready"
    FAILING = "failing"
    SUSPENDED = "suspended"
    ON_TRIAL = "on trial"


class TargetSuspension:
    """Suspension of one target according to the results of its exchanges.

    A refused connection suspends at once; other failures suspend when they have lasted
    for the grace period without a success. After a suspension one request is sent as a
    trial: a success makes the target ready, a failure suspends it for longer.

    Args:
        settings: The durations.
    """

    def __init__(self, settings: SuspensionSettings):
        self._settings = settings
        self._failing_since: int | None = None
        self._suspended_until: int | None = None
        self._last_duration_ms = 0
        self._is_trial_in_flight = False

    def mode(self, now: int) -> TargetMode:
        """Return the mode of the target."""
        if self._suspended_until is not None:
            is_over = now >= self._suspended_until and not self._is_trial_in_flight
            return TargetMode.ON_TRIAL if is_over else TargetMode.SUSPENDED
        is_ready = self._failing_since is None
        return TargetMode.READY if is_ready else TargetMode.FAILING

    def may_send(self, now: int) -> bool:
        """Return whether a request may be sent to the target."""
        if self._suspended_until is None:
            return True
        return self.mode(now) is not TargetMode.SUSPENDED

    def record_sent(self, now: int) -> None:
        """Record that a request is being sent to the target."""
        if self.mode(now) is TargetMode.ON_TRIAL:
            self._is_trial_in_flight = True

    def record_result(self, stage: Stage, now: int) -> None:
        """Record the result of an exchange.

        A request that was not written, or that the target shed, is no failure of the
        target; it only ends a trial.
        """
        was_trial = self._is_trial_in_flight
        self._is_trial_in_flight = False
        if stage is Stage.ANSWERED:
            self._recover()
        elif self._suspends_at_once(stage) or (
            stage in _TRANSIENT_STAGES and was_trial
        ):
            self._suspend(now)
        elif stage in _TRANSIENT_STAGES:
            self._record_failure(now)

    def _suspends_at_once(self, stage: Stage) -> bool:
        is_connect_timeout = stage is Stage.CONNECT_TIMEOUT
        return stage in _SUSPENDING_STAGES or (
            is_connect_timeout and self._settings.suspends_on_connect_timeout
        )

    @property
    def retry_at(self) -> int | None:
        """When a suspension ends; None if the target is not suspended."""
        return self._suspended_until

    def _recover(self) -> None:
        self._failing_since = None
        self._suspended_until = None
        self._last_duration_ms = 0

    def _record_failure(self, now: int) -> None:
        if self._failing_since is None:
            self._failing_since = now
        if now - self._failing_since >= self._settings.grace_ms:
            self._suspend(now)

    def _suspend(self, now: int) -> None:
        if self._suspended_until is not None and now < self._suspended_until:
            return
        settings = self._settings
        next_ms = self._last_duration_ms * settings.factor_percent // PERCENT
        duration_ms = min(next_ms or settings.initial_ms, settings.maximum_ms)
        self._last_duration_ms = duration_ms
        self._suspended_until = now + duration_ms
