"""Tests that link budgets limit what several instances send in any window."""

import random

from hypothesis import given, settings, strategies as st

from sequoiahook.decisions.links import LinkBudgets, LinkSettings, contracts
from sequoiahook.world.configuration import read_configuration

SETTINGS = LinkSettings(increase_delay_ms=500)
VIEW_DELAY_MAX_MS = 400
LIMIT_BITS = 4_000_000
CONFIGURATION = read_configuration(
    1,
    {
        "regions_by_name": {
            "north": {"data_centres": ["n1", "n2"]},
            "south": {"data_centres": ["s1"]},
        },
        "links_by_name": {
            "ns": {
                "regions": ["north", "south"],
                "bits_per_second": LIMIT_BITS,
                "one_way_ms": 35,
            }
        },
    },
)
NAMES = ("a", "b", "c")


def worst_excess(sends, rate_per_ms, burst):
    """Return the largest excess over the contract in any window, in bytes."""
    worst = total = 0
    level = 0.0
    last = 0
    for at, size in sorted(sends):
        level = max(0.0, level - (at - last) * rate_per_ms)
        last = at
        level += size
        total += size
        worst = max(worst, level - burst)
    return worst


@settings(max_examples=60)
@given(
    seed=st.integers(0, 10**6),
    views=st.lists(
        st.tuples(st.integers(0, 900), st.sets(st.sampled_from(NAMES), min_size=1)),
        min_size=1,
        max_size=6,
    ),
)
def test_instances_together_keep_the_limit(seed, views):
    """Instances receive each view with a delay of their own, in the right order."""
    rng = random.Random(seed)
    budgets = {name: LinkBudgets(SETTINGS, "n1", name) for name in NAMES}
    events = []
    created_at = 0
    for pause_ms, names in views:
        created_at += pause_ms
        for name in NAMES:
            received_at = created_at + rng.randrange(VIEW_DELAY_MAX_MS)
            events.append((received_at, name, sorted(names)))
    last_at_by_name = dict.fromkeys(NAMES, 0)
    ordered_events = []
    for received_at, name, names in events:
        last_at_by_name[name] = max(last_at_by_name[name], received_at)
        ordered_events.append((last_at_by_name[name], name, names))
    ordered_events.sort(key=lambda event: event[0])
    sends = []
    until = created_at + 2_000
    for now in range(0, until, 10):
        while ordered_events and ordered_events[0][0] <= now:
            _, name, names = ordered_events.pop(0)
            budgets[name].configure(CONFIGURATION, names, now)
        for name in NAMES:
            budget = budgets[name]._budgets_by_region.get("south")
            if budget is not None and rng.random() < 0.7:
                sends.append((now, budget.debit(rng.randrange(200_000), now)))
    rate_per_s = LIMIT_BITS / 8 / 2
    assert (
        worst_excess(sends, rate_per_s / 1000, rate_per_s * SETTINGS.burst_ms / 1000)
        <= 0
    )
    assert sum(size for _, size in sends) > 0


def test_shares_of_all_instances_add_up_to_the_contract():
    total = 0
    for data_centre in ("n1", "n2"):
        for name in NAMES:
            budgets = LinkBudgets(SETTINGS, data_centre, name)
            budgets.configure(CONFIGURATION, NAMES, 0)
            budget = budgets.budget("s1")
            assert budget.debit(10**9, 499) == 0, "no bytes before the share increases"
            total += sum(budget.debit(10**9, now) for now in range(500, 1_501))
    contract = contracts(CONFIGURATION, SETTINGS)["link/ns/south"]
    assert contract.rate_per_s * 1024 - 6 <= total <= contract.rate_per_s * 1024
    assert contract.rate_per_s * 8 * 1024 <= LIMIT_BITS * 0.9


def test_ready_at_is_when_the_bytes_are_available():
    budgets = LinkBudgets(SETTINGS, "n1", "a")
    budgets.configure(CONFIGURATION, ("a",), 0)
    budget = budgets.budget("s1")
    assert budget.ready_at(5_000, 0) == 500
    assert not budget.has_room(100)
    at = budget.ready_at(5_000, 500)
    assert budget.debit(5_000, at - 1) < 5_000
    budgets = LinkBudgets(SETTINGS, "n1", "a")
    budgets.configure(CONFIGURATION, ("a",), 0)
    assert budgets.budget("s1").debit(5_000, at) == 5_000
    assert budgets.has_room("n2", 0), "links inside a region have no limit"
