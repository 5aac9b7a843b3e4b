"""Rights of one instance: tokens that it spends, lends, borrows and leads."""

import itertools
import random
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from sequoiahook.decisions.rights.account import Account
from sequoiahook.decisions.rights.effects import Lapsed, Refused
from sequoiahook.decisions.rights.granting import on_token_request, serve_pending
from sequoiahook.decisions.rights.ownership import Ownership
from sequoiahook.decisions.rights.requesting import TokenRequestIds, request_tokens
from sequoiahook.decisions.rights.schedule import next_due_at
from sequoiahook.decisions.rights.settings import RightsSettings
from sequoiahook.messages.rights import (
    Amount,
    RightsAsk,
    RightsClaim,
    RightsGrant,
    RightsLeaving,
    RightsRefusal,
    RightsSettled,
    RightsSettledQuery,
    RightsYield,
)
from sequoiahook.world.contract import Contract
from sequoiahook.world.view import DataCentreView

__all__ = ["Holdings", "Rights"]

SETTLED_QUERY_RETRY_MS = 500
UNKNOWN_CONTRACT_RETRY_MS = 1000
TICKS_PER_LEASE = 4
"""Number of times in a lease at which an instance checks its clock for a pause."""


class Holdings(NamedTuple):
    """Amounts that an instance holds of one contract; they do not overlap.

    Attributes:
        own: Free amount of the share that it leads.
        borrowed: Free amount of its loans.
        lent: Amount that borrowers may still hold.
        reserved: Micro-units withheld for valid reservations.
        waiting: Number of pending reservations and token requests.
    """

    own: Amount
    borrowed: Amount
    lent: Amount
    reserved: int
    waiting: int


class Rights:
    """Contracts as one instance uses, leads and lends them.

    Every call takes ``now``, the process's monotonic time in milliseconds, and returns
    a list of effects: Send, Reserved, Refused, Committed and Lapsed. A call that comes
    more than a lease after the previous one first drops everything that is held.

    Args:
        settings: Settings of the rights.
        instance_name: Name of this instance.
        data_centre: Data centre of this instance.
        rng: Source of loan, claim and run ids.
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
        sequences = itertools.count(rng.getrandbits(60))
        self._token_request_ids = TokenRequestIds(rng.getrandbits(62), sequences)
        self._ownership = Ownership(settings, instance_name, data_centre, rng)
        self._accounts_by_name = self._ownership.accounts_by_name
        self._contract_by_request_id: dict[str, str] = {}
        self._last_call_at: int | None = None
        self._advanced_at: int | None = None

    def configure(
        self,
        configuration_number: int,
        contracts_by_name: Mapping[str, Contract],
        data_centres: Sequence[str],
        now: int,
        data_centres_by_contract: Mapping[str, Sequence[str]] | None = None,
    ) -> list:
        """Apply the contracts of a newer configuration; an older one is ignored.

        Args:
            configuration_number: Number of the configuration.
            contracts_by_name: All contracts.
            data_centres: Data centres that share a contract by default.
            now: The time in milliseconds.
            data_centres_by_contract: Data centres of the contracts that not every
                data centre uses.
        """
        self._check_for_pause(now)
        self._ownership.configure(
            configuration_number,
            contracts_by_name,
            data_centres,
            data_centres_by_contract or {},
        )
        return self._advance_all(now)

    def set_view(self, view: DataCentreView, now: int) -> list:
        """Apply the view of this or another data centre."""
        self._check_for_pause(now)
        self._ownership.set_view(view, now)
        return self._advance_all(now)

    def record_report_ages(
        self, report_age_ms_by_name: Mapping[str, int], now: int
    ) -> list:
        """Record the time since the last report of other instances, in milliseconds.

        Instances that are not named count as responsive.
        """
        self._check_for_pause(now)
        if not self._ownership.record_report_ages(report_age_ms_by_name, now):
            return []
        return self._advance_all(now)

    def reserve(
        self,
        request_id: str,
        contract_name: str,
        wait_ms: int,
        now: int,
        units: int = 1,
    ) -> list:
        """Request tokens for a request.

        Args:
            request_id: The request; repeating it reserves once.
            contract_name: The contract.
            wait_ms: How long the request may wait; 0 to refuse at once.
            now: The time in milliseconds.
            units: How many tokens it needs; more than the burst is always refused.

        Returns:
            Effects; Reserved or Refused for the request follows now or later.
        """
        self._check_for_pause(now)
        account = self._accounts_by_name.get(contract_name)
        if account is None:
            return [Refused(request_id, UNKNOWN_CONTRACT_RETRY_MS)]
        self._contract_by_request_id[request_id] = contract_name
        effects = account.reserve(request_id, wait_ms, units, now)
        return self._drop_refused(effects) + self._advance(account, now)

    def may_commit(self, request_id: str, now: int) -> bool:
        """Return whether the reservation of a request is valid now."""
        self._check_for_pause(now)
        account = self._account_for(request_id)
        return account is not None and account.may_commit(request_id, now)

    def lease_left_ms(self, request_id: str, now: int) -> int:
        """Return for how long a request may be sent under its reservation.

        A request that another instance sends must be sent within this time, counted
        from now, as another instance may use the token afterwards.
        """
        self._check_for_pause(now)
        account = self._account_for(request_id)
        return 0 if account is None else account.lease_left_ms(request_id, now)

    def commit(self, request_id: str, now: int) -> list:
        """Spend the tokens of a request, right before the request is sent.

        Returns:
            Effects; Committed if it may be sent, Lapsed if it may not.
        """
        self._check_for_pause(now)
        account = self._account_for(request_id)
        self._contract_by_request_id.pop(request_id, None)
        if account is None:
            return [Lapsed(request_id)]
        return account.commit(request_id, now) + self._advance(account, now)

    def release(self, request_id: str, now: int) -> list:
        """Return the tokens of a request that certainly does not run."""
        self._check_for_pause(now)
        account = self._account_for(request_id)
        self._contract_by_request_id.pop(request_id, None)
        if account is None:
            return []
        return account.release(request_id, now) + self._advance(account, now)

    def handle(self, source: str, body: tuple, now: int) -> list:
        """Apply a message of another instance and return the effects."""
        self._check_for_pause(now)
        self._ownership.record_message(source, now)
        if isinstance(body, RightsClaim | RightsYield | RightsLeaving):
            return self._handle_leadership(source, body, now) + self._advance_all(now)
        account = self._accounts_by_name.get(body.contract)
        if account is None:
            return []
        effects = self._handle_contract(account, source, body, now)
        return effects + self._advance(account, now)

    def tick(self, now: int) -> list:
        """Perform the actions that are due and return the effects."""
        self._check_for_pause(now)
        return self._advance_all(now)

    def next_wake(self, now: int) -> int:
        """Return when to call tick next, in milliseconds.

        A call that comes more than a lease after the previous one counts as a pause.
        """
        advanced_at = now if self._advanced_at is None else self._advanced_at
        times = [advanced_at + self._settings.local_lease_ms // TICKS_PER_LEASE]
        claim_at = self._ownership.next_claim_at()
        if claim_at is not None:
            times.append(claim_at)
        times += [
            next_due_at(account, advanced_at)
            for account in self._accounts_by_name.values()
        ]
        return max(now + 1, min(times))

    def hand_over(self, now: int) -> list:
        """Offer the shares that this instance leads to its peers before it stops."""
        self._check_for_pause(now)
        effects: list = self._ownership.leave()
        return effects + self._advance_all(now)

    def is_leader(self, contract_name: str) -> bool:
        """Return whether this instance holds its data centre's share of a contract."""
        return self._accounts_by_name[contract_name].leader_share.part is not None

    def holdings(self, contract_name: str, now: int) -> Holdings:
        """Return the amounts that this instance holds of a contract."""
        account = self._accounts_by_name[contract_name]
        own = account.leader_share.part
        if own is not None:
            own.refill(now)
        borrowed = Amount()
        for part in account.borrowing.usable_parts(now):
            part.refill(now)
            borrowed = borrowed.plus(part.amount)
        lent = Amount()
        for loan in account.lending.loans_by_id.values():
            lent = lent.plus(loan.outstanding._replace(tokens=0))
        reserved = sum(
            amount
            for reservation in account.reservations_by_id.values()
            for part, amount in reservation.debits
            if part.is_usable(now)
        )
        waiting = len(account.pending)
        return Holdings(
            own.amount if own else Amount(), borrowed, lent, reserved, waiting
        )

    def _check_for_pause(self, now: int) -> None:
        last_call_at, self._last_call_at = self._last_call_at, now
        if last_call_at is None or now - last_call_at <= self._settings.local_lease_ms:
            return
        self._ownership.pause(now)

    def _account_for(self, request_id: str) -> Account | None:
        name = self._contract_by_request_id.get(request_id)
        return self._accounts_by_name.get(name) if name else None

    def _advance_all(self, now: int) -> list:
        self._advanced_at = now
        effects: list = self._ownership.send_claims(now)
        for account in self._accounts_by_name.values():
            effects += self._advance(account, now)
        return effects

    def _advance(self, account: Account, now: int) -> list:
        self._ownership.assign(account, now)
        account.expire(now)
        effects = serve_pending(account, now)
        effects += account.refuse_unservable(now)
        effects += request_tokens(account, self._token_request_ids, now)
        effects += self._ownership.query_settled(account, now)
        return self._drop_refused(effects)

    def _drop_refused(self, effects: list) -> list:
        for effect in effects:
            if isinstance(effect, Refused):
                self._contract_by_request_id.pop(effect.request_id, None)
        return effects

    def _handle_leadership(self, source: str, body: tuple, now: int) -> list:
        match body:
            case RightsClaim():
                return self._ownership.on_claim(source, body, now)
            case RightsYield():
                self._ownership.on_yield(source, body, now)
            case RightsLeaving():
                self._ownership.on_leaving(source)
        return []

    def _handle_contract(
        self, account: Account, source: str, body: tuple, now: int
    ) -> list:
        self._ownership.assign(account, now)
        account.expire(now)
        match body:
            case RightsAsk():
                return on_token_request(account, source, body, now)
            case RightsGrant():
                account.borrowing.on_grant(source, body, now)
            case RightsRefusal():
                account.borrowing.on_refusal(source, body, now)
            case RightsSettledQuery():
                return self._ownership.on_settled_query(account, source, body, now)
            case RightsSettled():
                self._ownership.on_settled(body)
        return []
