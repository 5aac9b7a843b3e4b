"""Settings of the conserved rights."""

from typing import NamedTuple

__all__ = ["RightsSettings"]


class RightsSettings(NamedTuple):
    """Durations and shares; every duration is in milliseconds.

    Attributes:
        local_lease_ms: Duration of a loan inside a data centre; also the longest gap
            in an instance's own loop after which it still trusts what it holds.
        remote_lease_ms: Duration of a loan between data centres.
        margin_ms: Added by lenders for drift between clocks during a lease.
        view_spread_ms: Longest time in which a running instance learns of a new view
            and is heard from by its peers.
        quiet_ms: Silence after which an instance is not asked for loans.
        local_retry_ms: When an ask inside a data centre is repeated.
        remote_retry_ms: When an ask between data centres is repeated.
        reservation_lease_ms: When a reservation that nobody reports counts as spent.
        kept_percent: Part of a base that is not lent to other data centres.
        idle_ms: How long a loan goes unused before it is returned.
        demand_ms: Time constant of the average use.
        local_ahead_ms: How far ahead of its use an instance keeps tokens.
        remote_ahead_ms: How far ahead of its use a keeper keeps tokens.
        lent_burst_ms: How much of its use a loan of a rate has capacity for.
        return_delay_ms: How long returns of small parts of a burst are gathered.
        certain_deviations: A borrower wants a rate of its average use in a second,
            less this many standard deviations of random arrivals; the rest of its use
            it covers by tokens, which are pooled at the keepers.
    """

    local_lease_ms: int = 1000
    remote_lease_ms: int = 1500
    margin_ms: int = 100
    view_spread_ms: int = 1000
    quiet_ms: int = 500
    local_retry_ms: int = 100
    remote_retry_ms: int = 400
    reservation_lease_ms: int = 30_000
    kept_percent: int = 25
    idle_ms: int = 250
    demand_ms: int = 1000
    local_ahead_ms: int = 10
    remote_ahead_ms: int = 60
    lent_burst_ms: int = 40
    return_delay_ms: int = 20
    certain_deviations: int = 5

    @property
    def takeover_ms(self) -> int:
        """Silence after which another instance may keep what the silent one kept.

        In the worst case the silent one was paused for just less than the gap that it
        notices, learnt of its removal a spread later, and lent just before that.
        """
        lapse_ms = self.remote_lease_ms + self.margin_ms
        return self.local_lease_ms + self.view_spread_ms + lapse_ms
