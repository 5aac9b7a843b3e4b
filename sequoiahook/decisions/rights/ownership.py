"""Which contracts this instance keeps, and how much of them it may use."""

import random
from collections.abc import Mapping, Sequence

from sequoiahook.decisions import rendezvous
from sequoiahook.decisions.effects import Send
from sequoiahook.decisions.rights.account import Account
from sequoiahook.decisions.rights.keepership import Keepership
from sequoiahook.decisions.rights.settings import RightsSettings
from sequoiahook.decisions.rights.shares import Shares, share_out
from sequoiahook.messages.rights import (
    Amount,
    HandedPart,
    RightsClaim,
    RightsLeaving,
    RightsSettled,
    RightsSettledQuery,
    RightsYield,
    SettledNumber,
)
from sequoiahook.world.contract import Contract
from sequoiahook.world.view import DataCentreView

__all__ = ["Ownership"]

SETTLE_RETRY_MS = 500


class Ownership:
    """The accounts of an instance, with the keepers and shares behind them.

    Args:
        settings: The durations.
        name: Name of this instance.
        data_centre: Data centre of this instance.
        rng: Source of ids.
    """

    def __init__(
        self,
        settings: RightsSettings,
        name: str,
        data_centre: str,
        rng: random.Random,
    ):
        self._settings = settings
        self._name = name
        self._data_centre = data_centre
        self._rng = rng
        self._keepership = Keepership(settings, name, data_centre, rng)
        self.accounts_by_name: dict[str, Account] = {}
        self._shares_by_name: dict[str, Shares] = {}
        self._queried_ms_by_name: dict[str, int] = {}
        self._number = -1
        self._number_of_peers = -1

    def configure(
        self,
        number: int,
        contracts_by_name: Mapping[str, Contract],
        data_centres: Sequence[str],
        homes_by_name: Mapping[str, Sequence[str]],
    ) -> None:
        """Take in the contracts of a configuration; a lower number is ignored."""
        if number <= self._number:
            return
        self._number = number
        for name, contract in contracts_by_name.items():
            if name not in self.accounts_by_name:
                account = Account(name, self._settings, self._rng)
                self.accounts_by_name[name] = account
                self._shares_by_name[name] = Shares(self._data_centre)
            self.accounts_by_name[name].contract = contract
        for name, shares in self._shares_by_name.items():
            contract = contracts_by_name.get(name)
            homes = homes_by_name.get(name, data_centres)
            parts = share_out(name, contract, homes) if contract else {}
            is_proportional = bool(contract) and contract.burst >= len(homes)
            shares.configure(number, parts, is_proportional=is_proportional)

    def set_view(self, view: DataCentreView, now: int) -> None:
        """Take in the view of the own or another data centre."""
        is_changed = self._keepership.set_view(view, now)
        if is_changed and self._name not in view.instances:
            for account in self.accounts_by_name.values():
                account.give_up_base(now)

    def set_silent(self, silent_ms_by_name: Mapping[str, int], now: int) -> bool:
        """Take in how long instances have been silent; return whether it matters."""
        return self._keepership.set_silent(silent_ms_by_name, now)

    def note_heard(self, name: str, now: int) -> None:
        """Note that a message of an instance has come."""
        self._keepership.note_heard(name, now)

    def pause(self, now: int) -> None:
        """Trust nothing that was held before a pause."""
        for account in self.accounts_by_name.values():
            account.forget(now)
        self._keepership.pause(now)

    def leave(self) -> list[Send]:
        """Stop being a keeper, and return what tells the peers."""
        self._keepership.leave()
        body = RightsLeaving(self._keepership.view.number)
        return [Send(name, body) for name in self._keepership.peers()]

    def send_claims(self, now: int) -> list[Send]:
        """Assign every account, and return the claims that are due."""
        for account in self.accounts_by_name.values():
            self.assign(account, now)
        return [Send(name, body) for name, body in self._keepership.due_claims(now)]

    def next_claim_ms(self) -> int | None:
        """Return when claims are due."""
        return self._keepership.next_wake()

    def assign(self, account: Account, now: int) -> None:
        """Update an account's keeper, lenders and allowed share."""
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

    def settle(self, account: Account, now: int) -> list:
        """Return what asks other data centres whether a share may rise."""
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

    def on_claim(self, source: str, claim: RightsClaim, now: int) -> list:
        """Give up what a peer keeps from now on, and answer its claim."""
        view = DataCentreView(self._data_centre, claim.view_number, claim.instances)
        self.set_view(view, now)
        if claim.view_number != self._keepership.view.number:
            return []
        if source not in self._keepership.view.instances:
            return []
        parts = []
        settled = []
        lapse_ms = 0
        for account in self.accounts_by_name.values():
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
        return [Send(source, body)]

    def on_yield(self, source: str, answer: RightsYield, now: int) -> None:
        """Take over what a peer gives up."""
        if not self._keepership.on_yield(source, answer, now):
            return
        self._number_of_peers = max(self._number_of_peers, answer.number)
        for contract, number in answer.settled:
            if contract in self._shares_by_name:
                self._shares_by_name[contract].note_settled(number)
        for part in answer.parts:
            self._take_over(part, now)

    def on_leaving(self, source: str) -> None:
        """Note that a peer stops."""
        self._keepership.note_leaving(source)

    def on_settled_query(
        self, account: Account, source: str, query: RightsSettledQuery, now: int
    ) -> list:
        """Tell another data centre which number this one is within."""
        shares = self._shares_by_name[account.name]
        share = shares.share
        is_within = account.base.total.highest(share) == share
        if shares.number < query.number or not account.base.is_full(now):
            return []
        if not is_within:
            return []
        body = RightsSettled(account.name, self._data_centre, shares.number, False)
        return [Send(source, body)]

    def on_settled(self, settled: RightsSettled) -> None:
        """Note which number another data centre is within."""
        shares = self._shares_by_name[settled.contract]
        if settled.is_everywhere:
            shares.note_settled(settled.number)
        else:
            shares.note_number(settled.data_centre, settled.number)

    def _allowed(self, account: Account) -> Amount:
        shares = self._shares_by_name[account.name]
        if shares.number < self._number_of_peers:
            return account.base.total
        return shares.allowed

    def _lenders(self, account: Account, keeper: str | None) -> tuple[str, ...]:
        keepership = self._keepership
        is_other = keeper is not None and keeper != self._name
        if is_other and not keepership.is_quiet(keeper):
            return (keeper,)
        keepers = []
        for data_centre in rendezvous.order(account.name, keepership.data_centres):
            other = keepership.keeper(account.name, data_centre)
            is_own = data_centre == self._data_centre
            if other is not None and not is_own and not keepership.is_quiet(other):
                keepers.append(other)
        return tuple(keepers)

    def _take_over(self, handed: HandedPart, now: int) -> None:
        account = self.accounts_by_name.get(handed.contract)
        if account is None or account.base.part is not None:
            return
        if self._keepership.keeper(handed.contract, self._data_centre) != self._name:
            return
        account.base.allowed = handed.amount
        full_ms = now + handed.lapse_ms + self._settings.margin_ms
        account.base.start(handed.amount, full_ms, now)
        account.needs_claim = False
