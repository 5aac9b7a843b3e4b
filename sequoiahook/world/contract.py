"""Contracts: rate limits of organisations, and their division over instances."""

from collections.abc import Sequence
from typing import NamedTuple

from sequoiahook.options import Section

__all__ = ["MICRO", "Contract", "divide_evenly", "read_contract"]

RATE_PER_S_MAX = 1_000_000
BURST_MAX = 1_000_000
MICRO = 1_000_000
"""Micro-units per unit; token counts are integers in micro-units."""


class Contract(NamedTuple):
    """Rate limit over all instances together.

    In any window of W seconds at most ``rate_per_s * W + burst`` events happen.

    Attributes:
        rate_per_s: Events per second.
        burst: Events that may happen at once.
    """

    rate_per_s: int
    burst: int


def read_contract(section: Section) -> Contract:
    """Read the rate and the burst from a section."""
    return Contract(
        section.integer("rate_per_s", low=1, high=RATE_PER_S_MAX),
        section.integer("burst", low=1, high=BURST_MAX),
    )


def divide_evenly(total: int, names: Sequence[str]) -> dict[str, int]:
    """Divide an integer evenly into parts that sum to it.

    Args:
        total: Number to divide; not negative.
        names: Names of the recipients; the remainder goes to the first ones.

    Returns:
        The part of each name; parts differ by at most one.
    """
    part, remainder = divmod(total, len(names))
    return {
        name: part + (1 if index < remainder else 0) for index, name in enumerate(names)
    }
