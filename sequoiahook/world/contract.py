"""Contracts: the rate and burst of an organisation, and how they are divided."""

from collections.abc import Sequence
from typing import NamedTuple

from sequoiahook.options import Section

__all__ = ["MICRO", "Contract", "divide", "read_contract"]

RATE_PER_S_MAX = 1_000_000
BURST_MAX = 1_000_000
MICRO = 1_000_000
"""Micro-units in one unit; tokens are counted in whole micro-units."""


class Contract(NamedTuple):
    """How often something may happen, over all instances together.

    In any window of W seconds at most ``rate_per_s * W + burst`` events happen.

    Attributes:
        rate_per_s: Events a second.
        burst: Events at once.
    """

    rate_per_s: int
    burst: int


def read_contract(section: Section) -> Contract:
    """Read the rate and the burst of a section."""
    return Contract(
        section.integer("rate_per_s", low=1, high=RATE_PER_S_MAX),
        section.integer("burst", low=1, high=BURST_MAX),
    )


def divide(total: int, names: Sequence[str]) -> dict[str, int]:
    """Divide a whole number over names so that the parts sum to it.

    Args:
        total: The number to divide; not negative.
        names: Who gets a part; earlier names get the remainder.

    Returns:
        The part of each name; parts differ by at most one.
    """
    part, remainder = divmod(total, len(names))
    return {
        name: part + (1 if index < remainder else 0) for index, name in enumerate(names)
    }
