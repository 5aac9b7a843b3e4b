"""Non-blocking writer of lines to a file descriptor, limited in rate and memory."""

import os
from collections import deque
from typing import NamedTuple

from sequoiahook.clock import MS_PER_S, Clock

__all__ = ["LineWriter", "LineWriterSettings"]

CHUNK_BYTES_MAX = 4_096
"""PIPE_BUF on Linux; pipe writes up to this size do not mix with other writes."""


class LineWriterSettings(NamedTuple):
    """Limits of the written volume.

    Attributes:
        lines_per_s: Sustained rate, in lines a second.
        burst: Number of lines that may be written at once.
        queued_bytes_max: Largest number of bytes queued for a slow reader.
    """

    lines_per_s: int = 400
    burst: int = 1_200
    queued_bytes_max: int = 1 << 20


class LineWriter:
    """Writes lines; lines over the limits are dropped and counted.

    Args:
        descriptor: File descriptor to write to; it is made non-blocking.
        clock: Clock for the rate limit.
        settings: The limits.
    """

    def __init__(self, descriptor: int, clock: Clock, settings: LineWriterSettings):
        self.dropped_count = 0
        self._descriptor = descriptor
        self._clock = clock
        self._settings = settings
        self._queue: deque[bytes] = deque()
        self._queued_bytes = 0
        self._tokens = float(settings.burst)
        self._refilled_at = clock.now()
        os.set_blocking(descriptor, False)

    def write(self, line: str) -> None:
        """Queue a line for the next flush, or drop it if a limit is exceeded."""
        data = line.encode("utf-8", "backslashreplace") + b"\n"
        is_full = self._queued_bytes + len(data) > self._settings.queued_bytes_max
        if is_full or not self._take_token():
            self.dropped_count += 1
            return
        self._queue.append(data)
        self._queued_bytes += len(data)

    def flush(self) -> None:
        """Write as many queued lines as possible without blocking."""
        while self._queue:
            chunk = self._next_chunk()
            try:
                written = os.write(self._descriptor, chunk)
            except (BlockingIOError, InterruptedError):
                self._queue.appendleft(chunk)
                return
            except OSError:
                # The reader has closed its end; logging must not end the process.
                self.dropped_count += len(self._queue) + 1
                self._queue.clear()
                self._queued_bytes = 0
                return
            self._queued_bytes -= written
            if written < len(chunk):
                self._queue.appendleft(chunk[written:])
                return

    def _next_chunk(self) -> bytes:
        """Remove and return lines that fit into one atomic write, at least one."""
        lines = [self._queue.popleft()]
        size = len(lines[0])
        while self._queue and size + len(self._queue[0]) <= CHUNK_BYTES_MAX:
            lines.append(self._queue.popleft())
            size += len(lines[-1])
        return b"".join(lines)

    def reset_dropped_count(self) -> int:
        """Return and reset the number of dropped lines."""
        dropped_count, self.dropped_count = self.dropped_count, 0
        return dropped_count

    def _take_token(self) -> bool:
        now = self._clock.now()
        refill = (now - self._refilled_at) * self._settings.lines_per_s / MS_PER_S
        self._refilled_at = now
        self._tokens = min(float(self._settings.burst), self._tokens + refill)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
