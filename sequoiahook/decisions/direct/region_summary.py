"""Summary of the regions to which requests were sent, and why, for logs."""

from collections import Counter
from collections.abc import Sequence
from typing import NamedTuple

__all__ = ["PlacedBy", "RegionCounts", "RegionSummary", "placed_by"]


class PlacedBy:
    """What determined the region of a request; written to logs."""

    HOME = "own region"
    SHARE = "share of another region"
    REQUIRED_REGIONS = "required regions"
    OVERFLOW = "overflow"
    HANDED_OVER = "handed over"


def placed_by(own_region: str, region: str, required: Sequence[str], rank: int) -> str:
    """Return what determined the region of a request.

    Args:
        own_region: Region of this instance.
        region: Region of the target.
        required: Regions that the request may run in; empty means all.
        rank: Position of the region in the order of preference.
    """
    if rank > 0:
        return PlacedBy.OVERFLOW
    if region == own_region:
        return PlacedBy.HOME
    if required and own_region not in required:
        return PlacedBy.REQUIRED_REGIONS
    return PlacedBy.SHARE


class RegionCounts(NamedTuple):
    """Requests of one instance since the last summary.

    Attributes:
        sent_by_region: Requests sent, by region of the target.
        sent_by_reason: Requests sent, by what determined their region.
        refused_by_cause: Requests for which no target was selected, by cause.
    """

    sent_by_region: Counter[str]
    sent_by_reason: Counter[str]
    refused_by_cause: Counter[str]


class RegionSummary:
    """Counts requests by region and reason."""

    def __init__(self):
        self._counts = _no_counts()

    def record_sent(self, region: str, reason: str) -> None:
        """Count a request that is sent to a target."""
        self._counts.sent_by_region[region] += 1
        self._counts.sent_by_reason[reason] += 1

    def record_refused(self, cause: str) -> None:
        """Count a request for which no target was selected."""
        self._counts.refused_by_cause[cause] += 1

    def pop(self) -> RegionCounts | None:
        """Return the counts since the last call; None if there were no requests."""
        counts, self._counts = self._counts, _no_counts()
        return counts if any(counts) else None


def _no_counts() -> RegionCounts:
    return RegionCounts(Counter(), Counter(), Counter())
