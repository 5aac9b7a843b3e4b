"""Processor time of the decisions of an instance that sends to targets itself.

Run with ``python -m bench.idle_fleet [INSTANCES [SECONDS]]``. All instances of a fleet
in six data centres run in one process in virtual time. Each datagram is encoded once
and decoded by each receiver, as in the daemon. No sockets are used.
"""

import random
import sys
import time

from sequoiahook.clock import MS_PER_S
from sequoiahook.daemons.direct.core_settings import core_settings
from sequoiahook.daemons.direct.settings import DirectSettings
from sequoiahook.decisions.direct.core import DirectCore
from sequoiahook.decisions.direct.requests import Attempt, IncomingRequest
from sequoiahook.decisions.exchange.target_result import Stage, TargetResult
from sequoiahook.messages.reports import Datagram
from sequoiahook.wire.datagrams import decode_datagram, encode_datagram
from sequoiahook.world.instance import Address, LiveInstance
from sequoiahook.world.routing import (
    CallerLimits,
    Route,
    RoutingConfiguration,
    ServiceShare,
    TargetService,
)
from sequoiahook.world.target import LiveTarget

REGIONS = ("east", "north", "south")
TARGETS_BY_SERVICE = {"reads": 80, "orders": 57, "files": 11}
SLOTS = 9
SECRET = b"secret"
STEP_MS = 25
REPORT_MS = 200
SMALL_FLEET_INSTANCES = 12
FAR_EVERY = 2
RELAY_CHECK_MS = 500
WORK_MS = 400
OK = TargetResult(Stage.ANSWERED, status=200, duration_ms=WORK_MS)
ADDRESS = Address("127.0.0.1", 9)


class FleetBench:
    """A fleet with two data centres in each region.

    Args:
        count: Number of instances.
        per_s: Requests a second of each instance.
        seed: Seed of the requests.
    """

    def __init__(self, count: int, per_s: float, seed: int = 1):
        self.now = 0
        self.spent_s = 0.0
        self.received = 0
        self._rng = random.Random(seed)
        self._per_s = per_s
        data_centres = {f"{r}-{x}": r for r in REGIONS for x in "ab"}
        names = list(data_centres)
        self.instances = {
            f"{names[i % len(names)]}-{i}": LiveInstance(
                f"{names[i % len(names)]}-{i}",
                i + 1,
                names[i % len(names)],
                data_centres[names[i % len(names)]],
                ADDRESS,
                ADDRESS,
                100 if i % 3 else 5,
                protocol=2,
            )
            for i in range(count)
        }
        settings = core_settings(
            DirectSettings("x", "north-a", "north", data_centres, *[ADDRESS] * 5)
        )
        self.cores = {
            name: DirectCore(settings, instance, 0)
            for name, instance in self.instances.items()
        }
        targets = self._targets(names, data_centres)
        for core in self.cores.values():
            core.set_instances(self.instances, 0)
            core.targets.replace(targets, 0)
            core.configure(_configuration(), 0)
        group_size = count / len(names)
        self._interval_ms = REPORT_MS * max(1.0, group_size / SMALL_FLEET_INSTANCES)
        self._next_report_at = {
            name: self._rng.random() * self._interval_ms for name in self.cores
        }
        self._rounds = dict.fromkeys(self.cores, 0)
        self._open: list[tuple[int, DirectCore, Attempt]] = []

    def _targets(self, names, data_centres):
        return {
            f"{service}-{i}": LiveTarget(
                f"{service}-{i}",
                1,
                service,
                names[i % len(names)],
                data_centres[names[i % len(names)]],
                ADDRESS,
                SLOTS,
                is_draining=False,
                cold_ms=0,
            )
            for service, count in TARGETS_BY_SERVICE.items()
            for i in range(count)
        }

    def run(self, duration_ms: int) -> None:
        """Advance the fleet."""
        end = self.now + duration_ms
        while self.now < end:
            self.now += STEP_MS
            for name, core in self.cores.items():
                began = time.process_time()
                self._step(name, core)
                self.spent_s += time.process_time() - began

    def _step(self, name: str, core: DirectCore) -> None:
        if self.now >= self._next_report_at[name]:
            self._next_report_at[name] += self._interval_ms
            core.tick(self.now)
            self._send(core.token_requests(self.now))
            includes_far = self._rounds[name] % FAR_EVERY == 0
            self._rounds[name] += 1
            self._send(core.reports(self.now, includes_far=includes_far))
        if self.now % RELAY_CHECK_MS == 0:
            core.relay_peer(self.now)
        if self._rng.random() < self._per_s * STEP_MS / MS_PER_S:
            self._request(core)
        while self._open and self._open[0][0] <= self.now:
            _, owner, attempt = self._open.pop(0)
            owner.attempts.on_ended(attempt, OK, self.now)

    def _request(self, core: DirectCore) -> None:
        key = str(int(300 * self._rng.random() ** 2))
        service = self._rng.choice(list(TARGETS_BY_SERVICE))
        incoming = IncomingRequest(
            "r", "GET", "a.example", f"/{service}/1", "", key, 8_000, (), b""
        )
        request = core.admission.admit(incoming, self.now)
        step = core.attempts.next_step(request, self.now)
        if isinstance(step, Attempt):
            self._open.append((self.now + WORK_MS, core, step))

    def _send(self, outgoing: list[tuple[str, Datagram]]) -> None:
        data_by_id: dict[tuple[str, int], bytes] = {}
        for name, datagram in outgoing:
            key = (datagram.sender, datagram.sequence)
            if key not in data_by_id:
                data_by_id[key] = encode_datagram(datagram, SECRET)
            self.received += 1
            answer = self.cores[name].receive(
                decode_datagram(data_by_id[key], SECRET), self.now
            )
            self._send(answer)


def _configuration() -> RoutingConfiguration:
    routes = {
        service: Route(
            name=service,
            host="a.example",
            path_prefix=f"/{service}/",
            is_idempotent=True,
            timeout_ms=6_000,
            latency_goal_ms=1_300,
            priority=1,
            shares=(ServiceShare(service, 1),),
            attempts_max=2,
            is_open=True,
            is_sticky=True,
            regions=(),
        )
        for service in TARGETS_BY_SERVICE
    }
    services = {
        service: TargetService(service, "/health", 390, 3_000, 7.0)
        for service in TARGETS_BY_SERVICE
    }
    return RoutingConfiguration(1, routes, services, {}, CallerLimits())


def main(arguments: list[str]) -> None:
    """Print the processor time and the datagrams of one instance a second."""
    count = int(arguments[0]) if arguments else 108
    duration_s = int(arguments[1]) if len(arguments) > 1 else 10
    for per_s in (0, 10):
        fleet = FleetBench(count, per_s)
        fleet.run(4 * MS_PER_S)
        fleet.spent_s, fleet.received = 0.0, 0
        fleet.run(duration_s * MS_PER_S)
        per_instance_s = count * duration_s
        print(
            f"{count} instances, {per_s} requests/s each:"
            f" {fleet.spent_s / per_instance_s * MS_PER_S:.3f} ms/s of a core,"
            f" {fleet.received / per_instance_s:.1f} datagrams/s received"
        )


if __name__ == "__main__":
    main(sys.argv[1:])
