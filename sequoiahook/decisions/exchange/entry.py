"""Handling of requests at the instance that their caller is connected to."""

import heapq
from random import Random
from typing import NamedTuple

from sequoiahook.decisions.effects import Send
from sequoiahook.decisions.exchange.caller_exchange import (
    AdmittedRequest,
    CallerExchange,
)
from sequoiahook.decisions.exchange.effects import (
    Answer,
    Commit,
    Refusal,
    Release,
    Relocate,
    Reserve,
)
from sequoiahook.decisions.exchange.retry import RetryBudget
from sequoiahook.decisions.exchange.settings import EntrySettings
from sequoiahook.decisions.exchange.stamps import StampTable
from sequoiahook.decisions.exchange.states import EntryState, Reason, http_status
from sequoiahook.decisions.exchange.target_result import is_final_status
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

__all__ = ["AdmittedRequest", "CandidatePosition", "EntryExchanges", "EntrySettings"]

MARGIN_DIVISOR = 5
"""Margins are limited to this fraction (one fifth) of a short deadline."""

JITTER_DIVISOR = 5
"""A retry-after time is extended at random by up to this fraction (one fifth)."""

RELOCATE_RETRY_MS = 50

_RELOCATION_REASONS = frozenset({Reason.MOVED, Reason.NO_POOL})
_NEXT_CANDIDATE_REASONS = frozenset(
    {Reason.LINK_FULL, Reason.NO_CREDIT, Reason.UNREACHABLE, RefuseReason.BUSY}
)
"""Refusals after which the next candidate is tried without using retry budget."""

_STATES_BEFORE_HANDOVER = frozenset(
    {EntryState.AWAITING_STAMP, EntryState.RELOCATING, EntryState.RESERVING}
)
_FINAL_REASONS = frozenset(
    {Reason.CANCELLED, Reason.KEY_WITHDRAWN, Reason.RIGHT_LAPSED, Reason.DEADLINE}
)


class CandidatePosition(NamedTuple):
    """The candidate that a handover is sent to.

    Attributes:
        number: Number of the request.
        candidate_index: Index into the candidates of the request.
    """

    number: int
    candidate_index: int


class EntryExchanges:
    """Open requests of the callers of one instance.

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
        self._stamps = StampTable(settings.stamp_max_age_ms)
        self._exchanges_by_number: dict[int, CallerExchange] = {}
        self._exchanges_by_id: dict[MessageId, CallerExchange] = {}
        self._timers: list[tuple[int, int]] = []
        self._sequence = 0
        self._open_bytes = 0

    @property
    def open_count(self) -> int:
        """Number of requests whose right is neither committed nor released."""
        return len(self._exchanges_by_number)

    def state(self, number: int) -> EntryState | None:
        """Return the state of a request; None if it is closed or unknown."""
        exchange = self._exchanges_by_number.get(number)
        return exchange.state if exchange else None

    def admit(
        self, request: AdmittedRequest, candidates: tuple[str, ...], now: int
    ) -> list:
        """Admit a request and hand it over to its first candidate.

        Args:
            request: The request.
            candidates: Names of the instances to hand it over to, best first.
            now: The time in milliseconds.
        """
        if self._budget is None:
            self._budget = RetryBudget(self._settings.budget, now)
        self._budget.record_first_attempt()
        exchange = CallerExchange(request, candidates, now)
        self._set_deadline(exchange, now)
        is_full = self._is_full(request)
        self._open_bytes += len(request.body)
        self._exchanges_by_number[request.number] = exchange
        if is_full:
            return self._refuse(exchange, Reason.OVERLOADED, NOT_RUN)
        if not candidates:
            return self._refuse(exchange, Reason.NO_CANDIDATE, NOT_RUN)
        return self._hand_over(exchange, now)

    def received(self, source: str, body: tuple, now: int) -> list:
        """Handle a message from another instance or from this one."""
        if isinstance(body, Outcome):
            return self._on_outcome(source, body, now)
        if isinstance(body, StampGrant):
            self._stamps.store(source, body.stamp, now)
            return self._resume_waiting(source, now)
        return []

    def peer_up(self, name: str, now: int) -> list:
        """Handle a link to an instance that was established or re-established.

        Requests that were handed over earlier are sent again with the same id.
        """
        effects: list = []
        for exchange in self._exchanges_at(name, EntryState.LINK_LOST):
            exchange.state = EntryState.HANDED_OVER
            self._schedule(exchange, exchange.cancel_at)
            effects.append(exchange.hand_over(now))
        for exchange in self._exchanges_at(name, EntryState.CANCELLING):
            effects.append(exchange.cancel(now))
        return [*effects, Send(name, StampRequest())]

    def peer_lost(self, name: str, now: int) -> list:
        """Handle the loss of the link to an instance and of the messages in flight."""
        self._stamps.forget(name)
        effects: list = []
        for exchange in self._exchanges_at(name, EntryState.AWAITING_STAMP):
            effects += self._try_next_candidate(exchange, now)
        for exchange in self._exchanges_at(name, EntryState.HANDED_OVER):
            effects += self._handle_link_loss(exchange, now)
        return effects

    def candidate_position(self, message_id: MessageId) -> CandidatePosition | None:
        """Return the candidate of a handover; None if the id is not open."""
        exchange = self._exchanges_by_id.get(message_id)
        if exchange is None:
            return None
        index = exchange.candidate_index % len(exchange.candidates)
        return CandidatePosition(exchange.request.number, index)

    def send_rejected(self, message_id: MessageId, reason: str, now: int) -> list:
        """Handle a handover that this instance rejected before sending any of it."""
        exchange = self._exchanges_by_id.get(message_id)
        if exchange is None or exchange.send_count > 1:
            return []
        return self._end_attempt(exchange, reason, NOT_RUN, now)

    def send_failed(self, message_id: MessageId, now: int) -> list:
        """Handle a copy of a handover of which no byte left this instance.

        This proves that the request never ran only if no other copy was sent.
        """
        return self.send_rejected(message_id, Reason.LINK_LOST, now)

    def caller_gone(self, number: int, now: int) -> list:
        """Cancel a request whose caller has disconnected."""
        exchange = self._exchanges_by_number.get(number)
        if exchange is None:
            return []
        exchange.is_caller_gone = True
        if exchange.state in _STATES_BEFORE_HANDOVER:
            return self._refuse(exchange, Reason.CANCELLED, NOT_RUN)
        return self._cancel(exchange, now)

    def reserved(
        self, number: int, reservation: int, token_lease_ms: int, now: int
    ) -> list:
        """Continue a request for which another right was reserved.

        The right is released if the request no longer needs it.
        """
        exchange = self._exchanges_by_number.get(number)
        if exchange is None or exchange.state is not EntryState.RESERVING:
            return [Release(reservation)]
        exchange.reservation = reservation
        exchange.right_lapses_at = now + token_lease_ms
        return self._hand_over(exchange, now)

    def relocated(self, number: int, candidates: tuple[str, ...], now: int) -> list:
        """Continue a request whose pool has moved.

        Without new candidates it waits and requests them again.
        """
        exchange = self._exchanges_by_number.get(number)
        if exchange is None or exchange.state is not EntryState.RELOCATING:
            return []
        if not candidates or candidates[0] == exchange.moved_from:
            exchange.moved_from = ""
            self._schedule(exchange, min(exchange.cancel_at, now + RELOCATE_RETRY_MS))
            return []
        exchange.candidates = candidates
        exchange.candidate_index = 0
        return self._hand_over(exchange, now)

    def not_reserved(self, number: int, retry_after_ms: int, now: int) -> list:
        """Refuse a request for which no other right could be reserved."""
        exchange = self._exchanges_by_number.get(number)
        if exchange is None or exchange.state is not EntryState.RESERVING:
            return []
        return self._refuse(exchange, exchange.failure_reason, UNKNOWN, retry_after_ms)

    def tick(self, now: int) -> list:
        """Handle all timers that are due."""
        effects: list = []
        while self._timers and self._timers[0][0] <= now:
            due_at, number = heapq.heappop(self._timers)
            exchange = self._exchanges_by_number.get(number)
            if exchange is not None and exchange.due_at == due_at:
                effects += self._handle_timer(exchange, now)
        return effects

    def next_wake(self, now: int) -> int | None:
        """Return when ``tick`` is next due; None if nothing is open."""
        return self._timers[0][0] if self._timers else None

    def _is_full(self, request: AdmittedRequest) -> bool:
        settings = self._settings
        if len(self._exchanges_by_number) >= settings.requests_max:
            return True
        return self._open_bytes + len(request.body) > settings.body_bytes_max

    def _set_deadline(self, exchange: CallerExchange, now: int) -> None:
        settings = self._settings
        deadline_ms = exchange.request.deadline_ms
        margin_max_ms = deadline_ms // MARGIN_DIVISOR
        answer_margin_ms = min(settings.answer_margin_ms, margin_max_ms)
        cancel_margin_ms = min(settings.cancel_margin_ms, margin_max_ms)
        exchange.timeout_at = now + deadline_ms - answer_margin_ms
        exchange.cancel_at = exchange.timeout_at - cancel_margin_ms

    def _handle_timer(self, exchange: CallerExchange, now: int) -> list:
        if exchange.state is EntryState.CANCELLING:
            return self._refuse(exchange, Reason.TIMEOUT, UNKNOWN)
        if exchange.state is EntryState.HANDED_OVER:
            return self._cancel(exchange, now)
        if exchange.state is EntryState.LINK_LOST:
            return self._refuse(exchange, Reason.LINK_LOST, UNKNOWN)
        if now >= exchange.cancel_at:
            return self._refuse(exchange, Reason.TIMEOUT, NOT_RUN)
        if exchange.state is EntryState.RELOCATING:
            return [Relocate(exchange.request.number)]
        if now - exchange.stamp_wait_started_at >= self._settings.stamp_max_wait_ms:
            return self._try_next_candidate(exchange, now)
        return self._request_stamp(exchange, now)

    def _hand_over(self, exchange: CallerExchange, now: int) -> list:
        if now >= exchange.cancel_at:
            return self._refuse(exchange, Reason.DEADLINE, NOT_RUN)
        if now >= exchange.right_lapses_at:
            return self._refuse(exchange, Reason.RIGHT_LAPSED, NOT_RUN)
        held_stamp = self._stamps.get(exchange.candidate, now)
        if held_stamp is None:
            exchange.stamp_wait_started_at = now
            return self._request_stamp(exchange, now)
        exchange.stamp, exchange.stamp_received_at = held_stamp
        exchange.attempt += 1
        exchange.state = EntryState.HANDED_OVER
        self._sequence += 1
        exchange.id = MessageId(self._name, self._incarnation, self._sequence)
        exchange.send_count = 0
        self._exchanges_by_id[exchange.id] = exchange
        self._schedule(exchange, exchange.cancel_at)
        return [exchange.hand_over(now)]

    def _handle_link_loss(self, exchange: CallerExchange, now: int) -> list:
        """Try another candidate if that is safe, else wait for the link."""
        has_alternative = len(exchange.candidates) > 1
        if has_alternative and self._may_retry(
            exchange, Reason.LINK_LOST, UNKNOWN, now
        ):
            return self._retry(exchange, Reason.LINK_LOST, UNKNOWN, now)
        exchange.state = EntryState.LINK_LOST
        grace_ends_at = now + self._settings.reconnect_grace_ms
        self._schedule(exchange, min(exchange.cancel_at, grace_ends_at))
        return []

    def _request_stamp(self, exchange: CallerExchange, now: int) -> list:
        exchange.state = EntryState.AWAITING_STAMP
        retry_at = now + self._settings.stamp_retry_ms
        self._schedule(exchange, min(exchange.cancel_at, retry_at))
        return [Send(exchange.candidate, StampRequest())]

    def _resume_waiting(self, candidate: str, now: int) -> list:
        effects: list = []
        for exchange in self._exchanges_at(candidate, EntryState.AWAITING_STAMP):
            effects += self._hand_over(exchange, now)
        return effects

    def _try_next_candidate(self, exchange: CallerExchange, now: int) -> list:
        exchange.candidate_index += 1
        if exchange.candidate_index >= len(exchange.candidates):
            return self._refuse(exchange, Reason.LINK_LOST, NOT_RUN)
        return self._hand_over(exchange, now)

    def _on_outcome(self, source: str, outcome: Outcome, now: int) -> list:
        self._stamps.store(source, outcome.stamp, now)
        effects: list = [Send(source, OutcomeReceived(outcome.id))]
        exchange = self._exchanges_by_id.get(outcome.id)
        if exchange is None or exchange.candidate != source:
            return effects
        if outcome.ran == RAN and not is_final_status(outcome.status):
            # An executor of an earlier release passes on what a target sent.
            return effects + self._end_attempt(
                exchange, Reason.INVALID_ANSWER, UNKNOWN, now
            )
        if outcome.ran == RAN:
            return effects + self._answer(exchange, outcome)
        return effects + self._end_attempt(
            exchange, outcome.reason, outcome.ran, now, outcome.retry_after_ms
        )

    def _answer(self, exchange: CallerExchange, outcome: Outcome) -> list:
        number = exchange.request.number
        answer = Answer(number, outcome.status, outcome.headers, outcome.body)
        effects = self._close(exchange, ran=RAN)
        return effects if exchange.is_caller_gone else [*effects, answer]

    def _end_attempt(
        self,
        exchange: CallerExchange,
        reason: str,
        ran: str,
        now: int,
        retry_after_ms: int = 0,
    ) -> list:
        """Retry or refuse after a handover that ended without an answer."""
        is_open = exchange.state is not EntryState.CANCELLING
        if ran == NOT_RUN and is_open and now < exchange.cancel_at:
            if reason in _RELOCATION_REASONS:
                return self._relocate(exchange)
            if reason == Reason.RIGHT_LAPSED:
                return self._renew_right(exchange)
            has_alternative = exchange.candidate_index + 1 < len(exchange.candidates)
            if reason in _NEXT_CANDIDATE_REASONS and has_alternative:
                exchange.attempt -= 1
                return self._retry(exchange, reason, ran, now)
        if self._may_retry(exchange, reason, ran, now):
            return self._retry(exchange, reason, ran, now)
        return self._refuse(exchange, reason, ran, retry_after_ms)

    def _retry(self, exchange: CallerExchange, reason: str, ran: str, now: int) -> list:
        """Try the next candidate, with a new right if the request may have run."""
        self._forget_id(exchange)
        exchange.candidate_index += 1
        if ran == NOT_RUN:
            return self._hand_over(exchange, now)
        exchange.may_have_run = True
        exchange.failure_reason = reason
        exchange.state = EntryState.RESERVING
        self._schedule(exchange, exchange.cancel_at)
        request = exchange.request
        effects = self._settle(exchange, UNKNOWN)
        return [*effects, Reserve(request.number, request.organisation)]

    def _relocate(self, exchange: CallerExchange) -> list:
        """Request new candidates; the handover that ended is not counted."""
        self._forget_id(exchange)
        exchange.attempt -= 1
        exchange.moved_from = exchange.candidate
        exchange.state = EntryState.RELOCATING
        self._schedule(exchange, exchange.cancel_at)
        return [Relocate(exchange.request.number)]

    def _renew_right(self, exchange: CallerExchange) -> list:
        """Reserve another right, because the first lapsed while the request queued."""
        self._forget_id(exchange)
        exchange.attempt -= 1
        exchange.failure_reason = Reason.RIGHT_LAPSED
        exchange.state = EntryState.RESERVING
        self._schedule(exchange, exchange.cancel_at)
        request = exchange.request
        effects = self._settle(exchange, NOT_RUN)
        return [*effects, Reserve(request.number, request.organisation)]

    def _may_retry(
        self, exchange: CallerExchange, reason: str, ran: str, now: int
    ) -> bool:
        if ran != NOT_RUN and not exchange.request.idempotent:
            return False
        is_final = reason in _FINAL_REASONS or reason in self._settings.final_reasons
        if exchange.state is EntryState.CANCELLING or is_final:
            return False
        if ran == NOT_RUN and exchange.candidate_index + 1 >= len(exchange.candidates):
            return False
        if exchange.attempt >= self._settings.attempts_max:
            return False
        return now < exchange.cancel_at and self._budget.try_spend(now)

    def _cancel(self, exchange: CallerExchange, now: int) -> list:
        exchange.state = EntryState.CANCELLING
        self._schedule(exchange, exchange.timeout_at)
        return [exchange.cancel(now)]

    def _refuse(
        self, exchange: CallerExchange, cause: str, ran: str, retry_after_ms: int = 0
    ) -> list:
        effects = self._close(exchange, ran)
        if exchange.is_caller_gone:
            return effects
        reported = NOT_RUN if ran == NOT_RUN and not exchange.may_have_run else UNKNOWN
        status = http_status(cause, reported == NOT_RUN)
        number = exchange.request.number
        retry_after_ms = self._add_jitter(retry_after_ms)
        return [*effects, Refusal(number, status, cause, reported, retry_after_ms)]

    def _add_jitter(self, retry_after_ms: int) -> int:
        return retry_after_ms + self._rng.randint(0, retry_after_ms // JITTER_DIVISOR)

    def _close(self, exchange: CallerExchange, ran: str) -> list:
        self._forget_id(exchange)
        del self._exchanges_by_number[exchange.request.number]
        self._open_bytes -= len(exchange.request.body)
        return self._settle(exchange, ran)

    def _settle(self, exchange: CallerExchange, ran: str) -> list:
        """Release or commit the reservation; all reservations are settled here."""
        reservation = exchange.reservation
        exchange.reservation = None
        if reservation is None:
            return []
        return [Release(reservation) if ran == NOT_RUN else Commit(reservation)]

    def _forget_id(self, exchange: CallerExchange) -> None:
        self._exchanges_by_id.pop(exchange.id, None)
        exchange.id = None

    def _schedule(self, exchange: CallerExchange, due_at: int) -> None:
        exchange.due_at = due_at
        heapq.heappush(self._timers, (due_at, exchange.request.number))

    def _exchanges_at(self, candidate: str, state: EntryState) -> list[CallerExchange]:
        return [
            exchange
            for exchange in self._exchanges_by_number.values()
            if exchange.state is state and exchange.candidate == candidate
        ]
