"""Answers of targets that do not end take no instance over its memory.

Guards against answers, parts of answers and heads that are held without being counted.
"""

import http.client
import time

import pytest

from standins.endless_target import KINDS
from standins.fleet import wait_for
from standins.platform_documents import configuration_document, target_object
from standins.platform_fleet import Request, send_request
from tests.flooding import (
    NAME,
    SERVED_TIMEOUT_S,
    TENANT,
    Crowd,
    SmallestFleet,
    flood,
    get,
    resident_mb,
    start_small,
    usual_fields,
)
from tests.test_caller_floods import is_cut_off
from tests.test_platform_connectivity import INSTANCES, start as start_cut_fleet

pytestmark = pytest.mark.serial

CALLERS = 300
GROWTH_MAX_MB = 40
ORDINARY = get("/look/1", usual_fields(1))
HEAVY = (
    "field",
    "fields",
    "informational",
    "success in small chunks",
    "failure in small chunks",
    "refusal",
    "refusal in small chunks",
    "foreign",
)
TARGETS = ("i-1", "i-2", "i-3", "i-4")
SERVED = 40


class EndlessFleet(SmallestFleet):
    """A fleet whose targets send answers without end.

    Attributes:
        kind: Kind of the answers.
        slots: Requests that such a target runs at a time.
    """

    kind = ""
    slots = 4

    def start_endless_target(self, target_id):
        """Start such a target and register it."""
        port = self._start(target_id, "standins.endless_target", self.kind)
        self.target_ports_by_id[target_id] = port
        spec = target_object(target_id, self.target_address(target_id))["spec"]
        spec["info"]["slots"] = self.slots
        self.control_store(put=[("servers", target_id, spec)])


def is_answered(fleet):
    """Return whether a target answers a request that it answers as usual."""
    try:
        address = fleet.caller_address(NAME)
        reply = send_request(address, Request("/open/1", key=""), timeout_s=10)
    except (OSError, http.client.HTTPException):
        return False
    return reply.status == 200


@pytest.fixture
def fleet(request):
    with EndlessFleet() as fleet:
        fleet.kind = request.param
        start_small(fleet)
        yield fleet


@pytest.mark.parametrize("fleet", HEAVY, indirect=True)
def test_endless_answers_of_all_targets_stay_within_the_memory(fleet):
    process = fleet.processes_by_name[NAME]
    fleet.slots = CALLERS
    for target_id in TARGETS:
        fleet.start_endless_target(target_id)
    wait_for(lambda: is_answered(fleet), "the target is listed")
    before_mb = resident_mb(process.pid)
    with flood(fleet, Crowd(CALLERS, ORDINARY, reads=True, leaves=False)):
        pass
    assert process.poll() is None
    peak_mb = resident_mb(process.pid)
    print(f"{fleet.kind}: from {before_mb} to {peak_mb} MB")
    assert peak_mb < fleet.memory_mb
    assert peak_mb - before_mb < GROWTH_MAX_MB
    wait_for(lambda: is_answered(fleet), "a request is answered", SERVED_TIMEOUT_S)


@pytest.mark.parametrize("kind", ["failure", "refusal", "foreign", "success"])
def test_endless_answers_to_requests_that_are_handed_over(kind):
    with EndlessFleet() as fleet:
        fleet.kind, fleet.slots = kind, CALLERS
        start_cut_fleet(fleet)
        document = configuration_document(50, one=TENANT)
        fleet.control_store(put=[("config", "main", document)])
        for target_id in ("i-8", "i-9"):
            fleet.start_endless_target(target_id)
        fleet.cut(NAME, "reset")
        wait_for(
            lambda: is_answered(fleet) and is_cut_off(fleet),
            "requests are handed over",
        )
        with flood(fleet, Crowd(CALLERS, ORDINARY, reads=True)):
            pass
        for name in INSTANCES:
            process = fleet.processes_by_name[name]
            assert process.poll() is None
            print(f"{kind}: {name} {resident_mb(process.pid)} MB")
            assert resident_mb(process.pid) < fleet.memory_mb
        wait_for(lambda: is_answered(fleet), "a request is answered", SERVED_TIMEOUT_S)


@pytest.mark.parametrize("fleet", sorted(KINDS), indirect=True)
def test_endless_answers_of_one_target_harm_only_requests_that_it_runs(fleet):
    process = fleet.processes_by_name[NAME]
    fleet.start_endless_target(TARGETS[0])
    for target_id in TARGETS[1:]:
        fleet.start_target(target_id)
    address = fleet.caller_address(NAME)
    before_mb = resident_mb(process.pid)
    statuses = []
    for number in range(SERVED):
        cookie = (("Cookie", f"Affinity-Key={number}"),)
        request = Request(id=f"r{number}", deadline_ms=1_000, headers=cookie)
        connection = http.client.HTTPConnection(*address, timeout=5)
        try:
            # Only the head is read: a success without end is passed on.
            connection.request("GET", "/look/1", headers=request.all_headers())
            statuses.append(connection.getresponse().status)
        finally:
            connection.close()
    assert process.poll() is None
    assert resident_mb(process.pid) - before_mb < GROWTH_MAX_MB
    print(f"{fleet.kind}: {statuses}")
    assert statuses.count(200) >= SERVED / 2
    started_at = time.monotonic()
    assert is_answered(fleet)
    assert time.monotonic() - started_at < SERVED_TIMEOUT_S
