"""A divided fleet keeps its form, its leaders and its rates, whatever fails in it.

Guards against instances that divide the fleet differently and no longer know each
other, and against two leaders of one group that both spend its shares.
"""

import pytest

from tests.group_orders import GroupFault, GroupOrder

SEEDS = range(1, 4)
BUSY = "n-a"
PAIR = ("n-a-0", "n-a-1")
THIRD = "n-a-2"
TWELVE = {f"{region}-{x}": region for region in ("n", "s", "e") for x in "abcd"}


def assert_holds(order):
    assert not order.play(), str(order)


@pytest.mark.parametrize("removed", (1, 2, 5))
@pytest.mark.parametrize(
    "restarted",
    (("n-a-0",), ("n-a-0", "s-a-0", "e-a-0"), ("n-a-0", "n-a-1", "n-a-2")),
)
@pytest.mark.parametrize("gap_ms", (0, 700))
def test_instance_that_restarts_in_a_shrunken_fleet_knows_the_others(
    removed, restarted, gap_ms
):
    absent = [f"{x}-{n}" for x in ("w-b", "w-a", "e-b") for n in (0, 1)][:removed]
    faults = [
        GroupFault(500 + gap_ms * number, "restart", (name,))
        for number, name in enumerate(restarted)
    ]
    assert_holds(GroupOrder(1, absent=absent, faults=faults, busy=BUSY))


@pytest.mark.parametrize("seed", SEEDS)
def test_restarts_while_the_fleet_shrinks_split_nothing(seed):
    assert_holds(GroupOrder(seed, kinds=("leave", "restart")))


@pytest.mark.parametrize("for_ms", (1_500, 4_000, 6_000))
@pytest.mark.parametrize("name", PAIR)
@pytest.mark.parametrize("is_buffered", (True, False))
def test_pair_has_one_leader_after_a_freeze(for_ms, name, is_buffered):
    fault = GroupFault(1_000, "freeze", (name,), for_ms, is_buffered)
    assert_holds(GroupOrder(1, absent=(THIRD,), faults=[fault], busy=BUSY))


@pytest.mark.parametrize("gap_ms", (500, 3_000, 5_000))
def test_pair_has_one_leader_after_freezes_in_series_and_overlapping(gap_ms):
    faults = [
        GroupFault(1_000 + gap_ms * number, "freeze", (name,), 4_000)
        for number, name in enumerate(PAIR)
    ]
    assert_holds(GroupOrder(1, absent=(THIRD,), faults=faults, busy=BUSY))


@pytest.mark.parametrize("for_ms", (1_500, 8_000))
@pytest.mark.parametrize("is_both_ways", (True, False))
@pytest.mark.parametrize("name", PAIR)
def test_pair_has_one_leader_after_its_datagrams_were_lost(for_ms, is_both_ways, name):
    fault = GroupFault(1_000, "cut", (name,), for_ms, is_both_ways)
    assert_holds(GroupOrder(1, absent=(THIRD,), faults=[fault], busy=BUSY))


@pytest.mark.parametrize("seed", SEEDS)
def test_data_centres_of_two_from_the_start_have_one_leader_each(seed):
    order = GroupOrder(seed, per_data_centre=2, regions=TWELVE, kinds=("freeze", "cut"))
    assert_holds(order)


@pytest.mark.parametrize("cut_off", (("n-a",), ("n-a", "n-b"), ("w-a", "w-b")))
def test_groups_that_are_cut_off_for_long_share_one_rate(cut_off):
    names = tuple(f"{data_centre}-{n}" for data_centre in cut_off for n in range(3))
    fault = GroupFault(1_000, "partition", names, 60_000)
    order = GroupOrder(1, faults=[fault], busy="n-a s-a w-a", length_ms=75_000)
    assert_holds(order)


@pytest.mark.parametrize("names", (("n-a-0",), ("n-a-0", "n-a-1"), ("n-a-0", "n-b-0")))
def test_members_that_are_cut_off_from_their_group_do_not_lead_it(names):
    fault = GroupFault(1_000, "partition", names, 20_000)
    order = GroupOrder(1, faults=[fault], busy="n-a", length_ms=35_000)
    assert_holds(order)


@pytest.mark.parametrize("seed", range(1, 9))
def test_faults_of_all_kinds_leave_one_fleet_with_one_leader_each(seed):
    assert_holds(GroupOrder(seed))
