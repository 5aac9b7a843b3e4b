"""Progress of what is read from a caller or written to it."""

import asyncio

from sequoiahook.clock import MS_PER_S

__all__ = ["Progress"]

SLOW_AFTER_MS = 1_000
SLOW_BYTES_PER_S = 16_384
"""Rate below which a caller is slow, after the first second."""


class Progress:
    """Progress of one request or answer.

    Attributes:
        since: Time at which it began, in seconds of the event loop.
        byte_count: Bytes that were transferred since then.
    """

    def __init__(self):
        self.since = asyncio.get_running_loop().time()
        self.byte_count = 0

    def is_slow(self, now: float) -> bool:
        """Return whether a caller transfers few bytes for the time that it takes.

        Args:
            now: Time of the event loop, in seconds.
        """
        elapsed_s = now - self.since
        if elapsed_s * MS_PER_S < SLOW_AFTER_MS:
            return False
        return self.byte_count < elapsed_s * SLOW_BYTES_PER_S
