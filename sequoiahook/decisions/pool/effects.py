"""What a pool decides about a request, and what it is told about a run."""

from collections.abc import Hashable
from typing import NamedTuple

__all__ = ["PoolEffect", "Refuse", "RefuseReason", "Start", "TargetReport"]


class RefuseReason:
    """Why a pool refuses a request; each means that it was not run."""

    DEADLINE = "deadline"
    QUEUE_FULL = "queue-full"
    NO_TARGET = "no-target"
    MOVED = "moved"
    BUSY = "busy"


class Start(NamedTuple):
    """Send the request to the target now; it holds a slot until it is finished.

    Attributes:
        request_id: As submitted.
        target_name: The target that has a slot for it.
    """

    request_id: Hashable
    target_name: str


class Refuse(NamedTuple):
    """Answer the request as not run; the pool has forgotten it.

    Attributes:
        request_id: As submitted.
        reason: One of RefuseReason.
        retry_after_ms: When it is worth trying again, from now.
    """

    request_id: Hashable
    reason: str
    retry_after_ms: int


class TargetReport(NamedTuple):
    """How a started request ended at its target.

    Attributes:
        is_success: Whether the target gave a whole answer of its own making.
        is_target_fault: Whether the failure speaks against the target.
        duration_ms: Time from the start to the end.
        is_leaving: Whether the target said that it leaves.
    """

    is_success: bool
    is_target_fault: bool
    duration_ms: int
    is_leaving: bool


PoolEffect = Start | Refuse
