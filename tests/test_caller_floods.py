"""Crowds of callers that send requests and read no answers, against real processes.

Each crowd is small and the instance is told that its machine is small. The tests guard
against an instance that ends for lack of memory or descriptors, or no longer answers,
because callers that it does not control leave its answers unread. They check no times
and no share of served requests.
"""

import pytest

from standins.fleet import wait_for
from standins.platform_documents import configuration_document
from standins.platform_fleet import Request, send_request
from tests.flooding import (
    BODY_BYTES_MAX,
    LARGEST_BODY_BYTES,
    NAME,
    TENANT,
    Crowd,
    SmallestFleet,
    SmallFleet,
    check_flood,
    get,
    is_answered_by_a_target,
    post,
    resident_mb,
    start_small,
    usual_fields,
)
from tests.test_platform_connectivity import (
    INSTANCES,
    TARGETS as CUT_TARGETS,
    start as start_cut_fleet,
)
from tests.test_platform_processes import TARGETS, start

pytestmark = pytest.mark.serial


@pytest.fixture
def fleet():
    with SmallFleet() as fleet:
        start_small(fleet)
        yield fleet


def test_requests_without_a_route(fleet):
    """Bytes that were read ahead grew with each refusal that left unread."""
    requests = b"".join(get(f"/nowhere/{number}") for number in range(100_000))
    check_flood(fleet, Crowd(20, requests))


def test_requests_without_the_usual_headers(fleet):
    """Requests without id, deadline and key took as much memory as refused paths."""
    requests = b"".join(
        get(f"/look/{number}") + get(f"/open/{number}") for number in range(50_000)
    )
    check_flood(fleet, Crowd(20, requests))


def test_valid_requests_on_a_few_connections(fleet):
    """Bytes that were read ahead grew with each answer of a target."""
    requests = b"".join(get("/look/1", usual_fields(n)) for n in range(40_000))
    check_flood(fleet, Crowd(12, requests))


def test_answers_of_200_kb(fleet):
    """Answers to requests sent ahead were held whole while none was read."""
    for target_id in TARGETS:
        fleet.control_target(target_id, faults={"body_bytes": 200_000})
    requests = b"".join(get("/look/1", usual_fields(n)) for n in range(400))
    check_flood(fleet, Crowd(250, requests))


def test_failures_of_200_kb(fleet):
    """Failures are not passed on as they arrive, and were held whole."""
    for target_id in TARGETS:
        fleet.control_target(target_id, faults={"body_bytes": 200_000, "how": "fail"})
    requests = b"".join(get("/look/1", usual_fields(n)) for n in range(400))
    check_flood(fleet, Crowd(250, requests))


def test_uploads_without_a_route(fleet):
    """Bodies were read and held although the answers before them were not read."""
    body = b"x" * 1_000_000
    requests = b"".join(post(f"/nowhere/{number}", body) for number in range(20))
    check_flood(fleet, Crowd(40, requests))


def test_valid_uploads(fleet):
    """The bodies of all open requests together took more than the machine has."""
    body = b"x" * BODY_BYTES_MAX
    requests = post("/write/1", body, usual_fields(1)) * 3
    check_flood(fleet, Crowd(40, requests))


def test_uploads_that_stay_incomplete(fleet):
    """Bodies that never become complete held their bytes until the time-out."""
    body = b"x" * BODY_BYTES_MAX
    request = post("/write/1", body, usual_fields(1))
    check_flood(fleet, Crowd(40, request[:-1]))


def test_half_headers_on_many_connections(fleet):
    """Connections took more descriptors than the process may open."""
    fields = "".join(f"X-Field-{number}: {'y' * 300}\r\n" for number in range(35))
    check_flood(fleet, Crowd(700, get("/look/1", fields)[:-2]))


def test_connections_without_a_request(fleet):
    """Idle connections took more descriptors than the process may open."""
    check_flood(fleet, Crowd(700, b""))


@pytest.fixture
def cut_fleet():
    """A fleet whose first instance reaches targets only through the others."""
    with SmallFleet() as fleet:
        start_cut_fleet(fleet)
        document = configuration_document(50, one=TENANT)
        document["limits"]["max_body_bytes"] = BODY_BYTES_MAX
        fleet.control_store(put=[("config", "main", document)])
        wait_for(
            lambda: all(
                "configuration_number 50\n" in fleet.metrics(name) for name in INSTANCES
            ),
            "the limits of bodies are configured",
        )
        fleet.cut(NAME, "reset")
        wait_for(
            lambda: is_answered_by_a_target(fleet) and is_cut_off(fleet),
            "requests are handed over",
            10,
        )
        yield fleet


def is_cut_off(fleet):
    """Return whether the first instance has found that it reaches no target."""
    event = "connectivity to targets lost"
    return any(line["event"] == event for line in fleet.log_records(NAME))


def test_uploads_that_are_handed_over(cut_fleet):
    """Bodies were held at both instances and on the link between them."""
    body = b"x" * BODY_BYTES_MAX
    requests = post("/write/1", body, usual_fields(1)) * 3
    others = [name for name in INSTANCES if name != NAME]
    check_flood(cut_fleet, Crowd(40, requests), others=others)


def test_answers_of_200_kb_to_requests_that_are_handed_over(cut_fleet):
    """Whole answers wait at both instances, since they are not passed on in parts."""
    for target_id in CUT_TARGETS:
        cut_fleet.control_target(target_id, faults={"body_bytes": 200_000})
    requests = b"".join(get("/look/1", usual_fields(n)) for n in range(400))
    others = [name for name in INSTANCES if name != NAME]
    check_flood(cut_fleet, Crowd(250, requests), others=others)


def test_a_body_of_the_largest_size_on_the_smallest_machine():
    """Several copies of a body were held while it was passed on."""
    with SmallestFleet() as fleet:
        start(fleet, NAME)
        body = b"x" * LARGEST_BODY_BYTES
        request = Request("/write/1", "POST", body=body, deadline_ms=10_000)
        reply = send_request(fleet.caller_address(NAME), request)
        assert reply.status == 200
        (run,) = fleet.runs()
        assert run["bytes"] == LARGEST_BODY_BYTES
        peak_mb = resident_mb(fleet.processes_by_name[NAME].pid)
        print(f"peak: {peak_mb}")
        assert peak_mb < fleet.memory_mb
