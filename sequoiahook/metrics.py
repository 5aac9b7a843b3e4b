"""Counters and latency histograms of one process."""

from typing import NamedTuple

from hdrh.histogram import HdrHistogram

__all__ = ["LatencySummary", "Metrics"]

LATENCY_MS_MIN = 1
LATENCY_MS_MAX = 120_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 99.0, 99.9)


class LatencySummary(NamedTuple):
    """Summary of one latency histogram.

    Attributes:
        count: Number of recorded values.
        p50_ms: Median, in milliseconds.
        p99_ms: 99th percentile, in milliseconds.
        p999_ms: 99.9th percentile, in milliseconds.
        max_ms: Highest value, in milliseconds.
    """

    count: int
    p50_ms: int
    p99_ms: int
    p999_ms: int
    max_ms: int


class Metrics:
    """Counters and latency histograms, by name."""

    def __init__(self):
        self._count_by_name: dict[str, int] = {}
        self._histogram_by_name: dict[str, HdrHistogram] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self._count_by_name[name] = self._count_by_name.get(name, 0) + amount

    def record_ms(self, name: str, value_ms: int) -> None:
        """Record a duration, clamped to the range of the histograms."""
        histogram = self._histogram_by_name.get(name)
        if histogram is None:
            histogram = HdrHistogram(LATENCY_MS_MIN, LATENCY_MS_MAX, SIGNIFICANT_DIGITS)
            self._histogram_by_name[name] = histogram
        histogram.record_value(min(max(value_ms, LATENCY_MS_MIN), LATENCY_MS_MAX))

    @property
    def counts_by_name(self) -> dict[str, int]:
        """All counters, sorted by name."""
        return dict(sorted(self._count_by_name.items()))

    @property
    def latencies_by_name(self) -> dict[str, LatencySummary]:
        """Summaries of all histograms, sorted by name."""
        return {
            name: _summary(histogram)
            for name, histogram in sorted(self._histogram_by_name.items())
        }


def _summary(histogram: HdrHistogram) -> LatencySummary:
    values = [histogram.get_value_at_percentile(p) for p in PERCENTILES]
    return LatencySummary(
        histogram.get_total_count(), *values, histogram.get_max_value()
    )
