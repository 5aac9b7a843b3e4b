"""Fair shares of capacity between organisations, with real processes."""

import http.client
import random
import threading
import time
from collections import Counter

import pytest

from sequoiahook.decisions.direct.requests import Cause
from standins.platform_fleet import PlatformFleet, Request, send_request

INSTANCES = ("n1", "n2")
TARGETS = ("i-1", "i-2", "i-3", "i-4")
SLOTS = 4
WORK_MS = 200
STEADY_PER_S = 12
HOT_PER_S = 200
HOT_THREADS = 40
STEADY_THREADS = 4
SETTLING_S = 4.0
MEASURED_S = 8.0
STEADY_MIN = 0.6
USE_MIN = 0.75
"""Wide bounds: without shares the steady organisations get less than a fifth."""


class Callers(threading.Thread):
    """One caller of an organisation, which sends at a rate until ``done`` is set.

    Attributes:
        statuses: Outcomes of the requests that arrived within the measured time.
    """

    def __init__(self, fleet, key, per_s, *, repeats_at_once, done, seed):
        super().__init__(daemon=True)
        self.statuses, self.causes = Counter(), Counter()
        self.is_measured = False
        self._addresses = [fleet.caller_address(name) for name in INSTANCES]
        self._key, self._per_s, self._done = key, per_s, done
        self._repeats_at_once = repeats_at_once
        self._rng = random.Random(seed)
        self._connections = {}

    def run(self):
        due_at = time.monotonic() + self._rng.expovariate(self._per_s)
        while not self._done.wait(max(0.0, due_at - time.monotonic())):
            due_at += self._rng.expovariate(self._per_s)
            is_measured = self.is_measured
            status = self._send()
            for _ in range(3 * self._repeats_at_once):
                if status != 503 or self._done.is_set():
                    break
                status = self._send()
            if is_measured:
                self.statuses[status] += 1
        for connection in self._connections.values():
            connection.close()

    def _send(self):
        address = self._rng.choice(self._addresses)
        number = self._rng.randrange(40)
        request = Request(
            f"/look/{number}",
            key=self._key,
            headers=(("Cookie", f"Affinity-Key={self._key}-{number}"),),
        )
        connection = self._connections.get(address)
        if connection is None:
            connection = http.client.HTTPConnection(*address, timeout=10)
            self._connections[address] = connection
        try:
            return send_request(address, request, connection).status
        except (OSError, http.client.HTTPException):
            connection.close()
            del self._connections[address]
            return 0


@pytest.fixture(params=["", "0,0,4,100"], ids=["true load", "idle, with a pace"])
def fleet(request):
    with PlatformFleet() as fleet:
        tenant = {"priority": 1, "rate_per_s": 5_000, "burst": 5_000}
        fleet.configure(
            1,
            **{
                name: tenant | {"api_keys": [f"key-of-{name}"], "allowed_regions": []}
                for name in ("hot", "steady-a", "steady-b")
            },
        )
        for target_id in TARGETS:
            fleet.start_target(target_id)
            faults = {"work_ms": WORK_MS, "slots": SLOTS, "load": request.param}
            fleet.control_target(target_id, faults=faults)
        for name in INSTANCES:
            fleet.start_instance(name)
        fleet.wait_ready(*INSTANCES)
        yield fleet


def callers_of(fleet, done, name, per_s, count, *, repeats_at_once):
    return [
        Callers(
            fleet,
            f"key-of-{name}",
            per_s / count,
            repeats_at_once=repeats_at_once,
            done=done,
            seed=f"{name}-{index}",
        )
        for index in range(count)
    ]


def total(callers):
    return sum((caller.statuses for caller in callers), Counter())


def served_fraction(callers):
    statuses = total(callers)
    return statuses[200] / max(1, sum(statuses.values()))


def test_steady_organisations_are_served_beside_a_hot_one(fleet):
    """Without shares all were refused alike: the steady ones got 0.12 to 0.19."""
    done = threading.Event()
    steady = {
        name: callers_of(
            fleet, done, name, STEADY_PER_S, STEADY_THREADS, repeats_at_once=False
        )
        for name in ("steady-a", "steady-b")
    }
    hot = callers_of(fleet, done, "hot", HOT_PER_S, HOT_THREADS, repeats_at_once=True)
    everyone = [*hot, *steady["steady-a"], *steady["steady-b"]]
    for caller in everyone:
        caller.start()
    time.sleep(SETTLING_S)
    begun_at = time.monotonic()
    for caller in everyone:
        caller.is_measured = True
    time.sleep(MEASURED_S)
    ended_at = time.monotonic()
    done.set()
    for caller in everyone:
        caller.join()
    runs = [run for run in fleet.runs() if begun_at <= run["at"] < ended_at]
    capacity = SLOTS * len(TARGETS) * 1_000 / WORK_MS * (ended_at - begun_at)
    seen = {name: served_fraction(callers) for name, callers in steady.items()}
    by_organisation = Counter(run["organisation"] for run in runs)
    # Shown where the test fails.
    print(seen, served_fraction(hot), len(runs) / capacity, by_organisation)
    assert min(seen.values()) >= STEADY_MIN
    assert len(runs) / capacity >= USE_MIN
    lines = [line for name in INSTANCES for line in fleet.log_records(name)]
    assert any(line["event"] == "organisation shares" for line in lines)
    refused = [line for line in lines if line.get("cause") == Cause.OVER_SHARE]
    assert {line["organisation"] for line in refused} == {"hot"}
    assert all(line["status"] == 503 and not line["attempts"] for line in refused)
    assert all(0 <= line["share_permille"] <= 1_000 for line in refused)
    assert all(0 <= line["share_age_ms"] <= 2_000 for line in refused)
    assert "refused for lack of capacity: hot" in fleet.metrics("n1")
