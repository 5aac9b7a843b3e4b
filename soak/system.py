"""The processes of a run, the proxies between them, and the actions of operators."""

import asyncio
import contextlib
import http.client
import itertools
import json
import signal
import time
from typing import Any

from sequoiahook.world.instance import Address
from soak.observations import (
    Arrival,
    CutInterval,
    FaultInterval,
    InstanceExit,
    LimitInterval,
    Observations,
    SentRequest,
    TargetRun,
)
from soak.proxy import FaultProxy
from standins.platform_documents import configuration_document
from standins.platform_fleet import PlatformFleet
from standins.platform_target import CRASH_EXIT_CODE

__all__ = ["DATA_CENTRES", "INSTANCES", "ProxiedFleet", "System"]

DATA_CENTRES = ("north-a", "north-b", "south-a")
INSTANCES = {"n1": "north-a", "n2": "north-a", "n3": "north-b", "n4": "south-a"}
"""Data centre of each instance."""

TARGETS = (
    ("desk", "north-a"),
    ("desk", "north-a"),
    ("desk", "north-b"),
    ("desk", "south-a"),
    ("vault", "north-a"),
    ("vault", "south-a"),
)
"""Service and data centre of each target."""

RATE_LIMIT_BY_ORGANISATION = {"one": (0, 0), "two": (60, 60), "three": (8, 8)}
"""Rate per second and burst; a rate of 0 means no limit."""

KEYS_BY_ORGANISATION = {
    name: [f"key-{name}-{i}" for i in range(8)] for name in RATE_LIMIT_BY_ORGANISATION
}
REWRITTEN_KINDS = ("config", "evacuations", "servers")
"""Kinds of objects that operators and targets write."""

LARGE_PAUSE_MS = 200
DRAINING_S = 6.0
"""Time for which a draining target continues to serve; longer than the drain limit."""

ENTRY_REMOVAL_S = 4.5
"""Time after which the platform removes the entry of a killed target: 3 heartbeats."""


class ProxiedFleet(PlatformFleet):
    """A fleet whose instances reach the store and targets through proxies."""

    instance_module = "standins.cut_instance"

    def __init__(self):
        super().__init__()
        self.store_proxy_by_instance: dict[str, FaultProxy] = {}
        self.proxy_by_target: dict[str, FaultProxy] = {}

    def target_address(self, target_id: str) -> Address:
        """Return the address of the proxy in front of a target."""
        return self.proxy_by_target[target_id].address

    def store_address(self, name: str) -> Address:
        """Return the address of the proxy between an instance and the store."""
        return self.store_proxy_by_instance[name].address

    def host(self, name: str) -> str:
        """Return the IP address of an instance."""
        return self.caller_address(name).host


class System:
    """The system under test, with a record of faults and operators' actions.

    Attributes:
        live_targets: Ids of targets that were neither killed nor drained.
        extra_prefixes: Path prefixes of the routes added during the run.
        restarting: Names of instances that are being stopped, killed or restarted.
        evacuated: Data centres under evacuation.
        crash_paths: Paths of the requests on which targets end at present.

    Args:
        fleet: The processes to use.
    """

    def __init__(self, fleet: ProxiedFleet):
        self.fleet = fleet
        self.data_centre_by_target: dict[str, str] = {}
        self.live_targets: list[str] = []
        self.extra_prefixes: list[str] = []
        self.restarting: set[str] = set()
        self.evacuated: set[str] = set()
        self.fault_intervals: list[FaultInterval] = []
        self.exits: list[InstanceExit] = []
        self.withdrawn_at_by_key: dict[str, float] = {}
        self.added_at_by_prefix: dict[str, float] = {}
        self.removed_at_by_prefix: dict[str, float] = {}
        self.draining_at_by_target: dict[str, float] = {}
        self.limits: list[LimitInterval] = []
        self.crash_times_by_path: dict[str, list[float]] = {}
        self.crash_paths: list[str] = []
        self.cuts: list[CutInterval] = []
        self._replacing: set[str] = set()
        self._faults_by_target: dict[str, dict[str, str]] = {}
        self.evacuations: list[tuple[str, float, float]] = []
        self._numbers = itertools.count(1)
        self._version = 0
        self._service_by_target: dict[str, str] = {}

    async def start(self) -> None:
        """Start all targets and instances and wait until the instances are ready."""
        await self.configure()
        for service, data_centre in TARGETS:
            await self.start_target(service, data_centre)
        for name, data_centre in INSTANCES.items():
            proxy = FaultProxy(Address("127.0.0.1", self.fleet.store_port))
            await proxy.start()
            self.fleet.store_proxy_by_instance[name] = proxy
            await asyncio.to_thread(self.fleet.start_instance, name, data_centre)
        await asyncio.to_thread(self.fleet.wait_ready, *INSTANCES)

    def keys(self) -> list[str]:
        """Return keys for callers, including withdrawn keys and an unknown one."""
        return [key for keys in KEYS_BY_ORGANISATION.values() for key in keys] + [
            "key-of-nobody"
        ]

    async def configure(self) -> float:
        """Write the current state as a new configuration version.

        Returns:
            When the store had accepted it, on the monotonic clock in seconds.
        """
        self._version += 1
        tenants: dict[str, Any] = {}
        for name, (rate, burst) in RATE_LIMIT_BY_ORGANISATION.items():
            keys = [
                key
                for key in KEYS_BY_ORGANISATION[name]
                if key not in self.withdrawn_at_by_key
            ]
            tenants[name] = {"api_keys": keys, "rate_per_s": rate, "burst": burst}
        document = configuration_document(self._version, **tenants)
        template = document["routes"]["look"]
        for prefix in self.extra_prefixes:
            document["routes"][prefix.strip("/")] = {**template, "path_prefix": prefix}
        await self._control_store(put=[("config", "main", document)])
        return time.monotonic()

    async def add_route(self) -> None:
        """Add a route with a new path prefix."""
        prefix = f"/extra{next(self._numbers)}/"
        self.extra_prefixes.append(prefix)
        self.added_at_by_prefix[prefix] = await self.configure()

    async def remove_route(self) -> None:
        """Remove the oldest added route, if there is one."""
        if self.extra_prefixes:
            prefix = self.extra_prefixes.pop(0)
            self.removed_at_by_prefix[prefix] = await self.configure()

    async def withdraw_key(self) -> None:
        """Withdraw a key of an organisation that has more than one left."""
        for keys in KEYS_BY_ORGANISATION.values():
            remaining = [key for key in keys if key not in self.withdrawn_at_by_key]
            if len(remaining) > 1:
                self.withdrawn_at_by_key[remaining[-1]] = float("inf")
                self.withdrawn_at_by_key[remaining[-1]] = await self.configure()
                return

    async def evacuate(self, data_centre: str, duration_s: float) -> None:
        """Evacuate a data centre for a time, unless it is under evacuation already."""
        if data_centre in self.evacuated:
            return
        self.evacuated.add(data_centre)
        await self._control_store(put=[("evacuations", data_centre, {})])
        started_at = time.monotonic()
        await asyncio.sleep(duration_s)
        ended_at = time.monotonic()
        await self._control_store(delete=[("evacuations", data_centre)])
        self.evacuated.discard(data_centre)
        self.evacuations.append((data_centre, started_at, ended_at))

    async def cut_off(self, subject: str, how: str, duration_s: float) -> None:
        """Cut an instance, or all of a data centre, off from all targets."""
        names = tuple(n for n, place in INSTANCES.items() if subject in (n, place))
        for name in names:
            self.fleet.cut(name, how)
        started_at = time.monotonic()
        await asyncio.sleep(duration_s)
        self.cuts.append(CutInterval(names, started_at, time.monotonic()))
        for name in names:
            self.fleet.cut(name, "")

    async def ask_for_rest(self, target_id: str, rest: str, duration_s: float) -> None:
        """Let a target refuse all requests for a time, and ask for rest."""
        await self._change_target(target_id, how="shed", rest=rest)
        await asyncio.sleep(duration_s)
        await self._change_target(target_id, how="", rest="")

    async def leave(self, target_id: str, duration_s: float) -> None:
        """Let a target state in its answers that it leaves, and replace it later."""
        if target_id in self.live_targets:
            await self._change_target(target_id, is_leaving=True)
            await asyncio.sleep(duration_s)
            await self.replace_target(target_id, is_killed=False)

    async def start_target(self, service: str, data_centre: str) -> None:
        """Start a target behind a proxy and register it in the store."""
        target_id = f"i-{next(self._numbers)}"
        self.data_centre_by_target[target_id] = data_centre
        self._service_by_target[target_id] = service
        fleet = self.fleet
        port = await asyncio.to_thread(fleet.start_target_process, target_id)
        proxy = FaultProxy(Address("127.0.0.1", port))
        await proxy.start()
        fleet.proxy_by_target[target_id] = proxy
        await asyncio.to_thread(
            fleet.register_target, target_id, service=service, zone=data_centre
        )
        self.live_targets.append(target_id)
        for path in self.crash_times_by_path:
            await self._change_target(target_id, crash_path=path)

    async def replace_target(self, target_id: str, *, is_killed: bool) -> None:
        """Kill or drain a target after a replacement has started."""
        if target_id not in self.live_targets:
            return
        self.live_targets.remove(target_id)
        service = self._service_by_target[target_id]
        data_centre = self.data_centre_by_target[target_id]
        await self.start_target(service, data_centre)
        if is_killed:
            if self.fleet.processes_by_name[target_id].poll() is None:
                self.fleet.signal(target_id, signal.SIGKILL)
            await asyncio.sleep(ENTRY_REMOVAL_S)
            await self._control_store(delete=[("servers", target_id)])
            return
        register_target = self.fleet.register_target
        await asyncio.to_thread(
            register_target, target_id, service=service, zone=data_centre,
            state="draining", sequence=2,
        )  # fmt: skip
        self.draining_at_by_target[target_id] = time.monotonic()
        await asyncio.sleep(DRAINING_S)
        self.fleet.signal(target_id, signal.SIGKILL)
        await self._control_store(delete=[("servers", target_id)])

    async def stop_instance(self, name: str) -> None:
        """Stop an instance gracefully and restart it."""
        if name in self.restarting:
            return
        self.restarting.add(name)
        started_at = time.monotonic()
        self.fleet.signal(name, signal.SIGTERM)
        exit_code = await asyncio.to_thread(self.fleet.wait_exit, name)
        duration_s = time.monotonic() - started_at
        if not self.has_unplanned_fault(name, started_at):
            self.exits.append(InstanceExit(name, exit_code, duration_s))
        await self.restart(name)

    async def kill_instance(self, name: str, down_s: float) -> None:
        """Kill an instance and restart it after ``down_s`` seconds."""
        if name in self.restarting:
            return
        self.restarting.add(name)
        self.fleet.signal(name, signal.SIGKILL)
        await asyncio.to_thread(self.fleet.wait_exit, name)
        await asyncio.sleep(down_s)
        await self.restart(name)

    async def restart(self, name: str) -> None:
        """Start an instance that has exited."""
        await asyncio.to_thread(self.fleet.start_instance, name, INSTANCES[name])
        self.restarting.discard(name)

    async def pause(self, name: str, duration_s: float) -> None:
        """Suspend a process for a time."""
        process = self.fleet.processes_by_name[name]
        if process.poll() is None:
            process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(duration_s)
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)

    def has_unplanned_fault(self, name: str, since: float) -> bool:
        """Return whether an unplanned fault affected an instance since a time."""
        return any(
            fault.instance in ("", name)
            and not fault.is_planned
            and not fault.is_target_fault
            and fault.ended_at >= since
            for fault in self.fault_intervals
        )

    async def set_store_faults(self, **faults: bool) -> None:
        """Set the faults of the store; without arguments, clear them."""
        await self._control_store(faults=faults)

    async def return_store_to_copy(self, copy_age_s: float, away_s: float) -> None:
        """Let the store go away and come back from a copy.

        What operators and targets wrote since is written again at once.
        """
        await self._control_store(keep_copy=True)
        await asyncio.sleep(copy_age_s)
        await self.set_store_faults(is_silent=True)
        await asyncio.sleep(away_s)
        await self._control_store(return_to_copy=True, rewritten=REWRITTEN_KINDS)
        await self.set_store_faults()

    def silence_connections(self, *, includes_targets: bool) -> None:
        """Silence all open connections to the store, and to targets if included."""
        proxies = list(self.fleet.store_proxy_by_instance.values())
        if includes_targets:
            proxies += self.fleet.proxy_by_target.values()
        for proxy in proxies:
            proxy.silence_open()

    async def forget_history(self) -> None:
        """Make the store discard its event history."""
        await self._control_store(forget=True)

    async def set_target_fault(
        self, target_id: str, variant: str, body_bytes: int = 0
    ) -> None:
        """Set the fault of a target and the size of its answers if its process runs."""
        await self._change_target(
            target_id,
            how=variant,
            work_ms=5,
            body_bytes=body_bytes,
            pause_ms=LARGE_PAUSE_MS,
        )

    async def state_limit(self, target_id: str, text: str, duration_s: float) -> None:
        """Make a target state a limit for a time."""
        await self._change_target(target_id, limit=text)
        started_at = time.monotonic()
        await asyncio.sleep(duration_s)
        ended_at = time.monotonic()
        self.limits.append(LimitInterval(target_id, float(text), started_at, ended_at))
        await self._change_target(target_id, limit="")

    async def crash_on(self, path: str) -> None:
        """Make all targets end on the requests of a path, and send such requests."""
        self.crash_times_by_path.setdefault(path, [])
        self.crash_paths.append(path)
        for target_id in list(self.live_targets):
            await self._change_target(target_id, crash_path=path)

    def crashed_targets(self) -> list[str]:
        """Return the targets that have ended on a request and were not replaced."""
        processes = self.fleet.processes_by_name
        crashed = [t for t in self.live_targets if t not in self._replacing]
        return [t for t in crashed if processes[t].poll() == CRASH_EXIT_CODE]

    async def replace_crashed_target(self, target_id: str) -> None:
        """Replace a target that has ended on a request."""
        self._replacing.add(target_id)
        path = self._faults_by_target[target_id]["crash_path"]
        self.crash_times_by_path[path].append(time.monotonic())
        await self.replace_target(target_id, is_killed=True)

    async def _change_target(self, target_id: str, **changes: Any) -> None:
        if self.fleet.processes_by_name[target_id].poll() is not None:
            return
        faults = self._faults_by_target.setdefault(target_id, {})
        faults.update(changes)
        with contextlib.suppress(OSError, http.client.HTTPException):
            # The target may end on a request at this moment.
            await asyncio.to_thread(self.fleet.control_target, target_id, faults=faults)

    def observations(
        self, requests: list[SentRequest], recovery_failures: list[str]
    ) -> Observations:
        """Return everything recorded, with the requests of the callers."""
        organisations = {
            key: name for name, keys in KEYS_BY_ORGANISATION.items() for key in keys
        }
        return Observations(
            tuple(requests),
            tuple(self._read_lines("*.runs", TargetRun)),
            organisations,
            {
                name: rate_limit
                for name, rate_limit in RATE_LIMIT_BY_ORGANISATION.items()
                if rate_limit[0]
            },
            self.withdrawn_at_by_key,
            self.removed_at_by_prefix,
            self.draining_at_by_target,
            self.data_centre_by_target,
            tuple(self.evacuations),
            tuple(self.fault_intervals),
            tuple(self.exits),
            tuple(recovery_failures),
            tuple(self.limits),
            self.crash_times_by_path,
            tuple(self.cuts),
            tuple(self._read_lines("*.runs.arrivals", Arrival)),
            self.added_at_by_prefix,
        )

    def close(self) -> None:
        """Close all proxies."""
        for proxy in (
            *self.fleet.store_proxy_by_instance.values(),
            *self.fleet.proxy_by_target.values(),
        ):
            proxy.close()

    def _read_lines(self, pattern: str, record_type: type) -> list:
        return [
            record_type(**json.loads(line))
            for path in sorted(self.fleet.path.glob(pattern))
            for line in path.read_text().splitlines()
        ]

    async def _control_store(self, **control: Any) -> None:
        await asyncio.to_thread(self.fleet.control_store, **control)
