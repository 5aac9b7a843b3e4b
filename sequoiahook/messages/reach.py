"""Datagrams that tell lost connectivity to targets from targets that are down."""

from typing import NamedTuple

__all__ = ["TARGETS_MAX", "ReachBody", "ReachQuery", "ReachReply"]

TARGETS_MAX = 8
"""Most targets in one query."""


class ReachQuery(NamedTuple):
    """Asks a peer which of some targets it has reached recently.

    Attributes:
        number: Number of the query, unique within the sender's incarnation.
        targets: Ids of targets to which the sender could not connect.
    """

    number: int
    targets: tuple[str, ...]


class ReachReply(NamedTuple):
    """Answers a query.

    Attributes:
        number: Number of the query.
        is_available: Whether the sender accepts requests that are handed over.
        age_ms_by_target: Time since the sender reached each of the targets that it has
            reached, in milliseconds.
    """

    number: int
    is_available: bool
    age_ms_by_target: dict[str, int]


ReachBody = ReachQuery | ReachReply
