"""Counts the platform calls and bytes that the configuration costs a fleet.

Run it as ``python -m bench.configuration_fleet``; it uses virtual time and the fakes
of the tests, so that its counts do not depend on the machine; the times of the
second table do.
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

QUIET_MS = 20_000
PATCHES = 5
INCARNATION = 2**62
REGION = Change("regions_by_name", "r", {"data_centres": ["dc0", "dc1"]})
FLEETS = ((2, 2), (2, 12), (2, 24), (46, 24))
DOCUMENT_SIZES = (1000, 10_000, 50_000)


class ByteCount:
    """Bytes sent and received by each instance, as encoded on a link."""

    def __init__(self):
        self.sent_by_name: Counter[str] = Counter()
        self.received_by_name: Counter[str] = Counter()

    def __call__(self, source, target, body) -> None:
        """Count one message."""
        envelope = Envelope(source.name, INCARNATION, 1_000_000, target.name, body)
        size = len(encode_envelope(envelope))
        self.sent_by_name[source.name] += size
        self.received_by_name[target.name] += size

    def rates(self, seconds: float) -> tuple[float, float]:
        """Return the mean and highest bytes a second, both ways added."""
        total = self.sent_by_name + self.received_by_name
        values = total.values()
        return sum(values) / len(total) / seconds, max(values) / seconds


def organisation(rate: int) -> Change:
    """Return a change of one organisation."""
    value = {"rate_per_s": rate, "burst": 1, "keys_by_name": {}}
    return Change("organisations_by_name", "o", value)


def submit(world: Simulation, change: Change) -> None:
    """Submit a patch against the newest number."""
    number = world.oracle.number
    world.submit(world.live_nodes()[0], change.patch(f"p{number}", number), change)


def measure_fleet(data_centres: int, size: int) -> None:
    """Print a row for so many data centres of so many instances each."""
    world = Simulation({f"dc{index}": size for index in range(data_centres)})
    submit(world, REGION)
    world.settle()
    calls = dict(world.platform.calls_by_kind)
    start = time.process_time()
    world.advance(QUIET_MS)
    used_s = time.process_time() - start
    instances = data_centres * size
    calls = dict(world.platform.calls_by_kind)
    world.message_meter = ByteCount()
    world.advance(QUIET_MS)
    seconds = QUIET_MS / 1000
    quiet = sum(world.platform.calls_by_kind.values()) - sum(calls.values())
    mean, highest = world.message_meter.rates(seconds)
    before = dict(world.platform.calls_by_kind)
    world.message_meter = ByteCount()
    world.slowest_rollout_ms = 0
    for rate in range(1, 1 + PATCHES):
        submit(world, organisation(rate))
        world.advance(2000)
    changed = sum(world.platform.calls_by_kind.values()) - sum(before.values())
    extra = changed / PATCHES - 2 * quiet / seconds
    print(
        f"{data_centres:>3} {size:>3} {quiet / seconds:>8.2f} "
        f"{quiet / seconds / instances:>9.3f} {extra:>8.1f} {mean:>7.0f} "
        f"{highest:>7.0f} {world.slowest_rollout_ms:>6} "
        f"{used_s * 1e6 / instances / seconds:>7.0f}"
    )


def target(index: int) -> dict:
    """Return the document entry of a target."""
    return {
        "service": "s",
        "data_centre": "east",
        "host": f"10.0.{index // 250 % 250}.{index % 250}",
        "port": 8080,
        "slots": 4,
    }


def measure_document(size: int) -> None:
    """Print a row for a document of so many targets."""
    document = {
        "regions_by_name": {"r": {"data_centres": ["east"]}},
        "services_by_name": {"s": {"path_prefix": "/s"}},
        "targets_by_name": {f"target{i}": target(i) for i in range(size)},
    }
    old = split(document, LEAF_BYTES_MAX)
    held = CurrentConfiguration()
    held.add_pieces(old.pieces_by_digest.items())
    held.apply(Root(1, (), old.pieces_by_name))
    changes = {"targets_by_name": {"target7": {"slots": 5}}}
    start = time.process_time()
    new = changed_document(document, Patch("p", 1, changes), LEAF_BYTES_MAX)
    write_ms = (time.process_time() - start) * 1000
    added = set(new.pieces_by_digest) - set(old.pieces_by_digest)
    size_added = sum(len(new.pieces_by_digest[digest]) for digest in added)
    start = time.process_time()
    held.add_pieces((digest, new.pieces_by_digest[digest]) for digest in added)
    held.apply(Root(2, (), new.pieces_by_name))
    take_ms = (time.process_time() - start) * 1000
    whole = sum(len(piece) for piece in old.pieces_by_digest.values())
    print(
        f"{size:>6} {whole:>9} {len(old.pieces_by_digest):>6} {len(added):>5} "
        f"{size_added:>7} {write_ms:>8.0f} {take_ms:>7.0f}"
    )


def main() -> None:
    """Print both tables."""
    print("data centres; instances in each; calls/s; calls/s per instance;")
    print("calls per patch; bytes/s per instance, mean and highest; slowest ms;")
    print("processor us/s per instance, with its part of the fake network")
    for data_centres, size in FLEETS:
        measure_fleet(data_centres, size)
    print("targets; document bytes; pieces; new pieces; their bytes;")
    print("processor ms to write and to take one change")
    for size in DOCUMENT_SIZES:
        measure_document(size)


if __name__ == "__main__":
    main()
