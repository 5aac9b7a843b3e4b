"""Rates of organisations over all instances, as shares that every peer has granted.

Each instance tells its peers how much each organisation asks of it. Each peer keeps a
table of these demands and grants every instance the part that its demand has in the
table. An instance uses the smallest part that any member granted to it. The parts that
one member grants sum to at most one, so the shares in use do as well, once all have
heard of a change. A member that cannot be heard has the last word that it said: the
share of an instance cannot grow without it, on either side of a partition.

The load that this answers: callers that move between instances and organisations that
ask for several times their rate. It trades some refusals, while a member is away, for
never being over the rate.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from sequoiahook.clock import MS_PER_S
from sequoiahook.world.contract import Contract

__all__ = ["PERMILLE", "Quota", "QuotaSettings"]

PERMILLE = 1000


class QuotaSettings(NamedTuple):
    """Settings of the shares.

    Attributes:
        demand_window_ms: Time over which demand is averaged.
        floor_permille: Demand, in parts of the rate divided by the number of members,
            that each instance is always counted with.
        silent_ms: Time after the start until a member that has never been heard counts
            as granting an equal part of half the rate.
    """

    demand_window_ms: int = 1_000
    floor_permille: int = 100
    silent_ms: int = 600


class _Demand:
    """Arrivals a second, averaged exponentially."""

    def __init__(self):
        self.per_s = 0.0
        self._counted = 0
        self._since: int | None = None

    def add(self) -> None:
        self._counted += 1

    def update(self, window_ms: int, now: int) -> None:
        if self._since is None:
            self._since = now
            return
        elapsed_ms = now - self._since
        if elapsed_ms <= 0:
            return
        weight = min(1.0, elapsed_ms / window_ms)
        self.per_s += weight * (self._counted * MS_PER_S / elapsed_ms - self.per_s)
        self._counted = 0
        self._since = now


class _Bucket:
    """Tokens of one organisation on this instance; it starts empty."""

    def __init__(self):
        self.share = 0.0
        self.tokens = 0.0
        self.refilled_at: int | None = None

    def refill(self, contract: Contract, now: int) -> None:
        if self.refilled_at is not None and now > self.refilled_at:
            elapsed_ms = now - self.refilled_at
            gain = self.share * contract.rate_per_s * elapsed_ms / MS_PER_S
            # A capacity under one token would refuse every request of a small share.
            capacity = max(1.0, self.share * contract.burst)
            self.tokens = min(capacity, self.tokens + gain)
        self.refilled_at = now


class Quota:
    """What each organisation may still send through this instance.

    Args:
        settings: The settings.
        name: Name of this instance.
        now: The time in milliseconds.
    """

    def __init__(self, settings: QuotaSettings, name: str, now: int):
        self._settings = settings
        self._name = name
        self._started_at = now
        self._members: frozenset[str] = frozenset({name})
        self._contracts_by_name: dict[str, Contract] = {}
        self._demands_by_name: dict[str, _Demand] = {}
        self._buckets_by_name: dict[str, _Bucket] = {}
        self._table: dict[str, dict[str, float]] = {}
        self._granted_by_peer: dict[str, dict[str, float]] = {}

    def configure(self, contracts_by_name: Mapping[str, Contract]) -> None:
        """Take in the contracts; an organisation without one is not limited."""
        self._contracts_by_name = dict(contracts_by_name)
        for name in contracts_by_name:
            self._demands_by_name.setdefault(name, _Demand())
            self._buckets_by_name.setdefault(name, _Bucket())

    def set_members(self, names: Iterable[str]) -> None:
        """Take in who the instances are; this one is always among them."""
        self._members = frozenset(names) | {self._name}
        for name in set(self._table) - self._members:
            del self._table[name]
        for name in set(self._granted_by_peer) - self._members:
            del self._granted_by_peer[name]

    def ask(self, organisation: str) -> None:
        """Count a request of an organisation as demand, whether or not it is sent."""
        demand = self._demands_by_name.get(organisation)
        if demand is not None:
            demand.add()

    def take(self, organisation: str, now: int) -> int:
        """Take a token.

        Returns:
            0 if the request may be sent, else the time in milliseconds until there may
            be a token.
        """
        contract = self._contracts_by_name.get(organisation)
        if contract is None:
            return 0
        bucket = self._buckets_by_name[organisation]
        bucket.refill(contract, now)
        if bucket.tokens >= 1.0:
            bucket.tokens -= 1.0
            return 0
        rate = max(bucket.share * contract.rate_per_s, 1 / MS_PER_S)
        return max(1, int((1.0 - bucket.tokens) / rate * MS_PER_S))

    def give_back(self, organisation: str) -> None:
        """Return the token of a request that no target ran."""
        bucket = self._buckets_by_name.get(organisation)
        if bucket is not None and organisation in self._contracts_by_name:
            bucket.tokens += 1.0

    def share(self, organisation: str) -> float:
        """Return the part of the rate that this instance uses at present."""
        bucket = self._buckets_by_name.get(organisation)
        return 0.0 if bucket is None else bucket.share

    def update(self, now: int) -> None:
        """Average the demand and bring the shares up to date."""
        for demand in self._demands_by_name.values():
            demand.update(self._settings.demand_window_ms, now)
        self._table[self._name] = self._own_demands()
        for name, contract in self._contracts_by_name.items():
            bucket = self._buckets_by_name[name]
            bucket.refill(contract, now)
            bucket.share = self._granted_share(name, now)

    def demands(self) -> dict[str, int]:
        """Return the demand of each organisation here, in thousandths a second."""
        own = self._own_demands()
        return {name: int(per_s * PERMILLE) for name, per_s in own.items()}

    def grants_for(self, peer: str) -> dict[str, int]:
        """Return the part of each rate that a peer may use, in thousandths."""
        return {
            name: int(self._part_of(peer, name) * PERMILLE)
            for name in self._contracts_by_name
        }

    def heard(
        self, peer: str, demands: Mapping[str, int], grants: Mapping[str, int]
    ) -> None:
        """Take in what a peer demands, and what it grants to this instance."""
        if peer not in self._members:
            return
        self._table[peer] = {name: value / PERMILLE for name, value in demands.items()}
        granted = self._granted_by_peer.setdefault(peer, {})
        granted.update({name: value / PERMILLE for name, value in grants.items()})

    def _own_demands(self) -> dict[str, float]:
        demands = {}
        for name, contract in self._contracts_by_name.items():
            measured = self._demands_by_name[name].per_s
            demands[name] = max(measured, self._floor(contract))
        return demands

    def _floor(self, contract: Contract) -> float:
        part = self._settings.floor_permille / PERMILLE
        return part * contract.rate_per_s / len(self._members)

    def _part_of(self, member: str, organisation: str) -> float:
        floor = self._floor(self._contracts_by_name[organisation])
        total = sum(
            self._table.get(name, {}).get(organisation, floor) for name in self._members
        )
        own = self._table.get(member, {}).get(organisation, floor)
        return own / total if total > 0 else 0.0

    def _granted_share(self, organisation: str, now: int) -> float:
        share = self._part_of(self._name, organisation)
        for member in self._members - {self._name}:
            granted = self._granted_by_peer.get(member, {}).get(organisation)
            if granted is None:
                granted = self._share_without(now)
            share = min(share, granted)
        return share

    def _share_without(self, now: int) -> float:
        """Return the share while a member has not said anything yet."""
        if now - self._started_at < self._settings.silent_ms:
            return 0.0
        return 0.5 / len(self._members)
