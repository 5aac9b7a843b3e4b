"""Simulation of a fleet that is divided into groups, in virtual time.

Instances are whole cores without I/O, joined by a simulated network with delay, loss
and partitions.
"""

import itertools
import random

from sequoiahook.clock import MS_PER_S
from sequoiahook.decisions.direct.core import DirectCore
from sequoiahook.decisions.direct.requests import Attempt, Hold, OpenRequest
from sequoiahook.decisions.exchange.target_result import Stage, TargetResult
from sequoiahook.messages.reports import TokenDenial, TokenGrant
from sequoiahook.world.instance import Address
from tests.direct_parts import (
    a_configuration,
    a_request,
    a_target,
    an_instance,
    an_organisation,
)
from tests.test_direct_attempts import SETTINGS

STEP_MS = 20
REPORT_MS = 200
WINDOW_MS = 5_000
EXCESS, SLACK = 0.1, 20
OK = TargetResult(Stage.ANSWERED, status=200)
REGIONS = {"north-a": "north", "north-b": "north", "south-a": "south"}


class World:
    """Simulated fleet in some data centres; records the requests that targets ran.

    The oracle counts runs by organisation in every window that ends at a run.
    """

    def __init__(
        self, organisations, seed=3, loss=0.0, per_data_centre=8, regions=REGIONS
    ):
        self.rng = random.Random(seed)
        self.loss = loss
        self.incarnations = itertools.count(1)
        self.now = 0
        self.instances = {
            f"{data_centre}-{i}": an_instance(
                f"{data_centre}-{i}",
                data_centre=data_centre,
                region=region,
                caller_address=Address(f"{data_centre}-{i}", 80),
            )
            for data_centre, region in regions.items()
            for i in range(per_data_centre)
        }
        self.organisations = organisations
        self.cores, self.in_transit, self.waiting = {}, [], []
        self.paused, self.partitioned = set(), set()
        self.runs_by_organisation = {o.name: [] for o in organisations}
        self.refusals = []
        for name in self.instances:
            self.start(name)

    def start(self, name):
        core = DirectCore(
            SETTINGS,
            self.instances[name]._replace(incarnation=next(self.incarnations)),
            self.now,
        )
        core.configure(a_configuration(organisations=self.organisations), self.now)
        targets = {
            f"t-{region}": a_target(f"t-{region}", region=region, slots=10_000)
            for region in {i.region for i in self.instances.values()}
        }
        core.targets.replace(targets, self.now)
        core.set_instances(self.listed_instances(name), self.now)
        self.cores[name] = core

    def listed_instances(self, reader):
        """Return the instances that the platform lists for an instance that starts."""
        return self.instances

    def run(self, duration_ms, per_s_by_organisation, instance_names=None):
        end = self.now + duration_ms
        while self.now < end:
            self.step(per_s_by_organisation, instance_names or list(self.instances))

    def step(self, per_s_by_organisation, instance_names):
        self.now += STEP_MS
        due = [entry for entry in self.in_transit if entry[0] <= self.now]
        self.in_transit = [entry for entry in self.in_transit if entry[0] > self.now]
        for _, name, datagram in due:
            self.deliver(name, datagram)
        for index, (name, core) in enumerate(self.cores.items()):
            if name in self.paused:
                continue
            core.freshness.confirm(self.now)
            turn = self.now // STEP_MS + index
            if turn % (REPORT_MS // STEP_MS) == 0:
                core.tick(self.now)
                far = turn % (2 * REPORT_MS // STEP_MS) == 0
                self.post(name, core.reports(self.now, includes_far=far))
            self.post(name, core.serve_waiting(self.now))
            self.post(name, core.token_requests(self.now))
        self.resume([w for w in self.waiting if w[2] <= self.now])
        for organisation, per_s in per_s_by_organisation.items():
            expected = per_s * STEP_MS / MS_PER_S
            for _ in range(int(expected) + (self.rng.random() < expected % 1)):
                self.arrive(self.rng.choice(instance_names), organisation)

    def arrive(self, name, organisation):
        if name in self.paused:
            return
        core = self.cores[name]
        admitted = core.admission.admit(
            a_request(key=f"key-of-organisation-{organisation}", object_key=""),
            self.now,
        )
        if not isinstance(admitted, OpenRequest):
            self.refusals.append((organisation, admitted))
            return
        self.advance_request(name, admitted)

    def advance_request(self, name, request):
        core = self.cores[name]
        step = core.attempts.next_step(request, self.now)
        self.post(name, core.token_requests(self.now))
        if isinstance(step, Hold):
            self.waiting.append((name, request, self.now + step.max_wait_ms))
        elif isinstance(step, Attempt):
            self.runs_by_organisation[request.organisation].append(self.now)
            core.attempts.on_ended(step, OK, self.now)
        else:
            self.refusals.append((request.organisation, step))

    def resume(self, waiting):
        for entry in waiting:
            self.waiting.remove(entry)
            if entry[0] not in self.paused:
                self.advance_request(entry[0], entry[1])

    def post(self, source, outgoing):
        for message in outgoing:
            is_partitioned = (source in self.partitioned) != (
                message.instance in self.partitioned
            )
            if is_partitioned or self.rng.random() < self.loss:
                continue
            region = self.instances[source].region
            is_near = region == self.instances[message.instance].region
            delay_ms = 1 if is_near else 55
            self.in_transit.append((self.now + delay_ms, *message))

    def deliver(self, name, datagram):
        if name in self.paused:
            return
        self.post(name, self.cores[name].receive(datagram, self.now))
        if isinstance(datagram.body, TokenGrant | TokenDenial):
            organisation = datagram.body.organisation
            self.resume(
                [
                    waiting
                    for waiting in self.waiting
                    if waiting[0] == name and waiting[1].organisation == organisation
                ]
            )

    def leaders(self):
        return {
            name
            for name, core in self.cores.items()
            if core.fleet.groups.is_leader(self.now)
        }

    def most_in_a_window(self, organisation):
        runs, most, start = self.runs_by_organisation[organisation], 0, 0
        for end, at in enumerate(runs):
            while runs[start] <= at - WINDOW_MS:
                start += 1
            most = max(most, end - start + 1)
        return most


def limited_organisation(name, rate_per_s, burst):
    return an_organisation(
        name, f"key-of-organisation-{name}", rate_per_s=rate_per_s, burst=burst
    )


def bound(rate_per_s, burst):
    return (rate_per_s * WINDOW_MS / MS_PER_S + burst) * (1 + EXCESS) + SLACK
