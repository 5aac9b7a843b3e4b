"""Durations and limits of entries and executors."""

from typing import NamedTuple

from sequoiahook.decisions.exchange.retry import RetryBudgetSettings

__all__ = ["EntrySettings", "ExecutorSettings"]


class EntrySettings(NamedTuple):
    """Durations and limits of an entry.

    Attributes:
        answer_margin_ms: How long before the deadline a caller is answered at the
            latest, in milliseconds.
        cancel_margin_ms: How long before that a request is cancelled, so that its true
            outcome can still arrive, in milliseconds.
        stamp_use_ms: How long a stamp is used; two clocks drift apart by much less than
            the executor's drift margin in that time, in milliseconds.
        stamp_retry_ms: After which time a stamp is asked for again, in milliseconds.
        stamp_patience_ms: How long a place may take to give a stamp, in milliseconds.
        reconnect_grace_ms: How long a cut-off request waits for its link, in
            milliseconds.
        attempts_max: Most hand-overs of one request.
        requests_max: Most open requests.
        body_bytes_max: Most bytes in the bodies of all open requests.
        budget: Limits of the retries.
    """

    answer_margin_ms: int = 50
    cancel_margin_ms: int = 150
    stamp_use_ms: int = 60_000
    stamp_retry_ms: int = 100
    stamp_patience_ms: int = 400
    reconnect_grace_ms: int = 1_000
    attempts_max: int = 3
    requests_max: int = 2_000
    body_bytes_max: int = 128 * 1024 * 1024
    budget: RetryBudgetSettings = RetryBudgetSettings()


class ExecutorSettings(NamedTuple):
    """Durations and limits of an executor.

    Attributes:
        drift_margin_ms: How long ids are kept after their deadline; longer than what
            two clocks can drift apart in the longest deadline, in milliseconds.
        outcome_resend_ms: After which time an outcome is first sent again, in
            milliseconds; the time doubles.
        pause_limit_ms: A gap in the own loop that makes everything queued be refused,
            in milliseconds; at most the shortest lease that the pools hold.
        attempts_max: Most targets that are tried for one hand-over.
        requests_max: Most open hand-overs.
        body_bytes_max: Most bytes in the bodies of all hand-overs not finished.
        budget: Limits of the retries.
    """

    drift_margin_ms: int = 500
    outcome_resend_ms: int = 200
    pause_limit_ms: int = 1_000
    attempts_max: int = 3
    requests_max: int = 2_000
    body_bytes_max: int = 128 * 1024 * 1024
    budget: RetryBudgetSettings = RetryBudgetSettings()
