"""Settings of the shares of the rates."""

from typing import NamedTuple

__all__ = ["QuotaSettings"]


class QuotaSettings(NamedTuple):
    """Settings of the shares.

    Attributes:
        demand_window_ms: Time over which demand is averaged.
        demand_arrivals_min: Requests over which demand is averaged at least, for up to
            three times that time. Over fewer, chance moves the shares more than the
            demand does.
        floor_permille: Minimum demand that each instance is counted with, in
            thousandths of an equal share of the rate.
        settling_ms: Time after the start for which refused requests may retry at once,
            since shares grow with the first reports of the other members.
        initial_tokens_total: Tokens of an organisation that all members together start
            with. It is part of what the platform tolerates above the rate, so that a
            small rate does not yield its first token seconds after a restart.
        borrow_below_tokens: Tokens below which an instance requests more from peers.
        borrow_tokens_max: Tokens that it requests at most where several requests wait.
        reserve_ms: Time for which an instance reserves the tokens of its own demand.
        borrow_retry_ms: Time between two token requests for the same organisation.
        lenders_max: Members that get token requests at the same time.
        grant_timeout_ms: Time within which a grant arrives; the longest round trip
            takes 110 ms.
        spare_lifetime_ms: Time for which a peer's report of spare tokens is used.
        departed_hold_ms: Time for which a member that is no longer listed still counts,
            unless its end is known: its entry may be missing while it lives.
    """

    demand_window_ms: int = 4_000
    demand_arrivals_min: int = 24
    floor_permille: int = 500
    settling_ms: int = 600
    initial_tokens_total: int = 8
    borrow_below_tokens: float = 1.0
    borrow_tokens_max: int = 8
    reserve_ms: int = 200
    borrow_retry_ms: int = 20
    lenders_max: int = 2
    grant_timeout_ms: int = 130
    spare_lifetime_ms: int = 1_500
    departed_hold_ms: int = 5_000
