"""Listening sockets that accept few connections in each round of the event loop."""

import asyncio
from collections.abc import Iterable

__all__ = ["ACCEPTED_AT_ONCE_MAX", "BACKLOG", "extend_backlog"]

ACCEPTED_AT_ONCE_MAX = 4
"""Connections that are accepted in one round of the event loop, before any of them is
counted. More would take descriptors beyond the limit."""

BACKLOG = 1_024
"""Largest number of connections that wait to be accepted."""


def extend_backlog(
    sockets: Iterable[asyncio.trsock.TransportSocket], backlog: int = BACKLOG
) -> None:
    """Let more connections wait than the event loop accepts at once.

    Args:
        sockets: Listening sockets, which the event loop already serves.
        backlog: Largest number of connections that wait to be accepted.
    """
    for listening in sockets:
        with listening.dup() as duplicate:
            duplicate.listen(backlog)
