"""The store returns from an older copy, with instances that restart meanwhile.

Guards against a withdrawn key that is served again, a fleet that stays split because
entries of the others are gone, and changes that are never seen because their revisions
are lower than those from before.
"""

import signal
import time

import pytest

from standins.fleet import wait_for
from standins.platform_documents import configuration_document
from standins.platform_fleet import PlatformFleet, Request, send_request
from tests.test_platform_processes import TARGETS

PLACE_BY_NAME = {"n1": "north-a", "n2": "north-b", "n3": "south-a", "n4": "south-a"}
NORTH = {"n1", "n2"}
KEPT, WITHDRAWN = "key-one-b", "key-one-a"
MEMBERSHIP_TIMEOUT_S = 4
CONFIG_TIMEOUT_S = 4
AWAY_S = 1


@pytest.fixture
def fleet():
    with PlatformFleet() as fleet:
        fleet.configure(5)
        for target_id in TARGETS:
            fleet.start_target(target_id)
        for name, place in PLACE_BY_NAME.items():
            fleet.start_instance(name, place)
        fleet.wait_ready(*PLACE_BY_NAME)
        wait_for(lambda: is_whole(fleet), "all instances know each other")
        yield fleet


def is_whole(fleet):
    return all(fleet.look_up(name) == NORTH for name in PLACE_BY_NAME)


def statuses(fleet, **changes):
    found = {}
    for name in PLACE_BY_NAME:
        try:
            address = fleet.caller_address(name)
            found[name] = send_request(address, Request(**changes)).status
        except OSError:
            found[name] = 0
    return found


def configure(fleet, version, keys):
    document = configuration_document(version)
    document["tenants"]["one"]["api_keys"] = keys
    fleet.control_store(put=[("config", "main", document)])


def is_in_force(fleet, version):
    text = f"sequoiahook_configuration_number {version}\n"
    return all(text in fleet.metrics(name) for name in PLACE_BY_NAME)


@pytest.mark.parametrize("restarted", [(), ("n2", "n4")])
def test_store_that_returns_from_a_copy(fleet, restarted):
    fleet.control_store(keep_copy=True)
    for version in range(6, 12):
        configure(fleet, version, [KEPT])
    wait_for(lambda: is_in_force(fleet, 11), "configuration 11 is in force")
    fleet.control_store(faults={"is_silent": True})
    for name in restarted:
        fleet.signal(name, signal.SIGKILL)
    time.sleep(AWAY_S)
    for name in restarted:
        fleet.wait_exit(name)
    fleet.control_store(return_to_copy=True)
    fleet.control_store(faults={})
    for name in restarted:
        fleet.start_instance(name, PLACE_BY_NAME[name])
    returned_at = time.monotonic()
    served = []
    whole_at = None
    while time.monotonic() - returned_at < MEMBERSHIP_TIMEOUT_S:
        served.append(statuses(fleet, key=WITHDRAWN))
        if whole_at is None and is_whole(fleet):
            whole_at = time.monotonic()
        time.sleep(0.1)
    assert not [found for found in served if 200 in found.values()]
    assert whole_at is not None, "the fleet is split"
    assert set(statuses(fleet, key=KEPT).values()) == {200}
    configure(fleet, 11, [KEPT])
    configure(fleet, 12, [KEPT, "key-one-c"])
    wait_for(
        lambda: is_in_force(fleet, 12), "configuration 12 is in force", CONFIG_TIMEOUT_S
    )
    assert is_whole(fleet)
    assert set(statuses(fleet, key="key-one-c").values()) == {200}
