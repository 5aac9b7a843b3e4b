"""Simulation of organisations that compete for too few targets, in virtual time.

The instances are whole cores without I/O that exchange reports over a network with
loss, partitions, frozen and restarted instances. The oracle counts the work that
targets have done, not what the instances count.
"""

import heapq
import itertools
import math
import random
from collections import Counter
from typing import NamedTuple

from sequoiahook.clock import MS_PER_S
from sequoiahook.daemons.direct.core_settings import core_settings
from sequoiahook.daemons.direct.settings import DirectSettings
from sequoiahook.decisions.direct.core import DirectCore
from sequoiahook.decisions.direct.requests import (
    Attempt,
    Deliver,
    Hold,
    HoldPermit,
    HoldRoom,
    HoldTrial,
    OpenRequest,
    Refuse,
)
from sequoiahook.decisions.exchange.target_result import Stage, TargetResult
from sequoiahook.world.instance import Address
from sequoiahook.world.target import LoadReport
from tests.direct_parts import (
    a_configuration,
    a_request,
    a_route,
    a_target,
    an_instance,
    an_organisation,
)

ADDRESS = Address("127.0.0.1", 0)
ANSWERED = TargetResult(Stage.ANSWERED, status=200)
DEADLINE_MS = 2_000
OBJECT_COUNT = 40
QUEUE_SIZE = 18
REPORT_DELAY_MS = 1
REPORT_MS = 200
RETRY_AT_ONCE_MS = 20
WORK_MS = 200


class Demand(NamedTuple):
    """The requests of one organisation.

    Attributes:
        per_s: Requests a second, without repeated ones.
        retries_max: Times that a refused request is repeated.
        is_patient: Whether its callers wait for the retry-after time; others repeat a
            request at once.
        object_count: Number of objects that the requests concern.
    """

    per_s: float
    retries_max: int = 1
    is_patient: bool = True
    object_count: int = OBJECT_COUNT


HOT = Demand(200, retries_max=4, is_patient=False)
STEADY = Demand(12)


class Reports:
    """What targets report about their load: running, waiting, slots."""

    TRUE = "true"
    NONE = "none"
    IDLE = "idle"
    FULL = "full"


class SimulatedTarget:
    """Runs requests in the order of their arrival, one at a time in each slot.

    Attributes:
        done_ms: Work done.

    Args:
        slots: Number of slots.
        reports: What it reports about its load; one of `Reports`.
    """

    def __init__(self, slots, reports):
        self.done_ms = 0.0
        self._slots = slots
        self._reports = reports
        self._free_at = [0.0] * slots
        self._ends = []

    def run(self, work_ms, now):
        """Return the time at which the work is done; None if the target sheds it."""
        if self.open_count(now) >= self._slots + QUEUE_SIZE:
            return None
        self.done_ms += work_ms
        end = max(now, heapq.heappop(self._free_at)) + work_ms
        heapq.heappush(self._free_at, end)
        heapq.heappush(self._ends, end)
        return end

    def open_count(self, now):
        """Return the number of running and waiting requests."""
        while self._ends and self._ends[0] <= now:
            heapq.heappop(self._ends)
        return len(self._ends)

    def reported_count(self, now):
        """Return the number that it reports; None for no report."""
        return {
            Reports.TRUE: self.open_count(now),
            Reports.NONE: None,
            Reports.IDLE: 0,
            Reports.FULL: self._slots + 1,
        }[self._reports]


class ShareSimulation:
    """Instances, targets and callers of some organisations.

    Args:
        demand_by_organisation: The organisations.
        instance_count: Number of instances in each data centre.
        targets: Number of targets in each data centre.
        slots: Slots of each target.
        reports: What targets report about their load; one of `Reports`.
        seed: Seed of arrivals, objects, work and loss.
        data_centres: Data centres, all in one region.
        goal_ms: Latency goal of the route.
        work_ms: Mean work of a request.
    """

    def __init__(
        self,
        demand_by_organisation,
        *,
        instance_count=2,
        targets=4,
        slots=4,
        reports=Reports.TRUE,
        seed=1,
        data_centres=("north-a",),
        goal_ms=400,
        work_ms=WORK_MS,
    ):
        self.now = 0
        self.demand_by_organisation = dict(demand_by_organisation)
        self.loss = 0.0
        self.paused, self.partitioned = set(), set()
        self.is_store_lost = False
        self.messages = Counter()
        self.arrived, self.served, self.refusals = Counter(), Counter(), Counter()
        self.wait_counts, self._timers_by_request = Counter(), {}
        self.goal_ms, self.work_ms = goal_ms, work_ms
        self._rng = random.Random(seed)
        self._events, self._order = [], itertools.count()
        self._incarnations = itertools.count(1)
        self.instances = {
            f"{data_centre}-{i}": an_instance(
                f"{data_centre}-{i}", data_centre=data_centre
            )
            for data_centre in data_centres
            for i in range(instance_count)
        }
        self.targets, self._records = {}, {}
        for index, data_centre in itertools.product(range(targets), data_centres):
            self._put_target(f"t-{data_centre}-{index}", data_centre, slots, reports)
        settings = DirectSettings(
            "north-0",
            "north-a",
            "north",
            dict.fromkeys(data_centres, "north"),
            *[ADDRESS] * 5,
        )
        self.settings = core_settings(settings)
        self.cores = {}
        for index, name in enumerate(self.instances):
            self.start(name)
            self._at(index * REPORT_MS // len(self.instances), self._report, name)

    def _put_target(self, target_id, data_centre, slots, reports):
        self.targets[target_id] = SimulatedTarget(slots, reports)
        self._records[target_id] = a_target(
            target_id, data_centre=data_centre, slots=slots
        )

    def start(self, name):
        """Start an instance, or start it again."""
        me = self.instances[name]._replace(incarnation=next(self._incarnations))
        core = DirectCore(self.settings, me, self.now)
        organisations = [
            an_organisation(organisation, f"key-of-organisation-{organisation}")
            for organisation in self.demand_by_organisation
        ]
        route = a_route(latency_goal_ms=self.goal_ms)
        core.configure(a_configuration(1, (route,), organisations), self.now)
        core.targets.replace(self._records, self.now)
        core.set_instances(self.instances, self.now)
        core.freshness.confirm(self.now)
        self.cores[name] = core

    def add_targets(self, count, slots=4, reports=Reports.TRUE):
        """List further targets of the first data centre."""
        for index in range(count):
            self._put_target(f"t-new-{index}", "north-a", slots, reports)
        for core in self.cores.values():
            core.targets.replace(self._records, self.now)

    def run(self, duration_ms):
        """Advance the simulation."""
        end = self.now + duration_ms
        arrivals = []
        for organisation, demand in self.demand_by_organisation.items():
            at = self.now
            while demand.per_s:
                at += self._rng.expovariate(demand.per_s) * MS_PER_S
                if at >= end:
                    break
                arrivals.append((at, organisation))
        for at, organisation in arrivals:
            self._at(at, self._arrive, organisation)
        while self._events and self._events[0][0] < end:
            at, _, action, arguments = heapq.heappop(self._events)
            self.now = max(self.now, int(at))
            action(*arguments)
        self.now = end

    def measure(self, duration_ms):
        """Advance the simulation; return the fraction served and the targets' use."""
        before = self.arrived.copy(), self.served.copy(), self._done_ms()
        self.run(duration_ms)
        fractions = {
            name: (self.served[name] - before[1][name])
            / max(1, self.arrived[name] - before[0][name])
            for name in self.demand_by_organisation
        }
        slots = sum(record.slots for record in self._records.values())
        return fractions, (self._done_ms() - before[2]) / (slots * duration_ms)

    def _done_ms(self):
        return sum(target.done_ms for target in self.targets.values())

    def _at(self, at, action, *arguments):
        heapq.heappush(self._events, (at, next(self._order), action, arguments))

    def _report(self, name):
        self._at(self.now + REPORT_MS, self._report, name)
        if name in self.paused:
            return
        core = self.cores[name]
        if not self.is_store_lost:
            core.freshness.confirm(self.now)
        core.tick(self.now)
        self._post(name, core.reports(self.now, includes_far=True))

    def _post(self, source, outgoing):
        for message in outgoing:
            self.messages[type(message.datagram.body).__name__] += 1
            is_cut = (source in self.partitioned) != (
                message.instance in self.partitioned
            )
            if not is_cut and self._rng.random() >= self.loss:
                self._at(self.now + REPORT_DELAY_MS, self._deliver, *message)

    def _deliver(self, name, datagram):
        if name in self.cores and name not in self.paused:
            self._post(name, self.cores[name].receive(datagram, self.now))

    def _arrive(self, organisation):
        self.arrived[organisation] += 1
        key = str(
            self._rng.randrange(self.demand_by_organisation[organisation].object_count)
        )
        self._call(organisation, f"{organisation}-{key}", 0, self.now + DEADLINE_MS)

    def _call(self, organisation, key, repeats, deadline_at):
        """Send a request to one of the instances that respond."""
        names = [name for name in self.cores if name not in self.paused]
        name = self._rng.choice(names)
        core = self.cores[name]
        incoming = a_request(
            key=f"key-of-organisation-{organisation}",
            object_key=key,
            deadline_ms=deadline_at - self.now,
        )
        caller = (organisation, key, repeats, deadline_at)
        step = core.admission.admit(incoming, self.now)
        if isinstance(step, OpenRequest):
            step.caller = caller
            self._decide(name, core, step)
        else:
            self._follow(name, core, step, caller)

    def _decide(self, name, core, request):
        if self.cores.get(name) is not core:
            return
        step = core.attempts.next_step(request, self.now)
        self._post(name, core.token_requests(self.now))
        self._follow(name, core, step, request.caller, request)

    def _follow(self, name, core, step, caller, request=None):
        if isinstance(step, Attempt):
            self._send(name, core, step, caller)
        elif isinstance(step, Refuse):
            self._refused(step, caller)
        elif isinstance(step, HoldRoom):
            self.wait_counts[caller[0]] += 1
            timer = next(self._order)
            self._timers_by_request[id(request)] = timer
            end = self.now + step.max_wait_ms
            self._at(end, self._end_wait, name, core, request, timer)
        elif isinstance(step, Hold | HoldPermit | HoldTrial):
            self._at(self.now + step.max_wait_ms, self._decide, name, core, request)
        elif isinstance(step, Deliver) and self.now <= caller[-1]:
            self.served[caller[0]] += 1

    def _end_wait(self, name, core, request, timer):
        """Decide a waiting request again, unless that was done since."""
        if self._timers_by_request.get(id(request)) == timer:
            del self._timers_by_request[id(request)]
            core.capacity.waiting.leave(request, self.now)
            self._decide(name, core, request)

    def _signal_room(self, name, core):
        for request in core.capacity.waiting.next_requests("s", self.now):
            timer = self._timers_by_request[id(request)]
            self._end_wait(name, core, request, timer)

    def _refused(self, refusal, caller):
        organisation, key, repeats, deadline_at = caller
        self.refusals[organisation, refusal.status, refusal.cause] += 1
        demand = self.demand_by_organisation[organisation]
        left_ms = deadline_at - self.now
        wait_ms = refusal.retry_after_ms if demand.is_patient else RETRY_AT_ONCE_MS
        if repeats < demand.retries_max and 0 < wait_ms <= left_ms / 3:
            at = self.now + wait_ms
            self._at(at, self._call, organisation, key, repeats + 1, deadline_at)

    def _send(self, name, core, attempt, caller):
        target = self.targets[attempt.state.record.id]
        end = target.run(self.work_ms * self._rng.uniform(0.9, 1.1), self.now)
        if end is None:
            shed = TargetResult(Stage.SHED, status=503)
            self._at(self.now + 1, self._end, name, core, attempt, shed, caller)
            return
        result = ANSWERED._replace(duration_ms=math.ceil(end - self.now))
        self._at(math.ceil(end), self._end, name, core, attempt, result, caller)

    def _end(self, name, core, attempt, result, caller):
        if self.cores.get(name) is not core:
            return
        target = self.targets[attempt.state.record.id]
        reported_count = target.reported_count(self.now)
        if reported_count is not None:
            load = LoadReport(reported_count, attempt.state.record.slots)
            result = result._replace(load=load)
        step = core.attempts.on_ended(attempt, result, self.now)
        self._follow(name, core, step, caller, attempt.request)
        self._signal_room(name, core)
