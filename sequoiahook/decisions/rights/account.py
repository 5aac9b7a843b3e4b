"""One contract at one instance: its parts, reservations and waiting requests."""

import random
from collections.abc import Iterable
from typing import NamedTuple

from sequoiahook.clock import MS_PER_S
from sequoiahook.decisions.effects import Send
from sequoiahook.decisions.rights.borrowing import Borrowing
from sequoiahook.decisions.rights.demand import Demand
from sequoiahook.decisions.rights.effects import Committed, Lapsed, Refused, Reserved
from sequoiahook.decisions.rights.forecast import MAX_FORECAST_MS, TokenForecast
from sequoiahook.decisions.rights.leader_share import LeaderShare
from sequoiahook.decisions.rights.lending import Lending
from sequoiahook.decisions.rights.part import Part
from sequoiahook.decisions.rights.pending import PendingReservation, PendingTokenRequest
from sequoiahook.decisions.rights.settings import RightsSettings
from sequoiahook.messages.rights import Amount, RightsRefusal
from sequoiahook.world.contract import MICRO, Contract

__all__ = ["Account", "Reservation"]


class Reservation(NamedTuple):
    """Tokens that are reserved for a request.

    Attributes:
        debits: The parts that were debited, with the micro-units of each.
        expires_at: When the tokens count as spent.
    """

    debits: tuple[tuple[Part, int], ...]
    expires_at: int


class Account:
    """The state of one contract at one instance.

    Args:
        name: Name of the contract.
        settings: Settings of the rights.
        rng: Source of loan ids.
    """

    def __init__(self, name: str, settings: RightsSettings, rng: random.Random):
        self.name = name
        self.settings = settings
        self.contract = Contract(1, 1)
        self.leader_share = LeaderShare(settings)
        self.lending = Lending(settings, rng)
        self.borrowing = Borrowing(settings)
        self.demand = Demand(settings.demand_time_constant_ms)
        self.pending: list[PendingReservation | PendingTokenRequest] = []
        self.reservations_by_id: dict[str, Reservation] = {}
        self.lenders: tuple[str, ...] = ()
        self.local_instances: frozenset[str] = frozenset()
        self.is_leader = False
        self.needs_claim = True

    def parts(self, now: int) -> list[Part]:
        """Return the usable parts, refilled; the leader's own part comes last."""
        parts = self.borrowing.usable_parts(now)
        if self.leader_share.part is not None:
            parts.append(self.leader_share.part)
        for part in parts:
            part.refill(now)
        return parts

    def reserve(self, request_id: str, wait_ms: int, units: int, now: int) -> list:
        """Queue a reservation for a request; see Rights.reserve."""
        if request_id in self.reservations_by_id:
            return [Reserved(request_id)]
        if any(self._is_for(item, request_id) for item in self.pending):
            return []
        if units > self.contract.burst:
            return [Refused(request_id, MAX_FORECAST_MS)]
        self.demand.record(units * MICRO, now)
        self.pending.append(
            PendingReservation(request_id, units * MICRO, now + wait_ms)
        )
        return []

    def may_commit(self, request_id: str, now: int) -> bool:
        """Return whether the reservation of a request is valid."""
        reservation = self.reservations_by_id.get(request_id)
        if reservation is None or reservation.expires_at <= now:
            return False
        return all(part.is_usable(now) for part, _ in reservation.debits)

    def lease_left_ms(self, request_id: str, now: int) -> int:
        """Return for how long the reservation holds even if this instance pauses."""
        if not self.may_commit(request_id, now):
            return 0
        reservation = self.reservations_by_id[request_id]
        ends = [reservation.expires_at, now + self.settings.local_lease_ms]
        ends += [
            part.expires_at
            for part, _ in reservation.debits
            if part.expires_at is not None
        ]
        return max(0, min(ends) - now)

    def commit(self, request_id: str, now: int) -> list:
        """Spend the tokens of a request; see Rights.commit."""
        is_held = self.may_commit(request_id, now)
        self._close_reservation(request_id, 0 if is_held else 1, now)
        return [Committed(request_id) if is_held else Lapsed(request_id)]

    def release(self, request_id: str, now: int) -> list:
        """Return the tokens of a request; see Rights.release."""
        self.pending = [
            item for item in self.pending if not self._is_for(item, request_id)
        ]
        self._close_reservation(request_id, 1, now)
        return []

    def expire(self, now: int) -> None:
        """Drop loans and reservations that have expired."""
        self.lending.expire(now)
        self.borrowing.expire(now)
        for request_id, reservation in list(self.reservations_by_id.items()):
            if reservation.expires_at <= now:
                self._close_reservation(request_id, 0, now)
        self.leader_share.adjust(now)

    def reserve_tokens(self, request_id: str, tokens: int, now: int) -> bool:
        """Reserve tokens if all parts together have enough; return whether they do."""
        debits = self._debits(self.parts(now), tokens)
        if not debits:
            return False
        for part, amount in debits:
            part.debit(Amount(0, amount, amount), now)
            part.used_at = now
        expires_at = now + self.settings.reservation_lease_ms
        self.reservations_by_id[request_id] = Reservation(debits, expires_at)
        return True

    def refuse_unservable(self, now: int) -> list:
        """Refuse pending items that cannot be served before their deadlines."""
        if not self.pending:
            return []
        effects: list = []
        pending = []
        queued_tokens = 0
        forecast = self._forecast(now)
        for item in self.pending:
            is_local = isinstance(item, PendingReservation)
            needed = queued_tokens + (item.tokens if is_local else MICRO)
            earliest_ms = forecast.earliest_ms(needed)
            if item.deadline_at <= now or now + earliest_ms > item.deadline_at:
                effects.append(self._refusal(item, forecast.retry_after_ms(needed)))
            else:
                pending.append(item)
                queued_tokens += item.tokens
        self.pending = pending
        return effects

    def reset(self, now: int) -> None:
        """Drop everything that is held, after a pause of the process."""
        self.needs_claim = True
        self.leader_share.drop(self.lending.last_lapse_at(now), now)
        self.lending.reset()
        self.borrowing.reset(now)
        self.pending = [
            item for item in self.pending if isinstance(item, PendingReservation)
        ]

    def give_up_share(self, now: int) -> tuple[Amount, int]:
        """Give up the share; reservations from it stay usable for a lease.

        Returns:
            The free amount, already debited, and the milliseconds until the rest has
            lapsed.
        """
        self.needs_claim = True
        lapses_at = self.lending.last_lapse_at(now)
        self.pending = [
            item for item in self.pending if isinstance(item, PendingReservation)
        ]
        return self.leader_share.give_up(lapses_at, now)

    def held(self, now: int) -> Amount:
        """Return the share and the borrowed loans, including amounts lent out."""
        held = self.leader_share.total
        for part in self.borrowing.usable_parts(now):
            held = held.plus(part.amount).plus(self.lending.outstanding(part))
        return held

    def local_demand(self, now: int) -> int:
        """Return the demand here and, for a leader, in its data centre."""
        demand = self.demand.rate(now)
        if self.is_leader:
            demand += self.lending.demand(self.local_instances, now)
        return demand

    def reserved_parts(self) -> Iterable[Part]:
        """Return the parts that were debited for open reservations."""
        for reservation in self.reservations_by_id.values():
            for part, _ in reservation.debits:
                yield part

    def _is_for(
        self, item: PendingReservation | PendingTokenRequest, request_id: str
    ) -> bool:
        return isinstance(item, PendingReservation) and item.request_id == request_id

    def _debits(self, parts: list[Part], tokens: int) -> tuple[tuple[Part, int], ...]:
        for part in parts:
            if part.tokens >= tokens:
                return ((part, tokens),)
        debits = []
        missing = tokens
        for part in parts:
            amount = min(missing, part.tokens)
            if amount:
                debits.append((part, amount))
                missing -= amount
        return () if missing else tuple(debits)

    def _close_reservation(self, request_id: str, refund: int, now: int) -> None:
        reservation = self.reservations_by_id.pop(request_id, None)
        if reservation is None:
            return
        for part, amount in reservation.debits:
            if part.is_usable(now):
                part.credit(Amount(0, amount, amount * refund), now)
        self.leader_share.adjust(now)

    def _forecast(self, now: int) -> TokenForecast:
        parts = self.parts(now)
        lent = self.lending.outstanding(self.leader_share.part)
        retry_at = self.borrowing.retry_at_by_lender
        lender_retry_ms = [retry_at.get(lender, now) - now for lender in self.lenders]
        is_starting = self.is_leader and not self.leader_share.is_full(now)
        return TokenForecast(
            self.contract.rate_per_s * MICRO // MS_PER_S,
            self.contract.burst * MICRO,
            sum(part.tokens for part in parts) + lent.capacity,
            sum(part.rate for part in parts) + lent.rate,
            0 if is_starting else min(lender_retry_ms, default=MAX_FORECAST_MS),
        )

    def _refusal(
        self, item: PendingReservation | PendingTokenRequest, retry_after_ms: int
    ):
        if isinstance(item, PendingReservation):
            return Refused(item.request_id, retry_after_ms)
        retry_after_ms = min(retry_after_ms, self.settings.local_lease_ms // 2)
        body = RightsRefusal(self.name, item.token_request.sequence, retry_after_ms)
        return Send(item.borrower, body)
