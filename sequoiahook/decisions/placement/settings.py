"""Settings of the choice of a place and of credit."""

from typing import NamedTuple

__all__ = ["PlacementSettings"]


class PlacementSettings(NamedTuple):
    """Settings of the choice of a place and of credit; times in milliseconds.

    Attributes:
        summary_stale_ms: Older summaries are not believed.
        inside_region_ms: One-way delay between data centres of a region.
        prefetch_percent: Credit is asked for while less of the own pool is free.
        spill_gain_ms: Another data centre must save at least this much waiting.
        credit_lease_ms: How long granted credit lives.
        credit_margin_ms: The lender counts credit for this much longer, for the way of
            requests and the drift of clocks.
        credit_wait_ms: Longest wait of lent work if all of it comes at once; each free
            slot is lent for one request now, and for those that follow it this soon.
        credit_reserve_percent: Part of a pool's slots that is never lent.
        credit_ahead: Units that are asked for beyond those wanted since the last ask.
        credit_ask_max: Most units in one ask.
        credit_ask_timeout_ms: An ask without answer counts as lost after this.
        credit_refused_ms: Pause after an ask was refused.
    """

    summary_stale_ms: int = 3_000
    inside_region_ms: int = 1
    prefetch_percent: int = 5
    spill_gain_ms: int = 5
    credit_lease_ms: int = 300
    credit_margin_ms: int = 150
    credit_wait_ms: int = 150
    credit_reserve_percent: int = 10
    credit_ahead: int = 4
    credit_ask_max: int = 16
    credit_ask_timeout_ms: int = 500
    credit_refused_ms: int = 100
