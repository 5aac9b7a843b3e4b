"""A request that ends the targets that run it is refused; others are not.

Bound of the users: from four seconds after a request has ended three targets, it
reaches targets three times at most.
"""

import pytest

from tests.crash_simulation import (
    KILLER_PATH,
    POPULAR_PATH,
    CrashSimulation,
    Repeated,
)

PER_S = 240
KILLER = Repeated(KILLER_PATH, 8)
POPULAR = Repeated(POPULAR_PATH, 20)
STABLE_MS = 4_000
LATE_MAX = 3
ENDED_MAX = 12
"""Number of targets in the simulation: a request never ends as many as there are."""


def late_arrivals(simulation, path=KILLER_PATH):
    """Return the arrivals at targets later than the bound after the third end."""
    ended = [at for at, killer in simulation.ended if killer == path]
    if len(ended) < 3:
        return []
    times = simulation.reached_at_by_path[path]
    return [at for at in times if at > ended[2] + STABLE_MS]


def served_ratio(simulation, path):
    outcomes = simulation.outcomes_by_path[path]
    return outcomes[200] / max(1, outcomes.total())


@pytest.mark.parametrize("instance_count", [4, 12, 30, 90])
@pytest.mark.parametrize("per_s", [8, 1])
def test_repeated_request_does_not_end_target_after_target(instance_count, per_s):
    simulation = CrashSimulation(instance_count, [KILLER._replace(per_s=per_s)])
    simulation.run(24_000, PER_S)
    assert len(late_arrivals(simulation)) <= LATE_MAX
    assert len(simulation.ended) <= ENDED_MAX


def test_repeated_upload_does_not_end_target_after_target():
    upload = KILLER._replace(method="POST", body=bytes(200_000))
    simulation = CrashSimulation(12, [upload])
    simulation.run(24_000, PER_S)
    assert len(late_arrivals(simulation)) <= LATE_MAX
    assert len(simulation.ended) <= ENDED_MAX
