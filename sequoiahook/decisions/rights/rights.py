"""Rights of one instance: what it may spend, lends, borrows and keeps."""

import itertools
import random
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from sequoiahook.decisions import rendezvous
from sequoiahook.decisions.effects import Send
from sequoiahook.decisions.rights.account import Account
from sequoiahook.decisions.rights.asking import AskIds, ask_lenders
from sequoiahook.decisions.rights.effects import Lapsed, Refused
from sequoiahook.decisions.rights.keepership import Keepership
from sequoiahook.decisions.rights.settings import RightsSettings
from sequoiahook.decisions.rights.shares import Shares, share_out
from sequoiahook.decisions.rights.supply import on_ask, serve
from sequoiahook.decisions.rights.wake import account_wake
from sequoiahook.messages.rights import (
    Amount,
    HandedPart,
    RightsAsk,
    RightsClaim,
    RightsGrant,
    RightsLeaving,
    RightsRefusal,
    RightsSettled,
    RightsSettledQuery,
    RightsYield,
    SettledNumber,
)
from sequoiahook.world.contract import Contract
from sequoiahook.world.view import DataCentreView

__all__ = ["Figures", "Rights"]

SETTLE_RETRY_MS = 500
UNKNOWN_RETRY_MS = 1000
PAUSE_PARTS = 4
"""How many times in a lease an instance looks at its clock."""


class Figures(NamedTuple):
    """What an instance holds of one contract; the amounts do not overlap.

    Attributes:
        own: Free amount of the share that it keeps.
        borrowed: Free amount of its loans.
        lent: Amount that it counts as lent.
        reserved: Micro-units withheld for reservations that still hold.
        waiting: Requests and asks that wait.
    """

    own: Amount
    borrowed: Amount
    lent: Amount
    reserved: int
    waiting: int


class Rights:
    """Contracts as one instance uses, keeps and lends them.

    Every call takes ``now``, the process's monotonic time in milliseconds, and returns
    a list of effects: Send, Reserved, Refused, Committed and Lapsed. A call that comes
    after a gap longer than a lease drops everything that is held before it acts.

    Args:
        settings: The durations.
        instance_name: Name of this instance.
        data_centre: Data centre of this instance.
        rng: Source of ids.
    """

    def __init__(
        self,
        settings: RightsSettings,
        instance_name: str,
        data_centre: str,
        rng: random.Random,
    ):
        self._settings = settings
        self._name = instance_name
        self._data_centre = data_centre
        self._rng = rng
        sequences = itertools.count(rng.getrandbits(60))
        self._ask_ids = AskIds(rng.getrandbits(62), sequences)
        self._keepership = Keepership(settings, instance_name, data_centre, rng)
        self._accounts_by_name: dict[str, Account] = {}
        self._shares_by_name: dict[str, Shares] = {}
        self._name_by_request_id: dict[str, str] = {}
        self._queried_ms_by_name: dict[str, int] = {}
        self._seen_ms: int | None = None
        self._number = -1
        self._number_of_peers = -1

    def configure(
        self,
        configuration_number: int,
        contracts_by_name: Mapping[str, Contract],
        data_centres: Sequence[str],
        now: int,
    ) -> list:
        """Take in the contracts of a configuration; a lower number is ignored."""
        self._look_at_clock(now)
        if configuration_number <= self._number:
            return []
        self._number = configuration_number
        for name, contract in contracts_by_name.items():
            if name not in self._accounts_by_name:
                account = Account(name, self._settings, self._rng)
                self._accounts_by_name[name] = account
                self._shares_by_name[name] = Shares(self._data_centre)
            self._accounts_by_name[name].contract = contract
        for name, shares in self._shares_by_name.items():
            contract = contracts_by_name.get(name)
            parts = share_out(name, contract, data_centres) if contract else {}
            shares.configure(configuration_number, parts)
        return self._pump_all(now)

    def set_view(self, view: DataCentreView, now: int) -> list:
        """Take in the view of the own or another data centre."""
        self._look_at_clock(now)
        is_changed = self._keepership.set_view(view, now)
        if is_changed and self._name not in view.instances:
            for account in self._accounts_by_name.values():
                account.give_up_base(now)
        return self._pump_all(now)

    def set_alive(self, silent_ms_by_name: Mapping[str, int], now: int) -> list:
        """Take in how long each other instance has been silent, in milliseconds.

        Instances that are not named count as heard from.
        """
        self._look_at_clock(now)
        if not self._keepership.set_silent(silent_ms_by_name):
            return []
        return self._pump_all(now)

    def reserve(
        self, request_id: str, contract_name: str, wait_ms: int, now: int
    ) -> list:
        """Ask for a token for a request.

        Args:
            request_id: The request; repeating it reserves once.
            contract_name: The contract.
            wait_ms: How long the request may wait; 0 to refuse at once.
            now: The time in milliseconds.

        Returns:
            Effects; Reserved or Refused for the request comes now or later.
        """
        self._look_at_clock(now)
        account = self._accounts_by_name.get(contract_name)
        if account is None:
            return [Refused(request_id, UNKNOWN_RETRY_MS)]
        self._name_by_request_id[request_id] = contract_name
        effects = account.reserve(request_id, wait_ms, now)
        return effects + self._pump(account, now)

    def may_commit(self, request_id: str, now: int) -> bool:
        """Return whether the reservation of a request holds at this moment."""
        self._look_at_clock(now)
        account = self._account_of(request_id)
        return account is not None and account.may_commit(request_id, now)

    def commit(self, request_id: str, now: int) -> list:
        """Spend the token of a request, right before the request is sent.

        Returns:
            Effects; Committed if it may be sent, Lapsed if it may not.
        """
        self._look_at_clock(now)
        account = self._account_of(request_id)
        self._name_by_request_id.pop(request_id, None)
        if account is None:
            return [Lapsed(request_id)]
        return account.commit(request_id, now) + self._pump(account, now)

    def release(self, request_id: str, now: int) -> list:
        """Give back the token of a request that certainly does not run."""
        self._look_at_clock(now)
        account = self._account_of(request_id)
        self._name_by_request_id.pop(request_id, None)
        if account is None:
            return []
        return account.release(request_id, now) + self._pump(account, now)

    def handle(self, source: str, body: tuple, now: int) -> list:
        """Take in a message of another instance."""
        self._look_at_clock(now)
        match body:
            case RightsClaim():
                return self._on_claim(source, body, now)
            case RightsYield():
                return self._on_yield(source, body, now)
            case RightsLeaving():
                return self._on_leaving(source, now)
        account = self._accounts_by_name.get(body.contract)
        if account is None:
            return []
        effects = self._handle_for(account, source, body, now)
        return effects + self._pump(account, now)

    def tick(self, now: int) -> list:
        """Do what is due."""
        self._look_at_clock(now)
        return self._pump_all(now)

    def next_wake(self, now: int) -> int:
        """Return when to call tick next, in milliseconds.

        A call that comes more than a lease after the previous one counts as a pause.
        """
        seen_ms = now if self._seen_ms is None else self._seen_ms
        wakes = [seen_ms + self._settings.local_lease_ms // PAUSE_PARTS]
        claim_ms = self._keepership.next_wake()
        if claim_ms is not None:
            wakes.append(claim_ms)
        wakes += [
            account_wake(account, seen_ms)
            for account in self._accounts_by_name.values()
        ]
        return max(now + 1, min(wakes))

    def hand_over(self, now: int) -> list:
        """Ask the peers to take over what this instance keeps, as it stops."""
        self._look_at_clock(now)
        self._keepership.leave()
        body = RightsLeaving(self._keepership.view.number)
        effects: list = [Send(name, body) for name in self._keepership.peers()]
        return effects + self._pump_all(now)

    def is_keeper(self, contract_name: str) -> bool:
        """Return whether the instance holds its data centre's share."""
        return self._accounts_by_name[contract_name].base.part is not None

    def figures(self, contract_name: str, now: int) -> Figures:
        """Return what the instance holds of a contract."""
        account = self._accounts_by_name[contract_name]
        own = account.base.part
        if own is not None:
            own.refill(now)
        borrowed = Amount()
        for part in account.borrowing.usable_parts(now):
            part.refill(now)
            borrowed = borrowed.plus(part.amount)
        lent = Amount()
        for loan in account.lending.lent_by_id.values():
            lent = lent.plus(loan.outstanding._replace(tokens=0))
        reserved = sum(
            amount
            for reservation in account.reservations_by_id.values()
            for part, amount in reservation.pieces
            if part.is_usable(now)
        )
        waiting = len(account.waits)
        return Figures(
            own.amount if own else Amount(), borrowed, lent, reserved, waiting
        )

    def _look_at_clock(self, now: int) -> None:
        seen_ms, self._seen_ms = self._seen_ms, now
        if seen_ms is None or now - seen_ms <= self._settings.local_lease_ms:
            return
        for account in self._accounts_by_name.values():
            account.forget(now)
        self._keepership.pause(now)

    def _account_of(self, request_id: str) -> Account | None:
        name = self._name_by_request_id.get(request_id)
        return self._accounts_by_name.get(name) if name else None

    def _pump_all(self, now: int) -> list:
        for account in self._accounts_by_name.values():
            self._assign(account, now)
        effects = self._send_claims(now)
        for account in self._accounts_by_name.values():
            effects += self._pump(account, now)
        return effects

    def _send_claims(self, now: int) -> list:
        return [Send(name, body) for name, body in self._keepership.due_claims(now)]

    def _pump(self, account: Account, now: int) -> list:
        self._assign(account, now)
        account.expire(now)
        effects = serve(account, now)
        effects += account.refuse(now)
        effects += ask_lenders(account, self._ask_ids, now)
        effects += self._settle(account, now)
        for effect in effects:
            if isinstance(effect, Refused):
                self._name_by_request_id.pop(effect.request_id, None)
        return effects

    def _assign(self, account: Account, now: int) -> None:
        keepership = self._keepership
        keeper = keepership.keeper(account.name, self._data_centre)
        account.is_keeper = keeper == self._name
        account.local_names = frozenset(keepership.view.instances)
        account.base.allowed = self._allowed(account)
        account.lenders = self._lenders(account, keeper)
        if not account.is_keeper:
            account.needs_claim = True
        elif account.base.part is not None:
            return
        elif account.needs_claim:
            keepership.claim(now)
            account.needs_claim = False
        elif keepership.is_claimed:
            account.base.start(Amount(), keepership.starts_ms, now)

    def _allowed(self, account: Account) -> Amount:
        shares = self._shares_by_name[account.name]
        if shares.number < self._number_of_peers:
            return account.base.total
        return shares.allowed

    def _lenders(self, account: Account, keeper: str | None) -> tuple[str, ...]:
        if not account.is_keeper:
            return (keeper,) if keeper else ()
        keepers = []
        for data_centre in rendezvous.order(
            account.name, self._keepership.data_centres
        ):
            other = self._keepership.keeper(account.name, data_centre)
            if data_centre != self._data_centre and other is not None:
                keepers.append(other)
        return tuple(keepers)

    def _handle_for(self, account: Account, source: str, body: tuple, now: int) -> list:
        self._assign(account, now)
        account.expire(now)
        match body:
            case RightsAsk():
                return on_ask(account, source, body, now)
            case RightsGrant():
                account.borrowing.on_grant(source, body, now)
            case RightsRefusal():
                account.borrowing.on_refusal(source, body, now)
            case RightsSettledQuery():
                return self._on_settled_query(account, source, body, now)
            case RightsSettled():
                self._on_settled(body)
        return []

    def _on_claim(self, source: str, claim: RightsClaim, now: int) -> list:
        view = DataCentreView(self._data_centre, claim.view_number, claim.instances)
        effects = self.set_view(view, now)
        if claim.view_number != self._keepership.view.number:
            return effects
        if source not in self._keepership.view.instances:
            return effects
        parts = []
        settled = []
        lapse_ms = 0
        for account in self._accounts_by_name.values():
            if not self._keepership.would_keep(account.name, source):
                continue
            number = self._shares_by_name[account.name].settled_number
            if number is not None:
                settled.append(SettledNumber(account.name, number))
            if account.base.part is not None:
                amount, part_lapse_ms = account.give_up_base(now)
                parts.append(HandedPart(account.name, amount, part_lapse_ms))
            lapse_ms = max(lapse_ms, account.base.lapse_ms(now))
        body = RightsYield(
            claim.claim_id,
            self._keepership.is_leaving,
            self._number,
            lapse_ms,
            tuple(parts),
            tuple(settled),
        )
        return [*effects, Send(source, body), *self._pump_all(now)]

    def _on_yield(self, source: str, answer: RightsYield, now: int) -> list:
        if not self._keepership.on_yield(source, answer, now):
            return []
        self._number_of_peers = max(self._number_of_peers, answer.number)
        for contract, number in answer.settled:
            if contract in self._shares_by_name:
                self._shares_by_name[contract].note_settled(number)
        for part in answer.parts:
            self._take_over(part, now)
        return self._pump_all(now)

    def _take_over(self, handed: HandedPart, now: int) -> None:
        account = self._accounts_by_name.get(handed.contract)
        if account is None or account.base.part is not None:
            return
        if self._keepership.keeper(handed.contract, self._data_centre) != self._name:
            return
        account.base.allowed = handed.amount
        full_ms = now + handed.lapse_ms + self._settings.margin_ms
        account.base.start(handed.amount, full_ms, now)
        account.needs_claim = False

    def _on_leaving(self, source: str, now: int) -> list:
        if not self._keepership.note_leaving(source):
            return []
        return self._pump_all(now)

    def _settle(self, account: Account, now: int) -> list:
        shares = self._shares_by_name[account.name]
        missing = shares.unsettled_data_centres()
        if account.base.part is None or not missing:
            return []
        queried_ms = self._queried_ms_by_name.get(account.name)
        if queried_ms is not None and now < queried_ms + SETTLE_RETRY_MS:
            return []
        self._queried_ms_by_name[account.name] = now
        body = RightsSettledQuery(account.name, shares.number)
        keepers = [self._keepership.keeper(account.name, name) for name in missing]
        return [Send(name, body) for name in keepers if name is not None]

    def _on_settled_query(
        self, account: Account, source: str, query: RightsSettledQuery, now: int
    ) -> list:
        shares = self._shares_by_name[account.name]
        share = shares.share
        is_within = account.base.total.highest(share) == share
        if shares.number < query.number or not account.base.is_full(now):
            return []
        if not is_within:
            return []
        body = RightsSettled(account.name, self._data_centre, shares.number, False)
        return [Send(source, body)]

    def _on_settled(self, settled: RightsSettled) -> None:
        shares = self._shares_by_name[settled.contract]
        if settled.is_everywhere:
            shares.note_settled(settled.number)
        else:
            shares.note_number(settled.data_centre, settled.number)
