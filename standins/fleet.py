"""Runs a platform stand-in, targets and instances as separate processes.

Used by the demonstration and by tests with real processes. Every process that is
started here is ended here, by its process id.
"""

import contextlib
import http.client
import json
import os
import secrets
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

from sequoiahook.world.organisation import key_digest
from standins.processes import end_process, start_process

__all__ = ["Fleet", "HttpReply", "InstanceProcess", "http_call", "wait_for"]

LOOPBACK = "127.0.0.1"
READY_TIMEOUT_S = 15
POLL_S = 0.02


class HttpReply(NamedTuple):
    """A complete response to an HTTP request.

    Attributes:
        status: HTTP status.
        headers: Header values by lower-case name.
        body: Response body.
    """

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def document(self) -> Any:
        """The body as JSON."""
        return json.loads(self.body)


def http_call(
    port: int,
    method: str,
    target: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 10,
) -> HttpReply:
    """Send a request to a loopback port on a new connection.

    Args:
        port: TCP port.
        method: HTTP method.
        target: Path and query.
        body: Bytes, or any other value to send as JSON; None for no body.
        headers: Request headers.
        timeout_s: Time-out of socket operations, in seconds.

    Raises:
        OSError: If the connection fails.
        http.client.HTTPException: If the response is incomplete.
    """
    connection = http.client.HTTPConnection(LOOPBACK, port, timeout=timeout_s)
    data = body if body is None or isinstance(body, bytes) else json.dumps(body)
    with contextlib.closing(connection):
        connection.request(method, target, data, headers or {})
        response = connection.getresponse()
        response_headers = {
            name.lower(): value for name, value in response.getheaders()
        }
        return HttpReply(response.status, response_headers, response.read())


def wait_for(
    condition: Callable[[], Any], description: str, timeout_s: float = READY_TIMEOUT_S
) -> Any:
    """Poll a condition until it returns a true value, and return that value.

    Args:
        condition: The condition to poll.
        description: The expected state, for the error message.
        timeout_s: Longest wait in seconds.

    Raises:
        TimeoutError: If the condition is not true in time.
    """
    deadline_at = time.monotonic() + timeout_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() >= deadline_at:
            raise TimeoutError(
                f"timed out after {timeout_s} s waiting for: {description}"
            )
        time.sleep(POLL_S)


class InstanceProcess(NamedTuple):
    """A running instance.

    Attributes:
        name: Name of the instance.
        data_centre: Data centre of the instance.
        process: Process of the instance.
        caller_port: Port for callers.
        link_port: Port for other instances.
        operator_port: Port for operators.
    """

    name: str
    data_centre: str
    process: subprocess.Popen
    caller_port: int
    link_port: int
    operator_port: int


class Fleet:
    """The processes of one system; a context manager that ends them on exit.

    Attributes:
        operator_token: Token for the operators' interface of all instances.
        instances_by_name: Started instances.
        target_ports_by_name: Port of each target.
        processes_by_name: Processes of the platform, targets and instances.
        platform_port: Port of the platform stand-in.
        path: Temporary directory with settings and logs.
    """

    def __init__(self):
        self.operator_token = secrets.token_hex(16)
        self.instances_by_name: dict[str, InstanceProcess] = {}
        self.target_ports_by_name: dict[str, int] = {}
        self.processes_by_name: dict[str, subprocess.Popen] = {}
        self.platform_port = 0
        self._platform_token = secrets.token_hex(16)
        self._fleet_secret = secrets.token_hex(16)
        self._directory = tempfile.TemporaryDirectory(prefix="sequoiahook-")
        self.path = Path(self._directory.name)

    def __enter__(self) -> "Fleet":
        self.platform_port = self._start_process(
            "platform",
            ["standins.platform", "--token", self._platform_token],
        )["port"]
        return self

    def __exit__(self, *_: object) -> None:
        for process in self.processes_by_name.values():
            end_process(process)
        self._directory.cleanup()

    def start_target(self, name: str, slots: int, *options: str) -> int:
        """Start a target stand-in and return its port.

        Args:
            name: Name of the target.
            slots: Number of slots.
            options: Further command-line options of the stand-in.
        """
        arguments = ["standins.target", "--name", name, "--slots", str(slots)]
        port = self._start_process(name, [*arguments, *options])["port"]
        self.target_ports_by_name[name] = port
        return port

    def start_instance(
        self, name: str, data_centre: str, **settings: Any
    ) -> InstanceProcess:
        """Start an instance, wait until it listens, and list it as live.

        Args:
            name: Name of the instance.
            data_centre: Data centre of the instance.
            settings: Settings that replace or extend the default ones.
        """
        path = self.path / f"{name}.json"
        path.write_text(
            json.dumps(self._instance_settings(name, data_centre, settings))
        )
        ready = self._start_process(name, ["sequoiahook", "serve", str(path)])
        instance = InstanceProcess(
            name,
            data_centre,
            self.processes_by_name[name],
            ready["caller_address"]["port"],
            ready["link_address"]["port"],
            ready["operator_address"]["port"],
        )
        self.instances_by_name[name] = instance
        self.list_instance(name, "live")
        return instance

    def list_instance(self, name: str, state: str) -> None:
        """Set the state of an instance in the platform's list."""
        instance = self.instances_by_name[name]
        entry = {
            "name": name,
            "state": state,
            "data_centre": instance.data_centre,
            "caller_address": _address(instance.caller_port),
            "link_address": _address(instance.link_port),
        }
        self.call_platform("POST", "/instances", entry)

    def seed_entry(self, name: str) -> dict[str, Any]:
        """Return the entry of an instance for the ``seeds`` setting of another."""
        instance = self.instances_by_name[name]
        return {
            "name": name,
            "data_centre": instance.data_centre,
            "link_address": _address(instance.link_port),
        }

    def call_platform(self, method: str, target: str, body: Any = None) -> HttpReply:
        """Call the platform stand-in."""
        headers = {"authorization": f"Bearer {self._platform_token}"}
        return http_call(self.platform_port, method, target, body, headers)

    def call_operator_api(
        self, name: str, method: str, target: str, body: Any = None
    ) -> HttpReply:
        """Call the operators' interface of an instance."""
        headers = {"authorization": f"Bearer {self.operator_token}"}
        port = self.instances_by_name[name].operator_port
        return http_call(port, method, target, body, headers)

    def patch(self, name: str, against: int, changes: Any) -> dict[str, Any]:
        """Apply a patch through an instance and return the outcome."""
        body = {"id": secrets.token_hex(8), "against": against, "changes": changes}
        return self.call_operator_api(name, "POST", "/patches", body).document

    def run_command(self, name: str, *arguments: str) -> subprocess.CompletedProcess:
        """Run a ``sequoiahook`` command against one instance."""
        port = self.instances_by_name[name].operator_port
        path = self.path / f"operator-{name}.json"
        settings = {"addresses": [_address(port)], "token": self.operator_token}
        path.write_text(json.dumps(settings))
        return subprocess.run(
            [sys.executable, "-m", "sequoiahook", *arguments, "--operator", str(path)],
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that this fleet started."""
        os.kill(self.processes_by_name[name].pid, number)

    def log(self, name: str) -> str:
        """Return the standard error output of a process."""
        return (self.path / f"{name}.log").read_text(errors="replace")

    def _instance_settings(
        self, name: str, data_centre: str, settings: dict[str, Any]
    ) -> dict[str, Any]:
        return {
            "name": name,
            "data_centre": data_centre,
            "caller_address": _address(0),
            "link_address": _address(0),
            "operator_address": _address(0),
            "platform": {
                "address": _address(self.platform_port),
                "token": self._platform_token,
            },
            "fleet_secret": self._fleet_secret,
            "operator_token_digest": key_digest(self.operator_token),
            **settings,
        }

    def _start_process(self, name: str, arguments: list[str]) -> dict[str, Any]:
        process, ready = start_process(arguments, self.path / f"{name}.log")
        self.processes_by_name[name] = process
        return ready


def _address(port: int) -> dict[str, Any]:
    return {"host": LOOPBACK, "port": port}
