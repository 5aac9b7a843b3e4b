"""Simulation of all regions under demand that moves between them in waves.

Each region has instances, callers and targets. Unlike in the simulation of one region,
the targets that a region uses elsewhere are used by that region's own callers too.

Run with ``python -m tests.wave_simulation LOAD [SEEDS]`` to print the requests answered
in time, those refused, and the changes of region, without and with stated pace.
"""

import math
import sys
from collections import Counter
from typing import NamedTuple

from tests.region_simulation import (
    REGIONS,
    Arrival,
    Load,
    RegionSimulation,
    Run,
    mean_change,
)

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
        answered: Number of those that were answered at all.
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


class Case(NamedTuple):
    """A load on targets of one service.

    Attributes:
        targets_by_region: Number of targets.
        slots: Slots of each target.
        load: The requests.
    """

    targets_by_region: dict[str, int]
    slots: int
    load: Load


READS = Case(
    {"east": 31, "north": 7, "south": 31},
    3,
    Load("reads", "desk", 585, 440, 224, goal_ms=407, deadline_ms=2_000),
)
PATIENT = Case(
    {"east": 27, "north": 6, "south": 28},
    3,
    Load("patient", "desk", 212, 1_040, 198, goal_ms=1_518, deadline_ms=5_100),
)
LONG_READS = Case(
    {"east": 36, "north": 8, "south": 36},
    9,
    Load("long", "desk", 585, 1_300, 260, goal_ms=1_120, deadline_ms=9_000),
)


def _times(case, factor):
    return case._replace(load=case.load._replace(per_s=case.load.per_s * factor))


CASES_BY_NAME = {
    "reads": READS,
    "patient": PATIENT,
    "long": LONG_READS,
    "many-reads": _times(READS, 1.7),
    "many-patient": _times(PATIENT, 1.8),
    "many-long": _times(LONG_READS, 1.5),
}
LEAD_MS = 12_000
RUN_MS = 40_000


def measure(case, seed, states_pace):
    """Return in-time and refused ratios, of all and of the north, and its change."""
    world = WaveSimulation(
        case.targets_by_region,
        [case.load],
        slots=case.slots,
        seed=seed,
        states_pace=states_pace,
    )
    world.idle(LEAD_MS)
    since = world.now
    world.run(RUN_MS)
    arrived, north = world.arrived.total(), world.arrived["north"]
    return (
        world.in_time.total() / arrived,
        1 - world.answered.total() / arrived,
        world.in_time["north"] / north,
        1 - world.answered["north"] / north,
        mean_change(sorted(world.runs_by_region["north"]), since),
    )


def main(arguments):
    case = CASES_BY_NAME[arguments[0]]
    seeds = range(1, 1 + int(arguments[1] if len(arguments) > 1 else 3))
    for states_pace in (False, True):
        rows = [measure(case, seed, states_pace) for seed in seeds]
        means = [sum(column) / len(rows) for column in zip(*rows, strict=True)]
        print(
            f"{arguments[0]}, pace {'stated' if states_pace else 'not stated'}:"
            " in time {:.4f}, refused {:.4f}; north in time {:.4f}, refused {:.4f},"
            " mean change {:.4f}".format(*means)
        )


if __name__ == "__main__":
    main(sys.argv[1:])
