"""Compare the decision parts with a baseline in each scenario, in virtual time.

Run with ``python -m bench.policy [--json]``; the same seed gives the same figures.
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
    """Run one scenario at one size and return its figures.

    Args:
        size_name: One of SIZES.
        scenario_name: One of SCENARIOS.
        system: One of SYSTEMS.
        seed: Seed of all random numbers.
        run_ms: How long callers send, in ms of virtual time.
    """
    scenario = SCENARIOS[scenario_name]
    size = SIZES[size_name]
    measures = Measures(SKIP_MS, scenario.flooding_organisation)
    world = World(size, seed, scenario.utilisation, measures)
    steering = SYSTEMS[system](world)
    scenario.prepare(world, steering)
    rates_by_organisation = size.rates_by_organisation(scenario.utilisation)
    if scenario.flooding_organisation:
        rates_by_organisation[scenario.flooding_organisation] *= (
            CONTRACT_FACTOR * scenario.flood_factor
        )
    world.callers.start(steering, rates_by_organisation)
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
    """Measure every scenario with both systems and print a table.

    Args:
        seed: Seed of all random numbers.
        json_lines: Print JSON lines instead of a table.
        scenario: Run only this scenario.
        user: Run only this user's size: a is register-size, b is booking-size.
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
    return ["--json-lines" if argument == "--json" else argument for argument in argv]


if __name__ == "__main__":
    defopt.run(main, short={}, argv=_argv(sys.argv[1:]))
