"""Bodies of answers that are passed on to the caller while they are received."""

import asyncio
from collections.abc import Awaitable, Callable

import h11

from sequoiahook.clock import MS_PER_S
from sequoiahook.decisions.exchange.target_result import StreamEnd
from sequoiahook.errors import AnswerIncompleteError

__all__ = ["TargetAnswerStream"]

STALL_TIMEOUT_MS = 250
"""Longest pause in a body after the deadline of its request."""


class TargetAnswerStream:
    """The rest of an answer's body, read from the target as fast as the caller reads.

    Attributes:
        length: Declared length of the whole body in bytes; None if unknown.
        byte_count: Number of bytes that were read from the stream.

    Args:
        length: Declared length of the whole body in bytes; None if unknown.
        receive: Returns the next part; empty at the end of a complete body.
        deadline_at: Deadline of the request, on the clock of the event loop in seconds.
        on_ended: Called once when nothing more will be read, before other callbacks.
    """

    def __init__(
        self,
        length: int | None,
        receive: Callable[[], Awaitable[bytes]],
        deadline_at: float,
        on_ended: Callable[[StreamEnd], None],
    ):
        self.length = length
        self.byte_count = 0
        self._receive = receive
        self._deadline_at = deadline_at
        self._end: StreamEnd | None = None
        self._callbacks = [on_ended]

    def add_end_callback(self, callback: Callable[[StreamEnd], None]) -> None:
        """Call a function when the body has ended, or at once if it has."""
        if self._end is None:
            self._callbacks.append(callback)
        else:
            callback(self._end)

    async def read(self) -> bytes:
        """Return the next part; empty at the end of a complete body.

        The deadline does not end a body that keeps arriving.

        Raises:
            AnswerIncompleteError: If the target broke the body off or stalls after the
                deadline.
        """
        if self._end is StreamEnd.COMPLETE:
            return b""
        earliest = asyncio.get_running_loop().time() + STALL_TIMEOUT_MS / MS_PER_S
        try:
            async with asyncio.timeout_at(max(earliest, self._deadline_at)):
                data = await self._receive()
        except TimeoutError:
            self._finish(StreamEnd.TIMED_OUT)
            raise AnswerIncompleteError("target stalled after the deadline") from None
        except (OSError, ValueError, h11.ProtocolError) as error:
            self._finish(StreamEnd.BROKEN)
            raise AnswerIncompleteError(f"body broken off: {error}") from error
        self.byte_count += len(data)
        if not data:
            self._finish(StreamEnd.COMPLETE)
        return data

    def close(self) -> None:
        """Stop reading; a body that is not complete is given up at the target."""
        self._finish(StreamEnd.GIVEN_UP)

    def _finish(self, end: StreamEnd) -> None:
        if self._end is not None:
            return
        self._end = end
        callbacks, self._callbacks = self._callbacks, []
        for callback in callbacks:
            callback(end)
