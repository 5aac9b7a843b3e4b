"""Leadership of contracts at one instance, and the amounts that it may use."""

import random
from collections.abc import Mapping, Sequence

from sequoiahook.decisions import rendezvous
from sequoiahook.decisions.effects import Send
from sequoiahook.decisions.rights.account import Account
from sequoiahook.decisions.rights.leadership import Leadership
from sequoiahook.decisions.rights.settings import RightsSettings
from sequoiahook.decisions.rights.shares import Shares, divide_contract
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

SETTLED_QUERY_RETRY_MS = 500


class Ownership:
    """The accounts of an instance, and the leaders and shares that they depend on.

    Args:
        settings: Settings of the rights.
        name: Name of this instance.
        data_centre: Data centre of this instance.
        rng: Source of loan and claim ids.
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
        self._leadership = Leadership(settings, name, data_centre, rng)
        self.accounts_by_name: dict[str, Account] = {}
        self._shares_by_name: dict[str, Shares] = {}
        self._queried_at_by_name: dict[str, int] = {}
        self._configuration_number = -1
        self._peer_number = -1

    def configure(
        self,
        number: int,
        contracts_by_name: Mapping[str, Contract],
        data_centres: Sequence[str],
        data_centres_by_contract: Mapping[str, Sequence[str]],
    ) -> None:
        """Apply the contracts of a newer configuration; an older one is ignored."""
        if number <= self._configuration_number:
            return
        self._configuration_number = number
        for name, contract in contracts_by_name.items():
            if name not in self.accounts_by_name:
                account = Account(name, self._settings, self._rng)
                self.accounts_by_name[name] = account
                self._shares_by_name[name] = Shares(self._data_centre)
            self.accounts_by_name[name].contract = contract
        for name, shares in self._shares_by_name.items():
            contract = contracts_by_name.get(name)
            assigned = data_centres_by_contract.get(name, data_centres)
            portions = divide_contract(name, contract, assigned) if contract else {}
            is_proportional = bool(contract) and contract.burst >= len(assigned)
            shares.configure(number, portions, is_proportional=is_proportional)

    def set_view(self, view: DataCentreView, now: int) -> None:
        """Apply the view of this or another data centre."""
        is_changed = self._leadership.set_view(view, now)
        if is_changed and self._name not in view.instances:
            for account in self.accounts_by_name.values():
                account.give_up_share(now)

    def record_report_ages(
        self, report_age_ms_by_name: Mapping[str, int], now: int
    ) -> bool:
        """Record times without a report; return whether the state of a peer changed."""
        return self._leadership.record_report_ages(report_age_ms_by_name, now)

    def record_message(self, name: str, now: int) -> None:
        """Record the receipt of a message from an instance."""
        self._leadership.record_message(name, now)

    def pause(self, now: int) -> None:
        """Drop everything that was held before a pause of the process."""
        for account in self.accounts_by_name.values():
            account.reset(now)
        self._leadership.pause(now)

    def leave(self) -> list[Send]:
        """Resign as leader and return the messages that notify the peers."""
        self._leadership.leave()
        body = RightsLeaving(self._leadership.view.number)
        return [Send(name, body) for name in self._leadership.peers()]

    def send_claims(self, now: int) -> list[Send]:
        """Update the leader of every account and return the claims that are due."""
        for account in self.accounts_by_name.values():
            self.assign(account, now)
        return [Send(name, body) for name, body in self._leadership.due_claims(now)]

    def next_claim_at(self) -> int | None:
        """Return the time of the next claim; None if none is outstanding."""
        return self._leadership.next_wake()

    def assign(self, account: Account, now: int) -> None:
        """Update an account's leader, lenders and allowed share."""
        leadership = self._leadership
        leader = leadership.leader(account.name, self._data_centre)
        account.is_leader = leader == self._name
        account.local_instances = frozenset(leadership.view.instances)
        account.leader_share.allowed = self._allowed(account)
        account.lenders = self._lenders(account, leader)
        if not account.is_leader:
            account.needs_claim = True
        elif account.leader_share.part is not None:
            return
        elif account.needs_claim:
            leadership.claim(now)
            account.needs_claim = False
        elif leadership.is_claimed:
            account.leader_share.start(Amount(), leadership.starts_at, now)

    def query_settled(self, account: Account, now: int) -> list:
        """Return due queries to the data centres whose numbers are needed to settle."""
        shares = self._shares_by_name[account.name]
        missing = shares.unsettled_data_centres()
        if account.leader_share.part is None or not missing:
            return []
        queried_at = self._queried_at_by_name.get(account.name)
        if queried_at is not None and now < queried_at + SETTLED_QUERY_RETRY_MS:
            return []
        self._queried_at_by_name[account.name] = now
        body = RightsSettledQuery(account.name, shares.number)
        leaders = [self._leadership.leader(account.name, name) for name in missing]
        return [Send(name, body) for name in leaders if name is not None]

    def on_claim(self, source: str, claim: RightsClaim, now: int) -> list:
        """Yield the shares that the claiming peer leads, and answer its claim."""
        view = DataCentreView(self._data_centre, claim.view_number, claim.instances)
        self.set_view(view, now)
        if claim.view_number != self._leadership.view.number:
            return []
        if source not in self._leadership.view.instances:
            return []
        parts = []
        settled = []
        lapse_ms = 0
        for account in self.accounts_by_name.values():
            if not self._leadership.would_lead(account.name, source):
                continue
            number = self._shares_by_name[account.name].settled_number
            if number is not None:
                settled.append(SettledNumber(account.name, number))
            if account.leader_share.part is not None:
                amount, part_lapse_ms = account.give_up_share(now)
                parts.append(HandedPart(account.name, amount, part_lapse_ms))
            lapse_ms = max(lapse_ms, account.leader_share.lapse_ms(now))
        body = RightsYield(
            claim.claim_id,
            self._leadership.is_leaving,
            self._configuration_number,
            lapse_ms,
            tuple(parts),
            tuple(settled),
        )
        return [Send(source, body)]

    def on_yield(self, source: str, answer: RightsYield, now: int) -> None:
        """Take over the parts that a peer yields."""
        if not self._leadership.on_yield(source, answer, now):
            return
        self._peer_number = max(self._peer_number, answer.number)
        for contract, number in answer.settled:
            if contract in self._shares_by_name:
                self._shares_by_name[contract].record_settled(number)
        for part in answer.parts:
            self._take_over(part, now)

    def on_leaving(self, source: str) -> None:
        """Record that a peer is stopping."""
        self._leadership.record_leaving(source)

    def on_settled_query(
        self, account: Account, source: str, query: RightsSettledQuery, now: int
    ) -> list:
        """Answer with the number whose share this data centre does not exceed."""
        shares = self._shares_by_name[account.name]
        share = shares.share
        is_within = account.leader_share.total.highest(share) == share
        if shares.number < query.number or not account.leader_share.is_full(now):
            return []
        if not is_within:
            return []
        body = RightsSettled(account.name, self._data_centre, shares.number, False)
        return [Send(source, body)]

    def on_settled(self, settled: RightsSettled) -> None:
        """Record the number whose share another data centre does not exceed."""
        shares = self._shares_by_name[settled.contract]
        if settled.is_everywhere:
            shares.record_settled(settled.number)
        else:
            shares.record_number(settled.data_centre, settled.number)

    def _allowed(self, account: Account) -> Amount:
        shares = self._shares_by_name[account.name]
        if shares.number < self._peer_number:
            return account.leader_share.total
        return shares.allowed

    def _lenders(self, account: Account, leader: str | None) -> tuple[str, ...]:
        leadership = self._leadership
        is_other = leader is not None and leader != self._name
        if is_other and not leadership.is_unresponsive(leader):
            return (leader,)
        leaders = []
        for data_centre in rendezvous.order(account.name, leadership.data_centres):
            other = leadership.leader(account.name, data_centre)
            is_own = data_centre == self._data_centre
            if (
                other is not None
                and not is_own
                and not leadership.is_unresponsive(other)
            ):
                leaders.append(other)
        return tuple(leaders)

    def _take_over(self, handed: HandedPart, now: int) -> None:
        account = self.accounts_by_name.get(handed.contract)
        if account is None or account.leader_share.part is not None:
            return
        if self._leadership.leader(handed.contract, self._data_centre) != self._name:
            return
        account.leader_share.allowed = handed.amount
        full_at = now + handed.lapse_ms + self._settings.margin_ms
        account.leader_share.start(handed.amount, full_at, now)
        account.needs_claim = False
