"""What all connections of callers take together, and what they may still take."""

from enum import Enum

from sequoiahook.daemons.allocator import RECEIVE_BYTES_MAX
from sequoiahook.daemons.caller_exchange import CallerAnswer, CallerServerSettings
from sequoiahook.daemons.held_answers import AnswerMemory

__all__ = ["Admission", "CallerLoad"]

READ_AHEAD_BYTES_MIN = 4_096
"""Bytes that each connection may read for its next request beyond the total limit, so
that incomplete requests of some callers do not keep others from being read."""

ANSWER_BYTES = 1_024
"""Size of an answer without its body."""

UPLOAD_READ_BYTES_MIN = 4_096
"""Bytes that are read of a body at once, however many bodies are read."""

UPLOAD_READ_DIVISOR = 16
"""Part of the limit on all bodies that the buffers of bodies may take beside them."""

STREAM_BYTES = 131_072
"""Buffers of an answer that is passed on as it arrives."""


class Admission(Enum):
    """What happens to a new connection."""

    ACCEPT = "accept"
    REFUSE = "refuse"
    DROP = "drop"


class CallerLoad:
    """Counts what connections take, and decides by the limits of the server.

    Attributes:
        settings: Limits of the server.
        connection_count: Number of open connections that were accepted.
        refusing_count: Number of connections that are being refused.
        request_count: Number of requests that run or whose answer still arrives.
        upload_count: Number of bodies that are being read.
        head_bytes: Memory of the header fields of all open requests, in bytes.
        body_bytes: Bytes in the bodies of all open requests.
        read_ahead_bytes: Bytes that were read for requests that are not complete.
        answers: Size of the answers that are held.

    Args:
        settings: Limits of the server.
        answers: Counts the answers that the process holds; None to count only those of
            these connections.
    """

    def __init__(
        self, settings: CallerServerSettings, answers: AnswerMemory | None = None
    ):
        self.settings = settings
        self.answers = answers or AnswerMemory()
        self.connection_count = 0
        self.refusing_count = 0
        self.request_count = 0
        self.upload_count = 0
        self.head_bytes = 0
        self.body_bytes = 0
        self.read_ahead_bytes = 0

    @property
    def unread_bytes(self) -> int:
        """Size of the answers that wait for their callers to read."""
        return self.answers.unread_bytes

    @unread_bytes.setter
    def unread_bytes(self, byte_count: int) -> None:
        self.answers.unread_bytes = byte_count

    @property
    def has_too_many_connections(self) -> bool:
        """Whether no further connection is accepted."""
        return self.connection_count >= self.settings.connections_max

    def has_room_for_head(self, byte_count: int) -> bool:
        """Return whether the header fields of a further request may be held."""
        limit = self.settings.all_head_bytes_max
        return not self.head_bytes or self.head_bytes + byte_count <= limit

    @property
    def has_too_many_body_bytes(self) -> bool:
        """Whether the bodies exceed their limit, which always allows for one body."""
        settings = self.settings
        limit = max(settings.all_body_bytes_max, settings.body_bytes_max)
        return self.body_bytes > limit

    @property
    def upload_read_bytes(self) -> int:
        """Most bytes that are read of a body at once, as many bodies are read."""
        shared_bytes = self.settings.all_body_bytes_max // UPLOAD_READ_DIVISOR
        share = shared_bytes // max(1, self.upload_count)
        return max(UPLOAD_READ_BYTES_MIN, min(RECEIVE_BYTES_MAX, share))

    @property
    def _has_too_many_unread_bytes(self) -> bool:
        return self.answers.byte_count > self.settings.unread_bytes_max

    def admit_connection(self) -> Admission:
        """Return what happens to a new connection."""
        if not self.has_too_many_connections:
            return Admission.ACCEPT
        if self.refusing_count < self.settings.refusals_max:
            return Admission.REFUSE
        return Admission.DROP

    def refusal_cause(self) -> str:
        """Return why a request must not start now; empty if it may."""
        if self.request_count >= self.settings.requests_max:
            return "too many requests in progress"
        if self._has_too_many_unread_bytes:
            return "too many unread answers"
        return ""

    def may_start_ahead(self) -> bool:
        """Return whether a request may be read and start before earlier answers.

        Half of what there is stays for connections that send one request at a time.
        """
        settings = self.settings
        return (
            2 * self.request_count < settings.requests_max
            and 2 * self.answers.byte_count < settings.unread_bytes_max
            and 2 * self.read_ahead_bytes < settings.all_read_ahead_bytes_max
        )

    def may_read_ahead(self, held_bytes: int) -> bool:
        """Return whether a connection may read more of a request.

        Args:
            held_bytes: Bytes that the connection has read for its next requests.
        """
        is_small = held_bytes < READ_AHEAD_BYTES_MIN
        return (
            is_small or self.read_ahead_bytes < self.settings.all_read_ahead_bytes_max
        )

    def is_overdue(self, unread_ms: int) -> bool:
        """Return whether a caller that reads nothing has to be disconnected.

        Args:
            unread_ms: Time since the caller last read, in milliseconds.
        """
        is_pressed = self.has_too_many_connections or self._has_too_many_unread_bytes
        if is_pressed and unread_ms >= self.settings.pressed_write_timeout_ms:
            return True
        return unread_ms >= self.settings.write_timeout_ms

    @staticmethod
    def size(answer: CallerAnswer) -> int:
        """Return the size of an answer with its buffers in bytes."""
        has_stream = answer.stream is not None
        return len(answer.body) + (STREAM_BYTES if has_stream else ANSWER_BYTES)
