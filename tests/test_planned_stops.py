"""Planned stops cut no request, whenever it comes and on whatever connection.

Guards against a stopping instance that passes on a request which cannot end before its
exit.
"""

import pytest

from tests.stop_orders import Stop, StopOrder

SEEDS = range(1, 5)


def assert_holds(order):
    assert not order.play(), str(order)


@pytest.mark.parametrize("seed", SEEDS)
def test_stop_of_one_instance_cuts_no_request(seed):
    assert_holds(StopOrder(seed, stops=[Stop(1.0, "n1")], count=2))


@pytest.mark.parametrize("seed", SEEDS)
def test_signal_that_comes_twice_cuts_no_request(seed):
    again_after_s = seed / 2
    assert_holds(StopOrder(seed, stops=[Stop(1.0, "n1", again_after_s)], count=2))


@pytest.mark.parametrize("seed", SEEDS)
def test_stop_beside_a_frozen_instance_cuts_no_request(seed):
    stops = [Stop(1.0, "n1", frozen="n2")]
    assert_holds(StopOrder(seed, stops=stops, count=3))


@pytest.mark.parametrize("gap_s", (0.0, 0.3, 2.0, 6.5))
@pytest.mark.parametrize("seed", SEEDS)
def test_stops_in_series_and_overlapping_cut_no_request(seed, gap_s):
    stops = [Stop(number * gap_s, f"n{number + 1}") for number in range(3)]
    assert_holds(StopOrder(seed, stops=stops, count=5))


@pytest.mark.parametrize("connection", ("new", "kept", "late", "ahead"))
@pytest.mark.parametrize("seed", SEEDS)
def test_no_kind_of_connection_is_cut_at_a_stop(seed, connection):
    stops = [Stop(1.0, "n1")]
    assert_holds(StopOrder(seed, stops=stops, count=2, connections=(connection,)))


@pytest.mark.parametrize("seed", SEEDS)
def test_drawn_stops_cut_no_request(seed):
    assert_holds(StopOrder(seed))
