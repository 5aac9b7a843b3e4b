"""A target that states a limit gets no more from the fleet, and most of what it stated.

The bound counts every request that reaches the target, from four seconds after it first
stated the limit, in windows of every alignment.
"""

import pytest

from tests.limit_simulation import (
    SETTLING_MS,
    LimitSimulation,
    allowed_in_window,
    most_in_window,
)

LIMITED = "t-east-0"
PER_S = 240
UNEVEN = "uneven"


def weights_of(simulation, load):
    if load != UNEVEN:
        return None
    names = list(simulation.instances)
    return {name: 50 if name == names[0] else 0.2 for name in names}


def limited_fleet(instance_count, per_s, load="even", fleet_per_s=PER_S, **arguments):
    simulation = LimitSimulation(instance_count, **arguments)
    weights = weights_of(simulation, load)
    simulation.run(4_000, fleet_per_s, weights)
    simulation.stated_by_target[LIMITED] = per_s
    return simulation, weights


def reached(simulation, begin, end=None, target_id=LIMITED):
    end = simulation.now if end is None else end
    times = simulation.reached_at_by_target[target_id]
    return [at for at in times if begin <= at < end]


def assert_limit_holds(simulation, stated_at, per_s, target_id=LIMITED):
    times = simulation.reached_at_by_target[target_id]
    begin = stated_at + SETTLING_MS
    assert most_in_window(times, begin, simulation.now) <= allowed_in_window(per_s)


@pytest.mark.parametrize("load", ["even", UNEVEN])
@pytest.mark.parametrize("per_s", [5.0, 0.3])
@pytest.mark.parametrize("instance_count", [4, 12, 30, 90])
def test_stated_limit_binds_the_whole_fleet(instance_count, per_s, load):
    simulation, weights = limited_fleet(instance_count, per_s, load)
    stated_at = simulation.now
    simulation.run(14_000, PER_S, weights)
    assert_limit_holds(simulation, stated_at, per_s)
    served = len(reached(simulation, stated_at + SETTLING_MS))
    assert served >= 0.5 * per_s * 10


@pytest.mark.parametrize("load", ["even", UNEVEN])
@pytest.mark.parametrize("instance_count", [4, 12, 30])
def test_large_stated_limit_binds_the_whole_fleet(instance_count, load):
    simulation, weights = limited_fleet(
        instance_count,
        300.0,
        load,
        fleet_per_s=2_400,
        targets_per_region=1,
        slots=60,
    )
    stated_at = simulation.now
    simulation.run(9_000, 2_400, weights)
    assert_limit_holds(simulation, stated_at, 300.0)
    assert len(reached(simulation, stated_at + SETTLING_MS)) >= 0.5 * 300 * 5
