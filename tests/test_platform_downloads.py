"""Large answers of real targets through real instances."""

import contextlib
import http.client
import signal
import socket
import time
from pathlib import Path

import pytest

from standins.fleet import wait_for
from standins.platform_documents import configuration_document
from standins.platform_fleet import PlatformFleet, Request, send_request
from tests.test_platform_processes import TARGETS, start

LARGE = 20 * 1024 * 1024
SLOW_CALLERS = 50
MEMORY_MB_MAX = 64
KB_PER_MB = 1_024
TIMEOUT_MS = 20_000
NAME = "n1"


@pytest.fixture(scope="module")
def shared_fleet():
    with PlatformFleet() as fleet:
        start(fleet, NAME)
        document = configuration_document(50)
        document["routes"]["look"] |= {"type": "download", "timeout_ms": TIMEOUT_MS}
        fleet.control_store(put=[("config", "main", document)])
        wait_for(
            lambda: "configuration_number 50\n" in fleet.metrics(NAME),
            "downloads are configured",
        )
        yield fleet


@pytest.fixture
def fleet(shared_fleet):
    set_faults(shared_fleet)
    yield shared_fleet
    set_faults(shared_fleet)


def set_faults(fleet, **faults):
    for target_id in TARGETS:
        fleet.control_target(target_id, faults=faults)


def download(fleet, **changes):
    request = Request(deadline_ms=TIMEOUT_MS, **changes)
    return send_request(fleet.caller_address(NAME), request)


def resident_mb(fleet, field):
    status = Path(f"/proc/{fleet.processes_by_name[NAME].pid}/status").read_text()
    (line,) = [line for line in status.splitlines() if line.startswith(field)]
    return int(line.split()[1]) / KB_PER_MB


def log_line(fleet, request_id):
    def find():
        lines = [r for r in fleet.log_records(NAME) if r.get("request") == request_id]
        return lines[-1] if lines else None

    return wait_for(find, f"{request_id} is logged")


def test_a_large_answer_is_delivered_whole_and_logged(fleet):
    set_faults(fleet, body_bytes=LARGE)
    reply = download(fleet, id="whole")
    assert reply.status == 200
    assert len(reply.body) == LARGE
    assert reply.headers["server-stamp"].startswith("stamp-i-")
    line = log_line(fleet, "whole")
    assert (line["cause"], line["body_bytes"]) == ("answered", LARGE)


@pytest.mark.parametrize("how", ["truncate", "reset"])
def test_a_large_answer_that_breaks_off_does_not_look_complete(fleet, how):
    set_faults(fleet, body_bytes=LARGE, how=how)
    with pytest.raises((http.client.IncompleteRead, OSError)):
        download(fleet, id=how)
    line = log_line(fleet, how)
    assert line["cause"] == "answer broken off by the target"
    assert len(line["attempts"]) == 1


def test_a_small_answer_that_breaks_off_is_repeated_elsewhere(fleet):
    fleet.control_target("i-1", faults={"how": "truncate"})
    fleet.control_target("i-2", faults={"how": "truncate"})
    for number in range(6):
        reply = download(fleet, headers=(("Cookie", f"Affinity-Key={number}"),))
        assert reply.status in (200, 502)


def test_a_body_without_a_length_is_delivered_whole(fleet):
    set_faults(fleet, body_bytes=LARGE, how="unframed")
    assert len(download(fleet).body) == LARGE


def test_slow_callers_of_large_answers_take_little_memory(fleet):
    download(fleet)
    set_faults(fleet, body_bytes=LARGE)
    before_mb = resident_mb(fleet, "VmRSS")
    with contextlib.ExitStack() as stack:
        for number in range(SLOW_CALLERS):
            caller = stack.enter_context(socket.socket())
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            caller.connect(fleet.caller_address(NAME))
            fields = Request(id=f"slow-{number}", deadline_ms=TIMEOUT_MS).all_headers()
            lines = [f"{name}: {value}" for name, value in fields.items()]
            head = "\r\n".join(["GET /look/1 HTTP/1.1", *lines, "", ""])
            caller.sendall(head.encode())
            assert caller.recv(100).startswith(b"HTTP/1.1 200")
        time.sleep(1)
        assert resident_mb(fleet, "VmHWM") - before_mb < MEMORY_MB_MAX
        started_at = time.monotonic()
        assert len(download(fleet).body) == LARGE
        assert time.monotonic() - started_at < 5


def test_a_planned_stop_lets_downloads_end():
    with PlatformFleet() as fleet:
        start(fleet, NAME)
        set_faults(fleet, body_bytes=1_000_000, how="slow", pause_ms=1_500)
        connection = http.client.HTTPConnection(*fleet.caller_address(NAME), timeout=10)
        connection.request("GET", "/look/1", headers=Request().all_headers())
        response = connection.getresponse()
        fleet.signal(NAME, signal.SIGTERM)
        assert len(response.read()) == 1_000_000
        connection.close()
        assert fleet.wait_exit(NAME) == 0
