"""Credit on the side of the borrower, which sends requests to other data centres."""

from typing import NamedTuple

from sequoiahook.decisions.effects import Send
from sequoiahook.decisions.placement.credit import Credit
from sequoiahook.decisions.placement.settings import PlacementSettings
from sequoiahook.messages.pools import CreditAsk, CreditGrant

__all__ = ["CreditHolder", "PoolKey"]


class PoolKey(NamedTuple):
    """Key of the pool of a service in a data centre."""

    service: str
    data_centre: str


class _PendingRequest(NamedTuple):
    """A credit request that has not been answered."""

    pool: PoolKey
    requested_at: int


class _HeldGrant(NamedTuple):
    """Units of a grant that may be spent until their lease expires."""

    units: list[Credit]
    expires_at: int


class CreditHolder:
    """Requests credit, holds it while its lease lasts, and spends each unit once.

    Args:
        settings: Settings of credit.
        instance: Name of this instance.
        incarnation: Incarnation of this instance.
    """

    def __init__(self, settings: PlacementSettings, instance: str, incarnation: int):
        self._settings = settings
        self._instance = instance
        self._incarnation = incarnation
        self._requests_by_id: dict[int, _PendingRequest] = {}
        self._grants_by_pool: dict[PoolKey, list[_HeldGrant]] = {}
        self._refused_until_by_pool: dict[PoolKey, int] = {}
        self._demand_by_pool: dict[PoolKey, int] = {}
        self._last_ask_id = 0

    def count(self, pool: PoolKey, now: int) -> int:
        """Return the number of requests that may be sent to a pool now."""
        grants = self._grants_by_pool.get(pool, ())
        return sum(len(grant.units) for grant in grants if grant.expires_at > now)

    def spend(self, pool: PoolKey, now: int) -> Credit | None:
        """Remove and return a unit for a request sent now; None if there is none."""
        grants = self._grants_by_pool.get(pool, [])
        while grants and (grants[0].expires_at <= now or not grants[0].units):
            grants.pop(0)
        return grants[0].units.pop() if grants else None

    def add_demand(self, pool: PoolKey, count: int = 1) -> None:
        """Record demand for credit; the next :meth:`tick` may request it."""
        self._demand_by_pool[pool] = self._demand_by_pool.get(pool, 0) + count

    def tick(self, owner_by_pool: dict[PoolKey, str], now: int) -> list[Send]:
        """Return requests for the credit that is in demand.

        Args:
            owner_by_pool: Owner of each pool whose owner is known.
            now: The time in milliseconds.
        """
        self._discard_expired(now)
        effects = []
        for pool in [*self._demand_by_pool]:
            owner = owner_by_pool.get(pool)
            if owner is not None and not self._may_request(pool, now):
                continue
            units_wanted = (
                self._demand_by_pool.pop(pool) + self._settings.credit_prefetch_units
            )
            units_wanted -= self.count(pool, now)
            if owner is not None and units_wanted > 0:
                effects.append(self._request(pool, owner, units_wanted, now))
        return effects

    def apply_grant(self, message: CreditGrant, now: int) -> bool:
        """Apply a grant and return whether it added credit.

        A grant that was not requested, was refused or has expired adds none.
        """
        if message.incarnation != self._incarnation:
            return False
        request = self._requests_by_id.pop(message.ask_id, None)
        pool = PoolKey(message.service, message.data_centre)
        if request is None or request.pool != pool:
            return False
        if message.count <= 0:
            self._refused_until_by_pool[pool] = (
                now + self._settings.credit_refused_pause_ms
            )
            return False
        expires_at = request.requested_at + message.lease_ms
        if expires_at <= now:
            return False
        count = min(message.count, self._settings.credit_request_max_units)
        units = [
            Credit(
                *pool,
                message.lender,
                message.lender_incarnation,
                message.grant_id,
                unit,
            )
            for unit in range(count)
        ]
        self._grants_by_pool.setdefault(pool, []).append(_HeldGrant(units, expires_at))
        return True

    def _may_request(self, pool: PoolKey, now: int) -> bool:
        if now < self._refused_until_by_pool.get(pool, now):
            return False
        return all(request.pool != pool for request in self._requests_by_id.values())

    def _request(self, pool: PoolKey, owner: str, units_wanted: int, now: int) -> Send:
        self._last_ask_id += 1
        self._requests_by_id[self._last_ask_id] = _PendingRequest(pool, now)
        units_wanted = min(units_wanted, self._settings.credit_request_max_units)
        body = CreditAsk(
            *pool, self._instance, self._incarnation, self._last_ask_id, units_wanted
        )
        return Send(owner, body)

    def _discard_expired(self, now: int) -> None:
        timeout_ms = self._settings.credit_request_timeout_ms
        for ask_id, request in [*self._requests_by_id.items()]:
            if now - request.requested_at >= timeout_ms:
                del self._requests_by_id[ask_id]
        for pool, grants in [*self._grants_by_pool.items()]:
            grants[:] = [
                grant for grant in grants if grant.units and grant.expires_at > now
            ]
            if not grants:
                del self._grants_by_pool[pool]
