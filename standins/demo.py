"""Demonstrates the system in separate processes; run as ``python -m standins.demo``."""

import http.client
import json
import subprocess
import sys
import time
from collections.abc import Callable
from typing import Any

from sequoiahook.world.organisation import key_digest
from standins.callers import Callers, LookedUpPorts
from standins.fleet import Fleet, http_call, wait_for

__all__ = ["main"]

KEY = "demo-key-of-organisation-one"
SECOND_KEY = "demo-key-to-be-withdrawn"
IN_FORCE_TIMEOUT_S = 5
SERVED_TIMEOUT_S = 25
EXIT_TIMEOUT_S = 20
LOAD_THREADS = 4
LOAD_S = 3.0
HTTP_OK = 200
DEMO_ERRORS = (
    AssertionError,
    OSError,
    TimeoutError,
    http.client.HTTPException,
    subprocess.TimeoutExpired,
)
HTTP_UNAUTHORIZED = 401
STALE_PATCH_EXIT_CODE = 3
INSTANCES = {"a-1": "dc-a", "a-2": "dc-a", "b-1": "dc-b", "b-2": "dc-b"}


class Demo:
    """The steps of the demonstration.

    Attributes:
        passed: Number of steps that passed.
        failed: Number of steps that failed.
    """

    def __init__(self, fleet: Fleet):
        self._fleet = fleet
        self.passed = 0
        self.failed = 0

    def step(self, name: str, action: Callable[[], str]) -> None:
        """Run one step and print its result.

        Args:
            name: Description of the step.
            action: Returns the result to print; raises one of DEMO_ERRORS on failure.
        """
        try:
            result_text = action()
        except DEMO_ERRORS as e:
            self.failed += 1
            print(f"FAILED  {name}: {e!r}", flush=True)
        else:
            self.passed += 1
            print(f"passed  {name}: {result_text}", flush=True)

    def run(self) -> None:
        """Run all steps."""
        self.step("start of all processes", self._start)
        self.step("look-up", self._look_up)
        self.step("request in the own data centre", lambda: self._request("register"))
        self.step("request in another data centre", lambda: self._request("archive"))
        self.step("wrong key", self._wrong_key)
        self.step("patch", self._patch)
        self.step("stale patch", self._stale_patch)
        self.step("key withdrawn from a connected caller", self._withdrawn_key)
        self.step("graceful stop under load", self._graceful_stop)

    def _start(self) -> str:
        fleet = self._fleet
        for name in ("register-a", "register-b", "archive-b"):
            fleet.start_target(name, 4)
        for name, data_centre in INSTANCES.items():
            fleet.start_instance(name, data_centre)
        outcome = fleet.patch("a-1", 0, configuration(fleet.target_ports_by_name))
        _expect(outcome.get("outcome") == "accepted", outcome)
        self._wait_in_force(outcome["number"])
        for service in ("register", "archive"):
            wait_for(lambda s=service: self._is_served(s), f"{service} served", 25)
        return f"{len(fleet.processes_by_name)} processes"

    def _is_served(self, service: str) -> bool:
        return all(
            self._get(name, f"/{service}/ready").status == HTTP_OK for name in INSTANCES
        )

    def _look_up(self) -> str:
        port = self._fleet.instances_by_name["a-1"].caller_port
        response = http_call(port, "GET", "/sequoiahook/lookup?service=register")
        _expect(response.status == HTTP_OK, response)
        document = response.document
        _expect(len(document["instances"]) > 0, document)
        count = len(document["instances"])
        return f"{count} instances for {document['lifetime_ms']} ms"

    def _request(self, service: str) -> str:
        started_at = time.monotonic()
        response = self._get("a-1", f"/{service}/one")
        _expect(response.status == HTTP_OK, response)
        target = response.document["target"]
        return f"answered by {target} in {_ms_since(started_at)} ms"

    def _wrong_key(self) -> str:
        response = self._get("a-1", "/register/one", "not-a-key")
        _expect(response.status == HTTP_UNAUTHORIZED, response)
        _expect(response.document["ran"] == "not run", response)
        return f"status {response.status}, {response.document['error']}"

    def _patch(self) -> str:
        changes = {"organisations_by_name": {"one": {"burst": 400}}}
        path = self._fleet.path / "patch.json"
        path.write_text(json.dumps(changes))
        started_at = time.monotonic()
        number = self._configuration_number()
        arguments = ("patch", str(path), "--against", str(number))
        result = self._fleet.run_command("a-1", *arguments)
        _expect(result.returncode == 0, result.stderr)
        self._wait_in_force(number + 1)
        result_text = (
            f"in force on {len(INSTANCES)} instances after {_ms_since(started_at)} ms"
        )
        return f"{result.stdout.strip()}, {result_text}"

    def _stale_patch(self) -> str:
        path = self._fleet.path / "patch.json"
        result = self._fleet.run_command("b-1", "patch", str(path), "--against", "1")
        _expect(result.returncode == STALE_PATCH_EXIT_CODE, result)
        return f"exit code {result.returncode}, {result.stderr.strip()}"

    def _withdrawn_key(self) -> str:
        port = self._fleet.instances_by_name["b-1"].caller_port
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5)
        _expect(_request_status(connection, SECOND_KEY) == HTTP_OK, "refused before")
        started_at = time.monotonic()
        result = self._fleet.run_command("a-1", "withdraw-key", "one", "second")
        _expect(result.returncode == 0, result.stderr)
        wait_for(
            lambda: _request_status(connection, SECOND_KEY) == HTTP_UNAUTHORIZED,
            "the key is refused",
            IN_FORCE_TIMEOUT_S,
        )
        connection.close()
        return f"refused {_ms_since(started_at)} ms after the command began"

    def _graceful_stop(self) -> str:
        port = self._fleet.instances_by_name["a-1"].caller_port
        ports = LookedUpPorts(port, "register")
        with Callers(ports, "GET", "/register/load", KEY, LOAD_THREADS) as callers:
            time.sleep(LOAD_S / 3)
            result = self._fleet.run_command("a-2", "stop")
            _expect(result.returncode == 0, result.stderr)
            self._fleet.list_instance("a-2", "leaving")
            code = self._fleet.processes_by_name["a-2"].wait(EXIT_TIMEOUT_S)
            time.sleep(LOAD_S / 3)
        failures = [entry for entry in callers.results if entry.status != HTTP_OK]
        _expect(code == 0, f"exit code {code}")
        _expect(not failures, failures[:3])
        return f"{callers.served_count} requests answered, 0 cut, exit code {code}"

    def _get(self, name: str, path: str, key: str = KEY) -> Any:
        port = self._fleet.instances_by_name[name].caller_port
        return http_call(port, "GET", path, headers={"authorization": f"Bearer {key}"})

    def _configuration_number(self) -> int:
        return self._fleet.call_operator_api("a-1", "GET", "/configuration").document[
            "number"
        ]

    def _wait_in_force(self, number: int) -> None:
        def in_force() -> bool:
            return all(
                self._fleet.call_operator_api(name, "GET", "/configuration").document[
                    "number"
                ]
                >= number
                for name in INSTANCES
            )

        wait_for(in_force, f"number {number} in force", IN_FORCE_TIMEOUT_S)


def configuration(port_by_target: dict[str, int]) -> dict[str, Any]:
    """Return the configuration of the demonstration as a patch against number 0."""
    targets = {
        name: {
            "service": name.split("-")[0],
            "data_centre": f"dc-{name.split('-')[1]}",
            "host": "127.0.0.1",
            "port": port,
            "slots": 4,
        }
        for name, port in port_by_target.items()
    }
    keys = {
        "first": {"digest": key_digest(KEY)},
        "second": {"digest": key_digest(SECOND_KEY)},
    }
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
            "register": {"path_prefix": "/register", "deadline_ms": 2000},
            "archive": {"path_prefix": "/archive", "deadline_ms": 2000},
        },
        "targets_by_name": targets,
        "organisations_by_name": {
            "one": {"rate_per_s": 2000, "burst": 200, "keys_by_name": keys}
        },
    }


def _request_status(connection: http.client.HTTPConnection, key: str) -> int:
    """Return the status of a request; 0 if the connection closed without a response."""
    headers = {"authorization": f"Bearer {key}"}
    try:
        connection.request("GET", "/register/connected", headers=headers)
        response = connection.getresponse()
        response.read()
    except http.client.RemoteDisconnected:
        connection.close()
        return 0
    return response.status


def _expect(condition: bool, actual: Any) -> None:
    if not condition:
        raise AssertionError(str(actual))


def _ms_since(started_at: float) -> int:
    return round((time.monotonic() - started_at) * 1000)


def main() -> None:
    """Run the demonstration and exit with code 1 if a step failed."""
    with Fleet() as fleet:
        demo = Demo(fleet)
        demo.run()
    print(f"demo: {demo.passed} passed, {demo.failed} failed")
    sys.exit(1 if demo.failed else 0)


if __name__ == "__main__":
    main()
