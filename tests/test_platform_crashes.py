"""A request that ends its targets, sent to real processes again and again."""

import itertools
import threading
import time
from collections import Counter

import pytest

from standins.fleet import wait_for
from standins.platform_fleet import PlatformFleet, Request, send_request
from tests.test_platform_processes import start

NAMES = ("n1", "n2", "n3", "n4")
CRASHING = Request("/look/crashing", id="crashing")
POPULAR = Request("/look/popular", id="popular")
TARGETS = ("i-1", "i-2", "i-3")
STABLE_S = 4.0
LATE_MAX = 3
CRASHING_PAUSE_S = 0.4
POPULAR_PAUSE_S = 0.03


class Targets(threading.Thread):
    """Replaces each target that has ended after a second, until ``done`` is set."""

    def __init__(self, fleet, done):
        super().__init__()
        self.fleet, self.done = fleet, done
        self.ended_at = []
        self.running = list(TARGETS)
        self._numbers = itertools.count(100)

    def run(self):
        while not self.done.is_set():
            for target_id in list(self.running):
                if self.fleet.processes_by_name[target_id].poll() is not None:
                    self._replace(target_id)
            time.sleep(0.05)

    def _replace(self, target_id):
        self.ended_at.append(time.monotonic())
        self.running.remove(target_id)
        self.fleet.control_store(delete=[("servers", target_id)])
        new_id = f"i-{next(self._numbers)}"
        self.fleet.start_target(new_id)
        self.fleet.control_target(new_id, faults={"crash_path": CRASHING.path})
        self.running.append(new_id)


class Sender(threading.Thread):
    """Sends a request to all instances in turn until ``done`` is set."""

    def __init__(self, fleet, request, pause_s, done):
        super().__init__()
        self.fleet, self.request, self.done = fleet, request, done
        self.pause_s = pause_s
        self.replies = []

    def run(self):
        for name in itertools.cycle(NAMES):
            if self.done.is_set():
                return
            try:
                reply = send_request(self.fleet.caller_address(name), self.request)
                self.replies.append((time.monotonic(), reply.status))
            except OSError as error:
                self.replies.append((time.monotonic(), type(error).__name__))
            time.sleep(self.pause_s)

    def statuses_since(self, begin):
        return Counter(status for at, status in self.replies if at >= begin)


@pytest.fixture
def fleet():
    with PlatformFleet() as fleet:
        start(fleet, *NAMES)
        for target_id in TARGETS:
            fleet.control_target(target_id, faults={"crash_path": CRASHING.path})
        yield fleet


@pytest.fixture
def threads(fleet):
    done = threading.Event()
    targets = Targets(fleet, done)
    crashing = Sender(fleet, CRASHING, CRASHING_PAUSE_S, done)
    popular = Sender(fleet, POPULAR, POPULAR_PAUSE_S, done)
    for thread in (targets, crashing, popular):
        thread.start()
    yield targets, crashing, popular
    done.set()
    for thread in (targets, crashing, popular):
        thread.join()


def crashing_refused(crashing):
    return wait_for(
        lambda: crashing.statuses_since(time.monotonic() - 1).get(500),
        "the request is refused",
        20,
    )


def test_request_that_ends_targets_is_refused_and_others_are_served(fleet, threads):
    targets, crashing, popular = threads
    crashing_refused(crashing)
    time.sleep(8)
    late = [at for at in targets.ended_at if at > targets.ended_at[2] + STABLE_S]
    assert len(late) <= LATE_MAX
    statuses = popular.statuses_since(time.monotonic() - 6)
    assert statuses[500] == 0
    assert statuses[200] >= 0.9 * statuses.total()


def test_verdict_holds_at_a_restarted_instance(fleet, threads):
    targets, crashing, _ = threads
    crashing_refused(crashing)
    fleet.processes_by_name["n1"].kill()
    fleet.wait_exit("n1")
    fleet.start_instance("n1")
    fleet.wait_ready("n1")
    time.sleep(STABLE_S)
    before = len(targets.ended_at)
    time.sleep(4)
    assert len(targets.ended_at) - before <= 1
    reply = send_request(fleet.caller_address("n1"), CRASHING)
    assert reply.status == 500
    assert reply.document["error"].startswith("not run")


def test_refusal_is_logged_with_its_evidence(fleet, threads):
    _, crashing, _ = threads
    crashing_refused(crashing)
    lines = wait_for(
        lambda: [
            line
            for name in NAMES
            for line in fleet.log_records(name)
            if line.get("status") == 500
        ],
        "the refusal is logged",
    )
    assert all(line["crashes"] >= 3 and line["targets"] for line in lines)
    assert any(
        line.get("fingerprint") for name in NAMES for line in fleet.log_records(name)
    )


def test_targets_that_end_on_their_own_refuse_no_request(fleet):
    done = threading.Event()
    targets = Targets(fleet, done)
    popular = Sender(fleet, POPULAR, POPULAR_PAUSE_S, done)
    targets.start()
    popular.start()
    for _ in range(4):
        time.sleep(1.5)
        for target_id in list(targets.running):
            fleet.processes_by_name[target_id].kill()
    ended_at = time.monotonic()
    wait_for(lambda: popular.statuses_since(ended_at)[200] > 20, "requests are served")
    done.set()
    targets.join()
    popular.join()
    assert popular.statuses_since(0)[500] == 0
