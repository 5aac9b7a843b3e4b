"""Limits of the attempts of requests."""

from typing import NamedTuple

__all__ = ["AttemptsSettings"]


class AttemptsSettings(NamedTuple):
    """Limits of attempts.

    Attributes:
        targets_max: Most targets to which one request is sent.
        remaining_min_ms: Least time before its deadline at which a request is sent.
        permit_wait_divisor: Divisor of the route's latency goal that gives the longest
            wait for permits of targets that state a limit.
        failed_retry_after_ms: Retry-after time if no target could be reached.
        retry_percent: Retries allowed for each hundred requests of a service. It is
            below the platform's ratio, since requests are spread unevenly over the
            windows in which the platform counts them.
    """

    targets_max: int = 4
    remaining_min_ms: int = 20
    permit_wait_divisor: int = 3
    failed_retry_after_ms: int = 100
    retry_percent: int = 15
