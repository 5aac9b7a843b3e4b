"""Durations and limits of entries and executors."""

from typing import NamedTuple

from sequoiahook.decisions.exchange.retry import RetryBudgetSettings

__all__ = ["EntrySettings", "ExecutorSettings"]


class EntrySettings(NamedTuple):
    """Durations and limits of an entry.

    Attributes:
        answer_margin_ms: Time before the deadline at which a request times out, in
            milliseconds.
        cancel_margin_ms: Time before the time-out at which a request is cancelled, so
            that its true outcome can still arrive, in milliseconds.
        stamp_max_age_ms: Longest time for which a stamp is used, in milliseconds;
            within it two clocks drift apart by much less than the executor's drift
            margin.
        stamp_retry_ms: Interval between requests for a stamp, in milliseconds.
        stamp_max_wait_ms: Longest wait for a candidate's stamp, in milliseconds.
        reconnect_grace_ms: How long a request waits for a lost link to come back, in
            milliseconds.
        attempts_max: Maximum number of handovers of one request.
        requests_max: Maximum number of open requests.
        body_bytes_max: Maximum total size of the bodies of open requests, in bytes.
        budget: Limits on retries.
        final_reasons: Further reasons of executors after which no other candidate is
            tried.
    """

    answer_margin_ms: int = 50
    cancel_margin_ms: int = 150
    stamp_max_age_ms: int = 60_000
    stamp_retry_ms: int = 100
    stamp_max_wait_ms: int = 400
    reconnect_grace_ms: int = 1_000
    attempts_max: int = 3
    requests_max: int = 2_000
    body_bytes_max: int = 128 * 1024 * 1024
    budget: RetryBudgetSettings = RetryBudgetSettings()
    final_reasons: frozenset[str] = frozenset()


class ExecutorSettings(NamedTuple):
    """Durations and limits of an executor.

    Attributes:
        drift_margin_ms: How long ids are kept after their deadline, in milliseconds;
            longer than two clocks can drift apart within the longest deadline.
        outcome_resend_ms: Delay before an outcome is first sent again, in
            milliseconds; it doubles each time.
        pause_limit_ms: Gap between two inputs after which all queued requests are
            refused, in milliseconds; at most the shortest lease of the pools.
        attempts_max: Maximum number of targets tried for one handover.
        requests_max: Maximum number of open handovers.
        body_bytes_max: Maximum total size of the bodies of unfinished handovers, in
            bytes.
        budget: Limits on retries.
    """

    drift_margin_ms: int = 500
    outcome_resend_ms: int = 200
    pause_limit_ms: int = 1_000
    attempts_max: int = 3
    requests_max: int = 2_000
    body_bytes_max: int = 128 * 1024 * 1024
    budget: RetryBudgetSettings = RetryBudgetSettings()
