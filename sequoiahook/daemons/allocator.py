"""Settings of the C library's memory allocator."""

import ctypes

__all__ = ["RECEIVE_BYTES_MAX", "return_large_blocks"]

M_MMAP_THRESHOLD = -3
"""Parameter of `mallopt` of the GNU C library."""

LARGE_BLOCK_BYTES = 65_536
RECEIVE_BYTES_MAX = 61_440
"""Most bytes to receive at once, for which the event loop allocates a block. A large
block would be taken from the system and returned to it each time."""


def return_large_blocks() -> None:
    """Let the allocator return each large block to the system as soon as it is freed.

    By default it keeps blocks up to the size of the largest one that was ever freed.
    Bodies that grow beside each other then leave gaps which fit none of the next ones.
    Libraries without this setting are left as they are.
    """
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is not None:
        mallopt(M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES)
