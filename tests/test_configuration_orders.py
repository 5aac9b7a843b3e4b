"""Changes of the configuration and of targets reach every instance, whatever fails.

Guards against an instance that goes on as an older version says. `make orders` plays
orders with fresh seeds.
"""

import random

import pytest

from tests.configuration_orders import Order
from tests.order_faults import KINDS, Fault

SEEDS = range(1, 7)
STORE_AND_PEERS = ("silence", "freeze", "store_cut", "reset", "store_copy")


def silence_at(at_s):
    return Fault(at_s, "silence", (), 0.3, 0.5)


def assert_holds(order):
    assert not order.play(), str(order)


@pytest.mark.parametrize("seed", SEEDS)
def test_silent_connections_leave_no_instance_behind(seed):
    assert_holds(Order(seed, faults=[silence_at(4.0), silence_at(11.0)], count=5))


@pytest.mark.parametrize("seed", SEEDS)
def test_store_that_returns_from_a_copy_leaves_no_instance_behind(seed):
    rng = random.Random(seed)
    at_s, for_s, away_share = (
        rng.uniform(3, 8),
        rng.uniform(3, 5),
        rng.uniform(0.3, 0.7),
    )
    store_copy = Fault(at_s, "store_copy", (), for_s, away_share)
    assert_holds(Order(seed, faults=[store_copy], count=rng.randint(2, 6)))


@pytest.mark.parametrize("seed", SEEDS)
def test_failing_sources_of_changes_leave_no_instance_behind(seed):
    assert_holds(Order(seed, kinds=STORE_AND_PEERS))


@pytest.mark.parametrize("seed", SEEDS)
def test_faults_of_all_kinds_leave_no_instance_behind(seed):
    assert_holds(Order(seed, kinds=KINDS))
