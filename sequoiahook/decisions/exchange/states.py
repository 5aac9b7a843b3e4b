"""States of a request at its entry and its executor, and reasons for refusals."""

from enum import Enum

__all__ = ["EntryState", "ExecutorState", "Reason", "http_status"]


class EntryState(Enum):
    """State of a request at the instance that its caller is connected to."""

    AWAITING_STAMP = "asking the place for a stamp"
    RELOCATING = "waiting for another place"
    RESERVING = "waiting for the right to run again"
    HANDED_OVER = "handed over"
    LINK_LOST = "handed over, link lost"
    CANCELLING = "cancel sent"


class ExecutorState(Enum):
    """State of a handover at the instance that owns the pool."""

    QUEUED = "queued"
    CONNECTING = "connecting to a target"
    SENDING = "sent to a target"
    FINISHED = "finished"


class Reason:
    """Reasons for a refusal, as reported to callers."""

    CANCELLED = "cancelled"
    DEADLINE = "deadline too near"
    INVALID_ANSWER = "invalid answer"
    KEY_WITHDRAWN = "key withdrawn"
    LINK_LOST = "link to the executing instance lost"
    LINK_FULL = "the link to the data centre is full"
    MOVED = "the pool has another owner"
    NO_CREDIT = "no credit for the data centre"
    NO_CANDIDATE = "no place to run"
    NO_POOL = "service not served here"
    OTHER_INCARNATION = "meant for an earlier run of the instance"
    OVERLOADED = "too many requests open"
    PAUSED = "instance was paused"
    RIGHT_LAPSED = "right to run lapsed"
    TIMEOUT = "no outcome in time"
    TOO_OLD = "arrived after its deadline"
    UNREACHABLE = "no connectivity to targets"


_STATUS_BY_REASON = {
    Reason.KEY_WITHDRAWN: 401,
    Reason.LINK_LOST: 502,
    Reason.OTHER_INCARNATION: 502,
    Reason.TIMEOUT: 504,
    Reason.TOO_OLD: 504,
}
_STATUS_NOT_RUN = 503
_STATUS_UNKNOWN = 502


def http_status(reason: str, is_proved_not_run: bool) -> int:
    """Return the HTTP status of a refusal."""
    default = _STATUS_NOT_RUN if is_proved_not_run else _STATUS_UNKNOWN
    return _STATUS_BY_REASON.get(reason, default)
