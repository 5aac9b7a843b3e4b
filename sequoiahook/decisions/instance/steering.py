"""Admission of callers' requests, from the check of the key to the handover."""

from typing import NamedTuple

from sequoiahook.decisions.effects import Send
from sequoiahook.decisions.exchange.effects import Refusal
from sequoiahook.decisions.exchange.entry import AdmittedRequest, EntryExchanges
from sequoiahook.decisions.exchange.states import Reason
from sequoiahook.decisions.instance.effects import ReceivedRequest
from sequoiahook.decisions.instance.pools import PoolOwner
from sequoiahook.decisions.instance.routes import Routes
from sequoiahook.decisions.instance.settings import SteeringSettings
from sequoiahook.decisions.instance.tracing import Tracing
from sequoiahook.decisions.keys import KeyName, KeyState, KeyTable, KeyUsage
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
    "SteeringDependencies",
    "organisation_contract",
    "shift_contract",
]

TRACEPARENT_HEADER = b"traceparent"


class Cause:
    """Causes of refusals before the handover, as reported to callers."""

    CREDIT = "no data centre can take the request"
    FORBIDDEN = "the organisation may not use the service"
    KEY_MISSING = "one key is required"
    KEY_UNKNOWN = "unknown key"
    NOT_CONFIGURED = "no configuration yet"
    RATE = "rate and burst of the organisation are used up"
    ROUTE = "unknown route"
    STOPPING = "the instance is stopping"


class SteeringDependencies(NamedTuple):
    """The components that admission depends on."""

    membership: Membership
    pool_owner: PoolOwner
    rights: Rights
    entry: EntryExchanges
    placement: Placement
    credit_holder: CreditHolder
    key_usage: KeyUsage
    tracing: Tracing


class _OpenRequest:
    """A request that has arrived and is not answered yet."""

    def __init__(self, received: ReceivedRequest, service: Service, now: int):
        self.received = received
        self.service = service
        self.arrived_at = now
        self.key: KeyName | None = None
        self.clean: CleanRequest | None = None
        self.traceparent = ""
        self.reservation = 0
        self.is_admitted = False
        self.placement_due_at: int | None = None
        self.candidates: list[Candidate] = []
        self.credit_units_by_id: dict[MessageId, CreditUnit] = {}

    @property
    def deadline_at(self) -> int:
        return self.arrived_at + self.service.deadline_ms


class Steering:
    """Processes callers' requests from their arrival to their handover.

    Args:
        settings: Wait limits and the default retry-after time.
        data_centre: Data centre of this instance.
        dependencies: The components that admission depends on.
    """

    def __init__(
        self,
        settings: SteeringSettings,
        data_centre: str,
        dependencies: SteeringDependencies,
    ):
        self._settings = settings
        self._data_centre = data_centre
        self._dependencies = dependencies
        self._configuration: Configuration | None = None
        self._routes: Routes | None = None
        self._keys: KeyTable | None = None
        self._open_by_number: dict[int, _OpenRequest] = {}
        self._waiting_for_credit: set[int] = set()
        self._number_by_reservation: dict[int, int] = {}
        self._last_reservation = 0
        self._pending_sends: list[Send] = []

    @property
    def keys(self) -> KeyTable | None:
        """The keys of the configuration in force."""
        return self._keys

    def configure(self, configuration: Configuration, keys: KeyTable, now: int) -> list:
        """Apply a configuration; requests whose key lost its access are refused."""
        self._configuration = configuration
        self._routes = Routes(configuration)
        self._keys = keys
        effects: list = []
        for number, request in list(self._open_by_number.items()):
            if not request.is_admitted and not self._is_allowed(request):
                effects += self._release_and_refuse(
                    number, 401, Reason.KEY_WITHDRAWN, now
                )
        return effects

    def receive_request(self, received: ReceivedRequest, now: int) -> list:
        """Check a caller's request and reserve a right for it, or refuse it.

        A request is answered exactly once.
        """
        path = received.target_path.partition(b"?")[0].decode("latin-1")
        if self._routes is None:
            return self._refuse(received.number, 503, Cause.NOT_CONFIGURED)
        service = self._routes.match(path)
        if service is None:
            return self._refuse(received.number, 404, Cause.ROUTE)
        request = _OpenRequest(received, service, now)
        refusal = self._check(request)
        if refusal:
            return refusal
        self._open_by_number[received.number] = request
        if request.key is not None:
            self._dependencies.key_usage.record(received.connection_id, request.key)
        traceparent = (
            dict(received.headers).get(TRACEPARENT_HEADER, b"").decode("latin-1")
        )
        span_key = ("entry", received.number)
        request.traceparent = self._dependencies.tracing.start(
            span_key, "entry", traceparent, now
        )
        return self.reserve(received.number, now)

    def reserve(self, number: int, now: int) -> list:
        """Reserve a right to run a request, for the first or a further attempt."""
        request = self._open_by_number.get(number)
        if request is None:
            return []
        self._last_reservation += 1
        reservation = self._last_reservation
        self._number_by_reservation[reservation] = number
        if request.key is None:
            return self.reserved(reservation, now)
        contract = organisation_contract(request.key.organisation)
        left_ms = request.deadline_at - now
        wait_ms = max(0, min(self._settings.reserve_wait_ms, left_ms // 2))
        return self._dependencies.rights.reserve(
            str(reservation), contract, wait_ms, now
        )

    def reserved(self, reservation: int, now: int) -> list:
        """Place a request whose right was granted, or resume its next attempt."""
        number = self._number_by_reservation.get(reservation)
        request = self._open_by_number.get(number)
        if request is None:
            return self.release(reservation, now)
        if request.is_admitted:
            lease_ms = self._lease_ms(request, reservation, now)
            return self._dependencies.entry.reserved(number, reservation, lease_ms, now)
        request.reservation = reservation
        return self._place_request(number, request, now)

    def not_reserved(self, reservation: int, retry_after_ms: int, now: int) -> list:
        """Refuse a request whose right was denied."""
        number = self._number_by_reservation.pop(reservation, None)
        request = self._open_by_number.get(number)
        if request is None:
            return []
        if request.is_admitted:
            return self._dependencies.entry.not_reserved(number, retry_after_ms, now)
        return self._refuse(number, 429, Cause.RATE, retry_after_ms)

    def commit(self, reservation: int, now: int) -> list:
        """Spend the right of a request that ran or may have run."""
        number = self._number_by_reservation.pop(reservation, None)
        if number is None:
            return []
        return self._dependencies.rights.commit(str(reservation), now)

    def release(self, reservation: int, now: int) -> list:
        """Return the right of a request that did not run and will not run."""
        number = self._number_by_reservation.pop(reservation, None)
        if number is None:
            return []
        return self._dependencies.rights.release(str(reservation), now)

    def caller_gone(self, number: int, now: int) -> list:
        """Cancel a request whose caller disconnected."""
        request = self._open_by_number.get(number)
        if request is None:
            return []
        if request.is_admitted:
            effects = self._dependencies.entry.caller_gone(number, now)
        else:
            effects = self._release_reservation(request, now)
        self.remove(number)
        return effects

    def relocate(self, number: int, now: int) -> list:
        """Choose new candidates for a request whose pool has moved."""
        request = self._open_by_number.get(number)
        if request is None:
            return []
        candidates = self._choose_candidates(request, now)
        return self._dependencies.entry.relocated(number, candidates, now)

    def remove(self, number: int) -> ReceivedRequest | None:
        """Remove a request that ended; return it, or None if it is not open."""
        self._waiting_for_credit.discard(number)
        request = self._open_by_number.pop(number, None)
        return None if request is None else request.received

    def organisation_of(self, number: int) -> str:
        """Return the organisation of a request.

        The result is empty if the service needs no key or the request is not open.
        """
        request = self._open_by_number.get(number)
        key = None if request is None else request.key
        return "" if key is None else key.organisation

    def credit_changed(self, now: int) -> list:
        """Retry the placement of requests that wait for credit."""
        effects: list = []
        for number in sorted(self._waiting_for_credit):
            effects += self._place_request(number, self._open_by_number[number], now)
        return effects

    def tick(self, now: int) -> list:
        """Refuse requests that were not placed in time."""
        effects: list = list(self._pending_sends)
        self._pending_sends.clear()
        for number in sorted(self._waiting_for_credit):
            if now >= self._open_by_number[number].placement_due_at:
                effects += self._release_and_refuse(number, 503, Cause.CREDIT, now)
        return effects

    def next_wake(self) -> int | None:
        """Return when ``tick`` is next due; None if never."""
        waits = [
            self._open_by_number[number].placement_due_at
            for number in self._waiting_for_credit
        ]
        return min(waits, default=None)

    def _check(self, request: _OpenRequest) -> list:
        """Check the key and remove it from the request; return a refusal or nothing."""
        received = request.received
        presented = presented_keys(received.target_path, received.headers)
        verdict = self._keys.verify(presented.key) if presented.key else None
        if not request.service.is_open:
            if verdict is None:
                return self._refuse(received.number, 401, Cause.KEY_MISSING)
            if verdict.state is KeyState.WITHDRAWN:
                return self._refuse(received.number, 401, Reason.KEY_WITHDRAWN)
            if verdict.state is KeyState.UNKNOWN:
                return self._refuse(received.number, 401, Cause.KEY_UNKNOWN)
            request.key = verdict.name
            if not self._is_allowed(request):
                return self._refuse(received.number, 403, Cause.FORBIDDEN)
        request.clean = clean_request(
            received.target_path, received.headers, received.body, presented.all_keys
        )
        if request.clean.problem:
            return self._refuse(received.number, 400, request.clean.problem)
        return []

    def _is_allowed(self, request: _OpenRequest) -> bool:
        if request.key is None:
            return True
        return self._keys.may_use(request.key, request.service.name)

    def _place_request(self, number: int, request: _OpenRequest, now: int) -> list:
        """Hand a request over, or queue it for credit if it has no candidates."""
        candidates = self._choose_candidates(request, now)
        if not candidates:
            if request.placement_due_at is None:
                left_ms = (request.deadline_at - now) // 2
                wait_ms = min(self._settings.credit_wait_ms, left_ms)
                request.placement_due_at = now + max(0, wait_ms)
            self._waiting_for_credit.add(number)
            return []
        self._waiting_for_credit.discard(number)
        request.is_admitted = True
        return self._dependencies.entry.admit(
            self._admitted_request(request, now), candidates, now
        )

    def _choose_candidates(self, request: _OpenRequest, now: int) -> tuple[str, ...]:
        """Return the owners of the candidate pools, best first."""
        service = request.service.name
        left_ms = request.deadline_at - now
        dependencies = self._dependencies
        owner_by_pool = dependencies.placement.owner_by_pool(now)
        local_owner = dependencies.pool_owner.owner(
            service, dependencies.membership, now
        )
        candidates = dependencies.placement.choose(
            service,
            left_ms,
            dependencies.credit_holder,
            now,
            is_local_pool_open=local_owner
            in dependencies.membership.live(self._data_centre),
        )
        names: list[str] = []
        request.candidates = []
        for candidate in candidates:
            name = local_owner
            if not self._spend_shift_cap(candidate, now):
                continue
            if candidate.data_centre != self._data_centre:
                name = owner_by_pool.get(PoolKey(service, candidate.data_centre))
            if name is not None:
                names.append(name)
                request.candidates.append(candidate)
        return tuple(names)

    def _spend_shift_cap(self, candidate: Candidate, now: int) -> bool:
        """Spend a unit of the candidate's planned shift; False if none is left."""
        if candidate.shift_name is None:
            return True
        self._last_reservation += 1
        request_id = f"shift/{self._last_reservation}"
        contract = shift_contract(candidate.shift_name)
        rights = self._dependencies.rights
        effects = rights.reserve(request_id, contract, 0, now)
        is_reserved = Reserved(request_id) in effects
        self._pending_sends += [e for e in effects if isinstance(e, Send)]
        if is_reserved:
            committed = rights.commit(request_id, now)
            self._pending_sends += [e for e in committed if isinstance(e, Send)]
        return is_reserved

    def prepare_handover(self, body: HandOver, now: int) -> HandOver | None:
        """Add the wait limit and credit to a handover; None if credit is used up."""
        position = self._dependencies.entry.candidate_position(body.id)
        request = self._open_by_number.get(position.number) if position else None
        if request is None or position.candidate_index >= len(request.candidates):
            return body
        candidate = request.candidates[position.candidate_index]
        if candidate.wait_limit_ms is not None:
            body = body._replace(wait_limit_ms=candidate.wait_limit_ms)
        if not candidate.needs_credit:
            return body
        unit = request.credit_units_by_id.get(body.id)
        if unit is None:
            pool = PoolKey(body.service, candidate.data_centre)
            credit = self._dependencies.credit_holder.spend(pool, now)
            if credit is None:
                return None
            unit = CreditUnit(credit.lender_incarnation, credit.grant_id, credit.unit)
            request.credit_units_by_id[body.id] = unit
        return body._replace(credit=(unit,))

    def _admitted_request(self, request: _OpenRequest, now: int) -> AdmittedRequest:
        key = request.key or KeyName("", "")
        received = request.received
        return AdmittedRequest(
            number=received.number,
            reservation=request.reservation,
            service=request.service.name,
            organisation=key.organisation,
            key_name=key.key_name,
            configuration_number=self._configuration.number,
            method=received.method,
            target_path=request.clean.target_path.decode("latin-1"),
            headers=request.clean.headers,
            body=received.body,
            deadline_ms=max(0, request.deadline_at - now),
            idempotent=received.method in request.service.idempotent_methods,
            traceparent=request.traceparent,
            token_lease_ms=self._lease_ms(request, request.reservation, now),
        )

    def _lease_ms(self, request: _OpenRequest, reservation: int, now: int) -> int:
        """Return how long the request may be sent under its right, in milliseconds."""
        if request.key is None:
            return request.service.deadline_ms
        return self._dependencies.rights.lease_left_ms(str(reservation), now)

    def _release_and_refuse(
        self, number: int, status: int, cause: str, now: int
    ) -> list:
        effects = self._release_reservation(self._open_by_number[number], now)
        retry_after_ms = self._settings.retry_after_ms
        return effects + self._refuse(number, status, cause, retry_after_ms)

    def _release_reservation(self, request: _OpenRequest, now: int) -> list:
        if not request.reservation:
            return []
        return self.release(request.reservation, now)

    def _refuse(
        self, number: int, status: int, cause: str, retry_after_ms: int = 0
    ) -> list:
        return [Refusal(number, status, cause, NOT_RUN, retry_after_ms)]


def shift_contract(shift: str) -> str:
    """Return the name under which the rights keep a planned shift's cap."""
    return f"shift/{shift}"


def organisation_contract(organisation: str) -> str:
    """Return the name under which the rights keep an organisation's contract."""
    return f"organisation/{organisation}"
