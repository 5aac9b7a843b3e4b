"""Credit on the side of the instance that sends requests away."""

from typing import NamedTuple

from sequoiahook.decisions.effects import Send
from sequoiahook.decisions.placement.credit import Credit
from sequoiahook.decisions.placement.settings import PlacementSettings
from sequoiahook.messages.pools import CreditAsk, CreditGrant

__all__ = ["CreditHolder", "PoolKey"]


class PoolKey(NamedTuple):
    """The pool of a service in a data centre."""

    service: str
    data_centre: str


class _Ask(NamedTuple):
    """An ask that is waiting for its answer."""

    pool: PoolKey
    asked_at: int


class _Held(NamedTuple):
    """Units that may be spent until a time."""

    units: list[Credit]
    until: int


class CreditHolder:
    """Asks for credit, holds it until its lease ends, and spends each unit once.

    Args:
        settings: Settings of credit.
        instance: Name of this instance.
        incarnation: Its incarnation.
    """

    def __init__(self, settings: PlacementSettings, instance: str, incarnation: int):
        self._settings = settings
        self._instance = instance
        self._incarnation = incarnation
        self._asks_by_id: dict[int, _Ask] = {}
        self._held_by_pool: dict[PoolKey, list[_Held]] = {}
        self._refused_until_by_pool: dict[PoolKey, int] = {}
        self._wanted_by_pool: dict[PoolKey, int] = {}
        self._last_ask_id = 0

    def count(self, pool: PoolKey, now: int) -> int:
        """Return how many requests may be sent to a pool now."""
        held = self._held_by_pool.get(pool, ())
        return sum(len(part.units) for part in held if part.until > now)

    def spend(self, pool: PoolKey, now: int) -> Credit | None:
        """Take one unit for a request that is sent now; None if there is none."""
        held = self._held_by_pool.get(pool, [])
        while held and (held[0].until <= now or not held[0].units):
            held.pop(0)
        return held[0].units.pop() if held else None

    def want(self, pool: PoolKey, count: int = 1) -> None:
        """Note that requests could be sent to a pool if there were credit."""
        self._wanted_by_pool[pool] = self._wanted_by_pool.get(pool, 0) + count

    def tick(self, owner_by_pool: dict[PoolKey, str], now: int) -> list[Send]:
        """Ask for what is wanted.

        Args:
            owner_by_pool: The instance that owns each pool, as far as is known.
            now: The time.
        """
        self._forget_lapsed(now)
        effects = []
        for pool in [*self._wanted_by_pool]:
            owner = owner_by_pool.get(pool)
            if owner is not None and not self._may_ask(pool, now):
                continue
            wanted = self._wanted_by_pool.pop(pool) + self._settings.credit_ahead
            wanted -= self.count(pool, now)
            if owner is not None and wanted > 0:
                effects.append(self._ask(pool, owner, wanted, now))
        return effects

    def granted(self, message: CreditGrant, now: int) -> bool:
        """Take a grant; returns whether it was awaited and is still worth something."""
        if message.incarnation != self._incarnation:
            return False
        ask = self._asks_by_id.pop(message.ask_id, None)
        pool = PoolKey(message.service, message.data_centre)
        if ask is None or ask.pool != pool:
            return False
        if message.count <= 0:
            self._refused_until_by_pool[pool] = now + self._settings.credit_refused_ms
            return False
        until = ask.asked_at + message.lease_ms
        if until <= now:
            return False
        units = [
            Credit(
                *pool,
                message.lender,
                message.lender_incarnation,
                message.grant_id,
                unit,
            )
            for unit in range(message.count)
        ]
        self._held_by_pool.setdefault(pool, []).append(_Held(units, until))
        return True

    def _may_ask(self, pool: PoolKey, now: int) -> bool:
        if now < self._refused_until_by_pool.get(pool, now):
            return False
        return all(ask.pool != pool for ask in self._asks_by_id.values())

    def _ask(self, pool: PoolKey, owner: str, wanted: int, now: int) -> Send:
        self._last_ask_id += 1
        self._asks_by_id[self._last_ask_id] = _Ask(pool, now)
        wanted = min(wanted, self._settings.credit_ask_max)
        body = CreditAsk(
            *pool, self._instance, self._incarnation, self._last_ask_id, wanted
        )
        return Send(owner, body)

    def _forget_lapsed(self, now: int) -> None:
        timeout_ms = self._settings.credit_ask_timeout_ms
        for ask_id, ask in [*self._asks_by_id.items()]:
            if now - ask.asked_at >= timeout_ms:
                del self._asks_by_id[ask_id]
        for pool, held in [*self._held_by_pool.items()]:
            held[:] = [part for part in held if part.units and part.until > now]
            if not held:
                del self._held_by_pool[pool]
