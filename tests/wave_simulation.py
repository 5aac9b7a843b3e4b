"""Simulation of all regions under demand that moves between them in waves.

Each region has instances, callers and targets. Unlike in the simulation of one region,
the targets that a region uses elsewhere are used by that region's own callers too.
"""

import math
from collections import Counter

from tests.region_simulation import REGIONS, Arrival, RegionSimulation, Run

WAVE_MS = 36_000
WAVE_HEIGHT = 0.55
POPULARITY_EXPONENT = 2.5
"""The most frequent tenth of the objects gets two fifths of the requests."""

SLOW_RATIO = 0.15
SLOW_FACTOR = 2.5


class WaveSimulation(RegionSimulation):
    """The instances of all regions, whose callers each send a third of the requests.

    Demand rises and falls by `WAVE_HEIGHT`, in another phase in each region, so that
    the sum of all regions is constant.

    Attributes:
        arrived: Number of requests, without repetitions, by region of the caller.
        in_time: Number of those answered within the goal since they were first sent.
        refused: Number of those that were not answered at all.
        runs_by_region: Runs and refusals by region of the caller; refused requests
            count as staying in the own region.

    Args:
        targets_by_region: Number of targets of each service, by region.
        loads: The routes and their requests.
        options: Other arguments of the simulation of one region.
    """

    def __init__(self, targets_by_region, loads, **options):
        self.arrived, self.in_time, self.answered = Counter(), Counter(), Counter()
        self.runs_by_region = {region: [] for region in REGIONS}
        super().__init__(targets_by_region, loads, caller_regions=REGIONS, **options)

    def _new_arrival(self, load):
        weights = [
            1 + WAVE_HEIGHT * math.sin(math.tau * (self.now / WAVE_MS + i / 3))
            for i in range(len(REGIONS))
        ]
        region = self._rng.choices(REGIONS, weights)[0]
        self.arrived[region] += 1
        # Some objects are requested more often than others.
        key = int(load.object_count * self._rng.random() ** POPULARITY_EXPONENT)
        return Arrival(load, str(key), 1, region, self.now)

    def _core_of(self, arrival):
        cores = [c for c in self.cores.values() if c.me.region == arrival.region]
        return self._rng.choice(cores)

    def _work_factor(self):
        is_slow = self._rng.random() < SLOW_RATIO
        factor = SLOW_FACTOR if is_slow else 1.0
        return factor * self._rng.gammavariate(2.0, 0.5)

    def _record_run(self, run, arrival):
        self.runs_by_region[arrival.region].append(run)

    def _record_refusal(self, refusal, arrival):
        self.runs_by_region[arrival.region].append(Run(self.now, arrival.region))
        super()._record_refusal(refusal, arrival)

    def _record_answer(self, arrival):
        self.answered[arrival.region] += 1
        is_in_time = self.now - arrival.first_at <= arrival.load.goal_ms
        self.in_time[arrival.region] += is_in_time
