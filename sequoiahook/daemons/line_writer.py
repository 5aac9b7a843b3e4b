"""Writing lines to a descriptor without ever waiting for its reader."""

import os
from collections import deque
from typing import NamedTuple

from sequoiahook.clock import MS_PER_S, Clock

__all__ = ["LineWriter", "LineWriterSettings"]

CHUNK_BYTES_MAX = 4_096
"""PIPE_BUF on Linux: writes to a pipe up to this size are not mixed with others."""


class LineWriterSettings(NamedTuple):
    """Bounds on the volume.

    Attributes:
        lines_per_s: Lines a second that are written in the long run.
        burst: Lines that may be written at once.
        held_bytes_max: Most bytes that wait for a reader that does not read.
    """

    lines_per_s: int = 400
    burst: int = 1_200
    held_bytes_max: int = 1 << 20


class LineWriter:
    """Writes lines; those over the bounds are dropped and counted.

    Args:
        descriptor: Where to write; it is made non-blocking.
        clock: The time.
        settings: The bounds.
    """

    def __init__(self, descriptor: int, clock: Clock, settings: LineWriterSettings):
        self.dropped = 0
        self._descriptor = descriptor
        self._clock = clock
        self._settings = settings
        self._held: deque[bytes] = deque()
        self._held_bytes = 0
        self._tokens = float(settings.burst)
        self._refilled_at = clock.now()
        os.set_blocking(descriptor, False)

    def write(self, line: str) -> None:
        """Take a line, to be written with the next flush."""
        data = line.encode("utf-8", "backslashreplace") + b"\n"
        is_too_much = self._held_bytes + len(data) > self._settings.held_bytes_max
        if is_too_much or not self._take_token():
            self.dropped += 1
            return
        self._held.append(data)
        self._held_bytes += len(data)

    def flush(self) -> None:
        """Write what the descriptor takes at once."""
        while self._held:
            chunk = self._next_chunk()
            try:
                written = os.write(self._descriptor, chunk)
            except (BlockingIOError, InterruptedError):
                self._held.appendleft(chunk)
                return
            except OSError:
                # Nobody reads any more; logging must not end the process.
                self.dropped += len(self._held) + 1
                self._held.clear()
                self._held_bytes = 0
                return
            self._held_bytes -= written
            if written < len(chunk):
                self._held.appendleft(chunk[written:])
                return

    def _next_chunk(self) -> bytes:
        """Take whole lines that fit into one atomic write to a pipe; one at least."""
        lines = [self._held.popleft()]
        size = len(lines[0])
        while self._held and size + len(self._held[0]) <= CHUNK_BYTES_MAX:
            lines.append(self._held.popleft())
            size += len(lines[-1])
        return b"".join(lines)

    def take_dropped(self) -> int:
        """Return how many lines were dropped since the last call."""
        dropped, self.dropped = self.dropped, 0
        return dropped

    def _take_token(self) -> bool:
        now = self._clock.now()
        gain = (now - self._refilled_at) * self._settings.lines_per_s / MS_PER_S
        self._refilled_at = now
        self._tokens = min(float(self._settings.burst), self._tokens + gain)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
