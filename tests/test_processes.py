"""Guarantees of a fleet of real processes under signals, outages and races."""

import http.client
import json
import signal
import socket
import threading
import time
from collections import Counter

import pytest

from sequoiahook.world.organisation import key_digest
from standins.callers import Callers, LookedUpPorts
from standins.fleet import Fleet, http_call, wait_for

IN_FORCE_TIMEOUT_S = 5
SERVED_TIMEOUT_S = 30
BIG_KEY = "key-of-the-big-organisation"
SMALL_KEY = "key-of-the-small-organisation"
SMALL_RATE_PER_S = 20
SMALL_BURST = 10
SLOTS = 4
INSTANCES = {"a-1": "dc-a", "a-2": "dc-a", "b-1": "dc-b", "b-2": "dc-b"}
TARGETS = {"desk-a": "dc-a", "desk-b": "dc-b", "vault-b": "dc-b"}


def configuration(port_by_target):
    return {
        "regions_by_name": {
            "north": {"data_centres": ["dc-a"]},
            "south": {"data_centres": ["dc-b"]},
        },
        "links_by_name": {
            "north-south": {
                "regions": ["north", "south"],
                "bits_per_second": 280_000_000,
                "one_way_ms": 1,
            }
        },
        "services_by_name": {
            "desk": {"path_prefix": "/desk", "deadline_ms": 2000},
            "vault": {"path_prefix": "/vault", "deadline_ms": 2000},
        },
        "targets_by_name": {
            name: {
                "service": name.split("-")[0],
                "data_centre": data_centre,
                "host": "127.0.0.1",
                "port": port_by_target[name],
                "slots": SLOTS,
            }
            for name, data_centre in TARGETS.items()
        },
        "organisations_by_name": {
            "big": organisation(5000, 500, BIG_KEY),
            "small": organisation(SMALL_RATE_PER_S, SMALL_BURST, SMALL_KEY),
        },
    }


def organisation(rate_per_s, burst, key):
    keys = {"first": {"digest": key_digest(key)}}
    return {"rate_per_s": rate_per_s, "burst": burst, "keys_by_name": keys}


class FleetSetup:
    """A running fleet with the records of its targets."""

    def __init__(self, fleet):
        self.fleet = fleet

    def ports(self, *names):
        return [self.fleet.instances_by_name[name].caller_port for name in names]

    def get(self, name, path, key=BIG_KEY):
        headers = {"authorization": f"Bearer {key}"}
        return http_call(self.ports(name)[0], "GET", path, None, headers)

    def records(self):
        return [
            http_call(port, "GET", "/_target/record").document
            for port in self.fleet.target_ports_by_name.values()
        ]

    def runs(self):
        return [run for record in self.records() for run in record["runs"]]

    def runs_by_id(self):
        return Counter(run["request_id"] for run in self.runs())

    def control(self, **changes):
        for port in self.fleet.target_ports_by_name.values():
            http_call(port, "POST", "/_target/control", changes)

    def number(self, name="b-1"):
        answer = self.fleet.call_operator_api(name, "GET", "/configuration")
        return answer.document["number"]

    def wait_served(self, *names):
        for name in names:
            for path in ("/desk/ready", "/vault/ready"):
                wait_for(
                    lambda n=name, p=path: self.get(n, p).status == 200,
                    f"{path} at {name}",
                    SERVED_TIMEOUT_S,
                )

    def replace(self, name):
        """Restart an instance as another incarnation under the same name."""
        process = self.fleet.processes_by_name[name]
        if process.poll() is None:
            process.kill()
        process.wait()
        process.stdout.close()
        self.fleet.start_instance(name, INSTANCES[name])
        self.wait_served(name)

    def assert_outcomes_correct(self, results):
        """Check that no request ran twice and that outcomes and answers are right."""
        runs_by_id = self.runs_by_id()
        for result in results:
            count = runs_by_id[result.request_id]
            assert count <= 1, result
            assert not (result.ran == "not run" and count), result
            assert result.response_id in ("", result.request_id), result
        for record in self.records():
            assert record["asked_peak"] <= SLOTS, record["name"]


@pytest.fixture(scope="module")
def setup():
    with Fleet() as fleet:
        for name in TARGETS:
            fleet.start_target(name, SLOTS)
        for name, data_centre in INSTANCES.items():
            fleet.start_instance(name, data_centre)
        outcome = fleet.patch("a-1", 0, configuration(fleet.target_ports_by_name))
        assert outcome["outcome"] == "accepted", outcome
        result = FleetSetup(fleet)
        result.wait_served(*INSTANCES)
        yield result


def test_rate_and_burst_apply_over_all_instances(setup):
    run_count = len(setup.runs())
    with Callers(
        lambda: setup.ports(*INSTANCES), "GET", "/desk/small", SMALL_KEY, 16
    ) as callers:
        time.sleep(5)
    times = sorted(
        run["arrived_ms"] for run in setup.runs()[0:] if run["organisation"] == "small"
    )
    assert len(setup.runs()) > run_count
    for first, start_ms in enumerate(times):
        for last in range(first, len(times)):
            window_ms = times[last] - start_ms
            count = last - first + 1
            assert count <= SMALL_BURST + SMALL_RATE_PER_S * (window_ms + 1) / 1000
    assert len(times) >= SMALL_RATE_PER_S * 5 / 2
    for result in callers.results:
        assert result.status in (200, 429), result


def test_killed_owner_leaves_outcomes_correct(setup):
    setup.control(service_ms=100)
    with Callers(
        lambda: setup.ports("b-1", "b-2"), "POST", "/desk/x", BIG_KEY
    ) as callers:
        time.sleep(1)
        setup.fleet.signal("a-1", signal.SIGKILL)
        with Callers(
            lambda: setup.ports("a-2"), "POST", "/desk/y", BIG_KEY
        ) as callers_of_another:
            time.sleep(1)
            wait_for(
                lambda: (
                    callers_of_another.results
                    and callers_of_another.results[-1].status == 200
                ),
                "the other instance serves",
                SERVED_TIMEOUT_S,
            )
    setup.control(service_ms=5)
    assert callers.served_count > 10
    setup.assert_outcomes_correct(callers.results + callers_of_another.results)
    setup.replace("a-1")


def test_paused_instance_leaves_outcomes_correct(setup):
    setup.control(service_ms=100)
    names = ("a-1", "a-2")
    with Callers(lambda: setup.ports(*names), "POST", "/desk/f", BIG_KEY) as callers:
        time.sleep(0.5)
        setup.fleet.signal("a-2", signal.SIGSTOP)
        time.sleep(6)
        setup.fleet.signal("a-2", signal.SIGCONT)
        time.sleep(1)
    setup.control(service_ms=5)
    setup.assert_outcomes_correct(callers.results)
    setup.wait_served("a-2")


def test_concurrent_patches_and_a_lost_answer(setup):
    number = setup.number("a-1")
    outcomes = []

    def patch(name, burst):
        changes = {"organisations_by_name": {"big": {"burst": burst}}}
        outcomes.append(setup.fleet.patch(name, number, changes))

    setup.fleet.call_platform("POST", "/control", {"lose_answers": 1})
    threads = [
        threading.Thread(target=patch, args=(name, 501 + index))
        for index, name in enumerate(INSTANCES)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    counts_by_outcome = Counter(outcome["outcome"] for outcome in outcomes)
    assert counts_by_outcome == {"accepted": 1, "stale": 3}, outcomes
    wait_for(
        lambda: {setup.number(name) for name in INSTANCES} == {number + 1},
        "the number is in force at all instances",
        IN_FORCE_TIMEOUT_S,
    )


def test_instance_starts_during_a_platform_outage(setup):
    setup.fleet.call_platform("POST", "/control", {"outage": True})
    try:
        number = setup.number("a-1")
        assert setup.get("a-1", "/desk/outage").status == 200
        outcome = setup.fleet.patch("a-1", number, {"shifts_by_name": {}})
        assert outcome["outcome"] == "unknown", outcome
        seeds = [setup.fleet.seed_entry("b-1"), setup.fleet.seed_entry("b-2")]
        setup.fleet.start_instance("b-3", "dc-b", seeds=seeds)
        wait_for(
            lambda: setup.get("b-3", "/desk/booted").status == 200,
            "b-3 serves",
            SERVED_TIMEOUT_S,
        )
        assert setup.number("b-3") == number
    finally:
        setup.fleet.call_platform("POST", "/control", {"outage": False})


def test_withdrawn_key_in_a_data_centre_without_the_platform(setup):
    setup.fleet.call_platform("POST", "/control", {"cut": ["b-1", "b-2", "b-3"]})
    try:
        connection = http.client.HTTPConnection("127.0.0.1", setup.ports("b-1")[0])
        assert _request_status(connection, SMALL_KEY) in (200, 429)
        changes = {
            "organisations_by_name": {
                "small": {"keys_by_name": {"first": {"withdrawn": True}}}
            }
        }
        outcome = setup.fleet.patch("a-1", setup.number("a-1"), changes)
        assert outcome["outcome"] == "accepted", outcome
        wait_for(
            lambda: _request_status(connection, SMALL_KEY) == 401,
            "the key is refused",
            IN_FORCE_TIMEOUT_S,
        )
        for name in INSTANCES:
            assert setup.get(name, "/desk/withdrawn", SMALL_KEY).status == 401
        connection.close()
    finally:
        setup.fleet.call_platform("POST", "/control", {"cut": []})


def test_keys_are_not_sent_to_targets_or_logged(setup):
    headers = {
        "Authorization": f"Bearer {BIG_KEY}",
        "X-API-KEY": BIG_KEY,
        "Connection": "x-extra",
        "X-Extra": BIG_KEY,
        "Referer": f"http://example.test/?key={BIG_KEY}",
        "sequoiahook-organisation": "small",
    }
    path = f"/desk/leak?%6Bey={BIG_KEY}&page=2"
    answer = http_call(setup.ports("a-1")[0], "GET", path, None, headers)
    assert answer.status == 200, answer
    run = [run for run in setup.runs() if run["path"].startswith("/desk/leak")][-1]
    assert run["organisation"] == "big"
    assert run["path"] == "/desk/leak?page=2"
    for record in setup.records():
        assert BIG_KEY not in record["received"]
    for name in setup.fleet.instances_by_name:
        assert BIG_KEY not in setup.fleet.log(name)


def test_malformed_input_does_not_stop_the_instance(setup):
    instance = setup.fleet.instances_by_name["a-1"]
    for data in (
        b"\x00\xff\r\n\r\n",
        b"GET / HTTP/1.1\r\nx: " + b"y" * 70_000 + b"\r\n",
    ):
        with socket.create_connection(("127.0.0.1", instance.caller_port), 5) as caller:
            caller.sendall(data)
            answer = caller.recv(65_536)
        assert answer.startswith(b"HTTP/1.1 4"), answer[:80]
    with socket.create_connection(
        ("127.0.0.1", instance.link_port), 5
    ) as peer_connection:
        peer_connection.sendall(
            b"GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\n"
            b"Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
            b"Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n"
        )
        assert b"101" in peer_connection.recv(4096)
        peer_connection.sendall(b"\x82\x85\x00\x00\x00\x00hello")
        frame = peer_connection.recv(4096)
        assert frame[:1] == b"\x88", "an unauthenticated peer gets only a close frame"
    assert setup.get("a-1", "/unknown").status == 404
    assert setup.get("a-1", "/desk/after").status == 200


def test_successive_graceful_stops_fail_no_request(setup):
    lookups = LookedUpPorts(setup.ports("b-1")[0], "desk")
    setup.control(service_ms=50)
    with Callers(lookups, "POST", "/desk/stop", BIG_KEY, 6) as callers:
        time.sleep(1)
        setup.fleet.call_operator_api("a-1", "POST", "/stop", {})
        setup.fleet.list_instance("a-1", "leaving")
        time.sleep(0.5)
        setup.fleet.signal("a-2", signal.SIGTERM)
        setup.fleet.list_instance("a-2", "leaving")
        for name in ("a-1", "a-2"):
            process = setup.fleet.processes_by_name[name]
            assert process.wait(30) == 0, setup.fleet.log(name)[-2000:]
        time.sleep(0.5)
    setup.assert_outcomes_correct(callers.results)
    assert callers.served_count > 50
    failed = [result for result in callers.results if result.status != 200]
    assert not failed, failed[:3]


def _request_status(connection, key):
    headers = {"authorization": f"Bearer {key}"}
    try:
        connection.request("GET", "/desk/ask", headers=headers)
        response = connection.getresponse()
        json.loads(response.read())
    except http.client.RemoteDisconnected:
        connection.close()
        return 0
    return response.status
