"""The real decision parts, joined by the fake network in place of the daemons."""

import random

from bench.fakes import PlainBucket
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
from sequoiahook.decisions.pool import (
    Pool,
    PoolSettings,
    Refuse,
    RefuseReason,
    TargetReport,
)
from sequoiahook.decisions.pool.shares import shares
from sequoiahook.decisions.rendezvous import winner
from sequoiahook.messages.pools import CreditAsk, CreditGrant, PoolSummary

__all__ = ["Steered"]

SUMMARY_MS = 100
HANDOVER_MS = 10
SMALL_BYTES = 200
ANSWER_MS = 1


class _Owner:
    """The owner of one pool."""

    def __init__(self, steered: "Steered", service: str, data_centre: str, name: str):
        world = steered.world
        self.world = world
        self.key = PoolKey(service, data_centre)
        self.name = name
        self.pool = Pool(PoolSettings(), service, random.Random(world.rng.random()))
        self.lender = CreditLender(PlacementSettings(), *self.key, name, 1)
        self.waiting: dict[int, tuple] = {}
        self.is_dead = False
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
        done,
    ) -> None:
        now = self.world.engine.now
        if self.is_dead:
            return
        if credit is not None and not self.lender.redeem(credit, now):
            done("refused")
            return
        self.waiting[request.number] = (request, done)
        self.carry_out(
            self.pool.submit(
                request.number, request.organisation, deadline_at, now, wait_limit_ms
            )
        )

    def carry_out(self, effects: list) -> None:
        for effect in effects:
            request, done = self.waiting[effect.request_id]
            if isinstance(effect, Refuse):
                del self.waiting[effect.request_id]
                is_moved = effect.reason == RefuseReason.MOVED
                done("moved" if is_moved else "refused")
                continue
            fake = self.world.targets_by_name[effect.target_name]
            fake.run(
                request, lambda *end, number=request.number: self._end(number, *end)
            )
        self._plan_wake()

    def _end(self, number: int, is_success: bool, duration_ms: int) -> None:
        if self.is_dead:
            return
        _, done = self.waiting.pop(number)
        report = TargetReport(is_success, not is_success, duration_ms, False)
        self.carry_out(self.pool.finish(number, report, self.world.engine.now))
        done("ok" if is_success else "error")

    def _plan_wake(self) -> None:
        wake = self.pool.next_wake(self.world.engine.now)
        if wake is not None and wake != self._wake_at:
            self._wake_at = wake
            self.world.engine.at(wake, self._wake, wake)

    def _wake(self, wake: int) -> None:
        if wake == self._wake_at and not self.is_dead:
            self._wake_at = None
            self.carry_out(self.pool.tick(self.world.engine.now))

    def summary(self) -> PoolSummary:
        self._sequence += 1
        return self.pool.summary(
            self.key.data_centre, self.name, 1, self._sequence, self.world.engine.now
        )

    def asked(self, ask: CreditAsk, has_room: bool) -> list[Send]:
        now = self.world.engine.now
        free = self.pool.free_slots(now) if has_room else 0
        service_ms = int(self.pool.service_time_ms())
        return self.lender.answer_request(
            ask, free, self.pool.capacity(now), now, service_ms
        )


class _Entry:
    """An instance that takes requests of callers."""

    def __init__(self, world: World, name: str):
        self.name = name
        self.data_centre = name.rpartition("-")[0]
        self.links = LinkBudgets(LinkSettings(), self.data_centre, name)
        rng = random.Random(world.rng.random())
        self.placement = Placement(
            PlacementSettings(), self.data_centre, rng, self.links
        )
        self.holder = CreditHolder(PlacementSettings(), name, 1)
        self.paced: dict[str, list] = {}


class Steered:
    """All instances with their decision parts."""

    def __init__(self, world: World):
        self.world = world
        size = world.size
        names = {d: size.instances(d) for d in size.data_centres}
        self.entries = {n: _Entry(world, n) for d in names.values() for n in d}
        self.owners = {}
        for data_centre, instances in names.items():
            for load in size.loads:
                owner = winner(f"pool/{load.service}", instances)
                key = PoolKey(load.service, data_centre)
                self.owners[key] = _Owner(self, *key, owner)
        self.caps: dict[str, PlainBucket] = {}
        self.configure()
        for entry in self.entries.values():
            # The run starts in a fleet that has been up for a while.
            entry.links.configure(
                world.configuration, names[entry.data_centre], -10_000
            )
            world.engine.at(0, self._tick, entry)
        world.engine.at(0, self._summarise)

    def configure(self) -> None:
        """Take the world's configuration."""
        for entry in self.entries.values():
            entry.placement.configure(self.world.configuration)
        for owner in self.owners.values():
            owner.configure()
        for name, shift in self.world.configuration.shifts_by_name.items():
            self.caps.setdefault(name, PlainBucket(shift.cap))

    def replace_owner(self, key: PoolKey, is_planned: bool, is_blocked: bool) -> None:
        """Make the other instance of the data centre the owner of a pool.

        Args:
            key: The pool.
            is_planned: Whether the old owner hands over; else it dies.
            is_blocked: Whether the new one waits for unknown work to end.
        """
        old, now = self.owners[key], self.world.engine.now
        (name,) = set(self.world.size.instances(key.data_centre)) - {old.name}
        new = _Owner(self, *key, name)
        service = self.world.configuration.services_by_name[key.service]
        runs_ms = service.deadline_ms + PoolSettings().overrun_ms
        until = now + runs_ms if is_blocked else now
        new.pool.take_over(now, until, 2)
        new.configure()
        self.owners[key] = new
        if is_planned:
            old.carry_out(old.pool.stop(now))
            self._hand_over(old, new, 1)
        else:
            old.is_dead = True

    def _hand_over(self, old: _Owner, new: _Owner, sequence: int) -> None:
        engine = self.world.engine
        message = old.pool.handover(old.key.data_centre, 2, sequence, engine.now)
        engine.after(
            1, lambda: new.carry_out(new.pool.apply_handover(message, engine.now))
        )
        if message.runs:
            engine.after(HANDOVER_MS, self._hand_over, old, new, sequence + 1)

    def accept(self, instance: str, request: Request, answer) -> None:
        """Take a request of a caller."""
        if not self.world.rights[request.organisation].spend(self.world.engine.now):
            answer(request, "refused")
            return
        self._place(self.entries[instance], request, answer)

    def _place(self, entry: _Entry, request: Request, answer) -> None:
        now = self.world.engine.now
        deadline_at = request.sent_at + request.load.deadline_ms
        deadline_at -= self.world.size.caller_ms
        places = entry.placement.choose(
            request.load.service, deadline_at - now, entry.holder, now
        )
        self._try(entry, places, request, deadline_at, answer)

    def _try(self, entry: _Entry, places: list, request, deadline_at: int, answer):
        places = [*places]
        while places:
            place = places.pop(0)
            if self._send(entry, place, places, request, deadline_at, answer):
                return
        answer(request, "refused")

    def _send(
        self,
        entry: _Entry,
        place: Candidate,
        rest: list,
        request,
        deadline_at: int,
        answer,
    ) -> bool:
        key = PoolKey(request.load.service, place.data_centre)
        now = self.world.engine.now
        if place.shift_name is not None and not self._moves(place.shift_name, now):
            return False
        credit = entry.holder.spend(key, now) if place.needs_credit else None
        if place.needs_credit and credit is None:
            return False
        owner = self.owners[key]
        back_ms = entry.placement.delay_ms(place.data_centre) + ANSWER_MS

        def ended(fate: str) -> None:
            there = self.entries[owner.name]
            size = request.load.answer_bytes if fate == "ok" else SMALL_BYTES
            self._transfer(there, entry.data_centre, size, returned, fate)

        def returned(fate: str) -> None:
            if fate == "moved":
                self._place(entry, request, answer)
                return
            if fate != "refused":
                answer(request, fate)
                return
            self._try(entry, rest, request, deadline_at, answer)

        self._transfer(
            entry,
            place.data_centre,
            request.load.request_bytes,
            owner.submit,
            request,
            deadline_at - back_ms,
            credit,
            place.wait_limit_ms,
            ended,
        )
        return True

    def _moves(self, shift_name: str, now: int) -> bool:
        is_moved = self.caps[shift_name].spend(now)
        if is_moved:
            self.world.moved(self.world.configuration.shifts_by_name[shift_name])
        return is_moved

    def _transfer(self, entry: _Entry, destination: str, size: int, call, *args):
        """Send bytes at the pace of the sender's share of the link."""
        budget = entry.links.budget(destination)
        if budget is None:
            self.world.network.send(entry.data_centre, destination, size, call, *args)
            return
        region = self.world.size.region_of(destination)
        queue = entry.paced.setdefault(region, [])
        queue.append([size, destination, call, args])
        if len(queue) == 1:
            self._pace(entry, region)

    def _pace(self, entry: _Entry, region: str) -> None:
        engine, network = self.world.engine, self.world.network
        queue = entry.paced[region]
        while queue:
            item = queue[0]
            budget = entry.links.budget(item[1])
            sent = budget.debit(item[0], engine.now)
            item[0] -= sent
            if item[0] > 0:
                network.send(entry.data_centre, item[1], sent, lambda: None)
                ready_at = budget.ready_at(item[0], engine.now)
                engine.at(max(ready_at, engine.now + 1), self._pace, entry, region)
                return
            queue.pop(0)
            network.send(entry.data_centre, item[1], sent, item[2], *item[3])

    def _tick(self, entry: _Entry) -> None:
        now = self.world.engine.now
        for send in entry.holder.tick(entry.placement.owner_by_pool(now), now):
            self._message(entry, send)
        self.world.engine.after(5, self._tick, entry)

    def _message(self, entry: _Entry, send: Send) -> None:
        destination = send.destination.rpartition("-")[0]
        self.world.network.send(
            entry.data_centre, destination, SMALL_BYTES, self._received, send
        )

    def _received(self, send: Send) -> None:
        there = self.entries[send.destination]
        body = send.body
        now = self.world.engine.now
        if isinstance(body, CreditAsk):
            owner = self.owners[PoolKey(body.service, body.data_centre)]
            source = body.borrower.rpartition("-")[0]
            for answer in owner.asked(body, there.links.has_room(source, now)):
                self._message(there, answer)
        elif isinstance(body, CreditGrant):
            there.holder.apply_grant(body, now)
        else:
            there.placement.apply_summary(body, now)

    def _summarise(self) -> None:
        for owner in self.owners.values():
            summary = owner.summary()
            for name in self.entries:
                self._message(self.entries[owner.name], Send(name, summary))
        self.world.engine.after(SUMMARY_MS, self._summarise)
