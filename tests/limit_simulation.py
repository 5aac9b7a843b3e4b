"""Simulation of a fleet that sends to targets which state a limit on requests.

Instances are whole cores without I/O, joined by a network with delays and partitions.
Targets answer every request after a fixed time and record when it reached them.
"""

import heapq
import itertools
import random
from collections import Counter

from sequoiahook.clock import MS_PER_S
from sequoiahook.decisions.direct.core import DirectCore, DirectCoreSettings
from sequoiahook.decisions.direct.requests import Attempt, Deliver, OpenRequest, Refuse
from sequoiahook.decisions.exchange.target_result import Stage, TargetResult
from sequoiahook.messages.reports import GroupDigest, GroupReport, MemberReport
from sequoiahook.world.instance import Address
from sequoiahook.world.target import StatedLimit
from tests.direct_parts import (
    a_configuration,
    a_request,
    a_route,
    a_service,
    a_target,
    an_instance,
)

REGION_BY_DATA_CENTRE = {
    "east-a": "east",
    "east-b": "east",
    "north-a": "north",
    "north-b": "north",
    "south-a": "south",
    "south-b": "south",
}
REGIONS = ("east", "north", "south")
SETTINGS = DirectCoreSettings(regions=REGIONS, retry_slack=60)
TICK_MS = 10
REPORT_MS = 200
SMALL_FLEET_INSTANCES = 12
NEAR_WAY_MS, FAR_WAY_MS = 1, 50
WORK_MS = 60
GOAL_MS = 400
DEADLINE_MS = 1_500
WINDOW_MS = 4_000
SETTLING_MS = 4_000
EXCESS_FACTOR = 1.5
SLACK = 5


def allowed_in_window(per_s):
    """Return the most requests that may reach a limited target within a window."""
    return EXCESS_FACTOR * per_s * WINDOW_MS / MS_PER_S + SLACK


def most_in_window(times, begin, end):
    """Return the most of the given times in one window of WINDOW_MS."""
    times = sorted(at for at in times if begin <= at < end)
    most = first = 0
    for last, at in enumerate(times):
        while times[first] <= at - WINDOW_MS:
            first += 1
        most = max(most, last - first + 1)
    return most


class LimitSimulation:
    """A fleet with targets in all regions.

    Attributes:
        shedding: Targets that run nothing and say so.
        stated_by_target: Limit that each target states; the others state none.
        reached_at_by_target: Times at which requests reached each target.
        arrivals: Time and region of each arrival.
        sent: Time, region of the instance and region of the target of each attempt.
        partitioned: Instances that are cut off from all others.
        paused: Instances that are frozen.

    Args:
        instance_count: Number of instances, distributed over all data centres.
        seed: Seed of arrivals and objects.
        targets_per_region: Number of targets in each region.
        object_count: Number of objects that requests concern.
        slots: Slots of each target.
    """

    def __init__(
        self,
        instance_count,
        seed=1,
        targets_per_region=4,
        object_count=400,
        slots=6,
    ):
        self.now, self.number = 0, 1
        self.rng = random.Random(seed)
        self.object_count = object_count
        self.stated_by_target, self.shedding = {}, set()
        self.partitioned, self.paused = set(), set()
        self.outcomes = Counter()
        self.datagrams = Counter()
        self.refusals = []
        self.arrivals, self.sent = [], []
        self._events, self._order = [], itertools.count()
        self._waiting_by_name = {}
        data_centres = itertools.cycle(sorted(REGION_BY_DATA_CENTRE))
        names = [f"{next(data_centres)}-{i}" for i in range(instance_count)]
        self.instances = {name: self._instance(name) for name in names}
        self.targets = {
            f"t-{region}-{i}": a_target(
                f"t-{region}-{i}", region=region, data_centre=f"{region}-a", slots=slots
            )
            for region in REGIONS
            for i in range(targets_per_region)
        }
        self.reached_at_by_target = {target_id: [] for target_id in self.targets}
        self.cores = {}
        interval = REPORT_MS * max(1, instance_count // SMALL_FLEET_INSTANCES)
        for index, name in enumerate(self.instances):
            self.start(name)
            self._at(index * interval // instance_count, self._report, name, interval)
            self._at(index % TICK_MS, self._tick, name)

    def start(self, name):
        """Start an instance, or restart it without its state."""
        instance = self.instances[name]._replace(incarnation=self.rng.getrandbits(32))
        core = DirectCore(SETTINGS, instance, self.now)
        route = a_route(is_open=True, latency_goal_ms=GOAL_MS)
        core.configure(a_configuration(1, (route,), services=(a_service(),)), self.now)
        core.targets.replace(self.targets, self.now)
        core.set_instances(self.instances, self.now)
        self.cores[name] = core
        self._waiting_by_name[name] = []

    def stop(self, name):
        """Kill an instance; its entry stays listed."""
        self.paused.add(name)

    def configure(self, service):
        """Put a configuration with a service in force on all instances."""
        self.number += 1
        route = a_route(is_open=True, latency_goal_ms=GOAL_MS)
        configuration = a_configuration(self.number, (route,), services=(service,))
        for core in self.cores.values():
            core.configure(configuration, self.now)

    def make_cold(self, target_ids, cold_ms):
        """List targets as cold."""
        for target_id in target_ids:
            record = self.targets[target_id]._replace(cold_ms=cold_ms)
            self.targets[target_id] = record
        for core in self.cores.values():
            core.targets.replace(self.targets, self.now)

    def remove_instance(self, name):
        """Remove an instance from the list."""
        self.paused.add(name)
        del self.instances[name]
        self._list_instances()

    def add_instance(self, name):
        """Start and list a new instance."""
        self.instances[name] = self._instance(name)
        self.start(name)
        self._at(self.now, self._report, name, REPORT_MS)
        self._at(self.now, self._tick, name)
        self._list_instances()

    def run(self, duration_ms, per_s, weights=None):
        """Advance the simulation with arrivals.

        Args:
            duration_ms: Duration.
            per_s: Arrivals a second at all instances together.
            weights: Relative number of arrivals by instance; equal ones if not given.
        """
        end = self.now + duration_ms
        arrives_at = self.now + self.rng.expovariate(per_s) * MS_PER_S
        while True:
            at = min(arrives_at, self._events[0][0])
            if at >= end:
                break
            self.now = int(at)
            if at == arrives_at:
                names = [n for n in self.instances if n not in self.paused]
                chosen = [weights.get(n, 0) for n in names] if weights else None
                self._arrive(self.rng.choices(names, chosen)[0])
                arrives_at += self.rng.expovariate(per_s) * MS_PER_S
            else:
                _, _, action, arguments = heapq.heappop(self._events)
                action(*arguments)
        self.now = end

    def _instance(self, name):
        data_centre = name.rpartition("-")[0]
        return an_instance(
            name,
            data_centre=data_centre,
            region=REGION_BY_DATA_CENTRE[data_centre],
            caller_address=Address(name, 80),
        )

    def _list_instances(self):
        for core in self.cores.values():
            core.set_instances(self.instances, self.now)

    def _at(self, at, action, *arguments):
        heapq.heappush(self._events, (at, next(self._order), action, arguments))

    def _report(self, name, interval):
        if name not in self.instances:
            return
        if name not in self.paused:
            core = self.cores[name]
            core.tick(self.now)
            self._post(name, core.reports(self.now, includes_far=True))
        self._at(self.now + interval, self._report, name, interval)

    def _tick(self, name):
        if name not in self.instances:
            return
        if name not in self.paused:
            core = self.cores[name]
            self._post(name, core.serve_waiting(self.now))
            self._post(name, core.token_requests(self.now))
            self._resume(name, only_due=True)
        self._at(self.now + TICK_MS, self._tick, name)

    def _post(self, source, outgoing):
        for message in outgoing:
            self.datagrams[type(message.datagram.body).__name__] += 1
            is_cut = source in self.partitioned or message.instance in self.partitioned
            if is_cut or message.instance not in self.instances:
                continue
            near = (
                self.instances[source].region == self.instances[message.instance].region
            )
            way_ms = NEAR_WAY_MS if near else FAR_WAY_MS
            self._at(self.now + way_ms, self._deliver, message, source)

    def _deliver(self, message, source):
        name = message.instance
        if name in self.paused or name not in self.instances:
            return
        core = self.cores[name]
        self._post(name, core.receive(message.datagram, self.now))
        if not isinstance(
            message.datagram.body, MemberReport | GroupReport | GroupDigest
        ):
            self._resume(name, only_due=False)

    def _resume(self, name, *, only_due):
        waiting = self._waiting_by_name[name]
        due = [w for w in waiting if not only_due or w[1] <= self.now]
        self._waiting_by_name[name] = [w for w in waiting if w not in due]
        for request, _ in due:
            self._follow(name, request, self.cores[name].attempts.next_step)

    def _incoming(self):
        key = str(self.rng.randrange(self.object_count))
        return a_request(
            target_path=f"/look/{key}", object_key=key, deadline_ms=DEADLINE_MS
        )

    def _arrive(self, name, incoming=None):
        incoming = incoming or self._incoming()
        core = self.cores[name]
        self.arrivals.append((self.now, self.instances[name].region))
        request = core.admission.admit(incoming, self.now)
        assert isinstance(request, OpenRequest)
        self._follow(name, request, core.attempts.next_step)

    def _follow(self, name, request, decide, *arguments):
        core = self.cores[name]
        step = decide(*arguments, self.now) if arguments else decide(request, self.now)
        self._post(name, core.token_requests(self.now))
        self._act(name, request, step)

    def _act(self, name, request, step):
        if isinstance(step, Attempt):
            self._send(name, step)
        elif isinstance(step, Deliver):
            self.outcomes["served"] += 1
        elif isinstance(step, Refuse):
            self.outcomes["refused"] += 1
            self.refusals.append((self.now, step))
        else:
            due_at = self.now + step.max_wait_ms
            self._waiting_by_name[name].append((request, due_at))

    def _send(self, name, attempt):
        record = attempt.state.record
        own_region = self.instances[name].region
        self.sent.append((self.now, own_region, record.region))
        is_near = record.region == own_region
        way_ms = NEAR_WAY_MS if is_near else FAR_WAY_MS
        self.reached_at_by_target[record.id].append(self.now + way_ms)
        answered_at = self.now + way_ms + WORK_MS
        self._at(answered_at, self._answer, name, self.cores[name], attempt, way_ms)

    def _answer(self, name, core, attempt, way_ms):
        target_id = attempt.state.record.id
        per_s = self.stated_by_target.get(target_id)
        is_shed = target_id in self.shedding
        result = TargetResult(
            Stage.SHED if is_shed else Stage.ANSWERED,
            status=503 if is_shed else 200,
            duration_ms=2 * way_ms + WORK_MS,
            stated_limit=StatedLimit(per_s),
        )
        self._at(self.now + way_ms, self._end, name, core, attempt, result)

    def _end(self, name, core, attempt, result):
        if self.cores.get(name) is not core or name not in self.instances:
            return
        if name in self.paused:
            self._at(self.now + TICK_MS, self._end, name, core, attempt, result)
            return
        self._follow(name, attempt.request, core.attempts.on_ended, attempt, result)
