"""Credit on the side of the lender, which owns the pool."""

from typing import NamedTuple

from sequoiahook.decisions.effects import Send
from sequoiahook.decisions.placement.credit import Credit
from sequoiahook.decisions.placement.settings import PlacementSettings
from sequoiahook.messages.pools import CreditAsk, CreditGrant

__all__ = ["CreditLender"]


class _RequestKey(NamedTuple):
    """Key of a credit request."""

    borrower: str
    incarnation: int
    ask_id: int


class _Grant(NamedTuple):
    """Units of a grant that are not redeemed and not yet expired."""

    grant_id: int
    count: int
    units: set[int]
    expires_at: int


class CreditLender:
    """Lends credit for one pool, and redeems each unit at most once.

    Units are counted from before the grant is sent until they are redeemed or can no
    longer be, so no more units can be in use than are counted here.

    Args:
        settings: Settings of credit.
        service: Name of the service.
        data_centre: Data centre of the pool.
        instance: Name of the pool's owner.
        incarnation: Incarnation of the owner; its successors do not know its grants.
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
        self._grants_by_request: dict[_RequestKey, _Grant] = {}
        self._grants_by_id: dict[int, _Grant] = {}
        self._last_grant_id = 0

    def answer_request(
        self,
        message: CreditAsk,
        free_slots: int,
        capacity: int,
        now: int,
        service_time_ms: int | None = None,
    ) -> list[Send]:
        """Grant credit for the slots that local demand leaves free.

        A repeated request is answered with the grant that was made for it.

        Args:
            message: The credit request.
            free_slots: Free slots of the pool minus the length of its queue.
            capacity: Slots of the pool that may be used.
            now: The time in milliseconds.
            service_time_ms: How long a request holds a slot; if None, each free slot is
                lent once.
        """
        self.tick(now)
        if (message.service, message.data_centre) != (self._service, self._data_centre):
            return []
        key = _RequestKey(message.borrower, message.incarnation, message.ask_id)
        grant = self._grants_by_request.get(key)
        if grant is None:
            reserve = -(-capacity * self._settings.credit_reserve_percent // 100)
            servable_units = self._servable_units(free_slots, service_time_ms)
            count = self._grant_count(message.wanted, servable_units - reserve)
            grant = self._lend(key, count, now)
        return [Send(message.borrower, self._grant_message(key, grant))]

    def redeem(self, credit: Credit, now: int) -> bool:
        """Redeem the unit that was sent along with a request.

        Returns:
            Whether the request may be accepted; False if the unit is unknown, has
            expired or was redeemed before, and the request is not run.
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

    def outstanding_units(self, now: int) -> int:
        """Return the number of units that may still be redeemed."""
        self.tick(now)
        return sum(len(grant.units) for grant in self._grants_by_id.values())

    def tick(self, now: int) -> None:
        """Discard expired grants."""
        expired_keys = [
            request_key
            for request_key, grant in self._grants_by_request.items()
            if grant.expires_at <= now
        ]
        for key in expired_keys:
            grant = self._grants_by_request.pop(key)
            del self._grants_by_id[grant.grant_id]

    def next_wake(self) -> int | None:
        """Return when :meth:`tick` is next due; None if never."""
        return min(
            (grant.expires_at for grant in self._grants_by_id.values()), default=None
        )

    def _servable_units(self, free_slots: int, service_time_ms: int | None) -> int:
        if service_time_ms is None or free_slots <= 0:
            return free_slots
        wait_ms = self._settings.credit_wait_max_ms
        return free_slots + free_slots * wait_ms // max(1, service_time_ms)

    def _grant_count(self, wanted: int, limit_units: int) -> int:
        outstanding_units = sum(
            len(grant.units) for grant in self._grants_by_id.values()
        )
        lendable = limit_units - outstanding_units
        if lendable <= 0 or wanted <= 0:
            return 0
        return min(
            wanted, self._settings.credit_request_max_units, max(1, lendable // 2)
        )

    def _lend(self, key: _RequestKey, count: int, now: int) -> _Grant:
        settings = self._settings
        expires_at = now + settings.credit_lease_ms + settings.credit_margin_ms
        self._last_grant_id += 1
        grant = _Grant(self._last_grant_id, count, set(range(count)), expires_at)
        self._grants_by_request[key] = grant
        self._grants_by_id[grant.grant_id] = grant
        return grant

    def _grant_message(self, key: _RequestKey, grant: _Grant) -> CreditGrant:
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
