"""Targets that ask an instance to stay away for a time, with real processes."""

import itertools
import threading
import time

import pytest

from standins.fleet import wait_for
from standins.platform_fleet import PlatformFleet, Request, send_request
from tests.platform_loads import running
from tests.test_platform_processes import start

NAMES = ("n1", "n2", "n3", "n4")
TARGET = "i-1"
REST_S = 2.5
IN_FLIGHT_S = 0.5
LATE_MAX = 2
PAUSE_S = 0.02


class Load(threading.Thread):
    """Sends requests for many objects to one instance until ``done`` is set."""

    numbers = itertools.count()

    def __init__(self, fleet, name, done):
        super().__init__()
        self.fleet, self.name_, self.done = fleet, name, done
        self.statuses = []

    def run(self):
        while not self.done.is_set():
            number = next(self.numbers)
            request = Request(
                f"/look/{number % 60}",
                id=f"{self.name_}/{number}",
                headers=(("Cookie", f"Affinity-Key={number % 60}"),),
            )
            address = self.fleet.caller_address(self.name_)
            self.statuses.append(send_request(address, request).status)
            time.sleep(PAUSE_S)


@pytest.fixture(scope="module")
def shared_fleet():
    with PlatformFleet() as fleet:
        start(fleet, *NAMES)
        yield fleet


@pytest.fixture
def fleet(shared_fleet):
    yield shared_fleet
    for target_id in ("i-1", "i-2", "i-3"):
        shared_fleet.control_target(target_id, faults={})
    time.sleep(REST_S)


@pytest.fixture
def loads(fleet):
    with running(Load, fleet, NAMES) as loads:
        time.sleep(1)
        yield loads


def arrivals(fleet, begin=0.0, target_id=TARGET, *, asked_only=False):
    """Return the arrival times at a target by instance."""
    times_by_name = {name: [] for name in NAMES}
    for request_id, at, is_asked in fleet.control_target(target_id)["arrivals"]:
        name = request_id.partition("/")[0]
        if at >= begin and name in times_by_name and (is_asked or not asked_only):
            times_by_name[name].append(at)
    return times_by_name


def ask_for_rest(fleet, text, target_ids=(TARGET,)):
    """Let targets refuse all requests, and ask for rest, for half a second."""
    begin = time.monotonic()
    for target_id in target_ids:
        fleet.control_target(target_id, faults={"how": "shed", "rest": text})
    time.sleep(IN_FLIGHT_S)
    for target_id in target_ids:
        fleet.control_target(target_id, faults={})
    return begin


def late_arrivals(fleet, begin):
    """Return the arrivals in the rest of each instance, after those in flight."""
    late = []
    times_by_name = arrivals(fleet, begin)
    for name, asked_times in arrivals(fleet, begin, asked_only=True).items():
        if asked_times:
            since, until = asked_times[0] + IN_FLIGHT_S, asked_times[0] + REST_S
            late.append(sum(since < at < until for at in times_by_name[name]))
    return late


@pytest.mark.parametrize("text", [str(REST_S), "3"])
def test_target_that_asks_for_rest_gets_no_requests_meanwhile(fleet, loads, text):
    begin = ask_for_rest(fleet, text)
    time.sleep(REST_S + 0.5)
    late = late_arrivals(fleet, begin)
    assert late
    assert max(late) <= LATE_MAX, late


def test_target_has_its_share_again_after_the_rest(fleet, loads):
    time.sleep(1)
    before = sum(map(len, arrivals(fleet, time.monotonic() - 1).values()))
    ask_for_rest(fleet, str(REST_S))
    wait_for(
        lambda: (
            sum(map(len, arrivals(fleet, time.monotonic() - 1).values()))
            >= 0.6 * before
        ),
        "the target has its share again",
        REST_S + 3,
    )


def test_requests_are_refused_at_once_while_all_targets_rest(fleet, loads):
    ask_for_rest(fleet, str(REST_S), ("i-1", "i-2", "i-3"))
    started_at = time.monotonic()
    request = Request("/look/1", id="refused")
    reply = send_request(fleet.caller_address("n1"), request)
    assert reply.status == 503
    assert time.monotonic() - started_at < 0.2
    assert 0.2 < float(reply.headers["retry-after"]) <= REST_S


@pytest.mark.parametrize("text", ["-1", "soon", "Wed, 21 Oct 2026 07:28:00 GMT"])
def test_malformed_rest_is_logged_and_ignored(fleet, loads, text):
    begin = ask_for_rest(fleet, text)
    wait_for(
        lambda: any(
            line["event"] == "rest of target invalid" and line["value"] == text
            for name in NAMES
            for line in fleet.log_records(name)
        ),
        "the invalid field is logged",
    )
    wait_for(
        lambda: sum(map(len, arrivals(fleet, begin + 1).values())) > 10,
        "the target still gets requests",
        3,
    )
