"""The pools that an instance owns, and what it tells others of them."""

import random
from collections.abc import Iterable

from sequoiahook.decisions.effects import Send
from sequoiahook.decisions.exchange.executor import Executor
from sequoiahook.decisions.exchange.target_result import Stage, TargetResult
from sequoiahook.decisions.instance.transfers import Transfers
from sequoiahook.decisions.membership.membership import Membership
from sequoiahook.decisions.placement.credit import Credit
from sequoiahook.decisions.placement.lender import CreditLender
from sequoiahook.decisions.placement.settings import PlacementSettings
from sequoiahook.decisions.pool.effects import PoolEffect, TargetReport
from sequoiahook.decisions.pool.pool import Pool
from sequoiahook.decisions.pool.settings import PoolSettings
from sequoiahook.decisions.pool.shares import shares
from sequoiahook.messages.membership import LIVE
from sequoiahook.messages.ownership import (
    PoolAcceptance,
    PoolOffer,
    PoolTransfer,
)
from sequoiahook.messages.pools import CreditAsk, PoolHandover, PoolSummary
from sequoiahook.messages.requests import HandOver, MessageId
from sequoiahook.world.configuration import Configuration
from sequoiahook.world.instance import Instance
from sequoiahook.world.target import Target

__all__ = ["OwnedPool", "PoolOwner", "pool_key"]

OFFER_ID_BITS = 48
SUMMARY_INTERVAL_MS = 500
TRANSFER_GRACE_MS = 3_000
"""Below the time after which a successor may act without a transfer."""

SERVER_ERROR_STATUS = 500
_FAULTS = frozenset(
    {
        Stage.ANSWER_TRUNCATED,
        Stage.CONNECT_REFUSED,
        Stage.CONNECT_TIMEOUT,
        Stage.PARTLY_WRITTEN,
        Stage.WRITTEN_NO_ANSWER,
    }
)


def pool_key(service: str) -> str:
    """Return the key by which the owner of a service's pool is found."""
    return f"pool/{service}"


class OwnedPool:
    """A pool as the executor uses it: results of exchanges become reports.

    Args:
        pool: The pool.
        lender: Lends credit for the pool.
    """

    def __init__(self, pool: Pool, lender: CreditLender):
        self.pool = pool
        self.lender = lender
        self.is_transferred = False
        self.lost_at: int | None = None
        self._pending: list[PoolEffect] = []

    def configure(self, targets: list[Target], warm_up_ms: int, now: int) -> None:
        """Take the targets; what follows from that is returned by the next tick."""
        self._pending += self.pool.configure(targets, warm_up_ms, now)

    def take_over(self, previous_runs_ms: int, now: int) -> None:
        """Begin after an owner that was lost and may have work running."""
        self._pending += self.pool.take_over(now, now + previous_runs_ms)

    def take_transfer(self, handover: PoolHandover, now: int) -> None:
        """Begin after an owner that told what it has running."""
        self.is_transferred = True
        self._pending += self.pool.take_over(now, now, handover.view_number)
        self._pending += self.pool.apply_handover(handover, now)

    def update_transfer(self, handover: PoolHandover, now: int) -> None:
        """Take in that requests of the previous owner have ended."""
        self._pending += self.pool.apply_handover(handover, now)

    def submit(
        self,
        request_id: MessageId,
        organisation: str,
        deadline_at: int,
        now: int,
        wait_limit_ms: int | None = None,
    ) -> list[PoolEffect]:
        """Queue a request."""
        return self.pool.submit(
            request_id, organisation, deadline_at, now, wait_limit_ms
        )

    def finish(
        self, request_id: MessageId, result: TargetResult, now: int
    ) -> list[PoolEffect]:
        """Give the slot of a started request back."""
        return self.pool.finish(request_id, report_of(result), now)

    def cancel(self, request_id: MessageId, now: int) -> list[PoolEffect]:
        """Forget a queued request."""
        return self.pool.cancel(request_id, now)

    def tick(self, now: int) -> list[PoolEffect]:
        """Do what is due."""
        self.lender.tick(now)
        pending = self._pending
        self._pending = []
        return pending + self.pool.tick(now)

    def next_wake(self, now: int) -> int | None:
        """Return when ``tick`` is next due; None if never."""
        return now if self._pending else self.pool.next_wake(now)


def report_of(result: TargetResult) -> TargetReport:
    """Return what the end of an exchange says about its target."""
    is_answered = result.stage is Stage.ANSWERED
    is_server_error = is_answered and result.status >= SERVER_ERROR_STATUS
    return TargetReport(
        is_success=is_answered and not is_server_error,
        is_target_fault=is_server_error or result.stage in _FAULTS,
        duration_ms=result.duration_ms,
        is_leaving=result.stage is Stage.SHED and result.requests_close,
    )


class _Moved:
    """A pool that was transferred while requests of this instance run in it."""

    def __init__(self, pool: Pool, successor: str, transfer: PoolTransfer):
        self.pool = pool
        self.successor = successor
        self.offer_id = transfer.offer_id
        self.sequence = transfer.handover.sequence
        self.running = len(transfer.handover.runs)


class PoolOwner:
    """Takes on the pools that fall to this instance, and drops those that do not.

    Args:
        pool_settings: Settings of each pool.
        placement_settings: Settings of credit.
        me: This instance.
        executor: Runs requests on the pools.
        rng: Source of randomness.
    """

    def __init__(
        self,
        pool_settings: PoolSettings,
        placement_settings: PlacementSettings,
        me: Instance,
        executor: Executor,
        rng: random.Random,
    ):
        self._pool_settings = pool_settings
        self._placement_settings = placement_settings
        self._me = me
        self._executor = executor
        self._rng = rng
        self._owned_by_service: dict[str, OwnedPool] = {}
        self._targets_by_service: dict[str, list[Target]] = {}
        self._configuration: Configuration | None = None
        self._summary_at = 0
        self._sequence = 0
        self._moved: list[_Moved] = []
        self._transfers = Transfers(rng.getrandbits(OFFER_ID_BITS))

    @property
    def owned_by_service(self) -> dict[str, OwnedPool]:
        """The pools that this instance owns."""
        return self._owned_by_service

    def configure(self, configuration: Configuration, now: int) -> None:
        """Take the configuration in force."""
        self._configuration = configuration
        targets_by_service: dict[str, list[Target]] = {}
        for target in configuration.targets_by_name.values():
            if target.data_centre == self._me.data_centre:
                targets_by_service.setdefault(target.service, []).append(target)
        self._targets_by_service = targets_by_service
        for service, owned in self._owned_by_service.items():
            self._configure_pool(service, owned, now)

    def target(self, name: str) -> Target | None:
        """Return a target of the configuration in force."""
        if self._configuration is None:
            return None
        return self._configuration.targets_by_name.get(name)

    def owner(self, service: str, membership: Membership, now: int) -> str | None:
        """Return which instance owns a service's pool, or is about to.

        Instances that are leaving come last, so that their pools move early.
        """
        if service not in self._targets_by_service:
            return None
        live = membership.live(self._me.data_centre)
        for name in membership.leader_candidates(pool_key(service)):
            if name in live:
                return name
        return membership.acting_leader(pool_key(service), now)

    def refresh(self, membership: Membership, now: int) -> list:
        """Take on, offer and drop pools as the keepers change."""
        effects: list = list(self._transfers.tick(now))
        for service, owned in list(self._owned_by_service.items()):
            effects += self._keep(service, owned, membership, now)
        for service in self._targets_by_service:
            is_mine = self.owner(service, membership, now) == self._me.name
            is_new = service not in self._owned_by_service
            if is_mine and is_new and membership.may_act(pool_key(service), now):
                owned = self._take_on(service, now)
                owned.take_over(self._previous_runs_ms(service, membership), now)
        return effects

    def paused(self, now: int) -> list:
        """Drop every pool, since others may own them by now."""
        self._transfers.forget()
        effects: list = []
        for service in list(self._owned_by_service):
            effects += self._drop(service, now)
        return effects

    def received(
        self, source: str, body: tuple, membership: Membership, now: int
    ) -> list:
        """Take a message about the ownership of a pool."""
        if isinstance(body, PoolOffer):
            return self._on_offer(source, body, membership, now)
        if isinstance(body, PoolAcceptance):
            return self._on_acceptance(source, body, now)
        if not self._transfers.take(source, body):
            return []
        if body.service not in self._owned_by_service:
            owned = self._take_on(body.service, now)
            owned.take_transfer(body.handover, now)
        return []

    def _keep(
        self, service: str, owned: OwnedPool, membership: Membership, now: int
    ) -> list:
        """Keep a pool, offer it to its next owner, or drop it."""
        successor = self.owner(service, membership, now)
        if successor is None:
            return self._drop(service, now)
        may_act = membership.may_act(pool_key(service), now)
        if successor == self._me.name:
            self._transfers.withdraw(service)
            owned.lost_at = None
            if may_act or owned.is_transferred:
                return []
            return self._drop(service, now)
        if may_act:
            owned.lost_at = None
        elif owned.lost_at is None:
            owned.lost_at = now
        elif now - owned.lost_at >= TRANSFER_GRACE_MS:
            return self._drop(service, now)
        is_leaving = membership.state != LIVE
        return self._transfers.offer(service, successor, is_leaving, now)

    def _on_offer(
        self, source: str, offer: PoolOffer, membership: Membership, now: int
    ) -> list:
        if offer.service not in self._targets_by_service:
            return []
        is_mine = self.owner(offer.service, membership, now) == self._me.name
        if not (is_mine or offer.is_leaving) or membership.state != LIVE:
            return []
        return self._transfers.accept(source, offer, now)

    def _on_acceptance(self, source: str, body: PoolAcceptance, now: int) -> list:
        owned = self._owned_by_service.get(body.service)
        if owned is None or not self._transfers.is_accepted(source, body):
            return self._transfers.repeat(source, body)
        effects = self._drop(body.service, now)
        handover = owned.pool.handover(self._me.data_centre, body.offer_id, 1, now)
        transfer = PoolTransfer(body.service, body.offer_id, handover)
        if handover.runs:
            self._moved.append(_Moved(owned.pool, source, transfer))
        return [*effects, *self._transfers.transfer(source, transfer)]

    def follow_up(self, now: int) -> list[Send]:
        """Tell the next owners of transferred pools which requests have ended."""
        effects: list[Send] = []
        for moved in list(self._moved):
            handover = moved.pool.handover(
                self._me.data_centre, moved.offer_id, moved.sequence + 1, now
            )
            if len(handover.runs) == moved.running:
                continue
            moved.sequence += 1
            moved.running = len(handover.runs)
            effects.append(Send(moved.successor, handover))
            if not moved.running:
                self._moved.remove(moved)
        return effects

    def followed_up(self, body: PoolHandover, now: int) -> None:
        """Take the previous owner's word of which of its requests have ended."""
        owned = self._owned_by_service.get(body.service)
        if owned is not None:
            owned.update_transfer(body, now)

    def _drop(self, service: str, now: int) -> list:
        """Own a pool no longer: what is queued is refused, what runs may finish."""
        del self._owned_by_service[service]
        self._transfers.withdraw(service)
        return self._executor.move_pool(service, now)

    def _previous_runs_ms(self, service: str, membership: Membership) -> int:
        """Return for how long work of an owner that was lost may still run.

        That owner wrote nothing later than a lease after it was last heard from, and
        has been silent, or has known better, for the time until a takeover.
        """
        deadline_ms = self._configuration.services_by_name[service].deadline_ms
        since_write_ms = membership.takeover_ms - membership.lease_longest_ms
        runs_ms = deadline_ms + self._pool_settings.overrun_ms
        return max(0, runs_ms - since_write_ms)

    def asked(self, message: CreditAsk, now: int) -> list[Send]:
        """Answer an ask for credit; one for a pool that is not owned is dropped."""
        owned = self._owned_by_service.get(message.service)
        if owned is None:
            return []
        free_slots = owned.pool.free_slots(now) - owned.pool.queue_length()
        capacity = owned.pool.capacity(now)
        service_time_ms = int(owned.pool.service_time_ms())
        return owned.lender.answer_request(
            message, free_slots, capacity, now, service_time_ms
        )

    def redeem(self, body: HandOver, now: int) -> bool:
        """Take the credit of a hand-over from another data centre."""
        owned = self._owned_by_service.get(body.service)
        if owned is None or not body.credit:
            return owned is None
        (unit,) = body.credit
        credit = Credit(body.service, self._me.data_centre, self._me.name, *unit)
        return owned.lender.redeem(credit, now)

    def summaries(self, now: int) -> list[PoolSummary]:
        """Return the summaries that are due."""
        if now < self._summary_at:
            return []
        self._summary_at = now + SUMMARY_INTERVAL_MS
        me = self._me
        summaries = []
        for owned in self._owned_by_service.values():
            self._sequence += 1
            summaries.append(
                owned.pool.summary(
                    me.data_centre, me.name, me.incarnation, self._sequence, now
                )
            )
        return summaries

    def next_wake(self) -> int | None:
        """Return when summaries are due; None if no pool is owned."""
        return self._summary_at if self._owned_by_service else None

    def _take_on(self, service: str, now: int) -> OwnedPool:
        pool = Pool(self._pool_settings, service, self._rng)
        lender = CreditLender(
            self._placement_settings,
            service,
            self._me.data_centre,
            self._me.name,
            self._me.incarnation,
        )
        owned = OwnedPool(pool, lender)
        self._owned_by_service[service] = owned
        self._configure_pool(service, owned, now)
        self._executor.set_pool(service, owned)
        return owned

    def _configure_pool(self, service: str, owned: OwnedPool, now: int) -> None:
        configuration = self._configuration
        settings = configuration.services_by_name.get(service)
        warm_up_ms = 0 if settings is None else settings.warm_up_ms
        owned.configure(self._targets_by_service.get(service, []), warm_up_ms, now)
        contract_by_organisation = {
            organisation.name: organisation.contract
            for organisation in configuration.organisations_by_name.values()
        }
        owned.pool.set_shares(shares(contract_by_organisation))


def spread_targets(
    summary: PoolSummary, source: str, me: Instance, peers: Iterable[Instance]
) -> list[str]:
    """Return whom to pass a summary on to, so that all hear of it once.

    A summary of the own data centre goes to its other instances if it was made here,
    and over the links to other data centres; one that came over such a link goes to
    the own data centre.
    """
    is_own = summary.data_centre == me.data_centre
    is_from_inside = source == me.name or any(
        peer.name == source and peer.data_centre == me.data_centre for peer in peers
    )
    names = []
    for peer in peers:
        is_mate = peer.data_centre == me.data_centre
        is_for_mate = is_mate and (source == me.name or not is_from_inside)
        is_for_link = not is_mate and is_own
        if is_for_mate or is_for_link:
            names.append(peer.name)
    return names
