"""Runs a store, targets and instances on the users' platform as processes.

Each instance has its own loopback address, since all instances use the same ports.
Every process that is started here is ended here, by its process id.
"""

import http.client
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any, NamedTuple

from sequoiahook.platform.settings import SETTINGS_VARIABLE
from sequoiahook.world.instance import Address
from standins.cut_instance import CUT_FILE_SUFFIX
from standins.fleet import HttpReply, wait_for
from standins.platform_documents import (
    PORTS,
    configuration_document,
    settings_text,
    target_object,
)
from standins.processes import ROOT, end_process, start_process

__all__ = ["PlatformFleet", "Request", "send_request"]

LOOPBACK = "127.0.0.1"
EXIT_TIMEOUT_S = 10


class Request(NamedTuple):
    """A request of a caller.

    Attributes:
        path: Path and query.
        method: HTTP method.
        key: API key; empty for none.
        id: Request id.
        body: Request body.
        deadline_ms: Time for which the caller waits, in milliseconds.
        headers: Further headers, which replace default ones of the same name.
    """

    path: str = "/look/1"
    method: str = "GET"
    key: str = "key-one-a"
    id: str = "r1"
    body: bytes = b""
    deadline_ms: int = 2_000
    headers: tuple[tuple[str, str], ...] = ()

    def all_headers(self) -> dict[str, str]:
        """Return the default headers, ``headers`` and the authorization."""
        headers = {
            "Host": "a.example",
            "Request-Id": self.id,
            "Deadline-Ms": str(self.deadline_ms),
            "Cookie": "Affinity-Key=17",
            **dict(self.headers),
        }
        if self.key:
            headers["Authorization"] = f"Bearer {self.key}"
        return headers


def send_request(
    address: Address, request: Request, connection: Any = None, timeout_s: float = 10
) -> HttpReply:
    """Send a request and return the response.

    Args:
        address: Address to connect to; unused with a connection.
        request: The request.
        connection: An open connection to use; None opens and closes a new one.
        timeout_s: Time-out of socket operations on a new connection, in seconds.

    Raises:
        OSError: If the connection fails.
        http.client.HTTPException: If the response is incomplete.
    """
    used_connection = connection or http.client.HTTPConnection(
        *address, timeout=timeout_s
    )
    try:
        used_connection.request(
            request.method, request.path, request.body, request.all_headers()
        )
        response = used_connection.getresponse()
        headers = {name.lower(): value for name, value in response.getheaders()}
        return HttpReply(response.status, headers, response.read())
    finally:
        if connection is None:
            used_connection.close()


class PlatformFleet:
    """The processes of one system; a context manager that ends them on exit.

    Attributes:
        path: Temporary directory with settings, logs and run logs.
        processes_by_name: Processes of the store, targets and instances.
        store_port: Port of the store.
        is_first_start: Whether instances are configured for the first start of the
            whole fleet.
        target_ports_by_id: Port of each target.
        instance_module: Module that instances run; `standins.cut_instance` for those
            whose connections to targets can be cut.
    """

    instance_module = "sequoiahook.platform"

    def __init__(self):
        rng = random.SystemRandom()
        self._network = f"127.{rng.randrange(1, 255)}.{rng.randrange(255)}"
        self._directory = tempfile.TemporaryDirectory(prefix="sequoiahook-")
        self.path = Path(self._directory.name)
        self.processes_by_name: dict[str, subprocess.Popen] = {}
        self._replaced_processes: list[subprocess.Popen] = []
        self.store_port = 0
        self.is_first_start = False
        self.target_ports_by_id: dict[str, int] = {}
        self._hosts_by_name: dict[str, str] = {}
        self._zones_by_name: dict[str, str] = {}

    def __enter__(self) -> "PlatformFleet":
        self.start_store()
        return self

    def __exit__(self, *_: object) -> None:
        for process in (*self._replaced_processes, *self.processes_by_name.values()):
            end_process(process)
        self._directory.cleanup()

    def start_store(self, port: int = 0) -> None:
        """Start an empty store."""
        name = "store"
        self.store_port = self._start(name, "standins.platform_store", str(port))

    def start_target(self, target_id: str, **changes: Any) -> None:
        """Start a target and register it in the store."""
        self.start_target_process(target_id)
        self.register_target(target_id, **changes)

    def start_target_process(self, target_id: str) -> int:
        """Start a target without registering it and return its port."""
        runs_path = str(self.path / f"{target_id}.runs")
        port = self._start(
            target_id, "standins.platform_target", target_id, "0", runs_path
        )
        self.target_ports_by_id[target_id] = port
        return port

    def register_target(self, target_id: str, **changes: Any) -> None:
        """Write the entry of a target to the store."""
        address = self.target_address(target_id)
        entry = target_object(target_id, address, **changes)
        self.control_store(put=[("servers", target_id, entry["spec"])])

    def target_address(self, target_id: str) -> Address:
        """Return the address at which instances reach a target.

        Subclasses may return the address of a proxy.
        """
        return Address(LOOPBACK, self.target_ports_by_id[target_id])

    def store_address(self, name: str) -> Address:
        """Return the address at which an instance reaches the store.

        Subclasses may return the address of a proxy.
        """
        return Address(LOOPBACK, self.store_port)

    def configure(self, version: int, **tenants: Any) -> None:
        """Write a configuration to the store."""
        document = configuration_document(version, **tenants)
        self.control_store(put=[("config", "main", document)])

    def start_instance(self, name: str, zone: str = "north-a") -> Address:
        """Start an instance and return its address for callers.

        Returns before the instance is ready; see :meth:`wait_ready`.
        """
        if name not in self._hosts_by_name:
            self._hosts_by_name[name] = (
                f"{self._network}.{len(self._hosts_by_name) + 1}"
            )
        self._zones_by_name[name] = zone
        self.write_settings(name)
        environment = {**os.environ, SETTINGS_VARIABLE: str(self._settings_path(name))}
        with (self.path / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", self.instance_module],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=environment,
            )
        self._add_process(name, process)
        return self.caller_address(name)

    def write_settings(self, name: str, text: str | None = None) -> None:
        """Write the settings file of an instance.

        Args:
            name: Name of the instance.
            text: Content of the file; None for the default settings.
        """
        store = self.store_address(name)
        host, zone = self._hosts_by_name[name], self._zones_by_name[name]
        is_first_start = self.is_first_start
        text = text or settings_text(
            name, zone, host, store, is_first_start=is_first_start
        )
        self._settings_path(name).write_text(text)

    def caller_address(self, name: str) -> Address:
        """Return the address to which callers connect."""
        return Address(self._hosts_by_name[name], PORTS.callers)

    def is_ready(self, name: str) -> bool:
        """Return whether an instance reports that it is ready."""
        address = Address(self._hosts_by_name[name], PORTS.readiness)
        try:
            return send_request(address, Request("/-/ready", key="")).status == 200
        except (OSError, http.client.HTTPException):
            return False

    def wait_ready(self, *names: str) -> None:
        """Wait until all named instances are ready.

        Raises:
            TimeoutError: If an instance is not ready in time.
        """
        for name in names:
            wait_for(lambda name=name: self.is_ready(name), f"{name} is ready")

    def look_up(self, name: str, region: str = "north") -> set[str]:
        """Return the names of the instances that an instance returns for a region.

        The set is empty if the instance does not accept the connection.
        """
        address = Address(self._hosts_by_name[name], PORTS.lookups)
        path = f"/-/resolve?name=a.example&region={region}&zone=north-a"
        try:
            document = send_request(address, Request(path, key="")).document
        except OSError:
            return set()
        name_by_host = {host: name for name, host in self._hosts_by_name.items()}
        hosts = {text.rpartition(":")[0] for text in document["addresses"]}
        return {name_by_host[host] for host in hosts}

    def metrics(self, name: str) -> str:
        """Return the metrics page of an instance."""
        address = Address(self._hosts_by_name[name], PORTS.metrics)
        return send_request(address, Request("/metrics", key="")).body.decode()

    def control_store(self, **control: Any) -> dict[str, Any]:
        """Change objects or faults of the store and return its revision and counts.

        Raises:
            RuntimeError: If the store does not know the call.
        """
        return self._control(self.store_port, control)

    def control_target(self, target_id: str, **control: Any) -> dict[str, Any]:
        """Set the faults of a target and return its runs and last headers.

        Raises:
            RuntimeError: If the target does not know the call.
        """
        return self._control(self.target_ports_by_id[target_id], control)

    def runs(self) -> list[dict[str, Any]]:
        """Return the runs of all targets."""
        return [
            run
            for target_id in self.target_ports_by_id
            for run in self.control_target(target_id)["runs"]
        ]

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that this fleet started."""
        self.processes_by_name[name].send_signal(number)

    def reload(self, name: str) -> None:
        """Rewrite the settings file and send SIGHUP to the instance if it runs."""
        self.write_settings(name)
        if self.processes_by_name[name].poll() is None:
            self.signal(name, signal.SIGHUP)

    def cut(self, name: str, how: str) -> None:
        """Cut the connections of an instance to all targets; empty to restore them.

        Args:
            name: Name of the instance, which runs `standins.cut_instance`.
            how: One of `CUTS`.
        """
        path = Path(f"{self._settings_path(name)}{CUT_FILE_SUFFIX}")
        partial_path = path.with_suffix(".partial")
        partial_path.write_text(how)
        partial_path.replace(path)

    def wait_exit(self, name: str) -> int:
        """Wait until a process has exited and return its exit code.

        Raises:
            subprocess.TimeoutExpired: If it still runs after EXIT_TIMEOUT_S.
        """
        return self.processes_by_name[name].wait(EXIT_TIMEOUT_S)

    def log_records(self, name: str) -> list[dict[str, Any]]:
        """Return the JSON log records of an instance, without one being written."""
        text = (self.path / f"{name}.log").read_text(errors="replace")
        lines = text.rpartition("\n")[0].splitlines()
        return [json.loads(line) for line in lines if line[:1] == "{"]

    def _control(self, port: int, control: dict[str, Any]) -> dict[str, Any]:
        body = json.dumps(control).encode()
        request = Request("/control", "POST", key="", body=body)
        reply = send_request(Address(LOOPBACK, port), request)
        if reply.status != 200:
            raise RuntimeError(reply.document["error"])
        return reply.document

    def _settings_path(self, name: str) -> Path:
        return self.path / f"{name}.toml"

    def _start(self, name: str, *arguments: str) -> int:
        log_path = self.path / f"{name}.log"
        process, ready = start_process(list(arguments), log_path)
        self._add_process(name, process)
        return ready["port"]

    def _add_process(self, name: str, process: subprocess.Popen) -> None:
        """Add a process; an earlier one with its name may run until the exit."""
        if name in self.processes_by_name:
            self._replaced_processes.append(self.processes_by_name[name])
        self.processes_by_name[name] = process
