"""The state of one run: simulated parts, configuration and capacity samples."""

import random

from bench.engine import Engine, Network
from bench.fakes import Callers, FakeTarget, TokenBucket
from bench.measures import Measures
from bench.sizes import Size
from sequoiahook.world.shift import Shift

__all__ = ["World"]

SAMPLE_INTERVAL_MS = 50
WINDOW_MS = 1_000


class World:
    """State that the parts of a run share.

    Args:
        size: Size of the fleet.
        seed: Seed of all random numbers.
        utilisation: Offered load as a fraction of the capacity of all targets.
        measures: Records the figures.
    """

    def __init__(self, size: Size, seed: int, utilisation: float, measures: Measures):
        self.size = size
        self.utilisation = utilisation
        self.measures = measures
        self.rng = random.Random(seed)
        self.engine = Engine()
        self.network = Network(self.engine, size)
        self.changes: dict = {}
        self.targets_by_name: dict[str, FakeTarget] = {}
        self._shift_times_by_name: dict[str, list[int]] = {}
        self._spare_samples: dict[tuple, list[float]] = {}
        self.configuration = size.configuration(utilisation)
        self._add_targets(0)
        contracts = {
            name: organisation.contract
            for name, organisation in self.configuration.organisations_by_name.items()
        }
        self.rights_by_organisation = {
            name: TokenBucket(c) for name, c in contracts.items()
        }
        self.callers = Callers(
            self.engine,
            self.network,
            size,
            random.Random(seed + 1),
            measures,
            contracts,
        )
        self.engine.call_later(SAMPLE_INTERVAL_MS, self._sample)

    def configure(self, changes: dict, cold_requests: int = 0) -> None:
        """Replace tables of the configuration.

        Args:
            changes: The new tables by their name in the configuration document.
            cold_requests: Number of first requests that an added target runs slowly.
        """
        self.changes.update(changes)
        self.configuration = self.size.configuration(self.utilisation, self.changes)
        self._add_targets(cold_requests)

    def record_shifted(self, shift: Shift) -> None:
        """Record a request moved by a shift, and the spare part of the shift's cap."""
        now = self.engine.now
        shifted_at = self._shift_times_by_name.setdefault(shift.name, [])
        shifted_at.append(now)
        while shifted_at[0] <= now - 1_000:
            shifted_at.pop(0)
        limit = shift.cap.rate_per_s + shift.cap.burst
        spare_ratio = 1 - len(shifted_at) / limit
        self.measures.least_free_cap = min(self.measures.least_free_cap, spare_ratio)

    def _add_targets(self, cold_requests: int) -> None:
        for name, target in self.configuration.targets_by_name.items():
            fake = self.targets_by_name.get(name)
            if fake is None:
                fake = FakeTarget(self.engine, target, self.measures)
                fake.cold_requests_left = cold_requests
                self.targets_by_name[name] = fake
            fake.target = target

    def _sample(self) -> None:
        self.engine.call_later(SAMPLE_INTERVAL_MS, self._sample)
        slot_counts: dict[tuple, int] = {}
        busy_counts: dict[tuple, int] = {}
        for fake in self.targets_by_name.values():
            region = self.size.region_of(fake.target.data_centre)
            if region in self.network.failed_regions:
                continue
            key = (region, fake.target.service)
            slot_counts[key] = slot_counts.get(key, 0) + fake.target.slots
            busy_counts[key] = busy_counts.get(key, 0) + fake.running + len(fake.queue)
        for key, count in slot_counts.items():
            self._spare_samples.setdefault(key, []).append(1 - busy_counts[key] / count)
        if (
            self.engine.now // WINDOW_MS
            != (self.engine.now - SAMPLE_INTERVAL_MS) // WINDOW_MS
        ):
            self._end_window()

    def _end_window(self) -> None:
        measures = self.measures
        for samples in self._spare_samples.values():
            spare_ratio = sum(samples) / len(samples)
            measures.least_free_region = min(measures.least_free_region, spare_ratio)
        self._spare_samples = {}
