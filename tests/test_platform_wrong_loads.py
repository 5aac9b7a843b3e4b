"""One of four targets reports a wrong load; the others are used as before."""

import itertools
import time

import pytest

from standins.platform_fleet import PlatformFleet, Request, send_request
from tests.flooding import TENANT, resident_mb

TARGETS = ("i-1", "i-2", "i-3", "i-4")
SICK = TARGETS[0]
TRUE_LOAD = "0,0,4,100"
OBJECTS = 40
PHASE_S = 2.5
MEMORY_MAX_MB = 152
"""Memory of the smallest machine."""

WRAPPED = 2**32 - 1
LOADS = {
    "waiting": f"0,{WRAPPED},4,100",
    "running": f"{WRAPPED},0,4,100",
    "slots": f"0,{WRAPPED},{WRAPPED},100",
    "many digits": f"{'9' * 4_500},{'9' * 4_500},4,100",
    "pace": f"0,0,4,{WRAPPED}",
    "slowest pace": "0,0,4,10000",
    "fastest pace": "0,0,4,1",
    "not a number": "NaN,inf,4,NaN",
    "negative": "-1,-1,4,-1",
    "none": ",,,",
    "low": "0,0,4,100",
}
TURNS = ("waiting", "low", "slowest pace", "not a number", "fastest pace")


@pytest.fixture(scope="module")
def fleet():
    with PlatformFleet() as fleet:
        fleet.configure(1, one=TENANT)
        for target in TARGETS:
            fleet.start_target(target)
            fleet.control_target(target, faults={"work_ms": 20, "load": TRUE_LOAD})
        fleet.start_instance("n1")
        fleet.wait_ready("n1")
        yield fleet


def set_load(fleet, load):
    fleet.control_target(SICK, faults={"work_ms": 20, "load": load})


def statuses_until(fleet, at):
    """Send requests for one object after the other, and return the statuses."""
    address, statuses = fleet.caller_address("n1"), []
    numbers = itertools.count()
    while time.monotonic() < at:
        number = next(numbers)
        cookie = ("Cookie", f"Affinity-Key={number % OBJECTS}")
        method, path = ("GET", "/look/1") if number % 2 else ("POST", "/write/1")
        request = Request(path, method, id=f"r{number}", headers=(cookie,))
        statuses.append(send_request(address, request).status)
    return statuses


def assert_unharmed(fleet, statuses):
    assert fleet.processes_by_name["n1"].poll() is None
    assert resident_mb(fleet.processes_by_name["n1"].pid) < MEMORY_MAX_MB
    assert set(statuses) == {200}


@pytest.mark.parametrize("kind", LOADS)
def test_wrong_load_of_one_target_harms_no_request(fleet, kind):
    # Guards against work and memory that grow with a stated figure.
    set_load(fleet, LOADS[kind])
    try:
        statuses = statuses_until(fleet, time.monotonic() + PHASE_S)
    finally:
        set_load(fleet, TRUE_LOAD)
    assert_unharmed(fleet, statuses)


def test_load_that_is_wrong_by_turns_harms_no_request(fleet):
    statuses = []
    for kind in TURNS:
        set_load(fleet, LOADS[kind])
        statuses += statuses_until(fleet, time.monotonic() + PHASE_S / len(TURNS))
    set_load(fleet, TRUE_LOAD)
    assert_unharmed(fleet, statuses)
    before = len(fleet.control_target(SICK)["runs"])
    statuses_until(fleet, time.monotonic() + PHASE_S)
    assert len(fleet.control_target(SICK)["runs"]) > before
