"""One contract at one instance: its parts, reservations and waiting requests."""

import random
from collections.abc import Iterable
from typing import NamedTuple

from sequoiahook.clock import MS_PER_S
from sequoiahook.decisions.effects import Send
from sequoiahook.decisions.rights.base import Base
from sequoiahook.decisions.rights.borrowing import Borrowing
from sequoiahook.decisions.rights.demand import Demand
from sequoiahook.decisions.rights.effects import Committed, Lapsed, Refused, Reserved
from sequoiahook.decisions.rights.lending import Lending
from sequoiahook.decisions.rights.outlook import FOREVER_MS, Outlook
from sequoiahook.decisions.rights.part import Part
from sequoiahook.decisions.rights.settings import RightsSettings
from sequoiahook.decisions.rights.waits import AskWait, LocalWait
from sequoiahook.messages.rights import Amount, RightsRefusal
from sequoiahook.world.contract import MICRO, Contract

__all__ = ["Account", "Reservation"]


class Reservation(NamedTuple):
    """A token that is held for a request.

    Attributes:
        pieces: The parts that it was taken from, with the micro-units of each.
        expires_ms: When it counts as spent.
    """

    pieces: tuple[tuple[Part, int], ...]
    expires_ms: int


class Account:
    """A contract as one instance counts it.

    Args:
        name: Name of the contract.
        settings: The durations.
        rng: Source of loan ids.
    """

    def __init__(self, name: str, settings: RightsSettings, rng: random.Random):
        self.name = name
        self.settings = settings
        self.contract = Contract(1, 1)
        self.base = Base(settings)
        self.lending = Lending(settings, rng)
        self.borrowing = Borrowing(settings)
        self.demand = Demand(settings.demand_ms)
        self.waits: list[LocalWait | AskWait] = []
        self.reservations_by_id: dict[str, Reservation] = {}
        self.lenders: tuple[str, ...] = ()
        self.local_names: frozenset[str] = frozenset()
        self.is_keeper = False
        self.needs_claim = True

    def parts(self, now: int) -> list[Part]:
        """Return the parts that can be spent, own ones last, refilled."""
        parts = self.borrowing.usable_parts(now)
        if self.base.part is not None:
            parts.append(self.base.part)
        for part in parts:
            part.refill(now)
        return parts

    def reserve(self, request_id: str, wait_ms: int, units: int, now: int) -> list:
        """Ask for tokens for a request; see Rights.reserve."""
        if request_id in self.reservations_by_id:
            return [Reserved(request_id)]
        if any(self._is_of(wait, request_id) for wait in self.waits):
            return []
        if units > self.contract.burst:
            return [Refused(request_id, FOREVER_MS)]
        self.demand.note(units * MICRO, now)
        self.waits.append(LocalWait(request_id, units * MICRO, now + wait_ms))
        return []

    def may_commit(self, request_id: str, now: int) -> bool:
        """Return whether the reservation holds."""
        reservation = self.reservations_by_id.get(request_id)
        if reservation is None or reservation.expires_ms <= now:
            return False
        return all(part.is_usable(now) for part, _ in reservation.pieces)

    def lease_left_ms(self, request_id: str, now: int) -> int:
        """Return for how long the reservation certainly holds, even if this pauses."""
        if not self.may_commit(request_id, now):
            return 0
        reservation = self.reservations_by_id[request_id]
        ends = [reservation.expires_ms, now + self.settings.local_lease_ms]
        ends += [
            part.expires_ms
            for part, _ in reservation.pieces
            if part.expires_ms is not None
        ]
        return max(0, min(ends) - now)

    def commit(self, request_id: str, now: int) -> list:
        """Spend the token of a request; see Rights.commit."""
        is_held = self.may_commit(request_id, now)
        self._end(request_id, 0 if is_held else 1, now)
        return [Committed(request_id) if is_held else Lapsed(request_id)]

    def release(self, request_id: str, now: int) -> list:
        """Give the token of a request back; see Rights.release."""
        self.waits = [w for w in self.waits if not self._is_of(w, request_id)]
        self._end(request_id, 1, now)
        return []

    def expire(self, now: int) -> None:
        """Drop what has lapsed."""
        self.lending.expire(now)
        self.borrowing.expire(now)
        for request_id, reservation in list(self.reservations_by_id.items()):
            if reservation.expires_ms <= now:
                self._end(request_id, 0, now)
        self.base.adjust(now)

    def take_tokens(self, request_id: str, tokens: int, now: int) -> bool:
        """Reserve tokens for a request if the parts have them together."""
        pieces = self._pieces(self.parts(now), tokens)
        if not pieces:
            return False
        for part, amount in pieces:
            part.take(Amount(0, amount, amount), now)
            part.used_ms = now
        expires_ms = now + self.settings.reservation_lease_ms
        self.reservations_by_id[request_id] = Reservation(pieces, expires_ms)
        return True

    def refuse(self, now: int) -> list:
        """Refuse what waits in vain, and return the effects."""
        if not self.waits:
            return []
        effects: list = []
        waits = []
        before = 0
        outlook = self._outlook(now)
        for wait in self.waits:
            is_local = isinstance(wait, LocalWait)
            needed = before + (wait.tokens if is_local else MICRO)
            earliest_ms = outlook.earliest_ms(needed)
            if wait.deadline_ms <= now or now + earliest_ms > wait.deadline_ms:
                effects.append(self._refusal(wait, outlook.retry_after_ms(needed)))
            else:
                waits.append(wait)
                before += wait.tokens
        self.waits = waits
        return effects

    def forget(self, now: int) -> None:
        """Stop trusting everything that is held, after a pause."""
        self.needs_claim = True
        self.base.drop(self.lending.lapses_ms(now), now)
        self.lending.forget()
        self.borrowing.forget(now)
        self.waits = [wait for wait in self.waits if isinstance(wait, LocalWait)]

    def give_up_base(self, now: int) -> tuple[Amount, int]:
        """Stop keeping; what is reserved stays usable for a lease.

        Returns:
            The free part, debited, and after how long the rest has lapsed.
        """
        self.needs_claim = True
        lapses_ms = self.lending.lapses_ms(now)
        self.waits = [wait for wait in self.waits if isinstance(wait, LocalWait)]
        return self.base.give_up(lapses_ms, now)

    def held(self, now: int) -> Amount:
        """Return the share and the loans, at hand or lent on."""
        held = self.base.total
        for part in self.borrowing.usable_parts(now):
            held = held.plus(part.amount).plus(self.lending.outstanding(part))
        return held

    def local_demand(self, now: int) -> int:
        """Return the use here and, for a keeper, in its data centre."""
        demand = self.demand.rate(now)
        if self.is_keeper:
            demand += self.lending.demand(self.local_names, now)
        return demand

    def in_use(self) -> Iterable[Part]:
        """Return the parts that reservations were taken from."""
        for reservation in self.reservations_by_id.values():
            for part, _ in reservation.pieces:
                yield part

    def _is_of(self, wait: LocalWait | AskWait, request_id: str) -> bool:
        return isinstance(wait, LocalWait) and wait.request_id == request_id

    def _pieces(self, parts: list[Part], tokens: int) -> tuple[tuple[Part, int], ...]:
        for part in parts:
            if part.tokens >= tokens:
                return ((part, tokens),)
        pieces = []
        missing = tokens
        for part in parts:
            amount = min(missing, part.tokens)
            if amount:
                pieces.append((part, amount))
                missing -= amount
        return () if missing else tuple(pieces)

    def _end(self, request_id: str, token_share: int, now: int) -> None:
        reservation = self.reservations_by_id.pop(request_id, None)
        if reservation is None:
            return
        for part, amount in reservation.pieces:
            if part.is_usable(now):
                part.give(Amount(0, amount, amount * token_share), now)
        self.base.adjust(now)

    def _outlook(self, now: int) -> Outlook:
        parts = self.parts(now)
        lent = self.lending.outstanding(self.base.part)
        dry_until = self.borrowing.dry_until_by_lender
        dry_ms = [dry_until.get(lender, now) - now for lender in self.lenders]
        is_starting = self.is_keeper and not self.base.is_full(now)
        return Outlook(
            self.contract.rate_per_s * MICRO // MS_PER_S,
            self.contract.burst * MICRO,
            sum(part.tokens for part in parts) + lent.capacity,
            sum(part.rate for part in parts) + lent.rate,
            0 if is_starting else min(dry_ms, default=FOREVER_MS),
        )

    def _refusal(self, wait: LocalWait | AskWait, retry_after_ms: int):
        if isinstance(wait, LocalWait):
            return Refused(wait.request_id, retry_after_ms)
        retry_after_ms = min(retry_after_ms, self.settings.local_lease_ms // 2)
        body = RightsRefusal(self.name, wait.ask.sequence, retry_after_ms)
        return Send(wait.borrower, body)
