"""A target that states a limit, in front of real processes under faults."""

import itertools
import json
import signal
import threading
import time
from collections import Counter

import pytest

from standins.fleet import wait_for
from standins.platform_fleet import PlatformFleet, Request, send_request
from tests.platform_loads import running
from tests.test_platform_processes import start

NAMES = ("n1", "n2", "n3", "n4")
LIMITED = "i-1"
PER_S = 5.0
SETTLING_S = 4.0
WINDOW_S = 4.0
ALLOWED = 1.5 * PER_S * WINDOW_S + 5
PAUSE_S = 0.02


class Load(threading.Thread):
    """Sends requests for many objects to one instance until ``done`` is set."""

    def __init__(self, fleet, name, done):
        super().__init__()
        self.fleet, self.name_, self.done = fleet, name, done
        self.statuses = Counter()

    def run(self):
        for number in itertools.count():
            if self.done.is_set():
                return
            cookie = (("Cookie", f"Affinity-Key={number % 60}"),)
            request = Request(f"/look/{number % 60}", headers=cookie)
            address = self.fleet.caller_address(self.name_)
            try:
                self.statuses[send_request(address, request).status] += 1
            except OSError as error:
                self.statuses[type(error).__name__] += 1
            time.sleep(PAUSE_S)


@pytest.fixture
def fleet():
    with PlatformFleet() as fleet:
        start(fleet, *NAMES)
        yield fleet


@pytest.fixture
def loads(fleet):
    with running(Load, fleet, NAMES) as loads:
        yield loads


def times_of(fleet, target_id=LIMITED):
    lines = (fleet.path / f"{target_id}.runs").read_text().splitlines()
    return [json.loads(line)["at"] for line in lines]


def most_in_window(times, begin):
    times = [at for at in times if at >= begin]
    return max(
        (sum(at <= other < at + WINDOW_S for other in times) for at in times),
        default=0,
    )


def state_limit(fleet, text):
    fleet.control_target(LIMITED, faults={"limit": text})
    return time.monotonic()


def rate_since(fleet, begin):
    times = [at for at in times_of(fleet) if at >= begin]
    return len(times) / (time.monotonic() - begin)


def test_limit_binds_processes_and_ends(fleet, loads):
    time.sleep(2)
    ordinary = rate_since(fleet, time.monotonic() - 1.5)
    assert ordinary > 2 * PER_S
    stated_at = state_limit(fleet, str(PER_S))
    time.sleep(SETTLING_S + 6)
    assert most_in_window(times_of(fleet), stated_at + SETTLING_S) <= ALLOWED
    assert rate_since(fleet, stated_at + SETTLING_S) >= 0.5 * PER_S
    state_limit(fleet, "")
    wait_for(
        lambda: rate_since(fleet, time.monotonic() - 1) >= 0.6 * ordinary,
        "the target has its ordinary share back",
        5,
    )
    assert all(load.statuses[200] > 50 for load in loads)


def test_limit_holds_while_instances_end_freeze_and_restart(fleet, loads):
    time.sleep(2)
    stated_at = state_limit(fleet, str(PER_S))
    time.sleep(2)
    fleet.signal("n1", signal.SIGKILL)
    fleet.wait_exit("n1")
    fleet.signal("n2", signal.SIGSTOP)
    time.sleep(3)
    fleet.signal("n2", signal.SIGCONT)
    fleet.start_instance("n1")
    fleet.wait_ready("n1")
    time.sleep(5)
    fleet.signal("n3", signal.SIGTERM)
    time.sleep(4)
    assert most_in_window(times_of(fleet), stated_at + SETTLING_S) <= ALLOWED
    assert rate_since(fleet, stated_at + SETTLING_S) >= 0.3 * PER_S


def test_invalid_limit_of_a_target_is_logged_and_ignored(fleet, loads):
    state_limit(fleet, "-5")
    wait_for(
        lambda: any(
            line["event"] == "limit of target invalid" and line["value"] == "-5"
            for name in NAMES
            for line in fleet.log_records(name)
        ),
        "the invalid limit is logged",
    )
    time.sleep(3)
    assert rate_since(fleet, time.monotonic() - 2) > 2 * PER_S


def test_instances_learn_a_limit_from_a_peer(fleet):
    state_limit(fleet, str(PER_S))
    cookies = [(("Cookie", f"Affinity-Key={number}"),) for number in range(60)]
    for cookie in cookies:
        send_request(fleet.caller_address("n1"), Request(headers=cookie))
    wait_for(
        lambda: all(
            any(
                line["event"] == "limit of target" and line["per_s"] == PER_S
                for line in fleet.log_records(name)
            )
            for name in NAMES
        ),
        "all instances know the limit",
    )
