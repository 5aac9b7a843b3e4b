"""Requests through a fleet of processes on the platform stand-in, with faults."""

import http.client
import signal
import threading
import time

import pytest

from standins.fleet import wait_for
from standins.platform_documents import PORTS
from standins.platform_fleet import PlatformFleet, Request, send_request

TARGETS = ("i-1", "i-2", "i-3")
WITHDRAWAL_TIMEOUT_S = 5
DRAIN_TIMEOUT_S = 2.5
STOP_TIMEOUT_S = 6


@pytest.fixture(scope="module")
def shared_fleet():
    with PlatformFleet() as fleet:
        start(fleet, "n1", "n2")
        yield fleet


@pytest.fixture
def fleet(shared_fleet):
    for target_id in TARGETS:
        shared_fleet.control_target(target_id, faults={})
    yield shared_fleet
    shared_fleet.control_store(faults={})
    for target_id in TARGETS:
        shared_fleet.control_target(target_id, faults={})


def start(fleet, *names):
    fleet.configure(1)
    for target_id in TARGETS:
        fleet.start_target(target_id)
    for name in names:
        fleet.start_instance(name)
    fleet.wait_ready(*names)
    wait_for(
        lambda: fleet.look_up(names[0]) == set(names),
        "the look-up returns all instances",
    )
    fleet.wait_ready(*names)


def runs_of(fleet, request_id):
    return [run for run in fleet.runs() if run["id"] == request_id]


def is_version_served(fleet, number):
    return f"sequoiahook_configuration_number {number}" in fleet.metrics("n1")


def test_target_gets_the_organisation_but_not_the_key(fleet):
    request = Request("/look/a?b=c", id="whole", headers=(("Tenant", "another"),))
    reply = send_request(fleet.caller_address("n1"), request)
    assert reply.status == 200
    assert reply.headers["server-stamp"].startswith("stamp-i-")
    assert reply.headers["request-id"] == "whole"
    (run,) = runs_of(fleet, "whole")
    assert run["path"] == "/look/a?b=c"
    assert run["organisation"] == "one"
    headers = [
        fleet.control_target(target_id)["headers"]
        for target_id in TARGETS
        if fleet.control_target(target_id)["headers"].get("request-id") == "whole"
    ]
    assert "key-one-a" not in str(headers)
    assert 0 < int(headers[0]["deadline-ms"]) <= 2_000
    assert headers[0]["host"] == "a.example"


def test_bodies_with_a_length_or_in_chunks_are_forwarded(fleet):
    body = b"x" * 100_000
    plain = Request("/write/1", "POST", id="plain", body=body)
    assert send_request(fleet.caller_address("n1"), plain).status == 200
    assert runs_of(fleet, "plain")[0]["bytes"] == len(body)
    connection = http.client.HTTPConnection(*fleet.caller_address("n1"), timeout=10)
    fields = Request(id="chunked").all_headers()
    parts = [b"y" * 10_000] * 5
    connection.request("POST", "/write/1", iter(parts), fields, encode_chunked=True)
    assert connection.getresponse().status == 200
    connection.close()
    assert runs_of(fleet, "chunked")[0]["bytes"] == 50_000


@pytest.mark.parametrize(
    ("request_", "status"),
    [
        (Request("/nowhere/1"), 404),
        (Request("/look"), 404),
        (Request(key=""), 401),
        (Request(key="key-of-nobody"), 401),
        (Request("/open/1", key=""), 200),
        (Request(key="key-one-b"), 200),
    ],
)
def test_status_by_path_and_key(fleet, request_, status):
    assert send_request(fleet.caller_address("n1"), request_).status == status


@pytest.mark.parametrize(
    ("how", "safe", "unsafe"),
    [
        ("", {200}, {200}),
        ("shed", {503}, {503}),
        ("fail", {500}, {500}),
        ("lose", {502}, {502}),
        ("truncate", {502}, {502}),
        ("foreign", {502}, {502}),
        ("extra", {200}, {200}),
        ("unframed", {200}, {200}),
        ("reset", {502}, {502}),
    ],
)
def test_target_faults_are_reported_correctly(fleet, how, safe, unsafe):
    for target_id in TARGETS:
        fleet.control_target(target_id, faults={"how": how})
    for path, method, allowed in (
        ("/look/1", "GET", safe),
        ("/write/1", "POST", unsafe),
    ):
        for number in range(3):
            request_id = f"{how}-{method}-{number}"
            reply = send_request(
                fleet.caller_address("n1"), Request(path, method, id=request_id)
            )
            assert reply.status in allowed
            runs = len(runs_of(fleet, request_id))
            if method == "POST":
                assert runs == (0 if how == "shed" else 1)
            if reply.status == 503:
                assert runs == 0
                assert float(reply.headers["retry-after"]) > 0
            if reply.status == 200:
                assert reply.body.endswith(f"ran {path}".encode())
            if reply.status in (502, 503):
                assert "server-stamp" not in reply.headers


def are_all_affinity_keys_served(fleet):
    cookies = [(("Cookie", f"Affinity-Key={number}"),) for number in range(20)]
    replies = [
        send_request(fleet.caller_address("n1"), Request(headers=c)) for c in cookies
    ]
    return all(reply.status == 200 for reply in replies)


def test_draining_target_gets_no_requests(fleet):
    # Targets that failed in an earlier test are avoided for a while.
    wait_for(lambda: are_all_affinity_keys_served(fleet), "all targets are usable")
    fleet.register_target("i-1", state="draining", sequence=2)
    try:
        wait_for(
            lambda: any(
                line["event"] == "target" and line.get("state") == "draining"
                for line in fleet.log_records("n1")
            ),
            "the instance has logged the drain",
            DRAIN_TIMEOUT_S,
        )
        before = len(fleet.control_target("i-1")["runs"])
        for number in range(20):
            cookie = (("Cookie", f"Affinity-Key={number}"),)
            reply = send_request(fleet.caller_address("n1"), Request(headers=cookie))
            assert reply.status == 200
        assert len(fleet.control_target("i-1")["runs"]) == before
    finally:
        fleet.register_target("i-1", sequence=3)


def test_invalid_configuration_is_logged_and_not_applied(fleet):
    fleet.control_store(put=[("config", "main", {"version": "000000ff", "routes": 5})])
    wait_for(
        lambda: any(
            "config/main.routes" in str(line) for line in fleet.log_records("n1")
        ),
        "the finding is logged",
    )
    assert send_request(fleet.caller_address("n1"), Request()).status == 200
    fleet.configure(2)
    wait_for(lambda: is_version_served(fleet, 2), "the next configuration is in force")


def test_malformed_settings_are_not_applied(fleet):
    fleet.write_settings("n1", "= broken")
    fleet.signal("n1", signal.SIGHUP)
    wait_for(
        lambda: any(
            "settings refused" in line["event"] for line in fleet.log_records("n1")
        ),
        "the finding is logged",
    )
    assert send_request(fleet.caller_address("n1"), Request()).status == 200
    fleet.write_settings("n1")
    wait_for(
        lambda: any(line["event"] == "reload" for line in fleet.log_records("n1")),
        "the settings file is reloaded without a signal",
    )


def test_objects_are_listed_again_after_the_store_lost_its_history(fleet):
    fleet.control_store(forget=True)
    fleet.configure(3)
    wait_for(lambda: is_version_served(fleet, 3), "the configuration is in force")


def test_request_log_line_explains_the_decisions(fleet):
    send_request(fleet.caller_address("n1"), Request(id="explained"))
    (line,) = wait_for(
        lambda: [x for x in fleet.log_records("n1") if x.get("request") == "explained"],
        "the line is logged",
    )
    assert line["status"] == 200
    assert line["organisation"] == "one"
    assert line["configuration_age_ms"] is not None
    ((target_id, region, *_),) = line["attempts"]
    assert target_id in TARGETS
    assert region == "north"
    metrics = fleet.metrics("n1")
    assert 'sequoiahook_latency{name="request",figure="p99_ms"}' in metrics


def test_withdrawn_key_is_refused_in_time_without_the_store():
    with PlatformFleet() as fleet:
        start(fleet, "n1")
        connection = http.client.HTTPConnection(*fleet.caller_address("n1"), timeout=10)
        assert send_request(None, Request(), connection).status == 200
        fleet.control_store(faults={"is_silent": True})
        store_lost_at = time.monotonic()
        document = {"api_keys": ["key-one-b"], "rate_per_s": 0, "burst": 0}
        fleet.configure(2, one=document)
        last_served_after_s = 0.0
        while time.monotonic() - store_lost_at < WITHDRAWAL_TIMEOUT_S + 0.5:
            reply = send_request(fleet.caller_address("n1"), Request())
            if reply.status == 200:
                last_served_after_s = time.monotonic() - store_lost_at
        assert last_served_after_s < WITHDRAWAL_TIMEOUT_S
        assert not fleet.is_ready("n1")
        fleet.control_store(faults={})
        fleet.wait_ready("n1")
        assert send_request(fleet.caller_address("n1"), Request()).status == 401
        assert (
            send_request(fleet.caller_address("n1"), Request(key="key-one-b")).status
            == 200
        )
        connection.close()


class Caller(threading.Thread):
    """Calls the instances that a look-up returns until ``done`` is set."""

    def __init__(self, fleet, number, done):
        super().__init__()
        self.fleet = fleet
        self.number = number
        self.done = done
        self.failures = []

    def run(self):
        while not self.done.is_set():
            for name in sorted(self.fleet.look_up("n2")):
                self.call(name)

    def call(self, name):
        try:
            reply = send_request(
                self.fleet.caller_address(name), Request(id=f"c{self.number}")
            )
        except ConnectionRefusedError as error:
            if name != "n1":
                self.failures.append((name, time.monotonic(), repr(error)))
        except (OSError, http.client.HTTPException) as error:
            self.failures.append((name, time.monotonic(), repr(error)))
        else:
            if reply.status not in (200, 503):
                self.failures.append(reply.status)


def test_graceful_stop_fails_no_request_and_ends_in_time():
    with PlatformFleet() as fleet:
        start(fleet, "n1", "n2")
        for target_id in TARGETS:
            fleet.control_target(target_id, faults={"work_ms": 300})
        done = threading.Event()
        callers = [Caller(fleet, number, done) for number in range(4)]
        for caller in callers:
            caller.start()
        fleet.signal("n1", signal.SIGTERM)
        stop_started_at = time.monotonic()
        wait_for(lambda: not fleet.is_ready("n1"), "n1 is not ready")
        wait_for(
            lambda: fleet.look_up("n2") == {"n2"}, "the look-up does not return n1"
        )
        assert fleet.wait_exit("n1") == 0
        assert time.monotonic() - stop_started_at < STOP_TIMEOUT_S
        done.set()
        for caller in callers:
            caller.join()
        assert [caller.failures for caller in callers] == [[]] * 4


def test_killed_instances_leave_look_ups_and_recover():
    with PlatformFleet() as fleet:
        start(fleet, "n1", "n2")
        fleet.signal("n2", signal.SIGKILL)
        fleet.wait_exit("n2")
        wait_for(
            lambda: fleet.look_up("n1") == {"n1"}, "the look-up does not return n2"
        )
        fleet.control_store(faults={"loses_writes": True})
        fleet.start_instance("n2")
        wait_for(lambda: fleet.look_up("n2"), "n2 answers look-ups")
        fleet.control_store(faults={})
        fleet.wait_ready("n2")
        wait_for(lambda: fleet.look_up("n1") == {"n1", "n2"}, "the look-up returns n2")
        for name in ("n1", "n2"):
            fleet.signal(name, signal.SIGKILL)
            fleet.wait_exit(name)
            fleet.start_instance(name)
        fleet.wait_ready("n1", "n2")
        assert send_request(fleet.caller_address("n2"), Request()).status == 200


def test_first_start_of_a_fleet_reads_each_list_once():
    names = ("n1", "n2", "n3", "n4")
    with PlatformFleet() as fleet:
        fleet.is_first_start = True
        start(fleet, *names)
        lists = fleet.control_store()["lists"]
        assert lists["servers"] == lists["config"] == lists["evacuations"] == 1
        for name in names:
            assert send_request(fleet.caller_address(name), Request()).status == 200


def test_one_instance_of_a_region_watches_the_store():
    with PlatformFleet() as fleet:
        start(fleet, "n1", "n2", "n3")

        def calls():
            return fleet.control_store()["calls"]["GET"]

        def calls_within(seconds):
            before = calls()
            time.sleep(seconds)
            return calls() - before

        wait_for(
            lambda: calls_within(1) <= 6,
            "three instances make the calls of one follower",
        )
        fleet.configure(2)
        for name in ("n1", "n2", "n3"):
            wait_for(
                lambda name=name: "configuration_number 2" in fleet.metrics(name),
                f"{name} has the configuration",
            )


def test_internal_ports_refuse_unauthenticated_peers(fleet):
    host = fleet.caller_address("n1").host
    connection = http.client.HTTPConnection(host, PORTS.internal, timeout=5)
    connection.request("GET", "/")
    assert connection.getresponse().status != 200
    connection.close()
