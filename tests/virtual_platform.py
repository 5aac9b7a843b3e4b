"""Real instances, a store, targets and callers in virtual time, with faults."""

import asyncio
import itertools
import json
import tempfile
import traceback
from pathlib import Path
from typing import NamedTuple

import logbook

from sequoiahook.clock import MS_PER_S
from sequoiahook.daemons.direct.components import InstanceComponents
from sequoiahook.daemons.direct.instance import DirectInstance
from sequoiahook.platform.dialect import CallerDialect, PlatformTargetDialect
from sequoiahook.platform.settings import read_settings
from sequoiahook.platform.store import StoreClient
from sequoiahook.world.instance import Address
from standins.http_server import CloseConnectionError, HttpResponse, serve
from standins.platform_documents import (
    PORTS,
    ZONES,
    settings_text,
    target_object,
)
from standins.platform_store import PlatformStore
from standins.platform_target import PlatformTarget
from tests.virtual_network import VirtualNetwork

STORE_PORT = 8382
TARGET_PORT = 8105
STORE_DELAY_S = 0.004
CALL_TIMEOUT_S = 3.0
HEARTBEAT_S = 1.5


class Answer(NamedTuple):
    """What a caller saw.

    Attributes:
        sent_at: Virtual time at which the request was sent, in seconds.
        instance: Name of the instance.
        path: Path of the request.
        key: Key of the request.
        id: Id of the request.
        status: Status of the answer; 0 without one.
    """

    sent_at: float
    instance: str
    path: str
    key: str
    id: str
    status: int


class _Clock:
    def __init__(self, network):
        self._network = network

    def now(self):
        return round(self._network.now_s * MS_PER_S)


class _LogCapture(logbook.Handler):
    """Keeps the records of all processes with the virtual time and the process."""

    def __init__(self, network):
        super().__init__(level=logbook.INFO)
        self._network = network
        self.lines = []

    def emit(self, record):
        loop = self._network.running
        name = "" if loop is None else loop.name
        fields = dict(record.extra)
        if record.exc_info:
            fields["error"] = "".join(traceback.format_exception(*record.exc_info))
        line = (round(self._network.now_s, 3), name, record.message, fields)
        self.lines.append(line)


class _Target(PlatformTarget):
    """A target that records virtual times."""

    def __init__(self, target_id, network):
        super().__init__(target_id)
        self._network = network

    def _record_run(self, run):
        super()._record_run({**run, "at": self._network.now_s})


class VirtualPlatform:
    """A fleet on a store, in virtual time; a context manager.

    Attributes:
        network: The network, which also has the time.
        store: The store.
        names: Names of the instances.
        answers: All answers to callers.
        starts_by_name: Times of the starts of each instance.
        is_each_heartbeat_new: Whether each heartbeat of a target changes its entry.
        drained: Ids of the targets that are draining.
        targets_by_id: The targets.
        store_faults: How the store treats the calls of single instances: ``silent``,
            ``reset``, or a status.
        raw_text_by_marker: Texts that the store's answers contain instead of a string;
            they need not be valid values.
        are_targets_away: Whether targets write nothing to the store.
        log: All log records.
    """

    def __init__(self, zone_by_name, target_ids=("i-1", "i-2")):
        self.network = VirtualNetwork()
        self.store = PlatformStore()
        self.names = tuple(zone_by_name)
        self.answers = []
        self.targets_by_id = {}
        self.store_faults = {}
        self.are_targets_away = False
        self.raw_text_by_marker = {}
        self.drained = set()
        self.is_each_heartbeat_new = True
        self.starts_by_name = {name: [] for name in zone_by_name}
        self.log = _LogCapture(self.network)
        self._zone_by_name = zone_by_name
        self._loops_by_name = {}
        self._instances_by_loop = {}
        self._tasks = set()
        self._request_numbers = itertools.count(1)
        self._sequences = itertools.count(1)
        self._directory = tempfile.TemporaryDirectory(prefix="sequoiahook-")
        self._place_hosts()
        self._store_loop = self.network.start("store", "10.9.0.0")
        self._callers_loop = self.network.start("callers", "10.8.0.0")
        for name in self.names:
            self._run(self._store_loop, self._serve_store(name))
        for number, target_id in enumerate(target_ids):
            self._start_target(target_id, number)

    def __enter__(self):
        self.log.push_application()
        return self

    def __exit__(self, *_):
        self.network.close()
        self.log.pop_application()
        self._directory.cleanup()

    def host(self, name):
        """Return the host of an instance."""
        return f"10.1.0.{self.names.index(name) + 1}"

    def store_host(self, name):
        """Return the host at which an instance reaches the store."""
        return f"10.9.0.{self.names.index(name) + 1}"

    def loop(self, name):
        """Return the event loop of an instance; None if it does not run."""
        loop = self._loops_by_name.get(name)
        return loop if loop is not None and self.network.is_running(loop) else None

    def _place_hosts(self):
        regions = self.network.region_by_host
        regions["10.8.0.0"] = "north"
        for name in self.names:
            region = ZONES[self._zone_by_name[name]]
            regions[self.host(name)] = region
            # The store is equally far from all; its delay is that of its answers.
            regions[self.store_host(name)] = region

    # Processes

    def start(self, name):
        """Start an instance."""
        is_first_start = not self.starts_by_name[name]
        self.starts_by_name[name].append(self.network.now_s)
        host, store = self.host(name), Address(self.store_host(name), STORE_PORT)
        path = Path(self._directory.name) / f"{name}.toml"
        zone = self._zone_by_name[name]
        path.write_text(
            settings_text(name, zone, host, store, is_first_start=is_first_start)
        )
        settings = read_settings(str(path))
        loop = self.network.start(name, host)
        self._loops_by_name[name] = loop
        components = InstanceComponents(
            StoreClient(settings),
            CallerDialect(),
            PlatformTargetDialect(),
            _Clock(self.network),
        )
        instance = DirectInstance(settings.direct, components)
        self._instances_by_loop[loop] = instance
        self._run(loop, self._run_instance(loop, instance))

    async def _run_instance(self, loop, instance):
        await instance.run()
        self.network.schedule(0, lambda: self._end(loop))

    def _end(self, loop):
        if self.network.is_running(loop):
            self.network.kill(loop)

    def instance(self, name):
        """Return a running instance."""
        return self._instances_by_loop[self._loops_by_name[name]]

    def kill(self, name, *, is_dark=False):
        """Kill an instance if it runs."""
        if self.loop(name) is not None:
            self.network.kill(self.loop(name), is_dark=is_dark)

    def terminate(self, name):
        """Stop an instance gracefully if it runs."""
        loop = self.loop(name)
        if loop is not None:
            loop.call_soon(self.instance(name).stop)

    def run_for(self, duration_s):
        """Let time pass."""
        self.network.run_for(duration_s)

    # The store, and those who write to it

    async def _serve_store(self, name):
        async def handle(request):
            await asyncio.sleep(STORE_DELAY_S)
            fault = self.store_faults.get(name)
            if fault == "silent":
                await asyncio.Event().wait()
            if fault == "reset":
                raise CloseConnectionError
            if fault is not None:
                return HttpResponse(fault)
            return self._with_raw_texts(await self.store.handle(request))

        await serve(handle, self.store_host(name), STORE_PORT)

    def _with_raw_texts(self, response):
        body = json.dumps(response.value)
        for marker, text in self.raw_text_by_marker.items():
            body = body.replace(f'"{marker}"', text)
        return response._replace(body=body.encode())

    def put(self, kind, name, spec):
        """Write an object; it is acknowledged before time passes."""
        self._run(self._store_loop, self.store.put(kind, name, spec))

    def return_to_copy(self):
        """Let the store return to its copy."""
        self._run(self._store_loop, self.store.return_to_copy())

    def _start_target(self, target_id, number):
        host = f"10.5.0.{number + 1}"
        self.network.region_by_host[host] = "north"
        loop = self.network.start(target_id, host)
        target = _Target(target_id, self.network)
        self.targets_by_id[target_id] = target
        self._run(loop, target.start(host, TARGET_PORT))
        self.write_target(target_id)
        self._run(self._callers_loop, self._heartbeats(target_id))

    async def _heartbeats(self, target_id):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if not self.are_targets_away:
                self.write_target(target_id)

    def write_target(self, target_id):
        """Write the entry of a target."""
        state = "draining" if target_id in self.drained else "ready"
        number = list(self.targets_by_id).index(target_id)
        address = Address(f"10.5.0.{number + 1}", TARGET_PORT)
        sequence = next(self._sequences) if self.is_each_heartbeat_new else 1
        entry = target_object(target_id, address, state=state, sequence=sequence)
        self.put("servers", target_id, entry["spec"])

    # Callers

    def send(self, name, path, key=""):
        """Send a request to an instance; its answer is recorded when it arrives."""
        self._run(self._callers_loop, self._call(name, path, key))

    def run_caller(self, work):
        """Run a coroutine among the callers."""
        self._run(self._callers_loop, work)

    async def _call(self, name, path, key):
        sent_at = self.network.now_s
        request_id = f"r{next(self._request_numbers)}"
        fields = f"Host: a.example\r\nRequest-Id: {request_id}\r\nDeadline-Ms: 2000\r\n"
        if key:
            fields += f"Authorization: Bearer {key}\r\n"
        head = f"GET {path} HTTP/1.1\r\n{fields}Connection: close\r\n\r\n"
        status = 0
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                address = (self.host(name), PORTS.callers)
                reader, writer = await asyncio.open_connection(*address)
                writer.write(head.encode())
                line = await reader.readline()
                status = int(line.split()[1]) if line else 0
                writer.transport.abort()
        except (OSError, TimeoutError, IndexError):
            status = 0
        self.answers.append(Answer(sent_at, name, path, key, request_id, status))

    def _run(self, loop, work):
        task = loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
