"""Callers of an instance that cannot reach any target, with real processes."""

import http.client
import itertools
import threading
import time

import pytest

from standins.cut_instance import CUTS
from standins.fleet import wait_for
from standins.platform_fleet import PlatformFleet, Request, send_request
from tests.platform_loads import running

INSTANCES = {"n1": "north-a", "n2": "north-a", "n3": "north-b", "n4": "south-a"}
TARGETS = {"i-1": "north-a", "i-2": "north-a", "i-3": "north-b", "i-4": "south-a"}
CALLERS_PER_INSTANCE = 2
PAUSE_S = 0.02
SETTLING_S = 4.0
MEASURED_S = 3.0
FAILURES_FREE = 10
FAILURES_PART = 50
REGAINED_S = 3.0


class Load(threading.Thread):
    """Sends requests to one instance on an open connection until ``done`` is set."""

    numbers = itertools.count()

    def __init__(self, fleet, name, done):
        super().__init__()
        self.fleet, self.name_, self.done = fleet, name, done
        self.results = []
        self.connection = None

    def run(self):
        while not self.done.is_set():
            sent_at = time.monotonic()
            self.results.append((sent_at, self._send()))
            time.sleep(PAUSE_S)
        if self.connection is not None:
            self.connection.close()

    def _send(self):
        number = next(self.numbers)
        is_write = number % 4 == 0
        request = Request(
            f"/write/{number}" if is_write else f"/look/{number}",
            "POST" if is_write else "GET",
            id=f"{self.name_}-{number}",
            headers=(("Cookie", f"Affinity-Key={number % 60}"),),
        )
        address = self.fleet.caller_address(self.name_)
        if self.connection is None:
            self.connection = http.client.HTTPConnection(*address, timeout=10)
        try:
            reply = send_request(address, request, self.connection)
        except (OSError, http.client.HTTPException) as error:
            self.connection.close()
            self.connection = None
            return type(error).__name__
        return reply.status


def start(fleet):
    """Start targets, and instances that can be cut off from them."""
    fleet.instance_module = "standins.cut_instance"
    fleet.configure(1)
    for target_id, zone in TARGETS.items():
        fleet.start_target(target_id, zone=zone)
    for name, zone in INSTANCES.items():
        fleet.start_instance(name, zone)
    fleet.wait_ready(*INSTANCES)
    wait_for(
        lambda: (
            fleet.look_up("n1") >= {"n1", "n2", "n3"}
            and fleet.look_up("n4", "nowhere") == set(INSTANCES)
        ),
        "all instances report",
    )


@pytest.fixture(scope="module")
def shared_fleet():
    with PlatformFleet() as fleet:
        start(fleet)
        yield fleet


@pytest.fixture
def fleet(shared_fleet):
    yield shared_fleet
    for name in INSTANCES:
        shared_fleet.cut(name, "")
    time.sleep(REGAINED_S)


@pytest.fixture
def loads(fleet):
    with running(Load, fleet, [*INSTANCES] * CALLERS_PER_INSTANCE) as loads:
        time.sleep(1)
        yield loads


def results_at(loads, names, begin, end):
    return [
        status
        for load in loads
        if load.name_ in names
        for sent_at, status in load.results
        if begin <= sent_at < end
    ]


def failures(statuses):
    return [status for status in statuses if status != 200]


def longest(load):
    """Return the number of a caller's requests, and those that took longest."""
    results = [*load.results, (time.monotonic(), "the end")]
    durations = [
        (round(after - sent_at, 3), round(sent_at, 3), status)
        for (sent_at, status), (after, _) in itertools.pairwise(results)
    ]
    return load.name_, len(durations), sorted(durations)[-3:]


def assert_served(loads, names, begin, end):
    statuses = results_at(loads, names, begin, end)
    assert len(statuses) > 100, [longest(load) for load in loads if load.name_ in names]
    allowed = FAILURES_FREE + len(statuses) / FAILURES_PART
    assert len(failures(statuses)) <= allowed, failures(statuses)[:5]


def cut_and_measure(fleet, loads, names, how):
    """Cut instances, and return when the cut began and was healed."""
    begin = time.monotonic()
    for name in names:
        fleet.cut(name, how)
    time.sleep(SETTLING_S + MEASURED_S)
    healed_at = time.monotonic()
    for name in names:
        fleet.cut(name, "")
    time.sleep(REGAINED_S)
    return begin, healed_at


@pytest.mark.parametrize("how", CUTS)
def test_callers_of_an_instance_isolated_from_targets_are_served(fleet, loads, how):
    begin, healed_at = cut_and_measure(fleet, loads, ("n1",), how)
    assert_served(loads, ("n1",), begin + SETTLING_S, healed_at)
    assert_served(loads, ("n2", "n3", "n4"), begin, healed_at + REGAINED_S)


@pytest.mark.parametrize(
    "names", [("n1", "n3"), ("n1", "n2"), ("n1", "n2", "n3")], ids="-".join
)
def test_callers_are_served_while_several_instances_are_isolated(fleet, loads, names):
    others = tuple(INSTANCES.keys() - set(names))
    begin, healed_at = cut_and_measure(fleet, loads, names, "hang")
    assert_served(loads, names, begin + SETTLING_S, healed_at)
    assert_served(loads, others, begin, healed_at + REGAINED_S)
