"""Rate limits shared by all instances: each uses the share that every peer has granted.

Each instance reports the demand of each organisation to its peers. Each peer keeps a
table of these demands and grants every instance the share that it has of the total
demand in the table. An instance uses the smallest share that any member granted to it.
The shares that one member grants sum to at most one, so the shares in use do as well
once all members have received a change. For a member that is unreachable, its last
grants stay in force: the share of an instance cannot grow without it, on either side of
a partition.

A share of a small rate is a small bucket, which a few requests in a row empty. An
instance whose bucket runs low requests tokens, or fractions of one, from peers that can
spare them. A peer takes them out of its own bucket before it sends them, and the
receiver never holds more than its own capacity and what waiting requests spend at once,
so that all tokens that are held stay within the burst.

Designed for callers that move between instances, and for organisations whose demand is
several times their rate. Some requests are refused while a member is away; in exchange,
the total stays within the rate.
"""

from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple
from zlib import crc32

from sequoiahook.clock import MS_PER_S
from sequoiahook.decisions.direct.bucket import Bucket, Demand
from sequoiahook.decisions.direct.quota_settings import QuotaSettings
from sequoiahook.messages.reports import QuotaTable, TokenGrant, TokenRequest
from sequoiahook.world.contract import Contract

__all__ = ["PERMILLE", "Quota", "QuotaSettings"]

PERMILLE = 1000
DEFAULT_SHARE_TOTAL = 0.5
"""Sum of the shares that the members use before they have reports of each other.

After a restart of all, no share is in use. If only some restart, the others keep their
shares until the reports of the restarted ones arrive, within a second.
"""

LOAN_TOKENS_MIN = 0.1
"""Smallest loan, in tokens, that is worth a datagram."""


class _SpareTokens(NamedTuple):
    tokens_by_name: dict[str, float]
    received_at: int


class Quota:
    """Shares and token buckets of this instance for all organisations.

    Attributes:
        name: Name of this instance or group among the members.
        is_settled: Whether all members have granted shares or the time for it is over.
        is_suspended: Whether this instance uses no shares, since others may.

    Args:
        settings: The settings.
        name: Name of this instance or group among the members.
        now: The time in milliseconds.
    """

    def __init__(self, settings: QuotaSettings, name: str, now: int):
        self._settings = settings
        self.name = name
        self.is_settled = False
        self.is_suspended = False
        self._started_at = now
        self._members: frozenset[str] = frozenset({name})
        self._has_members = False
        self._newcomers: set[str] = set()
        self._departed_at_by_name: dict[str, int] = {}
        self._withheld: set[str] = set()
        self._near: frozenset[str] = frozenset()
        self._contracts_by_name: dict[str, Contract] = {}
        self._organisations: tuple[str, ...] = ()
        self._total_demands_by_name: dict[str, float] = {}
        self._digest = 0
        self._demands_by_name: dict[str, Demand] = {}
        self._buckets_by_name: dict[str, Bucket] = {}
        self._demands_by_member: dict[str, dict[str, float]] = {}
        self._grants_by_member: dict[str, dict[str, float]] = {}
        self._spares_by_member: dict[str, _SpareTokens] = {}
        self._requested_at_by_name: dict[str, int] = {}
        self._token_requests: list[tuple[str, TokenRequest]] = []

    @property
    def has_shares(self) -> bool:
        """Whether the members are known, so that shares can be used."""
        return self._has_members

    def configure(self, contracts_by_name: Mapping[str, Contract]) -> None:
        """Apply the contracts; an organisation without one is not limited."""
        self._contracts_by_name = dict(contracts_by_name)
        self._organisations = tuple(sorted(contracts_by_name))
        self._digest = crc32("\0".join(self._organisations).encode())
        for name in contracts_by_name:
            self._demands_by_name.setdefault(
                name, Demand(self._settings.demand_arrivals_min)
            )
            if name not in self._buckets_by_name:
                bucket = self._buckets_by_name[name] = Bucket()
                bucket.tokens = self._initial_tokens()

    def set_members(
        self,
        names: Iterable[str],
        now: int,
        near: Iterable[str] = (),
        ended: Iterable[str] = (),
    ) -> None:
        """Replace the members; this one is always among them.

        Args:
            names: Names of all members.
            now: The time in milliseconds.
            near: Names of the members in the same region, preferred as lenders.
            ended: Names of members that are known to have ended.
        """
        listed = frozenset(names) | {self.name}
        members = listed | self._held_members(listed, frozenset(ended), now)
        if members == self._members and self._has_members:
            return
        if now - self._started_at >= self._settings.settling_ms:
            self._newcomers |= members - self._members
        self._members = members
        self._withheld &= members
        self._near = frozenset(near)
        for table in (
            self._demands_by_member,
            self._grants_by_member,
            self._spares_by_member,
        ):
            for name in set(table) - self._members:
                del table[name]
        if not self._has_members:
            self._has_members = True
            for bucket in self._buckets_by_name.values():
                bucket.tokens = self._initial_tokens()
        self.update(now)

    def _held_members(
        self, listed: frozenset[str], ended: frozenset[str], now: int
    ) -> set[str]:
        """Return the members that are no longer listed, and still count."""
        departed = self._departed_at_by_name
        for name in departed.keys() & (listed | ended):
            del departed[name]
        for name in self._members - listed - ended:
            departed.setdefault(name, now)
        hold_ms = self._settings.departed_hold_ms
        for name in [n for n, at in departed.items() if now - at >= hold_ms]:
            del departed[name]
        return set(departed)

    def forget_grants(self) -> None:
        """Use no shares but those that the other members grant from now on."""
        self._grants_by_member.clear()
        self._withheld = set(self._members - {self.name})
        for bucket in self._buckets_by_name.values():
            bucket.tokens = 0.0

    def _initial_tokens(self) -> float:
        if not self._has_members:
            return 0.0
        return min(1.0, self._settings.initial_tokens_total / len(self._members))

    def count_demand(self, organisation: str) -> None:
        """Count a request of an organisation as demand, whether or not it is sent."""
        demand = self._demands_by_name.get(organisation)
        if demand is not None:
            demand.add()

    def take(self, organisation: str, now: int, wanted: int = 1) -> int:
        """Take a token.

        Args:
            organisation: Name of the organisation.
            now: The time in milliseconds.
            wanted: Requests that wait for a token, this one included.

        Returns:
            0 if the request may be sent, else the time in milliseconds until a token
            may be available.
        """
        contract = self._contracts_by_name.get(organisation)
        if contract is None:
            return 0
        bucket = self._buckets_by_name[organisation]
        bucket.refill(contract, now)
        is_taken = bucket.take()
        if bucket.tokens < self._settings.borrow_below_tokens:
            self._request_loan(organisation, now, wanted)
        return 0 if is_taken else bucket.next_token_ms(contract)

    def retry_after_ms(self, organisation: str, now: int) -> int:
        """Return the time in milliseconds after which a refused request may retry."""
        contract = self._contracts_by_name[organisation]
        return self._buckets_by_name[organisation].retry_after_ms(contract, now)

    def can_borrow(self, organisation: str, now: int) -> bool:
        """Return whether tokens may arrive soon, as a loan or with the first share."""
        if not self.is_settled:
            return True
        requested_at = self._requested_at_by_name.get(organisation)
        is_requested = (
            requested_at is not None
            and now - requested_at <= self._settings.grant_timeout_ms
        )
        return is_requested or bool(self._lenders(organisation, now))

    def refund(self, organisation: str) -> None:
        """Put back the token of a request that no target ran."""
        bucket = self._buckets_by_name.get(organisation)
        if bucket is not None and organisation in self._contracts_by_name:
            bucket.tokens += 1.0

    def pop_token_requests(self) -> list[tuple[str, TokenRequest]]:
        """Return the pending token requests, each with the member to send it to."""
        requests, self._token_requests = self._token_requests, []
        return requests

    def lend(self, request: TokenRequest, now: int) -> TokenGrant | None:
        """Take spare tokens out of the bucket for a peer; None if there are none."""
        contract = self._contracts_by_name.get(request.organisation)
        if contract is None:
            return None
        self._buckets_by_name[request.organisation].refill(contract, now)
        tokens = min(request.tokens, self._spare_tokens(request.organisation))
        if tokens < LOAN_TOKENS_MIN:
            return None
        self._buckets_by_name[request.organisation].tokens -= tokens
        return TokenGrant(request.organisation, tokens)

    def receive_loan(self, grant: TokenGrant, now: int, wanted: int = 0) -> None:
        """Add the tokens that a peer has lent.

        Args:
            grant: The tokens.
            now: The time in milliseconds.
            wanted: Requests that wait for tokens.
        """
        contract = self._contracts_by_name.get(grant.organisation)
        if contract is not None:
            bucket = self._buckets_by_name[grant.organisation]
            bucket.refill(contract, now)
            bucket.put(grant.tokens, contract, wanted)

    def share(self, organisation: str) -> float:
        """Return the share of the rate that this instance uses, from 0 to 1."""
        bucket = self._buckets_by_name.get(organisation)
        return 0.0 if bucket is None else bucket.share

    def update(self, now: int) -> None:
        """Update the average demand and the shares."""
        for demand in self._demands_by_name.values():
            demand.update(self._settings.demand_window_ms, now)
        self._demands_by_member[self.name] = self._own_demands()
        self._total_demands_by_name = {
            name: self._total_demand(name) for name in self._organisations
        }
        for name, contract in self._contracts_by_name.items():
            bucket = self._buckets_by_name[name]
            bucket.refill(contract, now)
            bucket.share = self._granted_share(name, now)
        is_settling_over = now - self._started_at >= self._settings.settling_ms
        others = self._members - {self.name}
        has_all = others <= self._grants_by_member.keys()
        self.is_settled = (has_all and self._has_members) or is_settling_over

    def table_for(self, peer: str) -> QuotaTable:
        """Return the report for a peer: own demands, its grants, spare tokens."""
        own = self._own_demands()
        names = self._organisations
        return QuotaTable(
            self._digest,
            tuple(int(own[name] * PERMILLE) for name in names),
            tuple(int(self._demand_share(peer, name) * PERMILLE) for name in names),
            tuple(int(self._spare_tokens(name) * PERMILLE) for name in names),
        )

    def receive_table(self, peer: str, table: QuotaTable, now: int) -> None:
        """Apply the table of a peer; ignore one for another set of organisations."""
        if peer not in self._members or table.digest != self._digest:
            return
        if any(len(column) != len(self._organisations) for column in table[1:]):
            return
        is_first = peer not in self._grants_by_member
        self._withheld.discard(peer)
        self._demands_by_member[peer] = self._fractions(table.demands)
        self._grants_by_member[peer] = self._fractions(table.grants)
        self._spares_by_member[peer] = _SpareTokens(self._fractions(table.spares), now)
        if is_first:
            self.update(now)

    def _fractions(self, values: Sequence[int]) -> dict[str, float]:
        pairs = zip(self._organisations, values, strict=True)
        return {name: value / PERMILLE for name, value in pairs}

    def _request_loan(self, organisation: str, now: int, wanted: int) -> None:
        requested_at = self._requested_at_by_name.get(organisation)
        retry_ms = self._settings.borrow_retry_ms
        if requested_at is not None and now - requested_at < retry_ms:
            return
        settings = self._settings
        missing = (
            settings.borrow_below_tokens - self._buckets_by_name[organisation].tokens
        )
        missing = min(settings.borrow_tokens_max, missing + wanted - 1)
        for member in self._lenders(organisation, now):
            spares = self._spares_by_member[member].tokens_by_name
            tokens = min(missing, spares[organisation])
            if tokens < LOAN_TOKENS_MIN:
                return
            # Counts as spent until the member's next report, whatever it grants.
            spares[organisation] -= tokens
            missing -= tokens
            self._requested_at_by_name[organisation] = now
            self._token_requests.append((member, TokenRequest(organisation, tokens)))

    def _lenders(self, organisation: str, now: int) -> list[str]:
        """Return members with spare tokens: near ones first, then by their number."""
        oldest = now - self._settings.spare_lifetime_ms
        tokens_by_member = {
            member: spare.tokens_by_name.get(organisation, 0.0)
            for member, spare in self._spares_by_member.items()
            if spare.received_at >= oldest
        }
        lenders = [m for m, t in tokens_by_member.items() if t >= LOAN_TOKENS_MIN]
        lenders.sort(key=lambda m: (m in self._near, tokens_by_member[m]), reverse=True)
        return lenders[: self._settings.lenders_max]

    def _spare_tokens(self, organisation: str) -> float:
        """Return the tokens that are not needed here within the reserve time."""
        demand = self._demands_by_name[organisation].per_s
        reserved = demand * self._settings.reserve_ms / MS_PER_S
        return max(0.0, self._buckets_by_name[organisation].tokens - reserved)

    def _own_demands(self) -> dict[str, float]:
        demands = {}
        for name, contract in self._contracts_by_name.items():
            measured = self._demands_by_name[name].per_s
            demands[name] = max(measured, self._demand_floor(contract))
        return demands

    def _demand_floor(self, contract: Contract) -> float:
        fraction = self._settings.floor_permille / PERMILLE
        return fraction * contract.rate_per_s / len(self._members)

    def _total_demand(self, organisation: str) -> float:
        floor = self._demand_floor(self._contracts_by_name[organisation])
        tables = self._demands_by_member
        return sum(
            tables.get(name, {}).get(organisation, floor) for name in self._members
        )

    def _demand_share(self, member: str, organisation: str) -> float:
        """Return a member's share of the total demand, as of the last update."""
        total = self._total_demands_by_name.get(organisation, 0.0)
        floor = self._demand_floor(self._contracts_by_name[organisation])
        demand = self._demands_by_member.get(member, {}).get(organisation, floor)
        return min(1.0, demand / total) if total > 0 else 0.0

    def _granted_share(self, organisation: str, now: int) -> float:
        if self.is_suspended or self._withheld:
            return 0.0
        share = self._demand_share(self.name, organisation)
        for member in self._members - {self.name}:
            granted = self._grants_by_member.get(member, {}).get(organisation)
            if granted is None and member in self._newcomers:
                # Its demand counts in the total, and it uses only granted shares.
                continue
            if granted is None:
                granted = DEFAULT_SHARE_TOTAL / len(self._members)
            share = min(share, granted)
        return share
