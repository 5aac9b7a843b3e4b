"""Reading of a target's answer, complete or passed on while it is received."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import h11

from sequoiahook.clock import MS_PER_S
from sequoiahook.daemons.answer_stream import TargetAnswerStream
from sequoiahook.daemons.caller_turns import Turns
from sequoiahook.daemons.held_answers import HELD_BYTES_MIN, HeldAnswers
from sequoiahook.decisions.exchange.target_result import (
    Stage,
    StreamEnd,
    TargetResult,
    is_final_status,
)
from sequoiahook.messages.requests import fields_bytes
from sequoiahook.wire.fields import bounded_integer
from sequoiahook.wire.target_dialect import TargetDialect

__all__ = ["READ_BYTES", "AnswerReader", "ReaderSettings"]

READ_BYTES = 65_536
HELD_BYTES_MAX = 65_536
HELD_MS_MAX = 100
"""Up to this size and time a body is held back, since a request whose answer is broken
off can only be repeated while nothing of it has reached the caller."""

HEAD_BYTES_MIN = 16_384
"""Up to this size a head is read whatever else the process holds."""

UNUSED_BYTES_MAX = 65_536
"""Largest body of an answer that is not delivered, such as a refusal. Only a whole
refusal shows that the request did not run."""

INFORMATIONAL_MAX = 20
"""Informational answers that may precede an answer."""

HEAD_READ_BYTES = 4_096
"""Bytes that are read at once of a head."""

EVENTS_PER_TURN = 24
"""Parts of a body that are parsed in one turn; it may come in chunks of one byte."""

TURN_BYTES_MIN = 128
"""Least bytes that are read in one turn."""

FAILURE_STATUS_MIN = 500
RETRY_AFTER_S_MAX = 3_600
_NO_BODY_STATUSES = (204, 304)


class ReaderSettings(NamedTuple):
    """What determines how an answer is read.

    Attributes:
        request_id: Request id that the answer must repeat.
        is_head: Whether the request has the method HEAD.
        may_stream: Whether the rest of a body may be passed on as it arrives.
        body_bytes_max: Largest body that is held, in bytes.
        deadline_at: Deadline of the request, on the clock of the event loop in seconds.
    """

    request_id: str
    is_head: bool
    may_stream: bool
    body_bytes_max: int
    deadline_at: float


class AnswerReader:
    """Reads the answer to one request.

    Attributes:
        head: Status and header fields; None before they are received.
        stream: The rest of the body if it is passed on as it arrives; else None.

    Args:
        settings: What determines how the answer is read.
        dialect: Interpretation of the answers of targets.
        http: Protocol state of the connection, after the request was sent.
        reader: Stream from the target.
        held: Counts what is held of the answers to the request.
        turns: Turns of answers that take long to parse.
        drain_request: Waits until the whole request is written; raises `OSError` if the
            connection fails before.
        on_stream_ended: Called once when the stream has ended.
    """

    def __init__(
        self,
        settings: ReaderSettings,
        dialect: TargetDialect,
        http: h11.Connection,
        reader: asyncio.StreamReader,
        held: HeldAnswers,
        turns: Turns,
        drain_request: Callable[[], Awaitable[None]],
        on_stream_ended: Callable[[StreamEnd], None],
    ):
        self.head: h11.Response | None = None
        self.stream: TargetAnswerStream | None = None
        self._settings = settings
        self._dialect = dialect
        self._http = http
        self._reader = reader
        self._held = held
        self._turns = turns
        self._drain_request = drain_request
        self._on_stream_ended = on_stream_ended
        self._stage: Stage | None = None
        self._body = bytearray()
        self._unused_bytes = 0
        self._head_bytes = 0
        self._informational_count = 0
        self._event_count = 0
        self._turn_bytes = READ_BYTES
        self._is_body_complete = False
        self._held_until: float | None = None

    async def read(self) -> Stage:
        """Read the answer until it is complete or is to be passed on.

        Raises:
            OSError: If the connection ends before.
            ValueError: If the head or the body is too large.
            h11.ProtocolError: If the answer is invalid.
        """
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                if not await self._receive():
                    return Stage.ANSWERED
            elif isinstance(event, h11.EndOfMessage):
                return self._stage
            elif event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                raise ConnectionResetError("connection ended within the answer")
            else:
                self._record(event)
                if self._is_large() and self._pass_on():
                    return Stage.ANSWERED

    def result(self, stage: Stage) -> TargetResult:
        """Return what the answer states, with its body unless it is incomplete."""
        is_whole = self.head is not None and stage is not Stage.ANSWER_TRUNCATED
        result = TargetResult(stage, is_leaving=self._is_leaving())
        if not is_whole:
            return result
        status, headers = self.head.status_code, self.head.headers
        return result._replace(
            status=status,
            headers=self._dialect.answer_fields(headers),
            body=bytes(self._body),
            requests_close=self._has_token(b"connection", b"close"),
            retry_after_ms=self._retry_after_ms(),
            load=self._dialect.load_report(status, headers),
            stated_limit=self._dialect.stated_limit(status, headers),
            stated_rest=self._dialect.stated_rest(status, headers),
            stream=self.stream,
        )

    def _record(self, event: h11.Event) -> None:
        if isinstance(event, h11.InformationalResponse):
            self._informational_count += 1
            if self._informational_count > INFORMATIONAL_MAX:
                raise ValueError("too many informational answers")
        elif isinstance(event, h11.Response):
            self.head = event
            # What was read counted, and may have contained a part of the body.
            self._held.add(fields_bytes(event.headers) - self._head_bytes)
            if not is_final_status(event.status_code):
                raise ValueError(f"invalid status {event.status_code}")
            self._stage = self._classify()
        elif isinstance(event, h11.Data):
            self._event_count += 1
            if self._stage is Stage.ANSWERED:
                self._body += event.data
                self._held.add(len(event.data))
            else:
                self._unused_bytes += len(event.data)
                if self._unused_bytes > UNUSED_BYTES_MAX:
                    raise ValueError("refusal too large")

    def _is_large(self) -> bool:
        """Return whether the body is too large to be held back.

        Raises:
            ValueError: If it is also too large to be held, and must not be passed on.
        """
        if self.head is None:
            return False
        if self._is_too_large_to_hold():
            if not self._may_pass_on():
                raise ValueError("body too large")
            return True
        size = max(len(self._body), self._declared_length() or 0)
        return size > HELD_BYTES_MAX

    def _is_too_large_to_hold(self) -> bool:
        held_bytes = len(self._body)
        if held_bytes > HELD_BYTES_MIN and self._held.is_over_limit:
            return True
        return held_bytes > self._settings.body_bytes_max

    async def _receive(self) -> bool:
        """Receive bytes; return False if the body is passed on as held too long."""
        if self.head is None or not self._may_pass_on():
            await self._receive_bytes()
            return True
        if self._held_until is None:
            now = asyncio.get_running_loop().time()
            self._held_until = now + HELD_MS_MAX / MS_PER_S
        try:
            async with asyncio.timeout_at(self._held_until):
                await self._receive_bytes()
        except TimeoutError:
            return not self._pass_on()
        return True

    async def _receive_bytes(self) -> None:
        """Receive bytes, or the end of the connection.

        A target that closes the connection before it has read the request resets it as
        soon as more of the request arrives. A body that ends with the connection is
        therefore complete only after the whole request was written.
        """
        await self._take_turn()
        is_head = self.head is None
        data = await self._reader.read(HEAD_READ_BYTES if is_head else self._turn_bytes)
        if is_head:
            self._count_head(len(data))
        elif not data and self._is_close_delimited():
            await self._drain_request()
        self._http.receive_data(data)

    async def _take_turn(self) -> None:
        """Wait for a turn if the last bytes took long to parse, and read less then."""
        event_count, self._event_count = self._event_count, 0
        if event_count > EVENTS_PER_TURN:
            turn_bytes = self._turn_bytes * EVENTS_PER_TURN // event_count
            self._turn_bytes = max(TURN_BYTES_MIN, turn_bytes)
        elif event_count <= EVENTS_PER_TURN // 4:
            self._turn_bytes = min(READ_BYTES, 2 * self._turn_bytes)
        if event_count > EVENTS_PER_TURN // 4 and self._turn_bytes < READ_BYTES:
            await self._turns.wait()

    def _count_head(self, byte_count: int) -> None:
        """Count bytes of a head.

        Raises:
            ValueError: If no more of the head may be held.
        """
        self._head_bytes += byte_count
        self._held.add(byte_count)
        if self._head_bytes > HEAD_BYTES_MIN and self._held.is_over_limit:
            raise ValueError("head too large")

    def _may_pass_on(self) -> bool:
        """Return whether the rest of the body may be passed on as it arrives.

        Failures of repeatable requests are not delivered before other attempts, unless
        they take too much memory.
        """
        if not self._settings.may_stream or self._is_bodiless():
            return False
        is_success = self.head.status_code < FAILURE_STATUS_MIN
        is_deliverable = is_success or self._is_too_large_to_hold()
        return is_deliverable and self._stage is Stage.ANSWERED

    def _pass_on(self) -> bool:
        """Turn the rest of the body into a stream if that is allowed."""
        if not self._may_pass_on():
            return False
        self.stream = TargetAnswerStream(
            self._declared_length(),
            self._receive_part,
            self._settings.deadline_at,
            self._on_stream_ended,
        )
        return True

    async def _receive_part(self) -> bytes:
        """Return the next part of the body; empty at its end.

        Raises:
            OSError: If the connection fails.
            h11.ProtocolError: If the answer is invalid.
        """
        parts: list[bytes] = []
        while not self._is_body_complete:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                if parts:
                    break
                await self._receive_bytes()
            elif isinstance(event, h11.Data):
                self._event_count += 1
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._is_body_complete = True
            else:
                raise ConnectionResetError("connection closed within the body")
        return parts[0] if len(parts) == 1 else b"".join(parts)

    def _classify(self) -> Stage:
        """Return the stage of a complete answer with this head."""
        status, headers = self.head.status_code, self.head.headers
        is_truncated = (
            self._is_close_delimited() and not self._dialect.allows_close_delimited
        )
        is_own = self._dialect.is_answer_to(self._settings.request_id, headers)
        if is_truncated or not is_own:
            return Stage.ANSWER_TRUNCATED
        if self._dialect.is_not_run(status, headers):
            return Stage.SHED
        return Stage.ANSWERED

    def _is_leaving(self) -> bool:
        if self.head is None:
            return False
        status, headers = self.head.status_code, self.head.headers
        is_own = self._dialect.is_answer_to(self._settings.request_id, headers)
        return is_own and self._dialect.is_leaving(status, headers)

    def _is_close_delimited(self) -> bool:
        """Return whether only the closed connection marks the end of the body."""
        is_chunked = self._has_token(b"transfer-encoding", b"chunked")
        has_length = self._declared_length() is not None
        return not (has_length or is_chunked or self._is_bodiless())

    def _is_bodiless(self) -> bool:
        return self._settings.is_head or self.head.status_code in _NO_BODY_STATUSES

    def _declared_length(self) -> int | None:
        """Return the length of the body as declared; None if it is not."""
        for name, value in self.head.headers:
            if name == b"content-length":
                return int(value)
        return None

    def _has_token(self, name: bytes, expected: bytes) -> bool:
        values = [v for n, v in self.head.headers if n == name]
        return any(
            expected == token.strip().lower()
            for value in values
            for token in value.split(b",")
        )

    def _retry_after_ms(self) -> int:
        for name, value in self.head.headers:
            if name == b"retry-after" and value.isdigit():
                return bounded_integer(value, RETRY_AFTER_S_MAX) * MS_PER_S
        return 0
