"""A target that states a limit gets no more from the fleet, and most of what it stated.

The bound counts every request that reaches the target, from four seconds after it first
stated the limit, in windows of every alignment.
"""

import itertools

import pytest

from sequoiahook.decisions.direct.requests import Cause
from tests.direct_parts import a_service, a_target
from tests.limit_simulation import (
    SETTLING_MS,
    SLACK,
    LimitSimulation,
    allowed_in_window,
    most_in_window,
)

LIMITED = "t-east-0"
PER_S = 240
UNEVEN = "uneven"
MAX_SHIFT = 0.15
COLD_EXCESS_FACTOR = 1.5


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


def test_change_of_the_limit_binds_the_whole_fleet():
    simulation, _ = limited_fleet(12, 20.0)
    simulation.run(6_000, PER_S)
    simulation.stated_by_target[LIMITED] = 2.0
    lowered_at = simulation.now
    simulation.run(9_000, PER_S)
    assert_limit_holds(simulation, lowered_at, 2.0)
    simulation.stated_by_target[LIMITED] = 12.0
    raised_at = simulation.now
    simulation.run(8_000, PER_S)
    assert_limit_holds(simulation, raised_at, 12.0)
    assert len(reached(simulation, raised_at + SETTLING_MS)) >= 0.5 * 12 * 4


@pytest.mark.parametrize("per_s", [5.0, 0.3, 0.0])
def test_target_gets_its_ordinary_share_back_when_the_limit_ends(per_s):
    simulation, _ = limited_fleet(12, per_s)
    ordinary = len(reached(simulation, 1_000)) / 3
    stated_at = simulation.now
    simulation.run(10_000, PER_S)
    assert_limit_holds(simulation, stated_at, per_s)
    del simulation.stated_by_target[LIMITED]
    ended_at = simulation.now
    simulation.run(9_000, PER_S)
    assert len(reached(simulation, ended_at + 6_000)) / 3 >= 0.7 * ordinary


def test_limit_does_not_lapse_while_nobody_sends():
    simulation, _ = limited_fleet(12, 2.0)
    simulation.run(5_000, PER_S)
    simulation.run(60_000, 0.001)
    resumed_at = simulation.now
    simulation.run(6_000, PER_S)
    times = reached(simulation, resumed_at)
    assert most_in_window(times, 0, simulation.now) <= allowed_in_window(2.0)


@pytest.mark.parametrize("end_ms", [1_000, 8_000])
def test_part_out_of_reach_is_not_granted_twice_in_a_partition(end_ms):
    simulation, _ = limited_fleet(12, 5.0)
    stated_at = simulation.now
    simulation.run(5_000, PER_S)
    simulation.partitioned = {n for n in simulation.instances if "east" in n}
    cut_at = simulation.now
    simulation.run(end_ms, PER_S)
    simulation.partitioned = set()
    simulation.run(6_000, PER_S)
    assert_limit_holds(simulation, stated_at, 5.0)
    assert len(reached(simulation, cut_at)) >= 0.3 * 5 * (end_ms + 6_000) / 1_000


def test_retries_of_requests_that_other_targets_shed_need_permits_too():
    simulation, _ = limited_fleet(12, 5.0)
    simulation.shedding = set(simulation.targets) - {LIMITED}
    stated_at = simulation.now
    simulation.run(10_000, PER_S)
    assert_limit_holds(simulation, stated_at, 5.0)
    assert len(reached(simulation, stated_at + SETTLING_MS)) >= 0.5 * 5 * 6


def test_new_instance_learns_a_limit_that_was_stated_before_it_started():
    simulation, _ = limited_fleet(12, 0.05)
    simulation.run(6_000, PER_S)
    simulation.add_instance("east-a-90")
    simulation.run(900, 0.001)
    state = simulation.cores["east-a-90"].targets.states_by_id[LIMITED]
    assert state.limit_per_s == 0.05


def test_nothing_is_kept_for_targets_that_are_gone():
    simulation, _ = limited_fleet(4, 5.0)
    simulation.run(3_000, PER_S)
    for number in range(40):
        del simulation.targets[next(iter(simulation.targets))]
        name = f"t-east-{100 + number}"
        simulation.targets[name] = a_target(name, region="east", data_centre="east-a")
        simulation.reached_at_by_target[name] = []
        simulation.stated_by_target[name] = 5.0
        for core in simulation.cores.values():
            core.targets.replace(simulation.targets, simulation.now)
        simulation.run(300, PER_S)
    simulation.run(1_000, 0.001)
    for core in simulation.cores.values():
        kept = core.permits.target_ids
        assert kept <= simulation.targets.keys()


def limiter_of(simulation):
    core = next(iter(simulation.cores.values()))
    return core.permits.limiter("east", simulation.now)


@pytest.mark.parametrize("instance_count", [4, 30])
@pytest.mark.parametrize("fault", ["kill", "restart", "freeze", "leave", "join"])
def test_limit_holds_when_instances_come_and_go(fault, instance_count):
    simulation, _ = limited_fleet(instance_count, 5.0)
    stated_at = simulation.now
    simulation.run(5_000, PER_S)
    limiter = limiter_of(simulation)
    if fault == "restart":
        simulation.start(limiter)
    elif fault == "leave":
        simulation.remove_instance(limiter)
    elif fault == "join":
        for number in range(90, 90 + instance_count // 2):
            simulation.add_instance(f"east-a-{number}")
    else:
        simulation.stop(limiter)
    faulty_at = simulation.now
    simulation.run(3_000, PER_S)
    if fault == "freeze":
        simulation.paused.discard(limiter)
    simulation.run(7_000, PER_S)
    assert_limit_holds(simulation, stated_at, 5.0)
    assert len(reached(simulation, faulty_at + 5_000)) >= 0.4 * 5 * 5


def test_requests_beyond_the_limits_of_all_targets_are_refused_with_a_time():
    simulation = LimitSimulation(12)
    simulation.run(3_000, PER_S)
    simulation.stated_by_target = dict.fromkeys(simulation.targets, 3.0)
    stated_at = simulation.now
    simulation.run(12_000, PER_S)
    for target_id in simulation.targets:
        assert_limit_holds(simulation, stated_at, 3.0, target_id)
        times = reached(simulation, stated_at + SETTLING_MS, target_id=target_id)
        assert len(times) >= 0.5 * 3 * 8
    assert simulation.refusals
    assert all(refusal.retry_after_ms > 0 for _, refusal in simulation.refusals)
    causes = {refusal.cause for _, refusal in simulation.refusals}
    assert Cause.TARGETS_LIMITED in causes


def test_requests_keep_their_region_when_all_its_targets_state_limits():
    simulation = LimitSimulation(12)
    simulation.run(4_000, PER_S)
    limited = [target_id for target_id in simulation.targets if "east" in target_id]
    simulation.stated_by_target = dict.fromkeys(limited, 1.0)
    simulation.run(6_000, PER_S)
    moved = []
    for begin in range(0, 10_000, 2_000):
        window = range(begin, begin + 2_000)
        arrived = sum(at in window and own == "east" for at, own in simulation.arrivals)
        moved_count = sum(
            at in window and own == "east" != target
            for at, own, target in simulation.sent
        )
        moved.append(moved_count / arrived)
    changes = [abs(b - a) for a, b in itertools.pairwise(moved)]
    assert max(changes) <= MAX_SHIFT


def test_datagrams_about_limits_are_few():
    simulation, _ = limited_fleet(90, 5.0)
    simulation.datagrams.clear()
    simulation.run(10_000, PER_S)
    count = sum(
        simulation.datagrams[name]
        for name in ("LimitReport", "PermitRequest", "PermitGrant", "PermitDenial")
    )
    assert count / 10 / 90 <= 12


def most_in_second(times):
    return max(sum(at <= other < at + 1_000 for other in times) for at in times)


@pytest.mark.parametrize("instance_count", [12, 90])
@pytest.mark.parametrize("cold_per_s", [7.0, 2.0])
def test_cold_targets_get_no_burst_from_all_instances(instance_count, cold_per_s):
    simulation = LimitSimulation(instance_count, targets_per_region=12)
    simulation.configure(a_service(cold_per_s=cold_per_s))
    simulation.run(2_500, 1_000)
    cold_ids = [target_id for target_id in simulation.targets if "east" in target_id]
    cold_since = simulation.now
    simulation.make_cold(cold_ids, 6_000)
    simulation.run(5_500, 1_000)
    for target_id in cold_ids:
        times = reached(simulation, cold_since + 100, target_id=target_id)
        assert most_in_second(times) <= COLD_EXCESS_FACTOR * cold_per_s + SLACK
