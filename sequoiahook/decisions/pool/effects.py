"""Effects that a pool returns, and the results that are reported to it."""

from collections.abc import Hashable
from typing import NamedTuple

__all__ = ["PoolEffect", "Refuse", "RefuseReason", "Start", "TargetReport"]


class RefuseReason:
    """Reasons for refusing a request; a refused request was never run."""

    DEADLINE = "deadline"
    QUEUE_FULL = "queue-full"
    NO_TARGET = "no-target"
    MOVED = "moved"
    BUSY = "busy"


class Start(NamedTuple):
    """Send the request to the target; it holds a slot until it is finished.

    Attributes:
        request_id: Id that the request was submitted with.
        target_name: Name of the target to send it to.
    """

    request_id: Hashable
    target_name: str


class Refuse(NamedTuple):
    """Answer the request as not run; the pool no longer tracks it.

    Attributes:
        request_id: Id that the request was submitted with.
        reason: One of the constants of RefuseReason.
        retry_after_ms: Time from now after which the caller should retry, in
            milliseconds.
    """

    request_id: Hashable
    reason: str
    retry_after_ms: int


class TargetReport(NamedTuple):
    """Result of a started request.

    Attributes:
        is_success: Whether the target itself produced a complete answer.
        is_target_fault: Whether the failure counts against the target's health.
        duration_ms: Time from start to end, in milliseconds.
        is_leaving: Whether the target reported that it is leaving.
    """

    is_success: bool
    is_target_fault: bool
    duration_ms: int
    is_leaving: bool


PoolEffect = Start | Refuse
