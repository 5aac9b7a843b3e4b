"""Datagrams about targets that stated in an answer that they leave."""

from typing import NamedTuple

__all__ = ["RUNS_MAX", "LeaveNotice"]

RUNS_MAX = 32
"""Most runs of targets in one notice."""


class LeaveNotice(NamedTuple):
    """Runs of targets that leave; final for a run.

    Lost: the receiver learns it from an answer to itself, or from the platform.

    Attributes:
        runs: Id and start time of each target.
    """

    runs: tuple[tuple[str, int], ...]
