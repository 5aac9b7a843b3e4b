"""The stand-in for a target on the users' platform, as a process."""

import http.client
import json

import pytest

from standins.fleet import wait_for
from standins.platform_fleet import LOOPBACK, PlatformFleet, Request
from standins.platform_target import is_whole_body

TARGET = "i-1"
BODY_BYTES = 300_000
TIMEOUT_S = 5
CRASH_PATH = "/crash"


@pytest.fixture
def fleet():
    with PlatformFleet() as fleet:
        fleet.start_target_process(TARGET)
        yield fleet


def begun_answer(fleet, pause_ms, **faults):
    """Return the answer to a request once its first half was sent."""
    fleet.control_target(
        TARGET,
        faults={"body_bytes": BODY_BYTES, "pause_ms": pause_ms, **faults},
    )
    port = fleet.target_ports_by_id[TARGET]
    connection = http.client.HTTPConnection(LOOPBACK, port, timeout=TIMEOUT_S)
    connection.request("GET", "/look/1", headers=Request().all_headers())
    return connection.getresponse()


def test_answer_without_a_length_ends_with_its_connection(fleet):
    body = begun_answer(fleet, 50, how="unframed").read().decode()
    assert is_whole_body(body, f"{TARGET} ran /look/1")


@pytest.mark.parametrize("how", ["", "fail", "unframed", "slow", "truncate", "reset"])
def test_every_answer_states_that_the_target_leaves(fleet, how):
    response = begun_answer(fleet, 50, how=how, is_leaving=True)
    assert response.getheader("Server-Leaving") == "1"
    assert fleet.control_target(TARGET)["leaving_ids"] == ["r1"]


@pytest.mark.parametrize(("how", "rest"), [("shed", "0.7"), ("slow", "")])
def test_arrivals_are_recorded_with_the_rest_that_their_answers_ask_for(
    fleet, how, rest
):
    response = begun_answer(fleet, 0, how=how, rest="0.7")
    assert response.getheader("Retry-After", "") == rest
    path = fleet.path / f"{TARGET}.runs.arrivals"
    (arrival,) = map(json.loads, path.read_text().splitlines())
    assert arrival["rest"] == rest


@pytest.mark.parametrize("how", ["unframed", "reset"])
@pytest.mark.parametrize("end", ["kill", "crash"])
def test_half_an_answer_without_a_length_is_reset_as_the_process_ends(fleet, how, end):
    """A clean close instead would make half an answer look complete."""
    response = begun_answer(fleet, 60_000, how=how, crash_path=CRASH_PATH)
    process = fleet.processes_by_name[TARGET]
    if end == "kill":
        process.kill()
    else:
        port = fleet.target_ports_by_id[TARGET]
        crash = http.client.HTTPConnection(LOOPBACK, port, timeout=TIMEOUT_S)
        crash.request("GET", CRASH_PATH, headers=Request().all_headers())
    wait_for(lambda: process.poll() is not None, "the target has ended")
    with pytest.raises(ConnectionResetError):
        response.read()
