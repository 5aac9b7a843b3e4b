"""Crowds of callers outside the limits, against an instance on a small machine.

A crowd keeps sending while an ordinary request is tried. Memory and descriptors are
compared with what the settings of the instance state.
"""

import contextlib
import http.client
import os
import select
import socket
import threading
import time
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path
from typing import NamedTuple

from sequoiahook.platform.settings import read_settings
from sequoiahook.world.instance import Address
from standins.fleet import wait_for
from standins.platform_documents import configuration_document
from standins.platform_fleet import PlatformFleet, Request, send_request
from tests.test_platform_processes import start

NAME = "n1"
MEMORY_MB = 90
DESCRIPTORS = 300
BODY_BYTES_MAX = 4 * 1024 * 1024
LARGEST_BODY_BYTES = 64 * 1024 * 1024
IDLE_TIMEOUT_MS = 3_000
KB_PER_MB = 1_024
FLOOD_S = 8
QUIET_S = 1
TENANT = {
    "api_keys": ["key-one-a"],
    "priority": 1,
    "rate_per_s": 100_000,
    "burst": 100_000,
    "allowed_regions": [],
}
SERVED_TIMEOUT_S = 30
RECEIVE_BUFFER_BYTES = 4_096
PART_BYTES = 262_144
READY_TIMEOUT_S = 0.05
LOG_LINE_BYTES_MAX = 4_096
"""Largest line that is written to a pipe without mixing with others."""


class SmallFleet(PlatformFleet):
    """A fleet whose instances are told that their machines are small.

    Attributes:
        memory_mb: Stated memory, and largest resident size, in MB. An idle instance
            takes about 45 MB.
        descriptors: Stated number of descriptors, and most that may be open.
        body_bytes_max: Largest body that the configuration allows, in bytes.
    """

    memory_mb = MEMORY_MB
    descriptors = DESCRIPTORS
    body_bytes_max = BODY_BYTES_MAX

    def write_settings(self, name, text=None):
        """Write the settings file with the limits of a small machine."""
        super().write_settings(name, text)
        path = self.path / f"{name}.toml"
        limits = f"memory_mb = {self.memory_mb}\nmax_fds = {self.descriptors}\n"
        path.write_text(f"{path.read_text()}[limits]\n{limits}")
        read_settings(str(path))


class SmallestFleet(SmallFleet):
    """A fleet on the smallest machines, with the largest bodies."""

    memory_mb = 152
    descriptors = 1_000
    body_bytes_max = LARGEST_BODY_BYTES


class Crowd(NamedTuple):
    """Callers outside the limits.

    Attributes:
        callers: Number of connections.
        sent: What each of them sends, or a function that returns the parts that the
            connection with a number sends.
        reads: Whether they read answers, without looking at them.
        read_bytes: Most bytes that they read at a time.
        pause_s: Pause after each time that they send or read, in seconds.
        leaves: Whether they leave after the last part, and come back on a new
            connection.
        returns: Whether they come back on a new connection after the instance has
            closed theirs.
        port: Port that they connect to; None for that of callers.
    """

    callers: int
    sent: bytes | Callable[[int], Iterable[bytes]]
    reads: bool = False
    leaves: bool = False
    returns: bool = False
    port: int | None = None
    read_bytes: int = PART_BYTES
    pause_s: float = 0

    def parts(self, number: int) -> Iterator[bytes]:
        """Return what the connection with a number sends."""
        if not isinstance(self.sent, bytes):
            return iter(self.sent(number))
        starts = range(0, len(self.sent), PART_BYTES)
        return (self.sent[start : start + PART_BYTES] for start in starts)


class Peak(NamedTuple):
    """What a process took at most."""

    memory_mb: int
    descriptors: int


class Flood(threading.Thread):
    """Sends what a crowd sends until it is stopped.

    Attributes:
        active_at: Time at which a caller last sent or read something.

    Args:
        address: Address to connect to.
        crowd: The crowd.
    """

    def __init__(self, address: Address, crowd: Crowd):
        super().__init__(daemon=True)
        self.active_at = time.monotonic()
        self._address = address
        self._crowd = crowd
        self._poll = select.poll()
        self._connections_by_descriptor: dict[int, socket.socket] = {}
        self._parts_by_descriptor: dict[int, Iterator[bytes]] = {}
        self._rest_by_descriptor: dict[int, bytes] = {}
        self._count = 0
        self._stopped = threading.Event()

    def run(self) -> None:
        """Connect, send and read until stopped, then close all connections."""
        for _ in range(self._crowd.callers):
            self._connect()
        while not self._stopped.is_set():
            events = self._poll.poll(READY_TIMEOUT_S * 1_000)
            for descriptor, event in events:
                self._advance(descriptor, event)
            self._stopped.wait(self._crowd.pause_s)
        for connection in self._connections_by_descriptor.values():
            connection.close()

    def stop(self) -> None:
        """Stop, and wait until all connections are closed."""
        self._stopped.set()
        self.join()

    def _connect(self) -> None:
        caller = socket.socket()
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        caller.settimeout(SERVED_TIMEOUT_S)
        try:
            caller.connect(self._address)
        except OSError:
            caller.close()
            return
        caller.setblocking(False)
        descriptor = caller.fileno()
        self._connections_by_descriptor[descriptor] = caller
        self._parts_by_descriptor[descriptor] = self._crowd.parts(self._count)
        self._rest_by_descriptor[descriptor] = b""
        self._count += 1
        self._watch(descriptor, select.POLLOUT)

    def _watch(self, descriptor: int, events: int) -> None:
        reading = select.POLLIN if self._crowd.reads else 0
        self._poll.register(descriptor, events | reading)

    def _advance(self, descriptor: int, event: int) -> None:
        caller = self._connections_by_descriptor[descriptor]
        try:
            if event & select.POLLIN and not caller.recv(self._crowd.read_bytes):
                raise ConnectionResetError
            if event & select.POLLOUT:
                self._send(descriptor, caller)
            elif event & (select.POLLERR | select.POLLHUP):
                raise ConnectionResetError
        except BlockingIOError:
            return
        except OSError:
            self._end(descriptor)
        self.active_at = time.monotonic()

    def _send(self, descriptor: int, caller: socket.socket) -> None:
        rest = self._rest_by_descriptor[descriptor]
        rest = rest or next(self._parts_by_descriptor[descriptor], b"")
        if rest:
            sent = caller.send(rest)
            self._rest_by_descriptor[descriptor] = rest[sent:]
        elif self._crowd.leaves:
            self._end(descriptor)
        else:
            self._watch(descriptor, 0)

    def _end(self, descriptor: int) -> None:
        self._poll.unregister(descriptor)
        caller = self._connections_by_descriptor[descriptor]
        if not (self._crowd.leaves or self._crowd.returns):
            return  # The connection stays until the end, but sends nothing more.
        del self._connections_by_descriptor[descriptor]
        caller.close()
        self._connect()


def start_small(fleet: SmallFleet) -> None:
    """Start an instance whose callers have low limits."""
    start(fleet, NAME)
    document = configuration_document(50, one=TENANT)
    document["limits"] |= {
        "max_body_bytes": fleet.body_bytes_max,
        "idle_timeout_ms": IDLE_TIMEOUT_MS,
    }
    fleet.control_store(put=[("config", "main", document)])
    wait_for(
        lambda: "configuration_number 50\n" in fleet.metrics(NAME),
        "the limits of bodies are configured",
    )


def usual_fields(number: object) -> str:
    """Return the usual header fields of a request for an object."""
    cookie = (("Cookie", f"Affinity-Key={number}"),)
    request = Request(id=f"flood-{number}"[:64], deadline_ms=10_000, headers=cookie)
    fields = request.all_headers()
    return "".join(f"{name}: {value}\r\n" for name, value in fields.items())


def get(path: str, fields: str = "Host: a.example\r\n") -> bytes:
    """Return a request without a body."""
    return f"GET {path} HTTP/1.1\r\n{fields}\r\n".encode()


def post(path: str, body: bytes, fields: str = "Host: a.example\r\n") -> bytes:
    """Return a request with a body of known length."""
    length = f"Content-Length: {len(body)}\r\n"
    return f"POST {path} HTTP/1.1\r\n{fields}{length}\r\n".encode() + body


def resident_mb(pid: int) -> int:
    """Return the largest resident size so far."""
    status = Path(f"/proc/{pid}/status").read_text()
    (line,) = [line for line in status.splitlines() if line.startswith("VmHWM")]
    return int(line.split()[1]) // KB_PER_MB


def open_descriptors(pid: int) -> int:
    """Return the number of open descriptors."""
    return len(os.listdir(f"/proc/{pid}/fd"))


@contextlib.contextmanager
def flood(fleet: SmallFleet, *crowds: Crowd) -> Iterator[Peak]:
    """Send what crowds send; yields the peak until now while they continue.

    It yields once nothing more is sent and the instance grows no more.
    """
    process = fleet.processes_by_name[NAME]
    host, port = fleet.caller_address(NAME)
    floods = [Flood(Address(host, crowd.port or port), crowd) for crowd in crowds]
    for each in floods:
        each.start()
    try:
        memory_mb = descriptors = 0
        started_at = active_at = time.monotonic()
        while time.monotonic() - started_at < FLOOD_S:
            assert process.poll() is None
            if resident_mb(process.pid) > memory_mb:
                active_at = time.monotonic()
            active_at = max(active_at, *(each.active_at for each in floods))
            memory_mb = resident_mb(process.pid)
            descriptors = max(descriptors, open_descriptors(process.pid))
            if time.monotonic() - active_at > QUIET_S:
                break
            time.sleep(READY_TIMEOUT_S)
        yield Peak(memory_mb, descriptors)
    finally:
        for each in floods:
            each.stop()


def is_answered_by_a_target(fleet: SmallFleet) -> bool:
    """Send an ordinary request and return whether a target answered it."""
    address = fleet.caller_address(NAME)
    try:
        reply = send_request(address, Request(), timeout_s=SERVED_TIMEOUT_S)
    except (OSError, http.client.HTTPException):
        return False
    return "server-stamp" in reply.headers


def check_flood(fleet: SmallFleet, *crowds: Crowd, others: Iterable[str] = ()) -> None:
    """Flood an instance, and check its size and that it then serves a request.

    Args:
        fleet: The fleet.
        crowds: The crowds, which come at the same time.
        others: Names of instances to which requests are handed over.
    """
    pid = fleet.processes_by_name[NAME].pid
    with flood(fleet, *crowds) as peak:
        wait_for(
            lambda: is_answered_by_a_target(fleet),
            "an ordinary request is answered",
            SERVED_TIMEOUT_S,
        )
        assert fleet.processes_by_name[NAME].poll() is None
        peak = Peak(resident_mb(pid), max(peak.descriptors, open_descriptors(pid)))
    print(f"peak: {peak}")
    assert peak.memory_mb < fleet.memory_mb
    assert peak.descriptors <= fleet.descriptors
    for name in others:
        assert fleet.processes_by_name[name].poll() is None
        peak_mb = resident_mb(fleet.processes_by_name[name].pid)
        print(f"peak of {name}: {peak_mb}")
        assert peak_mb < fleet.memory_mb
    check_log(fleet)


def trickled(data: bytes) -> Callable[[int], Iterable[bytes]]:
    """Return the parts of connections that send their bytes one by one."""
    return lambda number: (data[i : i + 1] for i in range(len(data)))


def check_log(fleet: SmallFleet) -> None:
    """Check that no line of the log exceeds what is written to a pipe at once."""
    lines = (fleet.path / f"{NAME}.log").read_bytes().splitlines()
    largest = max(map(len, lines), default=0)
    print(f"largest line of the log: {largest}, bytes: {sum(map(len, lines))}")
    assert largest < LOG_LINE_BYTES_MAX
