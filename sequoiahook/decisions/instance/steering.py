"""Admission of callers' requests: key, right, place, then hand-over."""

from typing import NamedTuple

from sequoiahook.decisions.effects import Send
from sequoiahook.decisions.exchange.effects import Refusal
from sequoiahook.decisions.exchange.entry import AdmittedRequest, EntryExchanges
from sequoiahook.decisions.exchange.states import Reason
from sequoiahook.decisions.instance.effects import Arrival
from sequoiahook.decisions.instance.pools import PoolOwner
from sequoiahook.decisions.instance.routes import Routes
from sequoiahook.decisions.instance.settings import SteeringSettings
from sequoiahook.decisions.instance.tracing import Tracing
from sequoiahook.decisions.keys import Callers, KeyName, KeyState, KeyTable
from sequoiahook.decisions.membership.membership import Membership
from sequoiahook.decisions.placement.holder import CreditHolder, PoolKey
from sequoiahook.decisions.placement.placement import Candidate, Placement
from sequoiahook.decisions.rights.effects import Reserved
from sequoiahook.decisions.rights.rights import Rights
from sequoiahook.messages.requests import NOT_RUN, CreditUnit, HandOver, MessageId
from sequoiahook.wire.fields import CleanRequest, clean_request, presented_keys
from sequoiahook.world.configuration import Configuration
from sequoiahook.world.service import Service

__all__ = [
    "Cause",
    "Steering",
    "SteeringParts",
    "organisation_contract",
    "shift_contract",
]

TRACE_FIELD = b"traceparent"


class Cause:
    """Why a request is refused before it is handed over, as told to callers."""

    CREDIT = "no data centre can take the request"
    FORBIDDEN = "the organisation may not use the service"
    KEY_MISSING = "one key is required"
    KEY_UNKNOWN = "unknown key"
    NOT_CONFIGURED = "no configuration yet"
    RATE = "rate and burst of the organisation are used up"
    ROUTE = "unknown route"
    STOPPING = "the instance is stopping"


class SteeringParts(NamedTuple):
    """The parts that admission asks."""

    membership: Membership
    owner: PoolOwner
    rights: Rights
    entry: EntryExchanges
    placement: Placement
    holder: CreditHolder
    callers: Callers
    tracing: Tracing


class _Open:
    """A request between its arrival and its answer."""

    def __init__(self, arrival: Arrival, service: Service, now: int):
        self.arrival = arrival
        self.service = service
        self.arrived_at = now
        self.key: KeyName | None = None
        self.clean: CleanRequest | None = None
        self.traceparent = ""
        self.reservations = 0
        self.is_admitted = False
        self.place_by: int | None = None
        self.places: list[Candidate] = []
        self.unit_by_id: dict[MessageId, CreditUnit] = {}

    @property
    def deadline_at(self) -> int:
        return self.arrived_at + self.service.deadline_ms


class Steering:
    """Takes callers' requests from arrival to hand-over.

    Args:
        settings: Waits and advice.
        data_centre: Data centre of this instance.
        parts: The parts that it asks.
    """

    def __init__(
        self,
        settings: SteeringSettings,
        data_centre: str,
        parts: SteeringParts,
    ):
        self._settings = settings
        self._data_centre = data_centre
        self._parts = parts
        self._configuration: Configuration | None = None
        self._routes: Routes | None = None
        self._keys: KeyTable | None = None
        self._open_by_number: dict[int, _Open] = {}
        self._seeking: set[int] = set()
        self._number_by_reservation: dict[int, int] = {}
        self._last_reservation = 0
        self._pending: list[Send] = []

    @property
    def keys(self) -> KeyTable | None:
        """The keys of the configuration in force."""
        return self._keys

    def configure(self, configuration: Configuration, keys: KeyTable, now: int) -> list:
        """Take the configuration in force; what waits with a lost key is refused."""
        self._configuration = configuration
        self._routes = Routes(configuration)
        self._keys = keys
        effects: list = []
        for number, opened in list(self._open_by_number.items()):
            if not opened.is_admitted and not self._is_allowed(opened):
                effects += self._give_up(number, 401, Reason.KEY_WITHDRAWN, now)
        return effects

    def arrive(self, arrival: Arrival, now: int) -> list:
        """Take a request of a caller; it is answered exactly once."""
        path = arrival.target_path.partition(b"?")[0].decode("latin-1")
        if self._routes is None:
            return self._refuse(arrival.number, 503, Cause.NOT_CONFIGURED)
        service = self._routes.match(path)
        if service is None:
            return self._refuse(arrival.number, 404, Cause.ROUTE)
        opened = _Open(arrival, service, now)
        refusal = self._check(opened)
        if refusal:
            return refusal
        self._open_by_number[arrival.number] = opened
        if opened.key is not None:
            self._parts.callers.used(arrival.connection_id, opened.key)
        sent = dict(arrival.headers).get(TRACE_FIELD, b"").decode("latin-1")
        span_key = ("entry", arrival.number)
        opened.traceparent = self._parts.tracing.start(span_key, "entry", sent, now)
        return self.reserve(arrival.number, now)

    def reserve(self, number: int, now: int) -> list:
        """Reserve a right to run for a request, also for a further attempt."""
        opened = self._open_by_number.get(number)
        if opened is None:
            return []
        self._last_reservation += 1
        reservation = self._last_reservation
        self._number_by_reservation[reservation] = number
        if opened.key is None:
            return self.reserved(reservation, now)
        contract = organisation_contract(opened.key.organisation)
        left_ms = opened.deadline_at - now
        wait_ms = max(0, min(self._settings.reserve_wait_ms, left_ms // 2))
        return self._parts.rights.reserve(str(reservation), contract, wait_ms, now)

    def reserved(self, reservation: int, now: int) -> list:
        """Go on with a request that has its right."""
        number = self._number_by_reservation.get(reservation)
        opened = self._open_by_number.get(number)
        if opened is None:
            return self.release(reservation, now)
        if opened.is_admitted:
            lease_ms = self._lease_ms(opened, reservation, now)
            return self._parts.entry.reserved(number, reservation, lease_ms, now)
        opened.reservations = reservation
        return self._place(number, opened, now)

    def not_reserved(self, reservation: int, retry_after_ms: int, now: int) -> list:
        """End a request that gets no right."""
        number = self._number_by_reservation.pop(reservation, None)
        opened = self._open_by_number.get(number)
        if opened is None:
            return []
        if opened.is_admitted:
            return self._parts.entry.not_reserved(number, retry_after_ms, now)
        return self._refuse(number, 429, Cause.RATE, retry_after_ms)

    def commit(self, reservation: int, now: int) -> list:
        """Spend a right: the request ran, or may have run."""
        number = self._number_by_reservation.pop(reservation, None)
        if number is None:
            return []
        return self._parts.rights.commit(str(reservation), now)

    def release(self, reservation: int, now: int) -> list:
        """Give a right back: the request never ran and never will."""
        number = self._number_by_reservation.pop(reservation, None)
        if number is None:
            return []
        return self._parts.rights.release(str(reservation), now)

    def caller_gone(self, number: int, now: int) -> list:
        """Note that nobody waits for the answer to a request any more."""
        opened = self._open_by_number.get(number)
        if opened is None:
            return []
        if opened.is_admitted:
            effects = self._parts.entry.caller_gone(number, now)
        else:
            effects = self._release_of(opened, now)
        self.answered(number)
        return effects

    def relocate(self, number: int, now: int) -> list:
        """Choose places anew for a request whose pool has moved."""
        opened = self._open_by_number.get(number)
        if opened is None:
            return []
        places = self._places(opened, now)
        return self._parts.entry.relocated(number, places, now)

    def answered(self, number: int) -> Arrival | None:
        """Forget a request that has its answer."""
        self._seeking.discard(number)
        opened = self._open_by_number.pop(number, None)
        return None if opened is None else opened.arrival

    def organisation(self, number: int) -> str:
        """Return whose request it is; empty for an open route or one not open."""
        opened = self._open_by_number.get(number)
        key = None if opened is None else opened.key
        return "" if key is None else key.organisation

    def credit_changed(self, now: int) -> list:
        """Try again to place requests that wait for credit."""
        effects: list = []
        for number in sorted(self._seeking):
            effects += self._place(number, self._open_by_number[number], now)
        return effects

    def tick(self, now: int) -> list:
        """Refuse requests that found no place in time."""
        effects: list = list(self._pending)
        self._pending.clear()
        for number in sorted(self._seeking):
            if now >= self._open_by_number[number].place_by:
                effects += self._give_up(number, 503, Cause.CREDIT, now)
        return effects

    def next_wake(self) -> int | None:
        """Return when ``tick`` is next due; None if never."""
        waits = [self._open_by_number[number].place_by for number in self._seeking]
        return min(waits, default=None)

    def _check(self, opened: _Open) -> list:
        """Read the key, check it and take it out; returns the refusal, if any."""
        arrival = opened.arrival
        presented = presented_keys(arrival.target_path, arrival.headers)
        verdict = self._keys.verify(presented.key) if presented.key else None
        if not opened.service.is_open:
            if verdict is None:
                return self._refuse(arrival.number, 401, Cause.KEY_MISSING)
            if verdict.state is KeyState.WITHDRAWN:
                return self._refuse(arrival.number, 401, Reason.KEY_WITHDRAWN)
            if verdict.state is KeyState.UNKNOWN:
                return self._refuse(arrival.number, 401, Cause.KEY_UNKNOWN)
            opened.key = verdict.name
            if not self._is_allowed(opened):
                return self._refuse(arrival.number, 403, Cause.FORBIDDEN)
        opened.clean = clean_request(
            arrival.target_path, arrival.headers, arrival.body, presented.all_keys
        )
        if opened.clean.problem:
            return self._refuse(arrival.number, 400, opened.clean.problem)
        return []

    def _is_allowed(self, opened: _Open) -> bool:
        if opened.key is None:
            return True
        return self._keys.may_use(opened.key, opened.service.name)

    def _place(self, number: int, opened: _Open, now: int) -> list:
        """Hand a request over, or let it wait for credit if nobody can take it."""
        places = self._places(opened, now)
        if not places:
            if opened.place_by is None:
                left_ms = (opened.deadline_at - now) // 2
                wait_ms = min(self._settings.credit_wait_ms, left_ms)
                opened.place_by = now + max(0, wait_ms)
            self._seeking.add(number)
            return []
        self._seeking.discard(number)
        opened.is_admitted = True
        return self._parts.entry.admit(self._admitted(opened, now), places, now)

    def _places(self, opened: _Open, now: int) -> tuple[str, ...]:
        """Return the owners of the pools to try, best first."""
        service = opened.service.name
        left_ms = opened.deadline_at - now
        parts = self._parts
        owner_by_pool = parts.placement.owner_by_pool(now)
        own_owner = parts.owner.owner(service, parts.membership, now)
        places = parts.placement.choose(
            service,
            left_ms,
            parts.holder,
            now,
            is_local_pool_open=own_owner in parts.membership.live(self._data_centre),
        )
        names: list[str] = []
        opened.places = []
        for place in places:
            name = own_owner
            if not self._is_under_cap(place, now):
                continue
            if place.data_centre != self._data_centre:
                name = owner_by_pool.get(PoolKey(service, place.data_centre))
            if name is not None:
                names.append(name)
                opened.places.append(place)
        return tuple(names)

    def _is_under_cap(self, place: Candidate, now: int) -> bool:
        """Spend one unit of a planned shift's cap, if the place belongs to one."""
        if place.shift_name is None:
            return True
        self._last_reservation += 1
        request_id = f"shift/{self._last_reservation}"
        contract = shift_contract(place.shift_name)
        rights = self._parts.rights
        effects = rights.reserve(request_id, contract, 0, now)
        is_reserved = Reserved(request_id) in effects
        self._pending += [e for e in effects if isinstance(e, Send)]
        if is_reserved:
            committed = rights.commit(request_id, now)
            self._pending += [e for e in committed if isinstance(e, Send)]
        return is_reserved

    def prepare(self, body: HandOver, now: int) -> HandOver | None:
        """Add credit and wait limit to a hand-over; None if there is no credit."""
        position = self._parts.entry.candidate_position(body.id)
        opened = self._open_by_number.get(position.number) if position else None
        if opened is None or position.candidate_index >= len(opened.places):
            return body
        place = opened.places[position.candidate_index]
        if place.wait_limit_ms is not None:
            body = body._replace(wait_limit_ms=place.wait_limit_ms)
        if not place.needs_credit:
            return body
        unit = opened.unit_by_id.get(body.id)
        if unit is None:
            pool = PoolKey(body.service, place.data_centre)
            credit = self._parts.holder.spend(pool, now)
            if credit is None:
                return None
            unit = CreditUnit(credit.lender_incarnation, credit.grant_id, credit.unit)
            opened.unit_by_id[body.id] = unit
        return body._replace(credit=(unit,))

    def _admitted(self, opened: _Open, now: int) -> AdmittedRequest:
        key = opened.key or KeyName("", "")
        arrival = opened.arrival
        return AdmittedRequest(
            number=arrival.number,
            reservation=opened.reservations,
            service=opened.service.name,
            organisation=key.organisation,
            key_name=key.key_name,
            configuration_number=self._configuration.number,
            method=arrival.method,
            target_path=opened.clean.target_path.decode("latin-1"),
            headers=opened.clean.headers,
            body=arrival.body,
            deadline_ms=max(0, opened.deadline_at - now),
            idempotent=arrival.method in opened.service.idempotent_methods,
            traceparent=opened.traceparent,
            token_lease_ms=self._lease_ms(opened, opened.reservations, now),
        )

    def _lease_ms(self, opened: _Open, reservation: int, now: int) -> int:
        """Return for how long the request may be sent under its right."""
        if opened.key is None:
            return opened.service.deadline_ms
        return self._parts.rights.lease_left_ms(str(reservation), now)

    def _give_up(self, number: int, status: int, cause: str, now: int) -> list:
        effects = self._release_of(self._open_by_number[number], now)
        retry_after_ms = self._settings.retry_after_ms
        return effects + self._refuse(number, status, cause, retry_after_ms)

    def _release_of(self, opened: _Open, now: int) -> list:
        if not opened.reservations:
            return []
        return self.release(opened.reservations, now)

    def _refuse(
        self, number: int, status: int, cause: str, retry_after_ms: int = 0
    ) -> list:
        return [Refusal(number, status, cause, NOT_RUN, retry_after_ms)]


def shift_contract(shift: str) -> str:
    """Return the name of the contract of a planned shift's cap among the rights."""
    return f"shift/{shift}"


def organisation_contract(organisation: str) -> str:
    """Return the name of an organisation's contract among the rights."""
    return f"organisation/{organisation}"
