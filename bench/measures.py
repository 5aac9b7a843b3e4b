"""Outcomes and latencies of requests, and the spare capacity of a run."""

from collections import Counter
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from bench.sizes import Load

__all__ = ["Measures", "Report", "Request"]

LATENCY_MS_MAX = 60_000
SIGNIFICANT_DIGITS = 3


class Request(NamedTuple):
    """A request of a caller.

    Attributes:
        number: Number of the request in the run.
        organisation: Name of the organisation that sends it.
        load: The service that is called.
        sent_at: When the caller sends it, in ms.
        is_within_contract: Whether the contract of the organisation covers it.
        work_ms: Time that a warm target takes for it.
    """

    number: int
    organisation: str
    load: Load
    sent_at: int
    is_within_contract: bool
    work_ms: float


class Report(NamedTuple):
    """The figures of one run: latencies in ms, and ratios up to 1.

    Latencies are of successful requests to the first service, except for
    ``second_p99``, which is of the second. Figures named ``worst_org`` and ``others``
    exclude the organisation that exceeds its contract, and so does ``second_p99``.

    ``refused_inside`` counts refusals of requests within their contract, and
    ``refused_slowly`` those that took more than 300 ms. ``least_free`` figures are the
    smallest spare ratios of slots in a region, of a link and of the cap of a shift.
    """

    p50: float
    p99: float
    p999: float
    worst_org_p99: float
    worst_org_success: float
    others_p99: float
    second_p99: float
    asked: int
    ok: int
    refused: int
    refused_inside: int
    refused_slowly: int
    late: int
    errors: int
    lost: int
    least_free_region: float
    least_free_link: float
    least_free_cap: float
    drain_ms: int
    above_slots: int
    link_queue_ms: float


class Measures:
    """Records the outcome of each request.

    Args:
        skip_ms: Requests sent before this time are not recorded.
        flooding_organisation: The organisation that exceeds its contract; empty if
            none does.
    """

    def __init__(self, skip_ms: int, flooding_organisation: str = ""):
        self._skip_ms = skip_ms
        self._flooding_organisation = flooding_organisation
        self._latencies_by_organisation: dict[str, HdrHistogram] = {}
        self._second_service_latencies = HdrHistogram(
            1, LATENCY_MS_MAX, SIGNIFICANT_DIGITS
        )
        self._outcome_counts: Counter[tuple[str, str]] = Counter()
        self.refusals_within_contract = 0
        self.slow_refusals = 0
        self.least_free_region = 1.0
        self.least_free_cap = 1.0
        self.drain_ms = -1
        self.above_slots = 0

    def record(
        self, request: Request, is_first_service: bool, outcome: str, duration_ms: int
    ) -> None:
        """Record a request: ``ok``, ``refused``, ``late``, ``error`` or ``lost``."""
        if request.sent_at < self._skip_ms:
            return
        organisation = request.organisation
        self._outcome_counts[organisation, outcome] += 1
        if outcome == "refused":
            self.refusals_within_contract += request.is_within_contract
            self.slow_refusals += duration_ms > 300
        if outcome == "ok" and not is_first_service:
            if organisation != self._flooding_organisation:
                self._second_service_latencies.record_value(max(1, duration_ms))
        elif outcome == "ok":
            histogram = self._latencies_by_organisation.get(organisation)
            if histogram is None:
                histogram = HdrHistogram(1, LATENCY_MS_MAX, SIGNIFICANT_DIGITS)
                self._latencies_by_organisation[organisation] = histogram
            histogram.record_value(max(1, duration_ms))

    def report(self, link_utilisation: float, link_queue_ms: float) -> Report:
        """Return the figures of the run.

        Args:
            link_utilisation: Peak utilisation of any link, where 1 is its capacity.
            link_queue_ms: Longest time that bytes waited for a link.
        """
        overall = self._merge(lambda name: True)
        others = self._merge(lambda name: name != self._flooding_organisation)
        organisations = [
            n
            for n in self._latencies_by_organisation
            if n != self._flooding_organisation
        ]
        p99s_ms = [
            _percentile(self._latencies_by_organisation[n], 99) for n in organisations
        ]
        counts_by_outcome: Counter[str] = Counter()
        for (_, outcome), count in self._outcome_counts.items():
            counts_by_outcome[outcome] += count
        return Report(
            _percentile(overall, 50),
            _percentile(overall, 99),
            _percentile(overall, 99.9),
            max(p99s_ms, default=0),
            round(min(map(self._success_ratio, organisations), default=0), 4),
            _percentile(others, 99),
            _percentile(self._second_service_latencies, 99),
            counts_by_outcome.total(),
            counts_by_outcome["ok"],
            counts_by_outcome["refused"],
            self.refusals_within_contract,
            self.slow_refusals,
            counts_by_outcome["late"],
            counts_by_outcome["error"],
            counts_by_outcome["lost"],
            round(self.least_free_region, 3),
            round(1 - link_utilisation, 3),
            round(self.least_free_cap, 3),
            self.drain_ms,
            self.above_slots,
            round(link_queue_ms, 1),
        )

    def _success_ratio(self, organisation: str) -> float:
        total = sum(
            n for (name, _), n in self._outcome_counts.items() if name == organisation
        )
        return self._outcome_counts[organisation, "ok"] / total

    def _merge(self, includes) -> HdrHistogram:
        merged = HdrHistogram(1, LATENCY_MS_MAX, SIGNIFICANT_DIGITS)
        for name, histogram in self._latencies_by_organisation.items():
            if includes(name):
                merged.add(histogram)
        return merged


def _percentile(histogram: HdrHistogram, percentile: float) -> float:
    return histogram.get_value_at_percentile(percentile)
