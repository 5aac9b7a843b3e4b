"""Calls of the store by a region whose instances all restart at once."""

import signal

import pytest

from standins.fleet import wait_for
from standins.platform_fleet import PlatformFleet, Request, send_request
from tests.test_platform_processes import start

NAMES = ("n1", "n2", "n3", "n4", "n5", "n6")
SERVED_TIMEOUT_S = 4
FOLLOWED_KINDS = ("servers", "evacuations")


@pytest.fixture
def fleet():
    with PlatformFleet() as fleet:
        start(fleet, *NAMES)
        yield fleet


def is_served(fleet, name):
    try:
        return send_request(fleet.caller_address(name), Request()).status == 200
    except OSError:
        return False


def test_one_instance_lists_the_targets_for_a_region_that_restarts(fleet):
    """Before, each of them listed all kinds, page by page."""
    for name in NAMES:
        fleet.signal(name, signal.SIGKILL)
    for name in NAMES:
        fleet.wait_exit(name)
    before = fleet.control_store()
    for name in NAMES:
        fleet.start_instance(name)
    for name in NAMES:
        wait_for(
            lambda name=name: is_served(fleet, name),
            f"{name} serves again",
            SERVED_TIMEOUT_S,
        )
    after = fleet.control_store()
    for kind in FOLLOWED_KINDS:
        lists = after["lists"].get(kind, 0) - before["lists"].get(kind, 0)
        assert lists <= 2, kind
    assert after["calls"].get("POST", 0) == before["calls"].get("POST", 0)


def test_an_instance_that_restarts_alone_serves_although_no_peer_relays(fleet):
    for name in NAMES:
        fleet.signal(name, signal.SIGKILL)
        fleet.wait_exit(name)
    fleet.start_instance(NAMES[0])
    wait_for(
        lambda: is_served(fleet, NAMES[0]), "the instance serves", SERVED_TIMEOUT_S
    )
