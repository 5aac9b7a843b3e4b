"""Plays generated orders of faults with fresh seeds: ``python -m tests.orders``."""

import random
import sys

import defopt
import logbook

from tests.configuration_orders import Order
from tests.order_faults import KINDS


def play(*, count: int = 20, seed: int = -1, kinds: str = ""):
    """Play orders and print those that break a rule.

    Args:
        count: Number of orders.
        seed: Seed of the first order; negative for a random one.
        kinds: Kinds of faults to draw from, separated by commas; all by default.
    """
    first = random.SystemRandom().randrange(10**9) if seed < 0 else seed
    chosen = tuple(kinds.split(",")) if kinds else KINDS
    failed = 0
    with logbook.NullHandler().applicationbound():
        for number in range(first, first + count):
            order = Order(number, kinds=chosen)
            if order.play():
                failed += 1
                print(f"seed {number}\n{order}", flush=True)
    print(f"{count} orders from seed {first}: {count - failed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    defopt.run(play)
