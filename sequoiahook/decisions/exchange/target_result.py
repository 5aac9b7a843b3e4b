"""Result of an exchange with a target, and whether it proves that the request ran."""

from collections.abc import Callable
from enum import Enum
from typing import NamedTuple, Protocol

from sequoiahook.messages.requests import NOT_RUN, RAN, UNKNOWN, Fields
from sequoiahook.world.target import LoadReport, StatedLimit, StatedRest

__all__ = ["AnswerStream", "Stage", "StreamEnd", "TargetResult", "is_final_status"]

FINAL_STATUS_MIN = 200
FINAL_STATUS_MAX = 599
"""RFC 9110, 15: a status is between 100 and 599, and 1xx only precede the answer."""


class Stage(Enum):
    """Stage at which an exchange with a target ended."""

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
        """Whether the request ran: ``ran``, ``not run`` or ``unknown``."""
        return _RAN_BY_STAGE.get(self, UNKNOWN)


_RAN_BY_STAGE = {
    Stage.CONNECT_REFUSED: NOT_RUN,
    Stage.CONNECT_TIMEOUT: NOT_RUN,
    Stage.NOTHING_WRITTEN: NOT_RUN,
    Stage.SHED: NOT_RUN,
    Stage.ANSWERED: RAN,
}


def is_final_status(status: int) -> bool:
    """Return whether a status may be that of an answer."""
    return FINAL_STATUS_MIN <= status <= FINAL_STATUS_MAX


class StreamEnd(Enum):
    """How a body ended that was passed on while it was received."""

    COMPLETE = "complete"
    BROKEN = "broken off by the target"
    TIMED_OUT = "target stalled after the deadline"
    GIVEN_UP = "not read to its end"


class AnswerStream(Protocol):
    """The rest of a body that is passed on while it is received.

    Attributes:
        length: Declared length of the whole body in bytes; None if unknown.
        byte_count: Number of bytes that were read from the stream.
    """

    length: int | None
    byte_count: int

    def add_end_callback(self, callback: Callable[[StreamEnd], None]) -> None:
        """Call a function when the body has ended, or at once if it has."""

    async def read(self) -> bytes:
        """Return the next part; empty at the end of a complete body.

        Raises:
            AnswerIncompleteError: If the body cannot be completed.
        """

    def close(self) -> None:
        """Stop reading; it has no effect on a body that has ended."""


class TargetResult(NamedTuple):
    """Result of one exchange with a target.

    Attributes:
        stage: Stage at which the exchange ended.
        status: HTTP status; 0 if no answer was received.
        headers: Header fields of the answer.
        body: Body of the answer, without the part that is still to be read.
        stream: The rest of the body; None if the body is complete.
        requests_close: Whether the target requested to close the connection.
        duration_ms: Time from the first byte written to the end, in milliseconds.
        retry_after_ms: Retry-after time that the target sent, in milliseconds; 0 if
            none.
        connect_ms: Time to open the connection, in milliseconds; None if a kept-alive
            one was used or none was opened.
        load: Load that the target reported; None if it did not.
        stated_limit: What the answer states about the requests that the target accepts;
            None without an answer of this target.
        stated_rest: For how long the target wants no requests of this instance.
        is_leaving: Whether the target states that it leaves; also in an answer that was
            cut off.
        is_timed_out: Whether the exchange ended because its time was over.
    """

    stage: Stage
    status: int = 0
    headers: Fields = ()
    body: bytes = b""
    requests_close: bool = False
    duration_ms: int = 0
    retry_after_ms: int = 0
    connect_ms: int | None = None
    load: LoadReport | None = None
    stated_limit: StatedLimit | None = None
    stated_rest: StatedRest = StatedRest()
    is_leaving: bool = False
    is_timed_out: bool = False
    stream: AnswerStream | None = None

    @property
    def body_bytes(self) -> int:
        """Size of the body; of one without a length, the part that was received."""
        length = None if self.stream is None else self.stream.length
        return len(self.body) if length is None else length

    @property
    def is_lost(self) -> bool:
        """Whether the target ended the connection before it began to answer."""
        return self.stage in _LOST_STAGES and not self.is_timed_out


_LOST_STAGES = frozenset({Stage.PARTLY_WRITTEN, Stage.WRITTEN_NO_ANSWER})
