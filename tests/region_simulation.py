"""Simulation of the instances of one region, its targets and those of other regions.

The instances are whole cores without I/O that exchange reports. Targets keep the
objects that they handled last in a cache, queue some requests and shed the rest.
Callers repeat a refused request once, after the retry-after time.
"""

import heapq
import itertools
import math
import random
from collections import Counter, OrderedDict
from typing import NamedTuple

from sequoiahook.clock import MS_PER_S
from sequoiahook.daemons.direct.core_settings import core_settings
from sequoiahook.daemons.direct.settings import DirectSettings
from sequoiahook.decisions.direct.core import DirectCore
from sequoiahook.decisions.direct.requests import Attempt, Deliver, HoldRoom, Refuse
from sequoiahook.decisions.exchange.target_result import Stage, TargetResult
from sequoiahook.world.instance import Address
from sequoiahook.world.target import LoadReport
from tests.direct_parts import (
    a_configuration,
    a_request,
    a_route,
    a_service,
    a_target,
    an_instance,
)

OWN_REGION = "north"
REGIONS = ("east", "north", "south")
WINDOW_MS = 2_000
REPORT_MS = 200
REPORT_DELAY_MS = 1
ROUND_TRIP_MS = 110
CACHED_WORK_RATIO = 0.3
CACHE_SIZE = 13
QUEUE_SIZE = 18
RETRY_WAIT_MAX_MS = 2_500
DEADLINE_MS = 8_000
GOAL_MS = 1_275
USUAL_PACE = 100
ADDRESS = Address("127.0.0.1", 0)
OK = TargetResult(Stage.ANSWERED, status=200)
SHED = TargetResult(Stage.SHED, status=503)


class Load(NamedTuple):
    """The requests of one route.

    Attributes:
        name: Name of the route.
        service: Service that runs them.
        per_s: Requests a second.
        work_ms: Mean work at a target that does not have the object cached.
        object_count: Number of objects that the requests concern.
        goal_ms: Latency goal of the route.
        deadline_ms: Time that callers wait for an answer.
    """

    name: str = "view"
    service: str = "desk"
    per_s: float = 330.0
    work_ms: int = 1_680
    object_count: int = 270
    goal_ms: int = GOAL_MS
    deadline_ms: int = DEADLINE_MS


class Arrival(NamedTuple):
    """A request that reaches an instance.

    Attributes:
        load: Its route.
        key: Key of its object.
        retries_left: Times that its caller will still repeat it.
        region: Region of its caller.
        first_at: Time in milliseconds at which its caller sent it first.
    """

    load: Load
    key: str
    retries_left: int
    region: str
    first_at: int


class Run(NamedTuple):
    """A request that a target accepted.

    Attributes:
        at: Time in milliseconds at which it was sent.
        region: Region of the target.
    """

    at: int
    region: str


class SimulatedTarget:
    """Runs requests one after the other in each slot.

    Args:
        record: The target as listed.
    """

    def __init__(self, record):
        self.record = record
        self._free_at = [0.0] * record.slots
        self._cache = OrderedDict()

    def load(self, now):
        """Return a report of the load, at the usual pace."""
        return LoadReport(self.running_count(now), self.record.slots, USUAL_PACE)

    def running_count(self, now):
        """Return the number of slots that are busy."""
        return sum(at > now for at in self._free_at)

    def run(self, key, work_ms, now):
        """Return the time at which the work is done; None if the target sheds it."""
        if self.running_count(now) == len(self._free_at):
            wait_ms = min(self._free_at) - now
            if wait_ms > QUEUE_SIZE / len(self._free_at) * work_ms:
                return None
        if key in self._cache:
            work_ms *= CACHED_WORK_RATIO
        self._cache[key] = True
        self._cache.move_to_end(key)
        if len(self._cache) > CACHE_SIZE:
            self._cache.popitem(last=False)
        done = max(now, heapq.heappop(self._free_at)) + work_ms
        heapq.heappush(self._free_at, done)
        return done


class RegionSimulation:
    """The instances of one region under load.

    Args:
        targets_by_region: Number of targets of each service, by region.
        loads: The routes and their requests.
        seed: Seed of arrivals, objects and work.
        instance_count: Number of instances of each region with callers.
        slots: Slots of each target.
        states_pace: Whether targets state their pace, which each instance learns from
            the first response that it receives.
        caller_regions: Regions with callers and instances.
    """

    def __init__(
        self,
        targets_by_region,
        loads,
        seed=1,
        instance_count=3,
        slots=6,
        states_pace=False,
        caller_regions=(OWN_REGION,),
    ):
        self.now = 0
        self.runs, self.refusals = [], []
        self.loads = list(loads)
        self._states_pace = states_pace
        self._rng = random.Random(seed)
        self._events = []
        self._order = itertools.count()
        self._number = 0
        self.instances = {
            f"{region}-{i}": an_instance(
                f"{region}-{i}", data_centre=self._data_centre(region, i), region=region
            )
            for region in caller_regions
            for i in range(instance_count)
        }
        self.targets = {}
        services = {load.service for load in self.loads}
        for service, (region, count) in itertools.product(
            sorted(services), sorted(targets_by_region.items())
        ):
            for i in range(count):
                self._add(f"{service}-{region}-{i}", service, region, slots)
        settings = DirectSettings(
            "north-0",
            "north-a",
            OWN_REGION,
            {f"{region}-a": region for region in REGIONS},
            *[ADDRESS] * 5,
        )
        self._settings = core_settings(settings)
        self.cores = {}
        for index, name in enumerate(self.instances):
            self.start(name)
            self._at(index * REPORT_MS // len(self.instances), self._report, name)
        self.configure()

    def _data_centre(self, region, index):
        """Return the data centre of an instance."""
        return f"{region}-a"

    def start(self, name):
        """Start an instance, or restart it without its state."""
        instance = self.instances[name]._replace(incarnation=self._rng.getrandbits(32))
        core = DirectCore(self._settings, instance, self.now)
        core.set_instances(self.instances, self.now)
        core.targets.replace(self._listed(), self.now)
        self.cores[name] = core
        if self._number:
            core.configure(self._configuration(), self.now)

    def configure(self):
        """Put a configuration that fits the present loads in force at once."""
        self._number += 1
        for core in self.cores.values():
            core.configure(self._configuration(), self.now)

    def add_targets(self, service, region, names, slots=6):
        """List new targets."""
        for name in names:
            self._add(name, service, region, slots)
        self._list_targets()

    def remove_targets(self, names):
        """Remove targets from the list; those that they run are finished."""
        for name in names:
            del self.targets[name]
        self._list_targets()

    def drain_targets(self, names):
        """List those of the named targets that exist as draining."""
        for name in names:
            if name in self.targets:
                target = self.targets[name]
                target.record = target.record._replace(is_draining=True)
        self._list_targets()

    def idle(self, duration_ms):
        """Advance the simulation without arrivals."""
        self._advance(self.now + duration_ms, lambda: math.inf)

    def run(self, duration_ms):
        """Advance the simulation with arrivals at the rates of the loads."""
        total = sum(load.per_s for load in self.loads)
        self._advance(
            self.now + duration_ms, lambda: self._rng.expovariate(total) * MS_PER_S
        )

    def _advance(self, end, next_gap_ms):
        arrives_at = self.now + next_gap_ms()
        while True:
            at = min(arrives_at, self._events[0][0])
            if at >= end:
                break
            self.now = int(at)
            if at == arrives_at:
                rates = [load.per_s for load in self.loads]
                load = self._rng.choices(self.loads, rates)[0]
                self._arrive(self._new_arrival(load))
                arrives_at += next_gap_ms()
            else:
                _, _, action, arguments = heapq.heappop(self._events)
                action(*arguments)
        self.now = end

    def runs_and_refusals(self):
        """Return the runs, with refused requests as staying in the own region."""
        return sorted([*self.runs, *(Run(at, OWN_REGION) for at, _ in self.refusals)])

    def _add(self, name, service, region, slots):
        self.targets[name] = SimulatedTarget(
            a_target(
                name,
                service=service,
                region=region,
                data_centre=f"{region}-a",
                slots=slots,
            )
        )

    def _listed(self):
        return {name: target.record for name, target in self.targets.items()}

    def _list_targets(self):
        for core in self.cores.values():
            core.targets.replace(self._listed(), self.now)

    def _configuration(self):
        routes = tuple(
            a_route(
                name=load.name,
                path_prefix=f"/{load.name}/",
                latency_goal_ms=load.goal_ms,
                timeout_ms=6_000,
                is_open=True,
                shares=(a_route().shares[0]._replace(service=load.service),),
            )
            for load in self.loads
        )
        services = tuple(
            a_service(name=name) for name in sorted({x.service for x in self.loads})
        )
        return a_configuration(self._number, routes, services=services)

    def _at(self, at, action, *arguments):
        heapq.heappush(self._events, (at, next(self._order), action, arguments))

    def _report(self, name):
        core = self.cores[name]
        core.tick(self.now)
        for outgoing in core.reports(self.now, includes_far=True):
            is_near = self.instances[outgoing[0]].region == core.me.region
            delay_ms = REPORT_DELAY_MS if is_near else ROUND_TRIP_MS // 2
            self._at(self.now + delay_ms, self._deliver, *outgoing)
        self._at(self.now + REPORT_MS, self._report, name)

    def _deliver(self, name, datagram):
        self.cores[name].receive(datagram, self.now)

    def _new_arrival(self, load):
        key = str(self._rng.randrange(load.object_count))
        return Arrival(load, key, 1, OWN_REGION, self.now)

    def _core_of(self, arrival):
        """Return the instance that a caller uses."""
        return self._rng.choice(list(self.cores.values()))

    def _arrive(self, arrival):
        load = arrival.load
        core = self._core_of(arrival)
        incoming = a_request(
            target_path=f"/{load.name}/1",
            object_key=arrival.key,
            deadline_ms=load.deadline_ms,
        )
        request = core.admission.admit(incoming, self.now)
        self._decide(core, request, arrival)

    def _decide(self, core, request, arrival):
        """Follow the next step; a wait for room ends after its time."""
        step = core.attempts.next_step(request, self.now)
        if isinstance(step, HoldRoom):
            end = self.now + step.max_wait_ms
            self._at(end, self._decide_again, core, request, arrival)
        else:
            self._follow(core, step, arrival)

    def _decide_again(self, core, request, arrival):
        core.capacity.waiting.leave(request, self.now)
        self._decide(core, request, arrival)

    def _follow(self, core, step, arrival):
        if isinstance(step, Attempt):
            self._send(core, step, arrival)
        elif isinstance(step, Refuse):
            self._record_refusal(step, arrival)
            if arrival.retries_left and 0 < step.retry_after_ms <= RETRY_WAIT_MAX_MS:
                again = arrival._replace(retries_left=arrival.retries_left - 1)
                self._at(self.now + step.retry_after_ms, self._arrive, again)

    def _send(self, core, attempt, arrival):
        load = arrival.load
        record = attempt.state.record
        region = record.region
        way_ms = 0 if region == arrival.region else ROUND_TRIP_MS / 2
        target = self.targets.get(record.id)
        work_ms = load.work_ms * self._work_factor()
        reached_at = self.now + way_ms
        done = (
            target.run((load.name, arrival.key), work_ms, reached_at)
            if target is not None
            else None
        )
        if done is None:
            result = SHED if target is not None else TargetResult(Stage.CONNECT_REFUSED)
            end = reached_at + way_ms
        else:
            self._record_run(Run(self.now, region), arrival)
            end = done + way_ms
            result = OK._replace(duration_ms=math.ceil(end - self.now))
            if self._states_pace:
                result = result._replace(load=target.load(end))
        self._at(math.ceil(end), self._end, core, attempt, result, arrival)

    def _work_factor(self):
        """Return the work of a request relative to the mean of its route."""
        return self._rng.uniform(0.85, 1.15)

    def _record_run(self, run, arrival):
        self.runs.append(run)

    def _record_refusal(self, refusal, arrival):
        self.refusals.append((self.now, refusal))

    def _end(self, core, attempt, result, arrival):
        step = core.attempts.on_ended(attempt, result, self.now)
        if isinstance(step, Deliver):
            self._record_answer(arrival)
        self._follow(core, step, arrival)

    def _record_answer(self, arrival):
        pass


def largest_change(runs, since=0, step_ms=100):
    """Return the largest change between adjacent windows, and when it came.

    It is the fraction of the requests that ran in another region than they would have
    with the distribution of the window before.

    Args:
        runs: Time in milliseconds and region of each request that ran.
        since: Start of the first window in milliseconds.
        step_ms: Distance between the compared alignments.
    """
    changes = _changes(runs, since, step_ms)
    return max(changes, key=lambda change: change[0], default=(0.0, since))


def mean_change(runs, since, step_ms=500):
    """Return the mean change between adjacent windows; see `largest_change`."""
    changes = [change for change, _ in _changes(runs, since, step_ms)]
    return sum(changes) / len(changes)


def _changes(runs, since, step_ms):
    last = int(runs[-1][0])
    changes = []
    for middle in range(since + WINDOW_MS, last - WINDOW_MS + 1, step_ms):
        before = _ratios(runs, middle - WINDOW_MS, middle)
        after = _ratios(runs, middle, middle + WINDOW_MS)
        regions = before.keys() | after.keys()
        change = sum(abs(after[r] - before[r]) for r in regions) / 2
        changes.append((change, middle))
    return changes


def _ratios(runs, begin, end):
    counts = Counter(region for at, region in runs if begin <= at < end)
    total = max(1, sum(counts.values()))
    return Counter({region: count / total for region, count in counts.items()})
