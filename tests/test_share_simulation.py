"""Organisations that compete for too few targets get fair shares, also under faults."""

import pytest

from sequoiahook.decisions.direct.organisation_shares import OrganisationShares
from sequoiahook.decisions.direct.requests import Cause
from tests.share_simulation import HOT, STEADY, Demand, Reports, ShareSimulation

DEMANDS = {"hot": HOT, "one": STEADY, "two": STEADY}
DATA_CENTRES = ("north-a", "north-b", "north-c")
STEADY_MIN = 0.93
USE_MIN = 0.95


def is_fair(fractions):
    """Whether the steady organisations get nearly all of what they ask for."""
    return steady(fractions) >= STEADY_MIN and fractions["one"] >= 0.85


def steady(fractions):
    """Return the fraction served of the steady organisations together."""
    return (fractions["one"] + fractions["two"]) / 2


def a_divided_fleet(seed=1):
    """Return a fleet of 24 instances in three groups, with 80 requests a second.

    Work takes longer than reports between groups need.
    """
    return ShareSimulation(
        DEMANDS,
        instance_count=8,
        targets=4,
        seed=seed,
        data_centres=DATA_CENTRES,
        goal_ms=1_200,
        work_ms=600,
    )


def leaders(world):
    return {n for n, c in world.cores.items() if c.fleet.groups.is_leader(world.now)}


@pytest.mark.parametrize(
    "reports", [Reports.TRUE, Reports.NONE, Reports.IDLE, Reports.FULL]
)
@pytest.mark.parametrize("seed", [1, 2])
def test_steady_organisations_are_served_beside_a_hot_one(seed, reports):
    """Without shares the steady ones got a fifth, since all were refused alike."""
    world = ShareSimulation(DEMANDS, reports=reports, seed=seed)
    world.run(4_000)
    fractions, use = world.measure(12_000)
    assert is_fair(fractions)
    assert use >= USE_MIN
    assert fractions["hot"] >= 0.25
    assert not world.refusals["one", 503, Cause.OVER_SHARE]
    assert world.refusals["hot", 503, Cause.OVER_SHARE]
    assert all(status == 503 for _, status, _ in world.refusals)


def test_without_ratios_the_steady_organisations_are_refused(monkeypatch):
    """The demands of this file are such that the shares decide."""
    monkeypatch.setattr(OrganisationShares, "set_ratios", lambda *_: None)
    world = ShareSimulation(DEMANDS)
    world.run(4_000)
    fractions, _ = world.measure(8_000)
    assert max(fractions["one"], fractions["two"]) < 0.5


def test_two_organisations_over_the_level_get_equal_shares():
    """Guards against shares that follow the number of repeated requests."""
    demands = {"hot": HOT, "hotter": HOT._replace(per_s=400), "one": STEADY}
    world = ShareSimulation(demands)
    world.run(4_000)
    fractions, use = world.measure(15_000)
    assert fractions["one"] >= STEADY_MIN
    assert 0.7 <= 2 * fractions["hotter"] / fractions["hot"] <= 1.5
    assert use >= USE_MIN


def test_a_service_with_enough_capacity_sends_nothing():
    world = ShareSimulation({"one": Demand(20), "two": Demand(12)})
    fractions, _ = world.measure(8_000)
    assert fractions == {
        "one": pytest.approx(1, abs=0.05),
        "two": pytest.approx(1, abs=0.05),
    }
    assert set(world.messages) == {"GroupReport"}


def test_similar_organisations_are_served_as_without_shares(monkeypatch):
    """Guards against a loss of throughput where all ask for slightly too much."""
    demands = {f"o{i}": Demand(8.5) for i in range(10)}
    totals = {}
    for is_on in (True, False):
        if not is_on:
            monkeypatch.setattr(OrganisationShares, "set_ratios", lambda *_: None)
        worlds = [ShareSimulation(demands, seed=seed) for seed in (1, 2, 3)]
        for world in worlds:
            world.run(18_000)
        totals[is_on] = sum(sum(world.served.values()) for world in worlds)
    assert totals[True] >= 0.97 * totals[False]


def test_capacity_that_becomes_free_is_used_within_a_second():
    """Guards against ratios that keep requests away from idle targets."""
    world = ShareSimulation(DEMANDS)
    world.run(6_000)
    world.add_targets(8)
    world.run(1_000)
    _, use = world.measure(2_000)
    assert use >= 0.8
    world.add_targets(40)
    world.run(3_000)
    before = world.refusals["hot", 503, Cause.OVER_SHARE]
    world.run(4_000)
    assert world.refusals["hot", 503, Cause.OVER_SHARE] == before


def test_capacity_that_the_hot_organisation_leaves_is_used_by_the_others():
    world = ShareSimulation({"hot": HOT, "one": Demand(100, 2), "two": STEADY})
    world.run(5_000)
    world.demand_by_organisation["hot"] = Demand(0)
    world.run(1_500)
    fractions, use = world.measure(6_000)
    assert use >= USE_MIN
    assert fractions["two"] >= STEADY_MIN
    assert fractions["one"] >= 0.6


@pytest.mark.parametrize("seed", [1, 2])
def test_each_side_of_a_partition_divides_its_capacity(seed):
    """Guards against ratios that need the reports of all instances."""
    world = ShareSimulation(DEMANDS, instance_count=4, seed=seed)
    world.run(4_000)
    world.partitioned = {"north-a-0", "north-a-1"}
    world.run(4_000)
    fractions, use = world.measure(8_000)
    assert use >= USE_MIN
    # Without the counts of the other side, more slots look free than there are.
    assert min(fractions["one"], fractions["two"]) >= 0.35
    world.partitioned = set()
    world.run(3_000)
    fractions, _ = world.measure(12_000)
    assert is_fair(fractions)


def test_lost_datagrams_are_superseded_by_the_next():
    world = ShareSimulation(DEMANDS, instance_count=3)
    world.loss = 0.2
    world.run(4_000)
    fractions, use = world.measure(10_000)
    assert is_fair(fractions)
    assert use >= USE_MIN


def test_members_get_their_ratios_from_the_leaders_of_groups():
    """Counts of open requests are older between groups, so the bound is wider."""
    world = a_divided_fleet()
    world.run(5_000)
    assert len(leaders(world)) == len(DATA_CENTRES)
    fractions, use = world.measure(8_000)
    assert steady(fractions) >= 0.85
    assert use >= 0.9
    assert world.messages["ShareRatios"]


def test_ratios_of_a_frozen_leader_expire_until_the_next_one_reports():
    """Guards against members that keep the last ratio of a leader that is frozen."""
    world = a_divided_fleet()
    world.run(5_000)
    frozen = leaders(world)
    world.paused = frozen
    members = [name for name in world.cores if name not in frozen]
    shares = [world.cores[name].fleet.shares for name in members]
    world.run(1_000)
    assert all(s.admit("s", "hot", 1, world.now) for s in shares)
    world.run(1_100)
    assert not leaders(world) - frozen
    assert all(s.admit("s", "hot", 1, world.now) is None for s in shares)
    world.run(5_000)
    assert len(leaders(world) - frozen) == len(DATA_CENTRES)
    fractions, _ = world.measure(8_000)
    assert steady(fractions) >= 0.65
    world.paused = set()
    world.run(4_000)
    fractions, _ = world.measure(8_000)
    assert steady(fractions) >= 0.75


def test_a_restarted_leader_decides_again_within_seconds():
    world = a_divided_fleet()
    world.run(5_000)
    for name in leaders(world):
        world.start(name)
    world.run(5_000)
    fractions, use = world.measure(8_000)
    assert steady(fractions) >= 0.8
    assert use >= 0.9


def test_an_outage_of_the_store_changes_nothing():
    """Keys are admitted for a few seconds without the store, so several runs count."""
    found = []
    for seed in range(1, 6):
        world = ShareSimulation(DEMANDS, seed=seed)
        world.run(4_000)
        world.is_store_lost = True
        fractions, use = world.measure(2_500)
        assert use >= 0.9
        found.append(steady(fractions))
    assert sum(found) / len(found) >= STEADY_MIN
