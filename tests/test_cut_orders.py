"""Instances that are cut off from each other spend one rate together.

Guards against entries, and with them the shares, of instances that live behind a cut
being taken for those of ended ones.
"""

import pytest

from tests.cut_orders import Cut, CutOrder, Event

FOUR = {"a-0": "north-a", "a-1": "north-a", "b-0": "north-b", "b-1": "north-b"}
B = ("b-0", "b-1")
REGIONS = {"a-0": "north-a", "a-1": "north-b", "s-0": "south-a", "s-1": "south-a"}
THREE = {
    "a-0": "north-a",
    "a-1": "north-a",
    "b-0": "north-b",
    "b-1": "north-b",
    "s-0": "south-a",
}
SEEDS = range(1, 13)


def assert_holds(order):
    assert not order.play(), str(order)


@pytest.mark.parametrize("store", ["both", "first", "second", "none"])
@pytest.mark.parametrize("for_s", [5.0, 45.0])
def test_data_centres_share_the_rate_during_a_cut(for_s, store):
    assert_holds(CutOrder(1, FOUR, Cut(B, for_s, store=store), ()))


@pytest.mark.parametrize("is_one_way", [False, True])
def test_data_centres_share_the_rate_during_two_minutes(is_one_way):
    assert_holds(CutOrder(2, FOUR, Cut(B, 120.0, is_one_way), ()))


def test_regions_share_the_rate_during_a_cut():
    assert_holds(CutOrder(3, REGIONS, Cut(("s-0", "s-1"), 60.0), ()))


@pytest.mark.parametrize("store", ["both", "first", "second", "none"])
def test_three_data_centres_share_the_rate_during_a_cut(store):
    cut = Cut(("b-0", "b-1"), 60.0, store=store, third=("s-0",))
    assert_holds(CutOrder(6, THREE, cut, ()))


@pytest.mark.parametrize("how", ["restart", "kill"])
def test_instances_end_while_the_fleet_is_cut_into_three(how):
    cut = Cut(("b-0", "b-1"), 60.0, third=("s-0",))
    events = (Event(10.0, how, ("a-0",)), Event(25.0, how, ("s-0",)))
    assert_holds(CutOrder(7, THREE, cut, events))


@pytest.mark.parametrize("how", ["restart", "kill"])
def test_instances_that_restart_or_end_during_a_cut(how):
    events = (Event(20.0, how, ("b-0",)), Event(35.0, how, ("a-1",)))
    assert_holds(CutOrder(4, FOUR, Cut(B, 60.0), events))


@pytest.mark.parametrize("zones", [FOUR, REGIONS], ids=["data centres", "regions"])
def test_side_that_has_ended_gives_its_rate_back(zones):
    side = tuple(zones)[2:]
    order = CutOrder(5, zones, Cut(side, 60.0), (Event(1.0, "kill", side),))
    assert_holds(order)


@pytest.mark.parametrize("seed", SEEDS)
def test_generated_cuts(seed):
    assert_holds(CutOrder(seed))
