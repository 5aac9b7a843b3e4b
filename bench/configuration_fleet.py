"""Measure the platform calls, bytes and time that the configuration costs a fleet.

Run with ``python -m bench.configuration_fleet``. It uses virtual time and the
simulation of the tests, so that only the processor times depend on the machine.
"""

import time
from collections import Counter

from sequoiahook.decisions.configuration.current import CurrentConfiguration
from sequoiahook.decisions.configuration.patch import Patch
from sequoiahook.decisions.configuration.patch_objects import changed_document
from sequoiahook.decisions.configuration.pieces import LEAF_BYTES_MAX, split
from sequoiahook.decisions.configuration.root import Root
from sequoiahook.messages.base import Envelope
from sequoiahook.wire.codec import encode_envelope
from tests.configuration_simulation import Change, Simulation

IDLE_MS = 20_000
PATCH_COUNT = 5
INCARNATION = 2**62
REGION_CHANGE = Change("regions_by_name", "r", {"data_centres": ["dc0", "dc1"]})
FLEET_SIZES = ((2, 2), (2, 12), (2, 24), (46, 24))
DOCUMENT_SIZES = (1000, 10_000, 50_000)


class ByteCounter:
    """Counts the bytes of encoded messages that each instance sends and receives."""

    def __init__(self):
        self.sent_by_name: Counter[str] = Counter()
        self.received_by_name: Counter[str] = Counter()

    def __call__(self, source, destination, body) -> None:
        """Count one message."""
        envelope = Envelope(source.name, INCARNATION, 1_000_000, destination.name, body)
        size = len(encode_envelope(envelope))
        self.sent_by_name[source.name] += size
        self.received_by_name[destination.name] += size

    def bytes_per_s(self, seconds: float) -> tuple[float, float]:
        """Return the mean and maximum bytes per second of an instance, both ways."""
        total = self.sent_by_name + self.received_by_name
        values = total.values()
        return sum(values) / len(total) / seconds, max(values) / seconds


def organisation_change(rate: int) -> Change:
    """Return a change of the rate of one organisation, in requests per second."""
    value = {"rate_per_s": rate, "burst": 1, "keys_by_name": {}}
    return Change("organisations_by_name", "o", value)


def submit(simulation: Simulation, change: Change) -> None:
    """Submit a change as a patch of the newest configuration."""
    number = simulation.oracle.number
    simulation.submit(
        simulation.live_nodes()[0], change.patch(f"p{number}", number), change
    )


def measure_fleet(data_centres: int, size: int) -> None:
    """Print a row for a number of data centres with ``size`` instances each."""
    simulation = Simulation({f"dc{index}": size for index in range(data_centres)})
    submit(simulation, REGION_CHANGE)
    simulation.settle()
    calls_before_idle = dict(simulation.platform.calls_by_kind)
    started = time.process_time()
    simulation.advance(IDLE_MS)
    core_s = time.process_time() - started
    instances = data_centres * size
    calls_before_idle = dict(simulation.platform.calls_by_kind)
    simulation.message_meter = ByteCounter()
    simulation.advance(IDLE_MS)
    seconds = IDLE_MS / 1000
    idle_calls = sum(simulation.platform.calls_by_kind.values()) - sum(
        calls_before_idle.values()
    )
    mean_bytes_per_s, max_bytes_per_s = simulation.message_meter.bytes_per_s(seconds)
    calls_before_patches = dict(simulation.platform.calls_by_kind)
    simulation.message_meter = ByteCounter()
    simulation.slowest_rollout_ms = 0
    for rate in range(1, 1 + PATCH_COUNT):
        submit(simulation, organisation_change(rate))
        simulation.advance(2000)
    patch_phase_calls = sum(simulation.platform.calls_by_kind.values()) - sum(
        calls_before_patches.values()
    )
    calls_per_patch = patch_phase_calls / PATCH_COUNT - 2 * idle_calls / seconds
    print(
        f"{data_centres:>3} {size:>3} {idle_calls / seconds:>8.2f} "
        f"{idle_calls / seconds / instances:>9.3f} {calls_per_patch:>8.1f} "
        f"{mean_bytes_per_s:>7.0f} {max_bytes_per_s:>7.0f} "
        f"{simulation.slowest_rollout_ms:>6} "
        f"{core_s * 1e6 / instances / seconds:>7.0f}"
    )


def target_document(index: int) -> dict:
    """Return a target's entry in the configuration document."""
    return {
        "service": "s",
        "data_centre": "east",
        "host": f"10.0.{index // 250 % 250}.{index % 250}",
        "port": 8080,
        "slots": 4,
    }


def measure_document(size: int) -> None:
    """Print a row for a document with ``size`` targets."""
    document = {
        "regions_by_name": {"r": {"data_centres": ["east"]}},
        "services_by_name": {"s": {"path_prefix": "/s"}},
        "targets_by_name": {f"target{i}": target_document(i) for i in range(size)},
    }
    old = split(document, LEAF_BYTES_MAX)
    current = CurrentConfiguration()
    current.add_pieces(old.pieces_by_digest.items())
    current.apply(Root(1, (), old.pieces_by_name))
    changes = {"targets_by_name": {"target7": {"slots": 5}}}
    started = time.process_time()
    new = changed_document(document, Patch("p", 1, changes), LEAF_BYTES_MAX)
    write_ms = (time.process_time() - started) * 1000
    added_digests = set(new.pieces_by_digest) - set(old.pieces_by_digest)
    added_bytes = sum(len(new.pieces_by_digest[digest]) for digest in added_digests)
    started = time.process_time()
    current.add_pieces(
        (digest, new.pieces_by_digest[digest]) for digest in added_digests
    )
    current.apply(Root(2, (), new.pieces_by_name))
    apply_ms = (time.process_time() - started) * 1000
    document_bytes = sum(len(piece) for piece in old.pieces_by_digest.values())
    print(
        f"{size:>6} {document_bytes:>9} {len(old.pieces_by_digest):>6} "
        f"{len(added_digests):>5} {added_bytes:>7} {write_ms:>8.0f} {apply_ms:>7.0f}"
    )


def main() -> None:
    """Print a table by fleet size and one by document size."""
    print("data centres; instances in each; calls/s; calls/s per instance;")
    print("calls per patch; bytes/s per instance, mean and highest; slowest ms;")
    print("processor us/s per instance, with its part of the simulated network")
    for data_centres, size in FLEET_SIZES:
        measure_fleet(data_centres, size)
    print("targets; document bytes; pieces; new pieces; their bytes;")
    print("processor ms to write and to apply one change")
    for size in DOCUMENT_SIZES:
        measure_document(size)


if __name__ == "__main__":
    main()
