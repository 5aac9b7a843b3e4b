"""Handed-over requests run at most once, through stops, kills, freezes and keys."""

import concurrent.futures
import http.client
import itertools
import signal
import time

import pytest

from standins.fleet import wait_for
from standins.platform_fleet import PlatformFleet, Request, send_request
from tests.test_platform_connectivity import (
    INSTANCES,
    TARGETS,
    loads,
    results_at,
    start,
)

__all__ = ["loads"]

NOT_RUN_STATUSES = (401, 429, 503)
WITHDRAWAL_S = 5.0
NUMBERS = itertools.count()


@pytest.fixture
def fleet():
    with PlatformFleet() as fleet:
        start(fleet)
        yield fleet


def cut(fleet, how="reset", names=("n1",)):
    for name in names:
        fleet.cut(name, how)
    wait_for(
        lambda: all(
            has_event(fleet, name, "connectivity to targets lost") for name in names
        ),
        "connectivity is lost",
        5,
    )


def has_event(fleet, name, event):
    return any(line["event"] == event for line in fleet.log_records(name))


def send(fleet, path="/write/1", name="n1", **changes):
    request = Request(path, "POST", id=f"sent-{next(NUMBERS)}", **changes)
    return request.id, send_request(fleet.caller_address(name), request)


def runs_of(fleet, request_id):
    return [run for run in fleet.runs() if run["id"] == request_id]


def execution_lines(fleet, request_id):
    return [
        line
        for name in ("n2", "n3", "n4")
        for line in fleet.log_records(name)
        if line["event"] == "request of a peer" and line["request"] == request_id
    ]


def assert_run_at_most_once(fleet, loads):
    writes = [run["id"] for run in fleet.runs() if run["path"].startswith("/write/")]
    assert len(writes) == len(set(writes))
    run_ids = {run["id"] for run in fleet.runs()}
    for load in loads:
        for line in fleet.log_records(load.name_):
            if line["event"] == "request" and line["status"] in NOT_RUN_STATUSES:
                assert line["request"] not in run_ids, line


def test_handed_over_request_keeps_its_id_and_the_key_stays(fleet, loads):
    cut(fleet)
    request_id, reply = send(fleet, body=b"x" * 3_000_000)
    assert reply.status == 200
    (run,) = runs_of(fleet, request_id)
    assert (run["bytes"], run["organisation"]) == (3_000_000, "one")
    assert not run["has_key"]
    wait_for(lambda: execution_lines(fleet, request_id), "the execution is logged")
    (line,) = execution_lines(fleet, request_id)
    assert (line["handed_over_by"], line["status"]) == ("n1", 200)
    assert "key-one" not in str([fleet.log_records(name) for name in INSTANCES])


def test_flapping_connectivity_causes_no_second_run(fleet, loads):
    for how in ("reset", "hang", "refuse", "live"):
        fleet.cut("n1", how)
        time.sleep(1.2)
        fleet.cut("n1", "")
        time.sleep(0.7)
    assert_run_at_most_once(fleet, loads)


def test_executors_that_freeze_are_killed_or_stop_cause_no_second_run(fleet, loads):
    cut(fleet)
    fleet.signal("n2", signal.SIGSTOP)
    time.sleep(1.5)
    fleet.signal("n2", signal.SIGCONT)
    time.sleep(1)
    fleet.signal("n3", signal.SIGKILL)
    time.sleep(1)
    fleet.signal("n2", signal.SIGTERM)
    assert fleet.wait_exit("n2") == 0
    begin = time.monotonic()
    time.sleep(2)
    statuses = results_at(loads, ("n1",), begin, begin + 2)
    assert len(statuses) > 50
    assert statuses.count(200) >= 0.9 * len(statuses)
    assert_run_at_most_once(fleet, loads)


def test_isolated_instance_stops_gracefully(fleet, loads):
    cut(fleet)
    begin = time.monotonic()
    fleet.signal("n1", signal.SIGTERM)
    assert fleet.wait_exit("n1") == 0
    assert time.monotonic() - begin < 6
    statuses = results_at(loads, ("n1",), begin, time.monotonic())
    assert statuses.count(200) > 10
    assert not {502, 504} & set(statuses)
    assert_run_at_most_once(fleet, loads)


def test_withdrawn_key_is_refused_within_the_bound_during_a_cut(fleet, loads):
    cut(fleet)
    assert send(fleet, key="key-one-b")[1].status == 200
    fleet.configure(
        2,
        one={
            "api_keys": ["key-one-a"],
            "priority": 1,
            "rate_per_s": 500,
            "burst": 500,
            "allowed_regions": [],
        },
    )
    time.sleep(WITHDRAWAL_S)
    request_id, reply = send(fleet, key="key-one-b")
    assert reply.status == 401
    assert runs_of(fleet, request_id) == []


def test_target_work_ends_when_the_caller_of_a_handed_over_request_leaves(fleet, loads):
    cut(fleet)
    for target_id in TARGETS:
        fleet.control_target(target_id, faults={"work_ms": 1_500})
    request = Request("/look/leaves", id="leaves", deadline_ms=4_000)
    with pytest.raises(TimeoutError):
        send_request(fleet.caller_address("n1"), request, timeout_s=0.8)
    wait_for(lambda: execution_lines(fleet, "leaves"), "the execution has ended", 2)
    (line,) = execution_lines(fleet, "leaves")
    assert (line["cause"], line["duration_ms"] < 1_400) == ("cancelled", True)


def reach_targets(fleet, *, is_cut):
    """Wait until requests run directly, or else through a peer."""
    wait_for(lambda: send(fleet)[1].status == 200, "targets are reached")
    if is_cut:
        fleet.cut("n1", "refuse")
        wait_for(lambda: is_handed_over(fleet), "requests are handed over")


def is_handed_over(fleet):
    """Send a request; return whether another instance ran it."""
    try:
        request_id, _ = send(fleet)
    except (OSError, http.client.HTTPException):
        return False  # See `test_answer_that_a_cut_interrupts_is_broken_off`.
    return execution_lines(fleet, request_id)


def test_answer_that_a_cut_interrupts_is_broken_off(fleet):
    """A part that was passed on before the cut must not look complete."""
    reach_targets(fleet, is_cut=False)
    for target_id in TARGETS:
        fleet.control_target(target_id, faults={"how": "slow", "pause_ms": 1_000})
    with concurrent.futures.ThreadPoolExecutor() as pool:
        answer = pool.submit(send, fleet, "/write/interrupted")
        wait_for(
            lambda: any(run["path"] == "/write/interrupted" for run in fleet.runs()),
            "the target has begun",
        )
        time.sleep(0.3)
        fleet.cut("n1", "refuse")
        with pytest.raises((OSError, http.client.HTTPException)):
            answer.result()


@pytest.mark.parametrize("is_cut", [False, True])
@pytest.mark.parametrize("path", ["/write/invalid", "/look/invalid"])
def test_invalid_status_never_reaches_the_caller(fleet, is_cut, path):
    """Neither on the direct path nor through the peer that runs the request."""
    reach_targets(fleet, is_cut=is_cut)
    for target_id in TARGETS:
        fleet.control_target(target_id, faults={"how": "invalid"})
    request_id, reply = send(fleet, path)
    assert reply.status == 502
    assert runs_of(fleet, request_id)
    assert len(execution_lines(fleet, request_id)) == 0 or is_cut


@pytest.mark.parametrize("is_cut", [False, True])
@pytest.mark.parametrize("how", ["reset", "truncate"])
def test_part_of_an_answer_never_reaches_the_caller(fleet, is_cut, how):
    """A peer that ran the request must not report the part as a complete answer."""
    reach_targets(fleet, is_cut=is_cut)
    for target_id in TARGETS:
        fleet.control_target(target_id, faults={"how": how})
    for path, size in itertools.product(("/write/part", "/look/part"), (0, 3_000_000)):
        request_id, reply = send(fleet, path, body=b"x" * size)
        assert reply.status == 502, (path, size)
        assert b" ran " not in reply.body
        assert runs_of(fleet, request_id)
