"""Settings of placement and credit."""

from typing import NamedTuple

__all__ = ["PlacementSettings"]


class PlacementSettings(NamedTuple):
    """Settings of placement and credit; times in milliseconds.

    Attributes:
        summary_stale_ms: Age at which a summary is no longer used.
        inside_region_ms: One-way delay between data centres of a region.
        prefetch_percent: Credit is requested while a smaller part of the local pool's
            slots is free.
        spillover_gain_min_ms: Waiting time that another data centre must save at least.
        credit_lease_ms: How long granted credit is valid.
        credit_margin_ms: Additional time for which the lender counts credit, for the
            transit of requests and clock drift.
        credit_wait_max_ms: Longest wait of lent requests if all of them arrive at once.
            Each free slot is lent for one request now and for those that can follow it
            within this time.
        credit_reserve_percent: Part of a pool's slots that is never lent.
        credit_prefetch_units: Units that are requested on top of the demand since the
            last request.
        credit_request_max_units: Maximum number of units in one request.
        credit_request_timeout_ms: Time after which an unanswered request counts as
            lost.
        credit_refused_pause_ms: Pause after a refused request.
    """

    summary_stale_ms: int = 3_000
    inside_region_ms: int = 1
    prefetch_percent: int = 5
    spillover_gain_min_ms: int = 5
    credit_lease_ms: int = 300
    credit_margin_ms: int = 150
    credit_wait_max_ms: int = 150
    credit_reserve_percent: int = 10
    credit_prefetch_units: int = 4
    credit_request_max_units: int = 16
    credit_request_timeout_ms: int = 500
    credit_refused_pause_ms: int = 100
