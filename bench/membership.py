"""Measure bytes, processor time and memory of membership per instance, by fleet size.

Run with ``python -m bench.membership [DATA_CENTRES INSTANCES [HEARTBEAT_MS]]``; prints
one JSON object per line. Every instance of the fleet runs in this process in virtual
time, and each message is encoded and decoded.
"""

import json
import random
import resource
import sys
import time
from collections import Counter, deque

from sequoiahook.decisions.effects import Send
from sequoiahook.decisions.membership import (
    LinksChanged,
    Membership,
    MembershipSettings,
    ReadObject,
    WriteObject,
)
from sequoiahook.messages.base import Envelope
from sequoiahook.wire.codec import decode_envelope, encode_envelope
from sequoiahook.world.instance import Address, Instance

SIZES = ((6, 12), (12, 288), (23, 550), (46, 1100))
STEP_MS = 500
BOOT_MS = 25_000
STEADY_MS = 10_000
RESTART_MS = 15_000
FRAME_BYTES = 2 + 4 + 20 + 20 + 12
"""WebSocket header and mask, IP header, TCP header and TCP timestamps of a message."""


class Fleet:
    """All instances of a fleet, spread evenly, on a network without delay."""

    def __init__(self, data_centres: int, instances: int, heartbeat_ms: int):
        self.now = 0
        self.sent_bytes = 0
        self.message_counts_by_type: Counter[str] = Counter()
        self.effect_counts_by_type: Counter[str] = Counter()
        self.members_by_name: dict[str, Membership] = {}
        self.incarnations_by_name: dict[str, int] = {}
        self.links_by_name: dict[str, frozenset[str]] = {}
        self._objects_by_name: dict[str, tuple[int, bytes]] = {}
        self._queue: deque[bytes] = deque()
        self._instances = [
            self._new_instance(f"dc{number % data_centres}", number)
            for number in range(instances)
        ]
        seeds = tuple(
            instance._replace(incarnation=0)
            for instance in self._instances[:data_centres]
        )
        self.settings = MembershipSettings(
            seeds=seeds, heartbeat_ms=heartbeat_ms, margin_ms=heartbeat_ms * 3 // 2
        )
        for instance in self._instances:
            self.start(instance)

    def _new_instance(self, data_centre: str, number: int) -> Instance:
        host = f"10.{number >> 8}.{number & 255}.10"
        caller, link = Address(host, 8080), Address(host, 8081)
        name = f"{data_centre}-{number}"
        return Instance(name, 2**63 + number, data_centre, caller, link)

    def start(self, instance: Instance) -> None:
        """Start an instance."""
        name = instance.name
        rng = random.Random(instance.incarnation)
        self.incarnations_by_name[name] = instance.incarnation
        self.members_by_name[name] = Membership(self.settings, instance, rng, self.now)

    def restart(self, number: int) -> None:
        """Replace an instance by a new incarnation of itself."""
        instance = self._instances[number]
        self.start(instance._replace(incarnation=instance.incarnation + 2**40))

    def run(self, duration_ms: int) -> None:
        """Advance the virtual time and deliver the messages of each step."""
        end_at = self.now + duration_ms
        while self.now < end_at:
            self.now += STEP_MS
            for name, membership in self.members_by_name.items():
                self.carry_out(name, membership.tick(self.now))
            while self._queue:
                envelope = decode_envelope(self._queue.popleft())
                name = envelope.destination
                self.carry_out(
                    name, self.members_by_name[name].receive(envelope, self.now)
                )

    def carry_out(self, name: str, effects: list) -> None:
        """Carry out the effects of an instance."""
        for effect in effects:
            self.effect_counts_by_type[type(effect).__name__] += 1
            if isinstance(effect, Send):
                self._send(name, effect)
            elif isinstance(effect, LinksChanged):
                self.links_by_name[name] = effect.names
            elif isinstance(effect, ReadObject):
                version, value = self._objects_by_name.get(effect.name, (0, None))
                on_object_read = self.members_by_name[name].on_object_read
                self.carry_out(
                    name, on_object_read(effect.name, version, value, self.now)
                )
            elif isinstance(effect, WriteObject):
                self._write(name, effect)

    def _send(self, name: str, effect: Send) -> None:
        destination = effect.destination
        is_linked = destination in self.links_by_name.get(name, ())
        if not is_linked and name not in self.links_by_name.get(destination, ()):
            return
        sequence = self.now
        envelope = Envelope(
            name, self.incarnations_by_name[name], sequence, destination, effect.body
        )
        data = encode_envelope(envelope)
        self.sent_bytes += len(data) + FRAME_BYTES
        self.message_counts_by_type[type(effect.body).__name__] += 1
        self._queue.append(data)

    def _write(self, name: str, effect: WriteObject) -> None:
        version, _ = self._objects_by_name.get(effect.name, (0, None))
        membership = self.members_by_name[name]
        if version != effect.version:
            self.carry_out(
                name, membership.on_object_conflict(effect.name, version, self.now)
            )
            return
        self._objects_by_name[effect.name] = (version + 1, effect.value)
        self.carry_out(name, membership.on_object_written(effect.name, self.now))


def resident_kib() -> int:
    """Return the resident memory of this process in KiB."""
    with open("/proc/self/statm") as file:
        pages = int(file.read().split()[1])
    return pages * resource.getpagesize() // 1024


def measure(data_centres: int, instances: int, heartbeat_ms: int = 1000) -> dict:
    """Boot a fleet of one size, run it and restart an instance; return the figures."""
    before_kib = resident_kib()
    started = time.process_time()
    fleet = Fleet(data_centres, instances, heartbeat_ms)
    fleet.run(BOOT_MS)
    boot_core_s = time.process_time() - started
    memory_kib = resident_kib() - before_kib
    boot_bytes = fleet.sent_bytes
    boot_call_count = _platform_call_count(fleet)
    started = time.process_time()
    fleet.run(STEADY_MS)
    steady_core_s = time.process_time() - started
    steady_bytes = fleet.sent_bytes - boot_bytes
    heartbeat_count = fleet.message_counts_by_type["Heartbeat"]
    fleet.restart(instances - 1)
    fleet.run(RESTART_MS)
    restart_bytes = fleet.sent_bytes - boot_bytes - steady_bytes
    restart_bytes -= steady_bytes * RESTART_MS // STEADY_MS
    seconds = STEADY_MS / 1000
    known_counts = [len(m.data_centres()) for m in fleet.members_by_name.values()]
    return {
        "data_centres": data_centres,
        "instances": instances,
        "heartbeat_ms": heartbeat_ms,
        "data_centres_known_least": min(known_counts),
        "sent_bytes_per_s_per_instance": round(steady_bytes / seconds / instances),
        "core_percent_per_instance": round(
            steady_core_s / seconds / instances * 100, 4
        ),
        "memory_kib_per_instance": round(memory_kib / instances),
        "boot_core_s_per_instance": round(boot_core_s / instances, 3),
        "boot_bytes_per_instance": round(boot_bytes / instances),
        "restart_bytes_over_fleet": restart_bytes,
        "platform_calls_at_boot": boot_call_count,
        "platform_calls_later": _platform_call_count(fleet) - boot_call_count,
        "heartbeats_sent": heartbeat_count,
    }


def _platform_call_count(fleet: Fleet) -> int:
    return (
        fleet.effect_counts_by_type["ReadObject"]
        + fleet.effect_counts_by_type["WriteObject"]
    )


def main() -> None:
    """Measure at each of SIZES, or at the size on the command line."""
    arguments = tuple(int(argument) for argument in sys.argv[1:])
    for size in [arguments] if arguments else SIZES:
        print(json.dumps(measure(*size)), flush=True)


if __name__ == "__main__":
    main()
