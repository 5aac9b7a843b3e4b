"""Credit on the side of the pool's owner: what it lent, and what came back."""

from typing import NamedTuple

from sequoiahook.decisions.effects import Send
from sequoiahook.decisions.placement.credit import Credit
from sequoiahook.decisions.placement.settings import PlacementSettings
from sequoiahook.messages.pools import CreditAsk, CreditGrant

__all__ = ["CreditLender"]


class _AskKey(NamedTuple):
    """What names an ask."""

    borrower: str
    incarnation: int
    ask_id: int


class _Grant(NamedTuple):
    """Units lent and not yet redeemed, counted until a time."""

    grant_id: int
    count: int
    units: set[int]
    until: int


class CreditLender:
    """Lends credit for one pool, and redeems each unit at most once.

    Units are counted before the grant is sent, and until they are redeemed or can no
    longer be. So all units in the world are at most the ones counted here.

    Args:
        settings: Settings of credit.
        service: Name of the service.
        data_centre: Data centre of the pool.
        instance: Name of the owner.
        incarnation: Incarnation of the owner; a successor knows none of its grants.
    """

    def __init__(
        self,
        settings: PlacementSettings,
        service: str,
        data_centre: str,
        instance: str,
        incarnation: int,
    ):
        self._settings = settings
        self._service = service
        self._data_centre = data_centre
        self._instance = instance
        self._incarnation = incarnation
        self._grants_by_ask: dict[_AskKey, _Grant] = {}
        self._grants_by_id: dict[int, _Grant] = {}
        self._last_grant_id = 0

    def ask(
        self,
        message: CreditAsk,
        free_slots: int,
        capacity: int,
        now: int,
        service_time_ms: int | None = None,
    ) -> list[Send]:
        """Answer an ask out of the slots that local demand leaves free.

        Args:
            message: The ask.
            free_slots: Free slots of the pool, less its queue.
            capacity: Slots of the pool that may be used.
            now: The time.
            service_time_ms: How long a request holds a slot; if it is not known, each
                free slot is lent once.
        """
        self.tick(now)
        if (message.service, message.data_centre) != (self._service, self._data_centre):
            return []
        key = _AskKey(message.borrower, message.incarnation, message.ask_id)
        grant = self._grants_by_ask.get(key)
        if grant is None:
            reserve = -(-capacity * self._settings.credit_reserve_percent // 100)
            takes = self._takes(free_slots, service_time_ms)
            count = self._grant_count(message.wanted, takes - reserve)
            grant = self._lend(key, count, now)
        return [Send(message.borrower, self._message(key, grant))]

    def redeem(self, credit: Credit, now: int) -> bool:
        """Take one unit back with the request that it came with.

        Returns:
            Whether the request may be taken in; False for a unit that is not known,
            has lapsed or was redeemed before, and the request has not run.
        """
        self.tick(now)
        if (credit.lender, credit.lender_incarnation) != (
            self._instance,
            self._incarnation,
        ):
            return False
        grant = self._grants_by_id.get(credit.grant_id)
        if grant is None or credit.unit not in grant.units:
            return False
        grant.units.remove(credit.unit)
        return True

    def lent(self, now: int) -> int:
        """Return how many units may still arrive."""
        self.tick(now)
        return sum(len(grant.units) for grant in self._grants_by_id.values())

    def tick(self, now: int) -> None:
        """Forget the grants whose time has passed."""
        lapsed = [k for k, grant in self._grants_by_ask.items() if grant.until <= now]
        for key in lapsed:
            grant = self._grants_by_ask.pop(key)
            del self._grants_by_id[grant.grant_id]

    def next_wake(self) -> int | None:
        """Return when :meth:`tick` has something to do; None if never."""
        return min((g.until for g in self._grants_by_id.values()), default=None)

    def _takes(self, free_slots: int, service_time_ms: int | None) -> int:
        if service_time_ms is None or free_slots <= 0:
            return free_slots
        wait_ms = self._settings.credit_wait_ms
        return free_slots + free_slots * wait_ms // max(1, service_time_ms)

    def _grant_count(self, wanted: int, limit: int) -> int:
        lent = sum(len(grant.units) for grant in self._grants_by_id.values())
        lendable = limit - lent
        if lendable <= 0 or wanted <= 0:
            return 0
        return min(wanted, self._settings.credit_ask_max, max(1, lendable // 2))

    def _lend(self, key: _AskKey, count: int, now: int) -> _Grant:
        settings = self._settings
        until = now + settings.credit_lease_ms + settings.credit_margin_ms
        self._last_grant_id += 1
        grant = _Grant(self._last_grant_id, count, set(range(count)), until)
        self._grants_by_ask[key] = grant
        self._grants_by_id[grant.grant_id] = grant
        return grant

    def _message(self, key: _AskKey, grant: _Grant) -> CreditGrant:
        return CreditGrant(
            self._service,
            self._data_centre,
            self._instance,
            self._incarnation,
            key.incarnation,
            key.ask_id,
            grant.grant_id,
            grant.count,
            self._settings.credit_lease_ms,
        )
