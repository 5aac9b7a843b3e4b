"""Crowds of callers that send requests and read no answers, against real processes.

Each crowd is small and the instance is told that its machine is small. The tests guard
against an instance that ends for lack of memory or descriptors, or no longer answers,
because callers that it does not control leave its answers unread. They check no times
and no share of served requests.
"""

import contextlib
import http.client
import os
import select
import socket
import time
from pathlib import Path
from typing import NamedTuple

import pytest

from sequoiahook.platform.settings import read_settings
from standins.fleet import wait_for
from standins.platform_documents import configuration_document
from standins.platform_fleet import PlatformFleet, Request, send_request
from tests.test_platform_connectivity import (
    INSTANCES,
    TARGETS as CUT_TARGETS,
    start as start_cut_fleet,
)
from tests.test_platform_processes import TARGETS, start

pytestmark = pytest.mark.serial

NAME = "n1"
MEMORY_MB = 90
"""Stated memory, and largest resident size. An idle instance takes about 45 MB."""

SMALLEST_MEMORY_MB = 152
"""Memory of the smallest machine, on which a body of the largest size is served."""

LARGEST_BODY_BYTES = 64 * 1024 * 1024
DESCRIPTORS = 300
"""Stated number of descriptors, and most that may be open."""

BODY_BYTES_MAX = 4 * 1024 * 1024
IDLE_TIMEOUT_MS = 3_000
KB_PER_MB = 1_024
FLOOD_S = 8
QUIET_S = 1
TENANT = {
    "api_keys": ["key-one-a"],
    "priority": 1,
    "rate_per_s": 100_000,
    "burst": 100_000,
    "allowed_regions": [],
}
SERVED_TIMEOUT_S = 30
RECEIVE_BUFFER_BYTES = 4_096
PART_BYTES = 262_144
READY_TIMEOUT_S = 0.05


class SmallFleet(PlatformFleet):
    """A fleet whose instances are told that their machines are small."""

    memory_mb = MEMORY_MB

    def write_settings(self, name, text=None):
        """Write the settings file with the limits of a small machine."""
        super().write_settings(name, text)
        path = self.path / f"{name}.toml"
        limits = f"[limits]\nmemory_mb = {self.memory_mb}\nmax_fds = {DESCRIPTORS}\n"
        path.write_text(f"{path.read_text()}{limits}")
        read_settings(str(path))


class Crowd(NamedTuple):
    """Callers that send and read nothing.

    Attributes:
        callers: Number of connections.
        sent: What each of them sends.
    """

    callers: int
    sent: bytes


class Peak(NamedTuple):
    """What a process took at most."""

    memory_mb: int
    descriptors: int


@pytest.fixture
def fleet():
    with SmallFleet() as fleet:
        start(fleet, NAME)
        document = configuration_document(50, one=TENANT)
        document["limits"] |= {
            "max_body_bytes": BODY_BYTES_MAX,
            "idle_timeout_ms": IDLE_TIMEOUT_MS,
        }
        fleet.control_store(put=[("config", "main", document)])
        wait_for(
            lambda: "configuration_number 50\n" in fleet.metrics(NAME),
            "the limits of bodies are configured",
        )
        yield fleet


def usual_fields(number):
    cookie = (("Cookie", f"Affinity-Key={number}"),)
    request = Request(id=f"flood-{number}", deadline_ms=10_000, headers=cookie)
    fields = request.all_headers()
    return "".join(f"{name}: {value}\r\n" for name, value in fields.items())


def get(path, fields="Host: a.example\r\n"):
    return f"GET {path} HTTP/1.1\r\n{fields}\r\n".encode()


def post(path, body, fields="Host: a.example\r\n"):
    length = f"Content-Length: {len(body)}\r\n"
    return f"POST {path} HTTP/1.1\r\n{fields}{length}\r\n".encode() + body


def resident_mb(pid):
    """Return the largest resident size so far."""
    status = Path(f"/proc/{pid}/status").read_text()
    (line,) = [line for line in status.splitlines() if line.startswith("VmHWM")]
    return int(line.split()[1]) // KB_PER_MB


def open_descriptors(pid):
    return len(os.listdir(f"/proc/{pid}/fd"))


@contextlib.contextmanager
def flood(fleet, crowd):
    """Send what a crowd sends, and keep its connections; yields the peak until now.

    The flood ends once nothing more is sent and the instance grows no more.
    """
    process = fleet.processes_by_name[NAME]
    address = fleet.caller_address(NAME)
    with contextlib.ExitStack() as stack:
        waiting = {}
        for _ in range(crowd.callers):
            caller = stack.enter_context(socket.socket())
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            caller.settimeout(SERVED_TIMEOUT_S)
            caller.connect(address)
            caller.setblocking(False)
            waiting[caller] = memoryview(crowd.sent)
        memory_mb = descriptors = 0
        started_at = active_at = time.monotonic()
        while time.monotonic() - started_at < FLOOD_S:
            assert process.poll() is None
            has_grown = resident_mb(process.pid) > memory_mb
            if send_parts(waiting) or has_grown:
                active_at = time.monotonic()
            memory_mb = resident_mb(process.pid)
            descriptors = max(descriptors, open_descriptors(process.pid))
            if time.monotonic() - active_at > QUIET_S:
                break
        yield Peak(memory_mb, descriptors)


def send_parts(waiting):
    """Send a part on each connection that takes bytes; return whether any did.

    Connections that have sent all, or that the instance has closed, are left out.
    """
    has_sent = False
    if not waiting:
        time.sleep(READY_TIMEOUT_S)
        return False
    for caller in select_writable(waiting):
        rest = waiting[caller]
        try:
            rest = rest[caller.send(rest[:PART_BYTES]) :]
        except BlockingIOError:
            continue
        except OSError:
            rest = rest[:0]
        has_sent = True
        waiting[caller] = rest
        if not rest:
            del waiting[caller]
    return has_sent


def select_writable(callers):
    poll = select.poll()
    caller_by_descriptor = {caller.fileno(): caller for caller in callers}
    for descriptor in caller_by_descriptor:
        poll.register(descriptor, select.POLLOUT)
    ready = poll.poll(READY_TIMEOUT_S * 1_000)
    return [caller_by_descriptor[descriptor] for descriptor, _ in ready]


def is_answered_by_a_target(fleet):
    """Send an ordinary request and return whether a target answered it."""
    address = fleet.caller_address(NAME)
    try:
        reply = send_request(address, Request(), timeout_s=SERVED_TIMEOUT_S)
    except (OSError, http.client.HTTPException):
        return False
    return "server-stamp" in reply.headers


def check_flood(fleet, crowd, others=()):
    """Flood an instance, and check its size and that it then serves a request.

    Args:
        fleet: The fleet.
        crowd: The crowd.
        others: Names of instances to which requests are handed over.
    """
    pid = fleet.processes_by_name[NAME].pid
    with flood(fleet, crowd) as peak:
        wait_for(
            lambda: is_answered_by_a_target(fleet),
            "an ordinary request is answered",
            SERVED_TIMEOUT_S,
        )
    assert fleet.processes_by_name[NAME].poll() is None
    peak = Peak(resident_mb(pid), max(peak.descriptors, open_descriptors(pid)))
    print(f"peak: {peak}")
    assert peak.memory_mb < MEMORY_MB
    assert peak.descriptors <= DESCRIPTORS
    for name in others:
        assert fleet.processes_by_name[name].poll() is None
        peak_mb = resident_mb(fleet.processes_by_name[name].pid)
        print(f"peak of {name}: {peak_mb}")
        assert peak_mb < MEMORY_MB


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
    check_flood(cut_fleet, Crowd(40, requests), others)


def test_answers_of_200_kb_to_requests_that_are_handed_over(cut_fleet):
    """Whole answers wait at both instances, since they are not passed on in parts."""
    for target_id in CUT_TARGETS:
        cut_fleet.control_target(target_id, faults={"body_bytes": 200_000})
    requests = b"".join(get("/look/1", usual_fields(n)) for n in range(400))
    others = [name for name in INSTANCES if name != NAME]
    check_flood(cut_fleet, Crowd(250, requests), others)


def test_a_body_of_the_largest_size_on_the_smallest_machine():
    """Several copies of a body were held while it was passed on."""
    with SmallFleet() as fleet:
        fleet.memory_mb = SMALLEST_MEMORY_MB
        start(fleet, NAME)
        body = b"x" * LARGEST_BODY_BYTES
        request = Request("/write/1", "POST", body=body, deadline_ms=10_000)
        reply = send_request(fleet.caller_address(NAME), request)
        assert reply.status == 200
        (run,) = fleet.runs()
        assert run["bytes"] == LARGEST_BODY_BYTES
        peak_mb = resident_mb(fleet.processes_by_name[NAME].pid)
        print(f"peak: {peak_mb}")
        assert peak_mb < SMALLEST_MEMORY_MB
