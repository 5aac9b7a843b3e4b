"""How far an exchange with a target got, and what that proves."""

from enum import Enum
from typing import NamedTuple

from sequoiahook.messages.requests import NOT_RUN, RAN, UNKNOWN, Fields

__all__ = ["Stage", "TargetResult"]


class Stage(Enum):
    """The point at which an exchange with a target ended."""

    CONNECT_REFUSED = "connect refused"
    CONNECT_TIMEOUT = "connect timeout"
    NOTHING_WRITTEN = "nothing written"
    PARTLY_WRITTEN = "partly written"
    WRITTEN_NO_ANSWER = "written, no answer"
    SHED = "shed by the target"
    ANSWERED = "answered"
    ANSWER_TRUNCATED = "answer truncated"

    @property
    def ran(self) -> str:
        """What the stage proves: ``ran``, ``not run`` or ``unknown``."""
        return _RAN_BY_STAGE.get(self, UNKNOWN)


_RAN_BY_STAGE = {
    Stage.CONNECT_REFUSED: NOT_RUN,
    Stage.CONNECT_TIMEOUT: NOT_RUN,
    Stage.NOTHING_WRITTEN: NOT_RUN,
    Stage.SHED: NOT_RUN,
    Stage.ANSWERED: RAN,
}


class TargetResult(NamedTuple):
    """The end of one exchange with a target.

    Attributes:
        stage: How far it got.
        status: HTTP status; 0 if no answer began.
        headers: Fields of the answer.
        body: Whole body of the answer.
        says_close: Whether the target asked for the connection to be closed.
        duration_ms: Time from the first byte written to the end, in milliseconds.
        retry_after_ms: The target's own advice, in milliseconds; 0 if none.
        connect_ms: Time to open the connection, in milliseconds; None if a kept one
            was used or none was opened.
        open_count: Requests that the target says that it has; None if it does not.
    """

    stage: Stage
    status: int = 0
    headers: Fields = ()
    body: bytes = b""
    says_close: bool = False
    duration_ms: int = 0
    retry_after_ms: int = 0
    connect_ms: int | None = None
    open_count: int | None = None
