"""Helpers of the cases 6 to 10: a small deployment, its clients and the record.

Clients and the checks see only sockets: answers of instances, runs at the targets and
the readiness checks. The store and the targets are the project's stand-ins.
"""

import bisect
import http.client
import json
import os
import signal
import subprocess
import sys
import threading
import time
from pathlib import Path
from typing import Any, NamedTuple

from sequoiahook.platform.settings import SETTINGS_VARIABLE
from sequoiahook.world.instance import Address
from standins.fleet import wait_for
from standins.platform_documents import BOUNDS, PORTS
from standins.platform_fleet import PlatformFleet

__all__ = [
    "EXIT_BROKEN",
    "EXIT_HELD",
    "EXIT_NOT_RUN",
    "Clients",
    "CuttableDeployment",
    "Deployment",
    "Quota",
    "Record",
    "has_trouble",
    "lost_holds",
    "record_rate",
    "record_runs",
    "run_case",
    "used_mb",
]

EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
ROOT = Path(__file__).resolve().parent.parent
READY_TIMEOUT_S = 30
COMMAND = ("python3", "-m", "sequoiahook.platform")
"""The command of deploy/system.toml."""

OBJECTS = 50
"""Objects that the requests concern."""

CUT_MAX = 3
"""Requests on kept connections that the rule LOST lets a machine cut."""

QUOTA_WINDOW_S = 5.0
QUOTA_EXCESS = 0.1
QUOTA_SLACK = 20
"""Bounds of the settings file."""

ZONES = {"north-a": "north", "north-b": "north", "south-a": "south"}


def has_trouble() -> bool:
    """Return whether the case is to play its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The file in which a case writes what was sent, answered and run.

    Args:
        folder: Folder of the case.
    """

    def __init__(self, folder: Path):
        self._started_at = time.monotonic()
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._lock = threading.Lock()

    def write(self, text: str) -> None:
        """Write a line with the time since the start, and print it."""
        line = f"{time.monotonic() - self._started_at:8.3f} {text}"
        with self._lock:
            self._file.write(line + "\n")
            self._file.flush()
        print(line, flush=True)

    def since_start(self, at: float) -> float:
        """Return a reading of the monotonic clock as time since the start."""
        return at - self._started_at

    def write_quietly(self, text: str) -> None:
        """Write a line to the file only."""
        with self._lock:
            self._file.write(text + "\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Deployment(PlatformFleet):
    """A store, targets and instances, started by the command of the deploy file."""

    limits = {
        "cpu_share": 0.86,
        "cores": 1,
        "memory_mb": 300,
        "max_fds": 1000,
        "link_mbps": 1000.0,
        "disk_mb": 0,
    }

    def settings(self, name: str) -> str:
        """Return the settings file of an instance of a small deployment."""
        host, zone = self._hosts_by_name[name], self._zones_by_name[name]
        zones = "\n".join(f'{zone} = "{region}"' for zone, region in ZONES.items())
        limits = "\n".join(f"{key} = {value}" for key, value in self.limits.items())
        bounds = ", ".join(f'"{bound}"' for bound in BOUNDS.split(","))
        first, last = PORTS.internal, PORTS.internal_last
        return f"""
node_name = "{name}"
role = "instance"
machine_class = "edge"
serves = ["edge", "directory"]
ip = "{host}"
zone = "{zone}"
region = "{ZONES[zone]}"
internal_ports = [{first}, {last}]
bootstrap = {str(self.is_first_start).lower()}
discovery = "platform"
entry = "directory"
heartbeat_ms = 1500
bounds = [{bounds}]
[zones]
{zones}
[listen]
front = "{host}:{PORTS.callers}"
readiness_address = "{host}:{PORTS.readiness}"
control = "{host}:{PORTS.control}"
directory = "{host}:{PORTS.lookups}"
[limits]
{limits}
[fault_tolerance]
machines = 2
zones = 1
regions = 1
[platform]
address = "{self.store_address(name)}"
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"""

    def write_settings(self, name: str, text: str | None = None) -> None:
        """Write the settings file of an instance."""
        super().write_settings(name, text or self.settings(name))

    def start_instance(self, name: str, zone: str = "north-a") -> Address:
        """Start an instance with the command of the deploy file."""
        if name not in self._hosts_by_name:
            number = len(self._hosts_by_name) + 1
            self._hosts_by_name[name] = f"{self._network}.{number}"
        self._zones_by_name[name] = zone
        self.write_settings(name)
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            SETTINGS_VARIABLE: str(self._settings_path(name)),
        }
        with (self.path / f"{name}.log").open("ab") as log:
            self.processes_by_name[name] = subprocess.Popen(
                COMMAND,
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=environment,
            )
        return self.caller_address(name)

    def host(self, name: str) -> str:
        """Return the loopback address of an instance."""
        return self._hosts_by_name[name]

    def wait_ready(self, *names: str) -> None:
        """Wait until all named instances are ready."""
        for name in names:
            wait_for(
                lambda name=name: self.is_ready(name),
                f"{name} is ready",
                timeout_s=READY_TIMEOUT_S,
            )


class CuttableDeployment(Deployment):
    """A deployment in which groups of instances can be cut off from each other.

    All traffic between instances passes `review.network_2`; clients, targets and the
    store are reached as usual.

    Args:
        names: Names of all instances that will be started.
    """

    def __init__(self, names: tuple[str, ...]):
        super().__init__()
        first = os.getpid() % 200 + 20
        self._network, self._proxy_network = f"127.{first}.100", f"127.{first}.200"
        for number, name in enumerate(names, 1):
            self._hosts_by_name[name] = f"{self._network}.{number}"
        self._network_process: subprocess.Popen | None = None
        self._proxy_port = 0

    def __exit__(self, *details: object) -> None:
        if self._network_process is not None:
            self._network_process.kill()
            self._network_process.wait()
        super().__exit__(*details)

    def start_store(self, port: int = 0) -> None:
        """Start the store, and the network between the instances."""
        super().start_store(port)
        path = self.path / "network.json"
        document = {
            "hosts": self._hosts_by_name,
            "instance_net": self._network,
            "proxy_net": self._proxy_network,
            "store_port": self.store_port,
        }
        path.write_text(json.dumps(document))
        with (self.path / "network.log").open("ab") as log:
            self._network_process = subprocess.Popen(
                [sys.executable, "-m", "review.network_2", str(path)],
                cwd=ROOT,
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=log,
            )
        self._proxy_port = json.loads(self._network_process.stdout.readline())["port"]

    def store_address(self, name: str) -> Address:
        """Return the address at which instances reach the store."""
        return Address("127.0.0.1", self._proxy_port)

    def cut_apart(self, *sides: tuple[str, ...]) -> None:
        """Cut the sides off from each other; without sides, heal the cut."""
        words = ["cut", *map(",".join, sides)] if sides else ["heal"]
        self._network_process.stdin.write((" ".join(words) + "\n").encode())
        self._network_process.stdin.flush()


class Clients:
    """Clients that send requests at a steady pace, each over one connection.

    Attributes:
        sent: Time, client, id and instance of each request.
        answers: Time, status, headers and body of each answer by id; a status of 0
            stands for a connection that ended without an answer.
        kept_ids: Ids of the requests on connections that had carried an answer.

    Args:
        fleet: The deployment.
        record: The record.
    """

    def __init__(self, fleet: Deployment, record: Record):
        self.sent: dict[str, tuple[float, str]] = {}
        self.answers: dict[str, tuple[float, int, dict[str, str], bytes]] = {}
        self.kept_ids: set[str] = set()
        self._fleet = fleet
        self._record = record
        self._threads: list[threading.Thread] = []
        self._stopping = threading.Event()
        self._number = 0
        self._lock = threading.Lock()

    def __enter__(self) -> "Clients":
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def start(self, name: str, per_s: float, count: int = 4, **request: Any) -> None:
        """Start clients of one instance, which together send at a rate."""
        for index in range(count):
            arguments = (name, per_s / count, index / per_s, request)
            thread = threading.Thread(target=self._send_all, args=arguments)
            thread.start()
            self._threads.append(thread)

    def stop(self) -> None:
        """Stop all clients and wait for their last answers."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _send_all(self, name, per_s, delay_s, request) -> None:
        address = self._fleet.caller_address(name)
        connection = http.client.HTTPConnection(*address, timeout=5)
        due = time.monotonic() + delay_s
        while not self._stopping.is_set():
            pause_s = due - time.monotonic()
            if pause_s > 0:
                self._stopping.wait(pause_s)
                if self._stopping.is_set():
                    break
            due = max(due + 1 / per_s, time.monotonic() - 1)
            connection = self.send(name, connection, **request)
        connection.close()

    def send(
        self,
        name: str,
        connection: http.client.HTTPConnection,
        method: str = "GET",
        path: str = "/look/1",
        key: str = "key-one-a",
        body: bytes = b"",
        deadline_ms: int = 2_000,
        has_object: bool = True,
    ) -> http.client.HTTPConnection:
        """Send one request, record it, and return the connection for the next one."""
        with self._lock:
            self._number += 1
            number = self._number
        request_id = f"{number:08x}"
        headers = {
            "Host": "a.example",
            "Request-Id": request_id,
            "Deadline-Ms": str(deadline_ms),
        }
        if has_object:
            headers["Cookie"] = f"Affinity-Key={number % OBJECTS}"
        if key:
            headers["Authorization"] = f"Bearer {key}"
        if getattr(connection, "has_answered", False):
            self.kept_ids.add(request_id)
        sent_at = time.monotonic()
        self.sent[request_id] = (sent_at, name)
        status, fields, content = 0, {}, b""
        try:
            connection.request(method, path, body or None, headers)
            response = connection.getresponse()
            content = response.read()
            status = response.status
            connection.has_answered = True
            fields = {n.lower(): v for n, v in response.getheaders()}
        except (OSError, http.client.HTTPException):
            connection.close()
        now = time.monotonic()
        self.answers[request_id] = (now, status, fields, content)
        self._record.write_quietly(
            f"sent {sent_at:.3f} to {name} id {request_id} {method} {path} "
            f"answered {now:.3f} status {status}"
        )
        if status == 0 or fields.get("connection", "").lower() == "close":
            connection.close()
            address = self._fleet.caller_address(name)
            connection = http.client.HTTPConnection(*address, timeout=5)
            if status == 0:
                time.sleep(0.1)
        return connection


class Quota(NamedTuple):
    """Rate and burst of the one organisation, and the bounds of the rule QUOTA.

    Attributes:
        rate_per_s: Requests a second.
        burst: Requests beyond the rate.
    """

    rate_per_s: int
    burst: int

    @property
    def limit(self) -> float:
        """Requests that may be sent and arrive in a window."""
        allowed = self.rate_per_s * QUOTA_WINDOW_S + self.burst
        return allowed * (1 + QUOTA_EXCESS) + QUOTA_SLACK

    def tenants(self) -> dict[str, Any]:
        """Return the table of tenants of the configuration."""
        return {
            "one": {
                "api_keys": ["key-one-a"],
                "priority": 1,
                "rate_per_s": self.rate_per_s,
                "burst": self.burst,
                "allowed_regions": [],
            }
        }

    def holds(self, clients: Clients, runs: list[dict], record: Record) -> bool:
        """Return whether the rule held, and record the busiest window."""
        spans = sorted((clients.sent[run["id"]][0], run["at"]) for run in runs)
        arrivals: list[float] = []
        best, best_at = 0, 0.0
        for sent_at, arrived_at in reversed(spans):
            # All requests that were sent later are in the list already.
            bisect.insort(arrivals, arrived_at)
            count = bisect.bisect_right(arrivals, sent_at + QUOTA_WINDOW_S)
            if count > best:
                best, best_at = count, sent_at
        record.write(
            f"busiest {QUOTA_WINDOW_S:g} s: {best} requests were sent and ran, from "
            f"{record.since_start(best_at):.1f} s on; the limit is {self.limit:g}"
        )
        return best <= self.limit


def lost_holds(
    clients: Clients, names: tuple[str, ...], ran_ids: set[str], record: Record
) -> bool:
    """Return whether the rule LOST held, and record what each instance cut.

    Counted are requests on kept connections that an upstream ran.
    """
    cut_by_name = {
        name: sum(
            clients.answers[i][1] == 0
            for i, (_, receiver) in clients.sent.items()
            if receiver == name and i in clients.kept_ids and i in ran_ids
        )
        for name in names
    }
    for name, count in cut_by_name.items():
        record.write(f"{name} cut {count} requests that a sound upstream ran")
    statuses = [answer[1] for answer in clients.answers.values()]
    counts = {status: statuses.count(status) for status in sorted(set(statuses))}
    record.write(f"answers by status (0: connection closed): {counts}")
    return max(cut_by_name.values()) <= CUT_MAX


def used_mb(pid: int) -> float:
    """Return the resident memory of a process in MB; 0 if it has ended."""
    try:
        text = Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    except OSError:
        return 0.0
    lines = [line for line in text.splitlines() if line.startswith("VmRSS")]
    return int(lines[0].split()[1]) / 1024 if lines else 0.0


def record_runs(fleet: Deployment, record: Record) -> list[dict]:
    """Write the runs of all targets into the record and return them."""
    runs = sorted(fleet.runs(), key=lambda run: run["at"])
    for run in runs:
        record.write_quietly(
            f"run {run['at']:.3f} at {run['target']} id {run['id']} {run['method']} "
            f"{run['path']} for {run['organisation']}"
        )
    return runs


def record_rate(fleet: Deployment, record: Record, seconds: float) -> None:
    """Wait, and write how many requests ran meanwhile."""
    started_at = time.monotonic()
    time.sleep(seconds)
    ended_at = time.monotonic()
    count = sum(started_at <= run["at"] < ended_at for run in fleet.runs())
    record.write(f"{count / (ended_at - started_at):.0f} runs a second")


def run_case(folder: str, play) -> int:
    """Run a case and return its exit code.

    Args:
        folder: Folder of the case.
        play: Called with the record; returns whether the rule held.
    """
    # So that an ended case ends its processes.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(EXIT_NOT_RUN))
    record = Record(Path(folder))
    record.write(f"trouble: {has_trouble()}")
    try:
        held = play(record)
    except Exception as error:
        record.write(f"the case could not run: {type(error).__name__}: {error}")
        return EXIT_NOT_RUN
    finally:
        record.write("end")
    record.write("held" if held else "BROKEN")
    record.close()
    return EXIT_HELD if held else EXIT_BROKEN
