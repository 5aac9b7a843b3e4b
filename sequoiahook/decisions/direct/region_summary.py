"""Summary of the regions to which requests were sent, and why, for logs."""

from collections import Counter
from typing import NamedTuple

__all__ = ["PlacedBy", "RegionCounts", "RegionSummary"]


class PlacedBy:
    """What determined the region of a request; written to logs."""

    HOME = "own region"
    SHARE = "share of another region"
    REQUIRED_REGIONS = "required regions"
    OVERFLOW = "overflow"


class RegionCounts(NamedTuple):
    """Requests of one instance since the last summary.

    Attributes:
        sent_by_region: Requests sent, by region of the target.
        sent_by_reason: Requests sent, by what determined their region.
        refused_by_cause: Requests for which no target was selected, by cause.
    """

    sent_by_region: dict[str, int]
    sent_by_reason: dict[str, int]
    refused_by_cause: dict[str, int]


class RegionSummary:
    """Counts requests by region and reason."""

    def __init__(self):
        self._sent_by_region: Counter[str] = Counter()
        self._sent_by_reason: Counter[str] = Counter()
        self._refused_by_cause: Counter[str] = Counter()

    def record_sent(self, region: str, reason: str) -> None:
        """Count a request that is sent to a target."""
        self._sent_by_region[region] += 1
        self._sent_by_reason[reason] += 1

    def record_refused(self, cause: str) -> None:
        """Count a request for which no target was selected."""
        self._refused_by_cause[cause] += 1

    def pop(self) -> RegionCounts | None:
        """Return the counts since the last call; None if there were no requests."""
        if not self._sent_by_region and not self._refused_by_cause:
            return None
        counts = RegionCounts(
            dict(self._sent_by_region),
            dict(self._sent_by_reason),
            dict(self._refused_by_cause),
        )
        for counter in (
            self._sent_by_region,
            self._sent_by_reason,
            self._refused_by_cause,
        ):
            counter.clear()
        return counts
