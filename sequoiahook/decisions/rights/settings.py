"""Settings of the rights."""

from typing import NamedTuple

__all__ = ["RightsSettings"]


class RightsSettings(NamedTuple):
    """Durations, in milliseconds, and limits of loans.

    Attributes:
        local_lease_ms: Duration of a loan inside a data centre; also the longest gap
            between calls of Rights over which an instance keeps what it holds.
        remote_lease_ms: Duration of a loan between data centres.
        margin_ms: Added to a lease by lenders, for clock drift.
        view_propagation_ms: Longest time until a running instance has received a new
            view, and its peers a message from the instance.
        unresponsive_ms: Time without a report after which an instance gets no token
            requests.
        local_retry_ms: Time after which a token request in a data centre is repeated.
        remote_retry_ms: Time after which a token request to another data centre is
            repeated.
        reservation_lease_ms: Time after which a reservation that was neither committed
            nor released counts as spent.
        local_only_percent: Percentage of a leader's share that is not lent to other
            data centres.
        idle_ms: Time without use after which a loan is returned.
        demand_time_constant_ms: Time constant of the average demand.
        local_prefetch_ms: Time for whose demand an instance prefetches tokens.
        remote_prefetch_ms: Time for whose demand a leader prefetches tokens.
        lent_burst_ms: Time for which the capacity of a loan covers its rate.
        return_delay_ms: Time for which small returns are batched.
        rate_margin_deviations: A borrower wants a rate of its average demand in a
            second less this many standard deviations of random arrivals. Tokens, which
            are pooled at the leaders, cover the rest.
    """

    local_lease_ms: int = 1000
    remote_lease_ms: int = 1500
    margin_ms: int = 100
    view_propagation_ms: int = 1000
    unresponsive_ms: int = 500
    local_retry_ms: int = 100
    remote_retry_ms: int = 400
    reservation_lease_ms: int = 30_000
    local_only_percent: int = 25
    idle_ms: int = 250
    demand_time_constant_ms: int = 1000
    local_prefetch_ms: int = 10
    remote_prefetch_ms: int = 60
    lent_burst_ms: int = 40
    return_delay_ms: int = 20
    rate_margin_deviations: int = 5

    @property
    def takeover_ms(self) -> int:
        """Time without a report after which another instance may take over as leader.

        In the worst case the former leader was paused for just less than the gap that
        it detects, received the view without it `view_propagation_ms` later, and lent
        just before that.
        """
        lapse_ms = self.remote_lease_ms + self.margin_ms
        return self.local_lease_ms + self.view_propagation_ms + lapse_ms
