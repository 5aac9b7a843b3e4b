"""What happens to a request at the instance that its caller is connected to."""

import heapq
from random import Random
from typing import NamedTuple

from sequoiahook.decisions.effects import Send
from sequoiahook.decisions.exchange.effects import (
    Answer,
    Commit,
    Refusal,
    Release,
    Relocate,
    Reserve,
)
from sequoiahook.decisions.exchange.open_request import AdmittedRequest, OpenRequest
from sequoiahook.decisions.exchange.retry import RetryBudget
from sequoiahook.decisions.exchange.settings import EntrySettings
from sequoiahook.decisions.exchange.stamps import StampBook
from sequoiahook.decisions.exchange.states import EntryState, Reason, http_status
from sequoiahook.decisions.pool.effects import RefuseReason
from sequoiahook.messages.requests import (
    NOT_RUN,
    RAN,
    UNKNOWN,
    MessageId,
    Outcome,
    OutcomeReceived,
    StampGrant,
    StampRequest,
)

__all__ = ["AdmittedRequest", "EntryExchanges", "EntrySettings", "Position"]

MARGIN_SHARE = 5
"""A margin takes at most this fraction (one fifth) of a short deadline."""

JITTER_SHARE = 5
"""Advice on when to come back is spread over this fraction (one fifth) of itself."""

RELOCATE_RETRY_MS = 50

_MOVED_REASONS = frozenset({Reason.MOVED, Reason.NO_POOL})
_ELSEWHERE_REASONS = frozenset({Reason.LINK_FULL, Reason.NO_CREDIT, RefuseReason.BUSY})
"""Refusals that only say that the next place is better; they need no retry budget."""

_NOT_HANDED_OVER = frozenset(
    {EntryState.ASKING, EntryState.RELOCATING, EntryState.RESERVING}
)
_FINAL_REASONS = frozenset(
    {Reason.CANCELLED, Reason.KEY_WITHDRAWN, Reason.RIGHT_LAPSED, Reason.DEADLINE}
)


class Position(NamedTuple):
    """Where a hand-over goes to.

    Attributes:
        number: Number of the request.
        place_index: Which of its places it is.
    """

    number: int
    place_index: int


class EntryExchanges:
    """All open requests of the callers of one instance.

    Each admitted request ends in at most one ``Answer`` or ``Refusal``, and each of
    its reservations in exactly one ``Commit`` or ``Release``.

    Args:
        settings: Durations and limits.
        instance_name: Name of the instance.
        incarnation: Incarnation of the instance.
        rng: Source of randomness.
    """

    def __init__(
        self,
        settings: EntrySettings,
        instance_name: str,
        incarnation: int,
        rng: Random,
    ):
        self._settings = settings
        self._name = instance_name
        self._incarnation = incarnation
        self._rng = rng
        self._budget: RetryBudget | None = None
        self._stamps = StampBook(settings.stamp_use_ms)
        self._exchanges_by_number: dict[int, OpenRequest] = {}
        self._exchanges_by_id: dict[MessageId, OpenRequest] = {}
        self._due: list[tuple[int, int]] = []
        self._sequence = 0
        self._open_bytes = 0

    @property
    def open_count(self) -> int:
        """Number of requests whose right is neither committed nor released."""
        return len(self._exchanges_by_number)

    def state(self, number: int) -> EntryState | None:
        """Return the state of a request; None if it is answered or not known."""
        exchange = self._exchanges_by_number.get(number)
        return exchange.state if exchange else None

    def admit(
        self, request: AdmittedRequest, places: tuple[str, ...], now: int
    ) -> list:
        """Take a request on.

        Args:
            request: The request.
            places: Names of the instances to hand it to, the best first.
            now: The time in milliseconds.
        """
        if self._budget is None:
            self._budget = RetryBudget(self._settings.budget, now)
        self._budget.first_attempt()
        exchange = OpenRequest(request, places, now)
        self._set_deadline(exchange, now)
        is_full = self._is_full(request)
        self._open_bytes += len(request.body)
        self._exchanges_by_number[request.number] = exchange
        if is_full:
            return self._refuse(exchange, Reason.OVERLOADED, NOT_RUN)
        if not places:
            return self._refuse(exchange, Reason.NO_PLACE, NOT_RUN)
        return self._hand_over(exchange, now)

    def received(self, source: str, body: tuple, now: int) -> list:
        """Take a message from another instance, or from this one."""
        if isinstance(body, Outcome):
            return self._outcome(source, body, now)
        if isinstance(body, StampGrant):
            self._stamps.keep(source, body.stamp, now)
            return self._go_on(source, now)
        return []

    def peer_up(self, name: str, now: int) -> list:
        """Note that the link to an instance stands (again).

        Requests that were handed over before are sent again under the same id.
        """
        effects: list = []
        for exchange in self._at(name, EntryState.CUT_OFF):
            exchange.state = EntryState.HANDED_OVER
            self._wake_at(exchange, exchange.cancel_at)
            effects.append(exchange.hand_over(now))
        for exchange in self._at(name, EntryState.CANCELLING):
            effects.append(exchange.cancel(now))
        return [*effects, Send(name, StampRequest())]

    def peer_lost(self, name: str, now: int) -> list:
        """Note that the link to an instance is lost, with anything that was on it."""
        self._stamps.forget(name)
        effects: list = []
        for exchange in self._at(name, EntryState.ASKING):
            effects += self._next_place(exchange, now)
        for exchange in self._at(name, EntryState.HANDED_OVER):
            effects += self._cut_off(exchange, now)
        return effects

    def position(self, message_id: MessageId) -> Position | None:
        """Return which place of which request a hand-over goes to."""
        exchange = self._exchanges_by_id.get(message_id)
        if exchange is None:
            return None
        index = exchange.place_index % len(exchange.places)
        return Position(exchange.request.number, index)

    def not_sendable(self, message_id: MessageId, reason: str, now: int) -> list:
        """Note that a hand-over was held back before anything was sent."""
        exchange = self._exchanges_by_id.get(message_id)
        if exchange is None or exchange.copies > 1:
            return []
        return self._end_attempt(exchange, reason, NOT_RUN, now)

    def send_failed(self, message_id: MessageId, now: int) -> list:
        """Note that no byte of one copy of a hand-over left this instance.

        It proves that the request never ran only if there was no other copy.
        """
        return self.not_sendable(message_id, Reason.LINK_LOST, now)

    def caller_gone(self, number: int, now: int) -> list:
        """Note that nobody waits for the answer to a request any more."""
        exchange = self._exchanges_by_number.get(number)
        if exchange is None:
            return []
        exchange.is_caller_gone = True
        if exchange.state in _NOT_HANDED_OVER:
            return self._refuse(exchange, Reason.CANCELLED, NOT_RUN)
        return self._cancel(exchange, now)

    def reserved(
        self, number: int, reservation: int, token_lease_ms: int, now: int
    ) -> list:
        """Go on with a request for which another right was reserved.

        A right that is no longer needed is released.
        """
        exchange = self._exchanges_by_number.get(number)
        if exchange is None or exchange.state is not EntryState.RESERVING:
            return [Release(reservation)]
        exchange.reservation = reservation
        exchange.right_lapses_at = now + token_lease_ms
        return self._hand_over(exchange, now)

    def relocated(self, number: int, places: tuple[str, ...], now: int) -> list:
        """Go on with a request whose pool has moved; without places it waits."""
        exchange = self._exchanges_by_number.get(number)
        if exchange is None or exchange.state is not EntryState.RELOCATING:
            return []
        if not places or places[0] == exchange.moved_from:
            exchange.moved_from = ""
            self._wake_at(exchange, min(exchange.cancel_at, now + RELOCATE_RETRY_MS))
            return []
        exchange.places = places
        exchange.place_index = 0
        return self._hand_over(exchange, now)

    def not_reserved(self, number: int, retry_after_ms: int, now: int) -> list:
        """End a request for which there is no other right."""
        exchange = self._exchanges_by_number.get(number)
        if exchange is None or exchange.state is not EntryState.RESERVING:
            return []
        return self._refuse(exchange, exchange.failure, UNKNOWN, retry_after_ms)

    def tick(self, now: int) -> list:
        """Do what is due."""
        effects: list = []
        while self._due and self._due[0][0] <= now:
            due_at, number = heapq.heappop(self._due)
            exchange = self._exchanges_by_number.get(number)
            if exchange is not None and exchange.due_at == due_at:
                effects += self._act(exchange, now)
        return effects

    def next_wake(self, now: int) -> int | None:
        """Return when ``tick`` is next due; None if nothing is open."""
        return self._due[0][0] if self._due else None

    def _is_full(self, request: AdmittedRequest) -> bool:
        settings = self._settings
        if len(self._exchanges_by_number) >= settings.requests_max:
            return True
        return self._open_bytes + len(request.body) > settings.body_bytes_max

    def _set_deadline(self, exchange: OpenRequest, now: int) -> None:
        settings = self._settings
        deadline_ms = exchange.request.deadline_ms
        shortest_ms = deadline_ms // MARGIN_SHARE
        answer_margin_ms = min(settings.answer_margin_ms, shortest_ms)
        cancel_margin_ms = min(settings.cancel_margin_ms, shortest_ms)
        exchange.timeout_at = now + deadline_ms - answer_margin_ms
        exchange.cancel_at = exchange.timeout_at - cancel_margin_ms

    def _act(self, exchange: OpenRequest, now: int) -> list:
        if exchange.state is EntryState.CANCELLING:
            return self._refuse(exchange, Reason.TIMEOUT, UNKNOWN)
        if exchange.state is EntryState.HANDED_OVER:
            return self._cancel(exchange, now)
        if exchange.state is EntryState.CUT_OFF:
            return self._refuse(exchange, Reason.LINK_LOST, UNKNOWN)
        if now >= exchange.cancel_at:
            return self._refuse(exchange, Reason.TIMEOUT, NOT_RUN)
        if exchange.state is EntryState.RELOCATING:
            return [Relocate(exchange.request.number)]
        if now - exchange.asked_since >= self._settings.stamp_patience_ms:
            return self._next_place(exchange, now)
        return self._ask(exchange, now)

    def _hand_over(self, exchange: OpenRequest, now: int) -> list:
        if now >= exchange.cancel_at:
            return self._refuse(exchange, Reason.DEADLINE, NOT_RUN)
        if now >= exchange.right_lapses_at:
            return self._refuse(exchange, Reason.RIGHT_LAPSED, NOT_RUN)
        held = self._stamps.get(exchange.place, now)
        if held is None:
            exchange.asked_since = now
            return self._ask(exchange, now)
        exchange.stamp, exchange.stamp_received_at = held
        exchange.attempt += 1
        exchange.state = EntryState.HANDED_OVER
        self._sequence += 1
        exchange.id = MessageId(self._name, self._incarnation, self._sequence)
        exchange.copies = 0
        self._exchanges_by_id[exchange.id] = exchange
        self._wake_at(exchange, exchange.cancel_at)
        return [exchange.hand_over(now)]

    def _cut_off(self, exchange: OpenRequest, now: int) -> list:
        """Try elsewhere if that does no harm; else wait for the link."""
        has_other = len(exchange.places) > 1
        if has_other and self._may_retry(exchange, Reason.LINK_LOST, UNKNOWN, now):
            return self._retry(exchange, Reason.LINK_LOST, UNKNOWN, now)
        exchange.state = EntryState.CUT_OFF
        grace_ends_at = now + self._settings.reconnect_grace_ms
        self._wake_at(exchange, min(exchange.cancel_at, grace_ends_at))
        return []

    def _ask(self, exchange: OpenRequest, now: int) -> list:
        exchange.state = EntryState.ASKING
        retry_at = now + self._settings.stamp_retry_ms
        self._wake_at(exchange, min(exchange.cancel_at, retry_at))
        return [Send(exchange.place, StampRequest())]

    def _go_on(self, place: str, now: int) -> list:
        effects: list = []
        for exchange in self._at(place, EntryState.ASKING):
            effects += self._hand_over(exchange, now)
        return effects

    def _next_place(self, exchange: OpenRequest, now: int) -> list:
        exchange.place_index += 1
        if exchange.place_index >= len(exchange.places):
            return self._refuse(exchange, Reason.LINK_LOST, NOT_RUN)
        return self._hand_over(exchange, now)

    def _outcome(self, source: str, outcome: Outcome, now: int) -> list:
        self._stamps.keep(source, outcome.stamp, now)
        effects: list = [Send(source, OutcomeReceived(outcome.id))]
        exchange = self._exchanges_by_id.get(outcome.id)
        if exchange is None or exchange.place != source:
            return effects
        if outcome.ran == RAN:
            return effects + self._answer(exchange, outcome)
        return effects + self._end_attempt(
            exchange, outcome.reason, outcome.ran, now, outcome.retry_after_ms
        )

    def _answer(self, exchange: OpenRequest, outcome: Outcome) -> list:
        number = exchange.request.number
        answer = Answer(number, outcome.status, outcome.headers, outcome.body)
        effects = self._close(exchange, ran=RAN)
        return effects if exchange.is_caller_gone else [*effects, answer]

    def _end_attempt(
        self,
        exchange: OpenRequest,
        reason: str,
        ran: str,
        now: int,
        retry_after_ms: int = 0,
    ) -> list:
        """End one hand-over without an answer: try again, or refuse."""
        is_open = exchange.state is not EntryState.CANCELLING
        if ran == NOT_RUN and is_open and now < exchange.cancel_at:
            if reason in _MOVED_REASONS:
                return self._relocate(exchange)
            if reason == Reason.RIGHT_LAPSED:
                return self._renew_right(exchange)
            has_other = exchange.place_index + 1 < len(exchange.places)
            if reason in _ELSEWHERE_REASONS and has_other:
                exchange.attempt -= 1
                return self._retry(exchange, reason, ran, now)
        if self._may_retry(exchange, reason, ran, now):
            return self._retry(exchange, reason, ran, now)
        return self._refuse(exchange, reason, ran, retry_after_ms)

    def _retry(self, exchange: OpenRequest, reason: str, ran: str, now: int) -> list:
        """Go to the next place; a run after a possible one needs its own right."""
        self._forget_id(exchange)
        exchange.place_index += 1
        if ran == NOT_RUN:
            return self._hand_over(exchange, now)
        exchange.may_have_run = True
        exchange.failure = reason
        exchange.state = EntryState.RESERVING
        self._wake_at(exchange, exchange.cancel_at)
        request = exchange.request
        effects = self._settle(exchange, UNKNOWN)
        return [*effects, Reserve(request.number, request.organisation)]

    def _relocate(self, exchange: OpenRequest) -> list:
        """Ask for other places; the hand-over that ended does not count."""
        self._forget_id(exchange)
        exchange.attempt -= 1
        exchange.moved_from = exchange.place
        exchange.state = EntryState.RELOCATING
        self._wake_at(exchange, exchange.cancel_at)
        return [Relocate(exchange.request.number)]

    def _renew_right(self, exchange: OpenRequest) -> list:
        """Reserve again, since the request queued for longer than its right held."""
        self._forget_id(exchange)
        exchange.attempt -= 1
        exchange.failure = Reason.RIGHT_LAPSED
        exchange.state = EntryState.RESERVING
        self._wake_at(exchange, exchange.cancel_at)
        request = exchange.request
        effects = self._settle(exchange, NOT_RUN)
        return [*effects, Reserve(request.number, request.organisation)]

    def _may_retry(
        self, exchange: OpenRequest, reason: str, ran: str, now: int
    ) -> bool:
        if ran != NOT_RUN and not exchange.request.idempotent:
            return False
        if exchange.state is EntryState.CANCELLING or reason in _FINAL_REASONS:
            return False
        if ran == NOT_RUN and exchange.place_index + 1 >= len(exchange.places):
            return False
        if exchange.attempt >= self._settings.attempts_max:
            return False
        return now < exchange.cancel_at and self._budget.take(now)

    def _cancel(self, exchange: OpenRequest, now: int) -> list:
        exchange.state = EntryState.CANCELLING
        self._wake_at(exchange, exchange.timeout_at)
        return [exchange.cancel(now)]

    def _refuse(
        self, exchange: OpenRequest, cause: str, ran: str, retry_after_ms: int = 0
    ) -> list:
        effects = self._close(exchange, ran)
        if exchange.is_caller_gone:
            return effects
        told = NOT_RUN if ran == NOT_RUN and not exchange.may_have_run else UNKNOWN
        status = http_status(cause, told == NOT_RUN)
        number = exchange.request.number
        retry_after_ms = self._spread(retry_after_ms)
        return [*effects, Refusal(number, status, cause, told, retry_after_ms)]

    def _spread(self, retry_after_ms: int) -> int:
        return retry_after_ms + self._rng.randint(0, retry_after_ms // JITTER_SHARE)

    def _close(self, exchange: OpenRequest, ran: str) -> list:
        self._forget_id(exchange)
        del self._exchanges_by_number[exchange.request.number]
        self._open_bytes -= len(exchange.request.body)
        return self._settle(exchange, ran)

    def _settle(self, exchange: OpenRequest, ran: str) -> list:
        """Give the reservation back or spend it: the only place that does."""
        reservation = exchange.reservation
        exchange.reservation = None
        if reservation is None:
            return []
        return [Release(reservation) if ran == NOT_RUN else Commit(reservation)]

    def _forget_id(self, exchange: OpenRequest) -> None:
        self._exchanges_by_id.pop(exchange.id, None)
        exchange.id = None

    def _wake_at(self, exchange: OpenRequest, due_at: int) -> None:
        exchange.due_at = due_at
        heapq.heappush(self._due, (due_at, exchange.request.number))

    def _at(self, place: str, state: EntryState) -> list[OpenRequest]:
        return [
            exchange
            for exchange in self._exchanges_by_number.values()
            if exchange.state is state and exchange.place == place
        ]
