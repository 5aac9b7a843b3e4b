"""The promises with real processes, signals, outages and races."""

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

IN_FORCE_S = 5
SERVED_S = 30
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


class World:
    """A running fleet, and what its targets saw."""

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
                    SERVED_S,
                )

    def replace(self, name):
        """Start an instance again under its name, as another incarnation."""
        process = self.fleet.processes_by_name[name]
        if process.poll() is None:
            process.kill()
        process.wait()
        process.stdout.close()
        self.fleet.start_instance(name, INSTANCES[name])
        self.wait_served(name)

    def assert_no_harm(self, results):
        """Nothing ran twice, each ``not run`` is true, each answer is its own."""
        runs_by_id = self.runs_by_id()
        for result in results:
            count = runs_by_id[result.request_id]
            assert count <= 1, result
            assert not (result.ran == "not run" and count), result
            assert result.response_id in ("", result.request_id), result
        for record in self.records():
            assert record["asked_peak"] <= SLOTS, record["name"]


@pytest.fixture(scope="module")
def world():
    with Fleet() as fleet:
        for name in TARGETS:
            fleet.start_target(name, SLOTS)
        for name, data_centre in INSTANCES.items():
            fleet.start_instance(name, data_centre)
        outcome = fleet.patch("a-1", 0, configuration(fleet.target_ports_by_name))
        assert outcome["outcome"] == "accepted", outcome
        result = World(fleet)
        result.wait_served(*INSTANCES)
        yield result


def test_rate_and_burst_hold_over_all_instances(world):
    seen = len(world.runs())
    with Callers(
        lambda: world.ports(*INSTANCES), "GET", "/desk/small", SMALL_KEY, 16
    ) as callers:
        time.sleep(5)
    times = sorted(
        run["arrived_ms"] for run in world.runs()[0:] if run["organisation"] == "small"
    )
    assert len(world.runs()) > seen
    for first, start_ms in enumerate(times):
        for last in range(first, len(times)):
            window_ms = times[last] - start_ms
            count = last - first + 1
            assert count <= SMALL_BURST + SMALL_RATE_PER_S * (window_ms + 1) / 1000
    assert len(times) >= SMALL_RATE_PER_S * 5 / 2
    for result in callers.results:
        assert result.status in (200, 429), result


def test_killed_owner_harms_no_request(world):
    world.control(service_ms=100)
    with Callers(
        lambda: world.ports("b-1", "b-2"), "POST", "/desk/x", BIG_KEY
    ) as calls:
        time.sleep(1)
        world.fleet.signal("a-1", signal.SIGKILL)
        with Callers(lambda: world.ports("a-2"), "POST", "/desk/y", BIG_KEY) as more:
            time.sleep(1)
            wait_for(
                lambda: more.results and more.results[-1].status == 200,
                "the other instance serves",
                SERVED_S,
            )
    world.control(service_ms=5)
    assert calls.served_count > 10
    world.assert_no_harm(calls.results + more.results)
    world.replace("a-1")


def test_frozen_instance_harms_no_request(world):
    world.control(service_ms=100)
    names = ("a-1", "a-2")
    with Callers(lambda: world.ports(*names), "POST", "/desk/f", BIG_KEY) as calls:
        time.sleep(0.5)
        world.fleet.signal("a-2", signal.SIGSTOP)
        time.sleep(6)
        world.fleet.signal("a-2", signal.SIGCONT)
        time.sleep(1)
    world.control(service_ms=5)
    world.assert_no_harm(calls.results)
    world.wait_served("a-2")


def test_racing_operators_and_a_lost_answer(world):
    number = world.number("a-1")
    outcomes = []

    def patch(name, burst):
        changes = {"organisations_by_name": {"big": {"burst": burst}}}
        outcomes.append(world.fleet.patch(name, number, changes))

    world.fleet.call_platform("POST", "/control", {"lose_answers": 1})
    threads = [
        threading.Thread(target=patch, args=(name, 501 + index))
        for index, name in enumerate(INSTANCES)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    kinds = Counter(outcome["outcome"] for outcome in outcomes)
    assert kinds == {"accepted": 1, "stale": 3}, outcomes
    wait_for(
        lambda: {world.number(name) for name in INSTANCES} == {number + 1},
        "the number is in force everywhere",
        IN_FORCE_S,
    )


def test_platform_outage_and_a_boot_in_it(world):
    world.fleet.call_platform("POST", "/control", {"outage": True})
    try:
        number = world.number("a-1")
        assert world.get("a-1", "/desk/outage").status == 200
        outcome = world.fleet.patch("a-1", number, {"shifts_by_name": {}})
        assert outcome["outcome"] == "unknown", outcome
        seeds = [world.fleet.seed_entry("b-1"), world.fleet.seed_entry("b-2")]
        world.fleet.start_instance("b-3", "dc-b", seeds=seeds)
        wait_for(
            lambda: world.get("b-3", "/desk/booted").status == 200,
            "b-3 serves",
            SERVED_S,
        )
        assert world.number("b-3") == number
    finally:
        world.fleet.call_platform("POST", "/control", {"outage": False})


def test_withdrawn_key_with_a_data_centre_cut_off_from_the_platform(world):
    world.fleet.call_platform("POST", "/control", {"cut": ["b-1", "b-2", "b-3"]})
    try:
        connection = http.client.HTTPConnection("127.0.0.1", world.ports("b-1")[0])
        assert _ask(connection, SMALL_KEY) in (200, 429)
        changes = {
            "organisations_by_name": {
                "small": {"keys_by_name": {"first": {"withdrawn": True}}}
            }
        }
        outcome = world.fleet.patch("a-1", world.number("a-1"), changes)
        assert outcome["outcome"] == "accepted", outcome
        wait_for(
            lambda: _ask(connection, SMALL_KEY) == 401, "the key is refused", IN_FORCE_S
        )
        for name in INSTANCES:
            assert world.get(name, "/desk/withdrawn", SMALL_KEY).status == 401
        connection.close()
    finally:
        world.fleet.call_platform("POST", "/control", {"cut": []})


def test_no_key_reaches_a_target_or_a_log(world):
    headers = {
        "Authorization": f"Bearer {BIG_KEY}",
        "X-API-KEY": BIG_KEY,
        "Connection": "x-extra",
        "X-Extra": BIG_KEY,
        "Referer": f"http://example.test/?key={BIG_KEY}",
        "sequoiahook-organisation": "small",
    }
    path = f"/desk/leak?%6Bey={BIG_KEY}&page=2"
    answer = http_call(world.ports("a-1")[0], "GET", path, None, headers)
    assert answer.status == 200, answer
    run = [run for run in world.runs() if run["path"].startswith("/desk/leak")][-1]
    assert run["organisation"] == "big"
    assert run["path"] == "/desk/leak?page=2"
    for record in world.records():
        assert BIG_KEY not in record["received"]
    for name in world.fleet.instances_by_name:
        assert BIG_KEY not in world.fleet.log(name)


def test_bad_input_costs_little_and_the_instance_goes_on(world):
    instance = world.fleet.instances_by_name["a-1"]
    for data in (
        b"\x00\xff\r\n\r\n",
        b"GET / HTTP/1.1\r\nx: " + b"y" * 70_000 + b"\r\n",
    ):
        with socket.create_connection(("127.0.0.1", instance.caller_port), 5) as caller:
            caller.sendall(data)
            answer = caller.recv(65_536)
        assert answer.startswith(b"HTTP/1.1 4"), answer[:80]
    with socket.create_connection(("127.0.0.1", instance.link_port), 5) as stranger:
        stranger.sendall(
            b"GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\n"
            b"Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
            b"Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n"
        )
        assert b"101" in stranger.recv(4096)
        stranger.sendall(b"\x82\x85\x00\x00\x00\x00hello")
        frame = stranger.recv(4096)
        assert frame[:1] == b"\x88", "a stranger gets a close frame and nothing else"
    assert world.get("a-1", "/unknown").status == 404
    assert world.get("a-1", "/desk/after").status == 200


def test_planned_stops_in_a_row_cut_nothing(world):
    lookups = LookedUpPorts(world.ports("b-1")[0], "desk")
    world.control(service_ms=50)
    with Callers(lookups, "POST", "/desk/stop", BIG_KEY, 6) as calls:
        time.sleep(1)
        world.fleet.call_operator_api("a-1", "POST", "/stop", {})
        world.fleet.list_instance("a-1", "leaving")
        time.sleep(0.5)
        world.fleet.signal("a-2", signal.SIGTERM)
        world.fleet.list_instance("a-2", "leaving")
        for name in ("a-1", "a-2"):
            process = world.fleet.processes_by_name[name]
            assert process.wait(30) == 0, world.fleet.log(name)[-2000:]
        time.sleep(0.5)
    world.assert_no_harm(calls.results)
    assert calls.served_count > 50
    bad = [result for result in calls.results if result.status != 200]
    assert not bad, bad[:3]


def _ask(connection, key):
    headers = {"authorization": f"Bearer {key}"}
    try:
        connection.request("GET", "/desk/ask", headers=headers)
        response = connection.getresponse()
        json.loads(response.read())
    except http.client.RemoteDisconnected:
        connection.close()
        return 0
    return response.status
