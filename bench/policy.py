"""Runs the decision parts and a baseline through the scenarios in virtual time.

The same seed gives the same figures.
"""

import json
import sys
from typing import Literal

import defopt

from bench.baseline import Baseline
from bench.measures import Measures, Report
from bench.scenarios import SCENARIOS
from bench.sizes import CONTRACT_FACTOR, SIZES
from bench.steering import Steered
from bench.world import World

__all__ = ["main", "measure"]

SKIP_MS = 2_000
RUN_MS = 16_000
DRAIN_MS = 6_000
USERS = {"a": "register-size", "b": "booking-size"}
SYSTEMS = {"baseline": Baseline, "steered": Steered}


def measure(
    size_name: str, scenario_name: str, system: str, seed: int, run_ms: int = RUN_MS
) -> Report:
    """Run one scenario at one size.

    Args:
        size_name: One of SIZES.
        scenario_name: One of SCENARIOS.
        system: One of SYSTEMS.
        seed: Seed of everything random.
        run_ms: How long callers send, in ms of virtual time.
    """
    scenario = SCENARIOS[scenario_name]
    size = SIZES[size_name]
    measures = Measures(SKIP_MS, scenario.flooding_organisation)
    world = World(size, seed, scenario.utilisation, measures)
    steering = SYSTEMS[system](world)
    scenario.prepare(world, steering)
    rates = size.rates(scenario.utilisation)
    if scenario.flooding_organisation:
        rates[scenario.flooding_organisation] *= CONTRACT_FACTOR * scenario.flood_factor
    world.callers.start(steering, rates)
    world.engine.run(run_ms)
    world.callers.stop()
    world.engine.run(run_ms + DRAIN_MS)
    world.callers.record_lost()
    return measures.report(
        world.network.link_utilisation(), world.network.queued_ms_max
    )


def main(
    *,
    seed: int = 1,
    json_lines: bool = False,
    scenario: str = "",
    user: Literal["a", "b", ""] = "",
) -> None:
    """Measure the policy and print a table.

    Args:
        seed: Seed of everything random.
        json_lines: Print JSON lines in place of a table.
        scenario: Only this scenario.
        user: Only this user's size: a is register-size, b is booking-size.
    """
    sizes = [USERS[user]] if user else [*SIZES]
    names = [scenario] if scenario else [*SCENARIOS]
    if not json_lines:
        print("size", "scenario", "system", *Report._fields)
    for size_name in sizes:
        for name in names:
            for system in SYSTEMS:
                report = measure(size_name, name, system, seed)
                labels = {"size": size_name, "scenario": name, "system": system}
                if json_lines:
                    print(json.dumps({**labels, **report._asdict()}), flush=True)
                else:
                    print(*labels.values(), *report, flush=True)


def _argv(argv: list[str]) -> list[str]:
    return ["--json-lines" if word == "--json" else word for word in argv]


if __name__ == "__main__":
    defopt.run(main, short={}, argv=_argv(sys.argv[1:]))
