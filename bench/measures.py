"""What callers see, by organisation, and what targets, links and caps had left."""

from collections import Counter
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from bench.sizes import Load

__all__ = ["Measures", "Report", "Request"]

LATENCY_MS_MAX = 60_000
DIGITS = 3


class Request(NamedTuple):
    """One request on its way."""

    number: int
    organisation: str
    load: Load
    sent_at: int
    is_within_contract: bool
    work_ms: float


class Report(NamedTuple):
    """The figures of one run; latencies in ms, shares from 0 to 1.

    Latencies are of the first service; ``second_p99`` is of the second. Those of the
    worst organisation leave out the one that sends too much.
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
    """Counts the fate of each request.

    Args:
        skip_ms: Requests sent before this are not counted.
        flooder: The organisation that sends too much; empty if none does.
    """

    def __init__(self, skip_ms: int, flooding_organisation: str = ""):
        self._skip_ms = skip_ms
        self._flooding_organisation = flooding_organisation
        self._latency_by_organisation: dict[str, HdrHistogram] = {}
        self._second = HdrHistogram(1, LATENCY_MS_MAX, DIGITS)
        self._fates: Counter[tuple[str, str]] = Counter()
        self.refusals_within_contract = 0
        self.slow_refusals = 0
        self.least_free_region = 1.0
        self.least_free_cap = 1.0
        self.drain_ms = -1
        self.above_slots = 0

    def count(
        self, request: Request, is_first_service: bool, outcome: str, took_ms: int
    ) -> None:
        """Count one request: ``ok``, ``refused``, ``late``, ``error`` or ``lost``."""
        if request.sent_at < self._skip_ms:
            return
        organisation = request.organisation
        self._fates[organisation, outcome] += 1
        if outcome == "refused":
            self.refusals_within_contract += request.is_within_contract
            self.slow_refusals += took_ms > 300
        if outcome == "ok" and not is_first_service:
            if organisation != self._flooding_organisation:
                self._second.record_value(max(1, took_ms))
        elif outcome == "ok":
            histogram = self._latency_by_organisation.get(organisation)
            if histogram is None:
                histogram = HdrHistogram(1, LATENCY_MS_MAX, DIGITS)
                self._latency_by_organisation[organisation] = histogram
            histogram.record_value(max(1, took_ms))

    def report(self, link_utilisation: float, link_queue_ms: float) -> Report:
        """Return the figures."""
        every = self._merged(lambda name: True)
        others = self._merged(lambda name: name != self._flooding_organisation)
        names = [
            n for n in self._latency_by_organisation if n != self._flooding_organisation
        ]
        p99s = [_quantile(self._latency_by_organisation[n], 99) for n in names]
        fates: Counter[str] = Counter()
        for (_, outcome), number in self._fates.items():
            fates[outcome] += number
        return Report(
            _quantile(every, 50),
            _quantile(every, 99),
            _quantile(every, 99.9),
            max(p99s, default=0),
            round(min(map(self._success, names), default=0), 4),
            _quantile(others, 99),
            _quantile(self._second, 99),
            fates.total(),
            fates["ok"],
            fates["refused"],
            self.refusals_within_contract,
            self.slow_refusals,
            fates["late"],
            fates["error"],
            fates["lost"],
            round(self.least_free_region, 3),
            round(1 - link_utilisation, 3),
            round(self.least_free_cap, 3),
            self.drain_ms,
            self.above_slots,
            round(link_queue_ms, 1),
        )

    def _success(self, organisation: str) -> float:
        total = sum(n for (name, _), n in self._fates.items() if name == organisation)
        return self._fates[organisation, "ok"] / total

    def _merged(self, wanted) -> HdrHistogram:
        merged = HdrHistogram(1, LATENCY_MS_MAX, DIGITS)
        for name, histogram in self._latency_by_organisation.items():
            if wanted(name):
                merged.add(histogram)
        return merged


def _quantile(histogram: HdrHistogram, percentile: float) -> float:
    return histogram.get_value_at_percentile(percentile)
