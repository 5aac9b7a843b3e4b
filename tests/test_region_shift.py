"""The requests of a region change region gradually, whatever the reason.

The users allow `SHIFT_MAX` of the requests of a region to change between adjacent
windows of two seconds. Windows of every alignment are compared, from the first request.
"""

import pytest

from sequoiahook.daemons.direct.settings import Bounds
from tests.region_simulation import Load, RegionSimulation, largest_change

SHIFT_MAX = Bounds().shift_share
LEAD_MS = 12_000
SETTLED_MS = 16_000
SEEDS = (1, 2, 3)
FEW_OWN_TARGETS = {"east": 135, "north": 30, "south": 120}
TWO_SERVICES = {"east": 45, "north": 10, "south": 40}
SIDE_LOADS = (
    Load("upload", "intake", per_s=50, work_ms=2_000, object_count=40),
    Load("cancel", "intake", per_s=50, work_ms=1_360, object_count=40),
)


def simulation(seed, targets=None, loads=None, settled_ms=SETTLED_MS, **options):
    """Return a simulation, and the time from which its windows are compared."""
    world = RegionSimulation(
        targets or FEW_OWN_TARGETS, loads or [Load()], seed=seed, **options
    )
    world.idle(LEAD_MS)
    since = world.now
    if settled_ms:
        world.run(settled_ms)
        since = world.now - 4_000
    return world, since


def assert_gradual(world, since):
    change, at = largest_change(world.runs, since)
    assert change <= SHIFT_MAX, f"{change:.3f} at {at - LEAD_MS} ms"


@pytest.mark.parametrize("seed", SEEDS)
def test_start_of_traffic_without_cached_objects(seed):
    world, since = simulation(seed, settled_ms=0)
    world.run(14_000)
    assert_gradual(world, since)


@pytest.mark.parametrize("targets", [FEW_OWN_TARGETS, {**FEW_OWN_TARGETS, "north": 54}])
@pytest.mark.parametrize("seed", SEEDS)
def test_start_of_traffic_with_targets_that_state_their_pace(seed, targets):
    """The share is set anew with the first responses, while requests are under way."""
    world, since = simulation(seed, targets, settled_ms=0, states_pace=True)
    world.run(14_000)
    assert_gradual(world, since)


@pytest.mark.parametrize("seed", SEEDS)
def test_restart_of_the_instance_that_decides_shares(seed):
    world, since = simulation(seed)
    world.start("north-0")
    world.run(8_000)
    assert_gradual(world, since)


@pytest.mark.parametrize("seed", SEEDS)
def test_restarted_instance_that_learns_the_pace_keeps_the_shares_of_its_region(seed):
    """It receives the region's share before its first response states a pace."""
    world, since = simulation(seed, states_pace=True)
    before = world.cores["north-1"].selector.home_shares.permille_by_service["desk"]
    world.start("north-0")
    world.run(8_000)
    assert_gradual(world, since)
    after = world.cores["north-1"].selector.home_shares.permille_by_service["desk"]
    assert abs(after - before) <= 1_000 * SHIFT_MAX


def test_restarted_instance_does_not_reset_the_shares_of_its_region():
    world, _ = simulation(1)
    before = world.cores["north-0"].selector.home_shares.permille_by_service["desk"]
    world.start("north-0")
    world.run(400)
    shares = {
        core.selector.home_shares.permille_by_service["desk"]
        for core in world.cores.values()
    }
    assert max(abs(share - before) for share in shares) <= 1_000 * SHIFT_MAX / 2


@pytest.mark.parametrize("seed", SEEDS)
def test_limit_applies_again_after_the_loss_of_few_targets(seed):
    """Most of the requests that left the region did so for the load, not the loss."""
    world, since = simulation(seed)
    world.loads = [Load(per_s=700)]
    world.run(2_000)
    world.remove_targets(["desk-north-3", "desk-east-7"])
    world.run(3_000)
    world.loads = [Load()]
    world.run(8_000)
    assert_gradual(world, since)


@pytest.mark.parametrize("seed", SEEDS)
def test_burst_and_its_end(seed):
    world, since = simulation(seed)
    world.loads = [Load(per_s=700)]
    world.run(4_000)
    world.loads = [Load()]
    world.run(8_000)
    assert_gradual(world, since)


@pytest.mark.parametrize("region", ["north", "south"])
def test_growth_of_a_region(region):
    world, since = simulation(1)
    world.add_targets("desk", region, [f"new-{i}" for i in range(60)])
    world.run(8_000)
    assert_gradual(world, since)


@pytest.mark.parametrize("seed", SEEDS)
def test_routes_change_their_service_in_quick_succession(seed):
    loads = (Load(), *SIDE_LOADS)
    world, since = simulation(seed, TWO_SERVICES, loads)
    for service in ("desk", "intake", "desk", "intake"):
        world.loads = [
            load if load.name == "view" else load._replace(service=service)
            for load in loads
        ]
        world.configure()
        world.run(1_500)
    world.run(4_500)
    assert_gradual(world, since)


@pytest.mark.parametrize("region", ["north", "east"])
@pytest.mark.parametrize("seed", SEEDS)
def test_planned_departure_of_half_of_a_region(region, seed):
    """Requests that the remaining targets have no room for are refused, not moved."""
    world, since = simulation(seed)
    world.drain_targets([f"desk-{region}-{i}" for i in range(0, 135, 2)])
    world.run(8_000)
    change, at = largest_change(world.runs_and_refusals(), since)
    assert change <= SHIFT_MAX, f"{change:.3f} at {at - LEAD_MS} ms"
    assert all(refusal.retry_after_ms > 0 for _, refusal in world.refusals)
