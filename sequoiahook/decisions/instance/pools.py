"""Ownership of pools, and the messages that an owner sends about its pools."""

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
TRANSFER_TIMEOUT_MS = 3_000
"""Shorter than the time after which a successor may act without a transfer."""

SERVER_ERROR_STATUS = 500
_TARGET_FAULT_STAGES = frozenset(
    {
        Stage.ANSWER_TRUNCATED,
        Stage.CONNECT_REFUSED,
        Stage.CONNECT_TIMEOUT,
        Stage.PARTLY_WRITTEN,
        Stage.WRITTEN_NO_ANSWER,
    }
)


def pool_key(service: str) -> str:
    """Return the key that determines the owner of a service's pool."""
    return f"pool/{service}"


class OwnedPool:
    """Adapts a pool to the executor: exchange results become target reports.

    Args:
        pool: The pool.
        lender: Lends credit for the pool.
    """

    def __init__(self, pool: Pool, lender: CreditLender):
        self.pool = pool
        self.lender = lender
        self.is_transferred = False
        self.ownership_lost_at: int | None = None
        self._pending: list[PoolEffect] = []

    def configure(self, targets: list[Target], warm_up_ms: int, now: int) -> None:
        """Set the targets; the next ``tick`` returns the resulting effects."""
        self._pending += self.pool.configure(targets, warm_up_ms, now)

    def start_after_loss(self, previous_work_ms: int, now: int) -> None:
        """Start after the previous owner was lost, whose requests may still run.

        Args:
            previous_work_ms: How long they may still run, in milliseconds.
            now: The time in milliseconds.
        """
        self._pending += self.pool.take_over(now, now + previous_work_ms)

    def start_from_transfer(self, handover: PoolHandover, now: int) -> None:
        """Start with the running requests that the previous owner reported."""
        self.is_transferred = True
        self._pending += self.pool.take_over(now, now, handover.view_number)
        self._pending += self.pool.apply_handover(handover, now)

    def apply_handover(self, handover: PoolHandover, now: int) -> None:
        """Record which requests of the previous owner have ended."""
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
        """Free the slot of a request and report the result of its exchange."""
        return self.pool.finish(request_id, target_report(result), now)

    def cancel(self, request_id: MessageId, now: int) -> list[PoolEffect]:
        """Remove a queued request."""
        return self.pool.cancel(request_id, now)

    def tick(self, now: int) -> list[PoolEffect]:
        """Perform all work that is due."""
        self.lender.tick(now)
        pending = self._pending
        self._pending = []
        return pending + self.pool.tick(now)

    def next_wake(self, now: int) -> int | None:
        """Return when ``tick`` is next due; None if never."""
        return now if self._pending else self.pool.next_wake(now)


def target_report(result: TargetResult) -> TargetReport:
    """Classify the result of an exchange as evidence about its target."""
    is_answered = result.stage is Stage.ANSWERED
    is_server_error = is_answered and result.status >= SERVER_ERROR_STATUS
    return TargetReport(
        is_success=is_answered and not is_server_error,
        is_target_fault=is_server_error or result.stage in _TARGET_FAULT_STAGES,
        duration_ms=result.duration_ms,
        is_leaving=result.stage is Stage.SHED and result.requests_close,
    )


class _TransferredPool:
    """A pool that was transferred while some of its requests were running."""

    def __init__(self, pool: Pool, successor: str, transfer: PoolTransfer):
        self.pool = pool
        self.successor = successor
        self.offer_id = transfer.offer_id
        self.sequence = transfer.handover.sequence
        self.running_count = len(transfer.handover.runs)


class PoolOwner:
    """Starts, transfers and drops pools as their ownership changes.

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
        self._transferred_pools: list[_TransferredPool] = []
        self._transfers = Transfers(rng.getrandbits(OFFER_ID_BITS))

    @property
    def owned_by_service(self) -> dict[str, OwnedPool]:
        """The pools that this instance owns."""
        return self._owned_by_service

    def configure(self, configuration: Configuration, now: int) -> None:
        """Apply the configuration in force."""
        self._configuration = configuration
        targets_by_service: dict[str, list[Target]] = {}
        for target in configuration.targets_by_name.values():
            if target.data_centre == self._me.data_centre:
                targets_by_service.setdefault(target.service, []).append(target)
        self._targets_by_service = targets_by_service
        for service, owned in self._owned_by_service.items():
            self._configure_pool(service, owned, now)

    def target(self, name: str) -> Target | None:
        """Return a target of the configuration in force; None if it is unknown."""
        if self._configuration is None:
            return None
        return self._configuration.targets_by_name.get(name)

    def owner(self, service: str, membership: Membership, now: int) -> str | None:
        """Return the instance that owns a service's pool or will own it next.

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
        """Start, offer and drop pools according to the current leaders."""
        effects: list = list(self._transfers.tick(now))
        for service, owned in list(self._owned_by_service.items()):
            effects += self._review_ownership(service, owned, membership, now)
        for service in self._targets_by_service:
            is_owner = self.owner(service, membership, now) == self._me.name
            is_new = service not in self._owned_by_service
            if is_owner and is_new and membership.may_act(pool_key(service), now):
                owned = self._create_pool(service, now)
                owned.start_after_loss(self._previous_work_ms(service, membership), now)
        return effects

    def paused(self, now: int) -> list:
        """Drop all pools, which may have other owners after a pause."""
        self._transfers.clear()
        effects: list = []
        for service in list(self._owned_by_service):
            effects += self._drop_pool(service, now)
        return effects

    def receive(
        self, source: str, body: tuple, membership: Membership, now: int
    ) -> list:
        """Handle a message about the ownership of a pool."""
        if isinstance(body, PoolOffer):
            return self._on_offer(source, body, membership, now)
        if isinstance(body, PoolAcceptance):
            return self._on_acceptance(source, body, now)
        if not self._transfers.complete(source, body):
            return []
        if body.service not in self._owned_by_service:
            owned = self._create_pool(body.service, now)
            owned.start_from_transfer(body.handover, now)
        return []

    def _review_ownership(
        self, service: str, owned: OwnedPool, membership: Membership, now: int
    ) -> list:
        """Keep a pool, offer it to its next owner, or drop it."""
        successor = self.owner(service, membership, now)
        if successor is None:
            return self._drop_pool(service, now)
        may_act = membership.may_act(pool_key(service), now)
        if successor == self._me.name:
            self._transfers.withdraw(service)
            owned.ownership_lost_at = None
            if may_act or owned.is_transferred:
                return []
            return self._drop_pool(service, now)
        if may_act:
            owned.ownership_lost_at = None
        elif owned.ownership_lost_at is None:
            owned.ownership_lost_at = now
        elif now - owned.ownership_lost_at >= TRANSFER_TIMEOUT_MS:
            return self._drop_pool(service, now)
        is_leaving = membership.state != LIVE
        return self._transfers.offer(service, successor, is_leaving, now)

    def _on_offer(
        self, source: str, offer: PoolOffer, membership: Membership, now: int
    ) -> list:
        if offer.service not in self._targets_by_service:
            return []
        is_owner = self.owner(offer.service, membership, now) == self._me.name
        if not (is_owner or offer.is_leaving) or membership.state != LIVE:
            return []
        return self._transfers.accept(source, offer, now)

    def _on_acceptance(self, source: str, body: PoolAcceptance, now: int) -> list:
        owned = self._owned_by_service.get(body.service)
        if owned is None or not self._transfers.is_accepted(source, body):
            return self._transfers.repeat(source, body)
        effects = self._drop_pool(body.service, now)
        handover = owned.pool.handover(self._me.data_centre, body.offer_id, 1, now)
        transfer = PoolTransfer(body.service, body.offer_id, handover)
        if handover.runs:
            self._transferred_pools.append(
                _TransferredPool(owned.pool, source, transfer)
            )
        return [*effects, *self._transfers.transfer(source, transfer)]

    def report_ended_requests(self, now: int) -> list[Send]:
        """Report to the new owners of transferred pools which requests have ended."""
        effects: list[Send] = []
        for transferred in list(self._transferred_pools):
            handover = transferred.pool.handover(
                self._me.data_centre,
                transferred.offer_id,
                transferred.sequence + 1,
                now,
            )
            if len(handover.runs) == transferred.running_count:
                continue
            transferred.sequence += 1
            transferred.running_count = len(handover.runs)
            effects.append(Send(transferred.successor, handover))
            if not transferred.running_count:
                self._transferred_pools.remove(transferred)
        return effects

    def apply_handover(self, body: PoolHandover, now: int) -> None:
        """Apply the previous owner's report of the requests that have ended."""
        owned = self._owned_by_service.get(body.service)
        if owned is not None:
            owned.apply_handover(body, now)

    def _drop_pool(self, service: str, now: int) -> list:
        """Give up a pool: refuse queued requests, let running ones finish."""
        del self._owned_by_service[service]
        self._transfers.withdraw(service)
        return self._executor.move_pool(service, now)

    def _previous_work_ms(self, service: str, membership: Membership) -> int:
        """Return how long requests of a lost owner may still run, in milliseconds.

        The lost owner wrote nothing later than one lease after its last heartbeat. At
        the takeover it has been unresponsive, or has known that it is no longer the
        owner, for the takeover time.
        """
        deadline_ms = self._configuration.services_by_name[service].deadline_ms
        since_last_write_ms = membership.takeover_ms - membership.lease_longest_ms
        work_ms = deadline_ms + self._pool_settings.overrun_ms
        return max(0, work_ms - since_last_write_ms)

    def answer_credit_request(self, message: CreditAsk, now: int) -> list[Send]:
        """Answer a request for credit; ignore it if the pool is not owned here."""
        owned = self._owned_by_service.get(message.service)
        if owned is None:
            return []
        free_slots = owned.pool.free_slots(now) - owned.pool.queue_length()
        capacity = owned.pool.capacity(now)
        service_time_ms = int(owned.pool.service_time_ms())
        return owned.lender.answer_request(
            message, free_slots, capacity, now, service_time_ms
        )

    def redeem_credit(self, body: HandOver, now: int) -> bool:
        """Redeem the credit of a handover; return whether the pool may accept it."""
        owned = self._owned_by_service.get(body.service)
        if owned is None or not body.credit:
            return owned is None
        (unit,) = body.credit
        credit = Credit(body.service, self._me.data_centre, self._me.name, *unit)
        return owned.lender.redeem(credit, now)

    def due_summaries(self, now: int) -> list[PoolSummary]:
        """Return the summaries of all owned pools if they are due."""
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
        """Return the time of the next summaries; None if no pool is owned."""
        return self._summary_at if self._owned_by_service else None

    def _create_pool(self, service: str, now: int) -> OwnedPool:
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


def summary_recipients(
    summary: PoolSummary, source: str, me: Instance, peers: Iterable[Instance]
) -> list[str]:
    """Return the peers to send a summary to, so that each instance gets it once.

    A summary of the own data centre goes to peers in other data centres, and to those
    of the own data centre if this instance made it. A summary that came from another
    data centre goes to the peers in the own one.
    """
    is_own = summary.data_centre == me.data_centre
    is_from_own_data_centre = source == me.name or any(
        peer.name == source and peer.data_centre == me.data_centre for peer in peers
    )
    names = []
    for peer in peers:
        is_same_data_centre = peer.data_centre == me.data_centre
        is_for_own_data_centre = is_same_data_centre and (
            source == me.name or not is_from_own_data_centre
        )
        is_for_other_data_centre = not is_same_data_centre and is_own
        if is_for_own_data_centre or is_for_other_data_centre:
            names.append(peer.name)
    return names
