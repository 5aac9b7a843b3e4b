"""A divided fleet keeps its form and its rates, whatever fails in it.

Guards against instances that divide the fleet differently and no longer know each
other.
"""

import pytest

from tests.group_orders import GroupFault, GroupOrder

SEEDS = range(1, 4)
BUSY = "n-a"


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
