"""Plays generated orders with fresh seeds: ``python -m tests.orders``."""

import random
import sys
from typing import Literal

import defopt
import logbook

from tests.configuration_orders import Order
from tests.cut_orders import CutOrder
from tests.group_orders import GroupOrder
from tests.order_faults import KINDS
from tests.stop_orders import StopOrder

Family = Literal["configuration", "cuts", "groups", "stops"]


def play(
    *,
    count: int = 20,
    seed: int = -1,
    kinds: str = "",
    family: Family = "configuration",
):
    """Play orders and print those that break a rule.

    Args:
        count: Number of orders.
        seed: Seed of the first order; negative for a random one.
        kinds: Kinds of faults to draw from, separated by commas; all by default. Only
            for orders of configurations.
        family: What the orders play: faults around changes of the configuration, faults
            in a fleet that is divided into groups, cuts that may last, or planned
            stops.
    """
    first = random.SystemRandom().randrange(10**9) if seed < 0 else seed
    chosen = tuple(kinds.split(",")) if kinds else KINDS
    failed = 0
    with logbook.NullHandler().applicationbound():
        for number in range(first, first + count):
            order = _draw(family, number, chosen)
            if order.play():
                failed += 1
                print(f"seed {number}\n{order}", flush=True)
    print(f"{count} orders from seed {first}: {count - failed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


def _draw(family, seed, kinds):
    match family:
        case "cuts":
            return CutOrder(seed)
        case "groups":
            return GroupOrder(seed)
        case "stops":
            return StopOrder(seed)
    return Order(seed, kinds=kinds)


if __name__ == "__main__":
    defopt.run(play)
