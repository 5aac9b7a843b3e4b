"""Rights of one instance: what it may spend, lends, borrows and keeps."""

import itertools
import random
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from sequoiahook.decisions.rights.account import Account
from sequoiahook.decisions.rights.asking import AskIds, ask_lenders
from sequoiahook.decisions.rights.effects import Lapsed, Refused
from sequoiahook.decisions.rights.ownership import Ownership
from sequoiahook.decisions.rights.settings import RightsSettings
from sequoiahook.decisions.rights.supply import on_ask, serve
from sequoiahook.decisions.rights.wake import account_wake
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
        sequences = itertools.count(rng.getrandbits(60))
        self._ask_ids = AskIds(rng.getrandbits(62), sequences)
        self._ownership = Ownership(settings, instance_name, data_centre, rng)
        self._accounts_by_name = self._ownership.accounts_by_name
        self._name_by_request_id: dict[str, str] = {}
        self._seen_ms: int | None = None
        self._done_ms: int | None = None

    def configure(
        self,
        configuration_number: int,
        contracts_by_name: Mapping[str, Contract],
        data_centres: Sequence[str],
        now: int,
        homes_by_name: Mapping[str, Sequence[str]] | None = None,
    ) -> list:
        """Take in the contracts of a configuration; a lower number is ignored.

        Args:
            configuration_number: Number of the configuration.
            contracts_by_name: Every contract.
            data_centres: The data centres that share each contract.
            now: The time in milliseconds.
            homes_by_name: Fewer data centres for some contracts, because nobody else
                uses them.
        """
        self._look_at_clock(now)
        self._ownership.configure(
            configuration_number, contracts_by_name, data_centres, homes_by_name or {}
        )
        return self._pump_all(now)

    def set_view(self, view: DataCentreView, now: int) -> list:
        """Take in the view of the own or another data centre."""
        self._look_at_clock(now)
        self._ownership.set_view(view, now)
        return self._pump_all(now)

    def set_alive(self, silent_ms_by_name: Mapping[str, int], now: int) -> list:
        """Take in how long each other instance has been silent, in milliseconds.

        Instances that are not named count as heard from.
        """
        self._look_at_clock(now)
        if not self._ownership.set_silent(silent_ms_by_name, now):
            return []
        return self._pump_all(now)

    def reserve(
        self,
        request_id: str,
        contract_name: str,
        wait_ms: int,
        now: int,
        units: int = 1,
    ) -> list:
        """Ask for tokens for a request.

        Args:
            request_id: The request; repeating it reserves once.
            contract_name: The contract.
            wait_ms: How long the request may wait; 0 to refuse at once.
            now: The time in milliseconds.
            units: How many tokens it needs; more than the burst is always refused.

        Returns:
            Effects; Reserved or Refused for the request comes now or later.
        """
        self._look_at_clock(now)
        account = self._accounts_by_name.get(contract_name)
        if account is None:
            return [Refused(request_id, UNKNOWN_RETRY_MS)]
        self._name_by_request_id[request_id] = contract_name
        effects = account.reserve(request_id, wait_ms, units, now)
        return self._forget_refused(effects) + self._pump(account, now)

    def may_commit(self, request_id: str, now: int) -> bool:
        """Return whether the reservation of a request holds at this moment."""
        self._look_at_clock(now)
        account = self._account_of(request_id)
        return account is not None and account.may_commit(request_id, now)

    def lease_left_ms(self, request_id: str, now: int) -> int:
        """Return for how long a request may be sent under its reservation.

        A request that another instance sends must be sent within this time, counted
        from now, since by then the token may be somebody else's.
        """
        self._look_at_clock(now)
        account = self._account_of(request_id)
        return 0 if account is None else account.lease_left_ms(request_id, now)

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
        self._ownership.note_heard(source, now)
        if isinstance(body, RightsClaim | RightsYield | RightsLeaving):
            return self._handle_peer(source, body, now) + self._pump_all(now)
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
        done_ms = now if self._done_ms is None else self._done_ms
        wakes = [done_ms + self._settings.local_lease_ms // PAUSE_PARTS]
        claim_ms = self._ownership.next_claim_ms()
        if claim_ms is not None:
            wakes.append(claim_ms)
        wakes += [
            account_wake(account, done_ms)
            for account in self._accounts_by_name.values()
        ]
        return max(now + 1, min(wakes))

    def hand_over(self, now: int) -> list:
        """Ask the peers to take over what this instance keeps, as it stops."""
        self._look_at_clock(now)
        effects: list = self._ownership.leave()
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
        self._ownership.pause(now)

    def _account_of(self, request_id: str) -> Account | None:
        name = self._name_by_request_id.get(request_id)
        return self._accounts_by_name.get(name) if name else None

    def _pump_all(self, now: int) -> list:
        self._done_ms = now
        effects: list = self._ownership.send_claims(now)
        for account in self._accounts_by_name.values():
            effects += self._pump(account, now)
        return effects

    def _pump(self, account: Account, now: int) -> list:
        self._ownership.assign(account, now)
        account.expire(now)
        effects = serve(account, now)
        effects += account.refuse(now)
        effects += ask_lenders(account, self._ask_ids, now)
        effects += self._ownership.settle(account, now)
        return self._forget_refused(effects)

    def _forget_refused(self, effects: list) -> list:
        for effect in effects:
            if isinstance(effect, Refused):
                self._name_by_request_id.pop(effect.request_id, None)
        return effects

    def _handle_peer(self, source: str, body: tuple, now: int) -> list:
        match body:
            case RightsClaim():
                return self._ownership.on_claim(source, body, now)
            case RightsYield():
                self._ownership.on_yield(source, body, now)
            case RightsLeaving():
                self._ownership.on_leaving(source)
        return []

    def _handle_for(self, account: Account, source: str, body: tuple, now: int) -> list:
        self._ownership.assign(account, now)
        account.expire(now)
        match body:
            case RightsAsk():
                return on_ask(account, source, body, now)
            case RightsGrant():
                account.borrowing.on_grant(source, body, now)
            case RightsRefusal():
                account.borrowing.on_refusal(source, body, now)
            case RightsSettledQuery():
                return self._ownership.on_settled_query(account, source, body, now)
            case RightsSettled():
                self._ownership.on_settled(body)
        return []
