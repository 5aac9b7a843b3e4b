"""Targets that state in their answers that they leave, with real processes."""

import time

import pytest

from standins.fleet import wait_for
from tests.test_platform_rest import NAMES, TARGET, arrivals, fleet, loads, shared_fleet

__all__ = ["fleet", "loads", "shared_fleet"]

DRAIN_S = 2.5
MEASURED_S = 2.0


@pytest.fixture
def leaving(fleet):
    yield fleet
    fleet.control_target(TARGET, faults={})
    fleet.register_target(TARGET, born=2, sequence=9)
    time.sleep(1)


def test_target_that_states_that_it_leaves_gets_nothing_after_the_bound(leaving, loads):
    # After earlier tests of this fleet the target may be avoided for some seconds.
    wait_for(
        lambda: any(arrivals(leaving, time.monotonic() - 1).values()),
        "the target gets requests",
        10,
    )
    begin = time.monotonic()
    leaving.control_target(TARGET, faults={"is_leaving": True})
    time.sleep(DRAIN_S)
    assert leaving.control_target(TARGET)["leaving_ids"]
    leaving.register_target(TARGET, sequence=3)
    time.sleep(MEASURED_S)
    late = arrivals(leaving, begin + DRAIN_S)
    assert {name: len(times) for name, times in late.items()} == dict.fromkeys(NAMES, 0)


def test_new_run_of_a_target_that_left_is_used(leaving, loads):
    leaving.control_target(TARGET, faults={"is_leaving": True})
    time.sleep(1)
    leaving.control_target(TARGET, faults={})
    leaving.register_target(TARGET, born=3, sequence=20)
    wait_for(
        lambda: sum(map(len, arrivals(leaving, time.monotonic() - 1).values())) > 5,
        "the new run gets requests",
        5,
    )
