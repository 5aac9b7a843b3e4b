"""The decision parts of all instances, connected by a simulated network."""

import random

from bench.fakes import TokenBucket
from bench.measures import Request
from bench.world import World
from sequoiahook.decisions.effects import Send
from sequoiahook.decisions.links import LinkBudgets, LinkSettings
from sequoiahook.decisions.placement import (
    Candidate,
    Credit,
    CreditHolder,
    CreditLender,
    Placement,
    PlacementSettings,
)
from sequoiahook.decisions.placement.holder import PoolKey
from sequoiahook.decisions.pool import Refuse, RefuseReason, TargetReport
from sequoiahook.decisions.pool.pool import Pool
from sequoiahook.decisions.pool.settings import PoolSettings
from sequoiahook.decisions.pool.shares import shares
from sequoiahook.decisions.rendezvous import winner
from sequoiahook.messages.pools import CreditAsk, CreditGrant, PoolSummary

__all__ = ["Steered"]

SUMMARY_INTERVAL_MS = 100
HANDOVER_INTERVAL_MS = 10
SHORT_MESSAGE_BYTES = 200
ANSWER_MARGIN_MS = 1


class _PoolOwner:
    """An instance in its role as the owner of one pool."""

    def __init__(self, steering: "Steered", service: str, data_centre: str, name: str):
        world = steering.world
        self.world = world
        self.key = PoolKey(service, data_centre)
        self.name = name
        self.pool = Pool(PoolSettings(), service, random.Random(world.rng.random()))
        self.lender = CreditLender(PlacementSettings(), *self.key, name, 1)
        self.waiting: dict[int, tuple] = {}
        self.has_failed = False
        self._sequence = 0
        self._wake_at: int | None = None
        organisations = world.configuration.organisations_by_name.values()
        self.pool.set_shares(shares({o.name: o.contract for o in organisations}))

    def configure(self) -> None:
        configuration = self.world.configuration
        targets = [
            target
            for target in configuration.targets_by_name.values()
            if target.data_centre == self.key.data_centre
        ]
        warm_up_ms = configuration.services_by_name[self.key.service].warm_up_ms
        self.carry_out(self.pool.configure(targets, warm_up_ms, self.world.engine.now))

    def submit(
        self,
        request: Request,
        deadline_at: int,
        credit: Credit | None,
        wait_limit_ms: int | None,
        on_done,
    ) -> None:
        now = self.world.engine.now
        if self.has_failed:
            return
        if credit is not None and not self.lender.redeem(credit, now):
            on_done("refused")
            return
        self.waiting[request.number] = (request, on_done)
        self.carry_out(
            self.pool.submit(
                request.number, request.organisation, deadline_at, now, wait_limit_ms
            )
        )

    def carry_out(self, effects: list) -> None:
        for effect in effects:
            request, on_done = self.waiting[effect.request_id]
            if isinstance(effect, Refuse):
                del self.waiting[effect.request_id]
                is_moved = effect.reason == RefuseReason.MOVED
                on_done("moved" if is_moved else "refused")
                continue
            fake = self.world.targets_by_name[effect.target_name]
            fake.run(
                request,
                lambda *result, number=request.number: self._finish(number, *result),
            )
        self._schedule_wake()

    def _finish(self, number: int, is_success: bool, duration_ms: int) -> None:
        if self.has_failed:
            return
        _, on_done = self.waiting.pop(number)
        report = TargetReport(is_success, not is_success, duration_ms, False)
        self.carry_out(self.pool.finish(number, report, self.world.engine.now))
        on_done("ok" if is_success else "error")

    def _schedule_wake(self) -> None:
        wake_at = self.pool.next_wake(self.world.engine.now)
        if wake_at is not None and wake_at != self._wake_at:
            self._wake_at = wake_at
            self.world.engine.call_at(wake_at, self._wake, wake_at)

    def _wake(self, wake_at: int) -> None:
        if wake_at == self._wake_at and not self.has_failed:
            self._wake_at = None
            self.carry_out(self.pool.tick(self.world.engine.now))

    def summary(self) -> PoolSummary:
        self._sequence += 1
        return self.pool.summary(
            self.key.data_centre, self.name, 1, self._sequence, self.world.engine.now
        )

    def answer_credit_request(
        self, request: CreditAsk, has_link_room: bool
    ) -> list[Send]:
        now = self.world.engine.now
        free = self.pool.free_slots(now) if has_link_room else 0
        service_ms = int(self.pool.service_time_ms())
        return self.lender.answer_request(
            request, free, self.pool.capacity(now), now, service_ms
        )


class _EntryInstance:
    """An instance that accepts requests from callers."""

    def __init__(self, world: World, name: str):
        self.name = name
        self.data_centre = name.rpartition("-")[0]
        self.links = LinkBudgets(LinkSettings(), self.data_centre, name)
        rng = random.Random(world.rng.random())
        self.placement = Placement(
            PlacementSettings(), self.data_centre, rng, self.links
        )
        self.holder = CreditHolder(PlacementSettings(), name, 1)
        self.paced_by_region: dict[str, list] = {}


class Steered:
    """The system under test: every instance with the decision parts."""

    def __init__(self, world: World):
        self.world = world
        size = world.size
        instances_by_data_centre = {
            d: size.instance_names(d) for d in size.data_centres
        }
        self.entries_by_name = {
            n: _EntryInstance(world, n)
            for d in instances_by_data_centre.values()
            for n in d
        }
        self.owners = {}
        for data_centre, instances in instances_by_data_centre.items():
            for load in size.loads:
                owner = winner(f"pool/{load.service}", instances)
                key = PoolKey(load.service, data_centre)
                self.owners[key] = _PoolOwner(self, *key, owner)
        self.cap_buckets_by_shift: dict[str, TokenBucket] = {}
        self.configure()
        for entry in self.entries_by_name.values():
            # Configured 10 s before the start, so that the link budgets are settled.
            entry.links.configure(
                world.configuration,
                instances_by_data_centre[entry.data_centre],
                -10_000,
            )
            world.engine.call_at(0, self._tick, entry)
        world.engine.call_at(0, self._send_summaries)

    def configure(self) -> None:
        """Apply the world's current configuration."""
        for entry in self.entries_by_name.values():
            entry.placement.configure(self.world.configuration)
        for owner in self.owners.values():
            owner.configure()
        for name, shift in self.world.configuration.shifts_by_name.items():
            self.cap_buckets_by_shift.setdefault(name, TokenBucket(shift.cap))

    def replace_owner(self, key: PoolKey, is_planned: bool, is_blocked: bool) -> None:
        """Make the other instance of the data centre the owner of the pool.

        Args:
            key: The pool.
            is_planned: Whether the old owner hands over; otherwise it fails.
            is_blocked: Whether the new owner starts no request until those of the old
                owner must have ended.
        """
        old, now = self.owners[key], self.world.engine.now
        (name,) = set(self.world.size.instance_names(key.data_centre)) - {old.name}
        new = _PoolOwner(self, *key, name)
        service = self.world.configuration.services_by_name[key.service]
        longest_run_ms = service.deadline_ms + PoolSettings().overrun_ms
        previous_runs_end_at = now + longest_run_ms if is_blocked else now
        new.pool.take_over(now, previous_runs_end_at, 2)
        new.configure()
        self.owners[key] = new
        if is_planned:
            old.carry_out(old.pool.stop(now))
            self._hand_over(old, new, 1)
        else:
            old.has_failed = True

    def _hand_over(self, old: _PoolOwner, new: _PoolOwner, sequence: int) -> None:
        engine = self.world.engine
        message = old.pool.handover(old.key.data_centre, 2, sequence, engine.now)
        engine.call_later(
            1, lambda: new.carry_out(new.pool.apply_handover(message, engine.now))
        )
        if message.runs:
            engine.call_later(
                HANDOVER_INTERVAL_MS, self._hand_over, old, new, sequence + 1
            )

    def accept(self, instance_name: str, request: Request, on_answer) -> None:
        """Accept a request from a caller; see :class:`SteeringSystem`."""
        if not self.world.rights_by_organisation[request.organisation].spend(
            self.world.engine.now
        ):
            on_answer(request, "refused")
            return
        self._route(self.entries_by_name[instance_name], request, on_answer)

    def _route(self, entry: _EntryInstance, request: Request, on_answer) -> None:
        now = self.world.engine.now
        deadline_at = request.sent_at + request.load.deadline_ms
        deadline_at -= self.world.size.caller_ms
        candidates = entry.placement.choose(
            request.load.service, deadline_at - now, entry.holder, now
        )
        self._try_candidates(entry, candidates, request, deadline_at, on_answer)

    def _try_candidates(
        self,
        entry: _EntryInstance,
        candidates: list,
        request,
        deadline_at: int,
        on_answer,
    ):
        candidates = [*candidates]
        while candidates:
            candidate = candidates.pop(0)
            if self._send(
                entry, candidate, candidates, request, deadline_at, on_answer
            ):
                return
        on_answer(request, "refused")

    def _send(
        self,
        entry: _EntryInstance,
        candidate: Candidate,
        remaining: list,
        request,
        deadline_at: int,
        on_answer,
    ) -> bool:
        key = PoolKey(request.load.service, candidate.data_centre)
        now = self.world.engine.now
        if candidate.shift_name is not None and not self._admit_shift(
            candidate.shift_name, now
        ):
            return False
        credit = entry.holder.spend(key, now) if candidate.needs_credit else None
        if candidate.needs_credit and credit is None:
            return False
        owner = self.owners[key]
        return_ms = entry.placement.delay_ms(candidate.data_centre) + ANSWER_MARGIN_MS

        def on_ended(outcome: str) -> None:
            sender = self.entries_by_name[owner.name]
            size = request.load.answer_bytes if outcome == "ok" else SHORT_MESSAGE_BYTES
            self._send_paced(sender, entry.data_centre, size, on_returned, outcome)

        def on_returned(outcome: str) -> None:
            if outcome == "moved":
                self._route(entry, request, on_answer)
                return
            if outcome != "refused":
                on_answer(request, outcome)
                return
            self._try_candidates(entry, remaining, request, deadline_at, on_answer)

        self._send_paced(
            entry,
            candidate.data_centre,
            request.load.request_bytes,
            owner.submit,
            request,
            deadline_at - return_ms,
            credit,
            candidate.wait_limit_ms,
            on_ended,
        )
        return True

    def _admit_shift(self, shift_name: str, now: int) -> bool:
        is_admitted = self.cap_buckets_by_shift[shift_name].spend(now)
        if is_admitted:
            self.world.record_shifted(
                self.world.configuration.shifts_by_name[shift_name]
            )
        return is_admitted

    def _send_paced(
        self, entry: _EntryInstance, destination: str, size: int, callback, *args
    ):
        """Send bytes at the rate of the sender's share of the link.

        Calls ``callback`` at the destination when the last of them has arrived.
        """
        budget = entry.links.budget(destination)
        if budget is None:
            self.world.network.send(
                entry.data_centre, destination, size, callback, *args
            )
            return
        region = self.world.size.region_of(destination)
        queue = entry.paced_by_region.setdefault(region, [])
        queue.append([size, destination, callback, args])
        if len(queue) == 1:
            self._send_queued(entry, region)

    def _send_queued(self, entry: _EntryInstance, region: str) -> None:
        engine, network = self.world.engine, self.world.network
        queue = entry.paced_by_region[region]
        while queue:
            item = queue[0]
            budget = entry.links.budget(item[1])
            sent_bytes = budget.debit(item[0], engine.now)
            item[0] -= sent_bytes
            if item[0] > 0:
                network.send(entry.data_centre, item[1], sent_bytes, lambda: None)
                ready_at = budget.ready_at(item[0], engine.now)
                engine.call_at(
                    max(ready_at, engine.now + 1), self._send_queued, entry, region
                )
                return
            queue.pop(0)
            network.send(entry.data_centre, item[1], sent_bytes, item[2], *item[3])

    def _tick(self, entry: _EntryInstance) -> None:
        now = self.world.engine.now
        for send in entry.holder.tick(entry.placement.owner_by_pool(now), now):
            self._send_message(entry, send)
        self.world.engine.call_later(5, self._tick, entry)

    def _send_message(self, entry: _EntryInstance, send: Send) -> None:
        destination = send.destination.rpartition("-")[0]
        self.world.network.send(
            entry.data_centre,
            destination,
            SHORT_MESSAGE_BYTES,
            self._receive_message,
            send,
        )

    def _receive_message(self, send: Send) -> None:
        receiver = self.entries_by_name[send.destination]
        body = send.body
        now = self.world.engine.now
        if isinstance(body, CreditAsk):
            owner = self.owners[PoolKey(body.service, body.data_centre)]
            source = body.borrower.rpartition("-")[0]
            for grant in owner.answer_credit_request(
                body, receiver.links.has_room(source, now)
            ):
                self._send_message(receiver, grant)
        elif isinstance(body, CreditGrant):
            receiver.holder.apply_grant(body, now)
        else:
            receiver.placement.apply_summary(body, now)

    def _send_summaries(self) -> None:
        for owner in self.owners.values():
            summary = owner.summary()
            for name in self.entries_by_name:
                self._send_message(
                    self.entries_by_name[owner.name], Send(name, summary)
                )
        self.world.engine.call_later(SUMMARY_INTERVAL_MS, self._send_summaries)
