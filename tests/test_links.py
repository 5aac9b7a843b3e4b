"""Link budgets of several instances against every window of what they sent."""

import random

from hypothesis import given, settings, strategies as st

from sequoiahook.decisions.links import LinkBudgets, LinkSettings, contracts
from sequoiahook.world.configuration import read_configuration

SETTINGS = LinkSettings(rise_delay_ms=500)
VIEW_DELAY_MS = 400
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


def exceeded(sends, rate_per_ms, burst):
    """Return the worst excess over all windows, in bytes."""
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
def test_instances_together_stay_under_the_limit(seed, views):
    """Views come at any pace, and each is learnt late and at different times."""
    rng = random.Random(seed)
    budgets = {name: LinkBudgets(SETTINGS, "n1", name) for name in NAMES}
    events = []
    made_at = 0
    for pause_ms, names in views:
        made_at += pause_ms
        for name in NAMES:
            learnt_at = made_at + rng.randrange(VIEW_DELAY_MS)
            events.append((learnt_at, name, sorted(names)))
    last_at = dict.fromkeys(NAMES, 0)
    ordered = []
    for learnt_at, name, names in events:
        last_at[name] = max(last_at[name], learnt_at)
        ordered.append((last_at[name], name, names))
    ordered.sort(key=lambda event: event[0])
    sends = []
    until = made_at + 2_000
    for now in range(0, until, 10):
        while ordered and ordered[0][0] <= now:
            _, name, names = ordered.pop(0)
            budgets[name].configure(CONFIGURATION, names, now)
        for name in NAMES:
            budget = budgets[name]._budgets_by_region.get("south")
            if budget is not None and rng.random() < 0.7:
                sends.append((now, budget.take(rng.randrange(200_000), now)))
    half = LIMIT_BITS / 8 / 2
    assert exceeded(sends, half / 1000, half * SETTINGS.burst_ms / 1000) <= 0
    assert sum(size for _, size in sends) > 0


def test_all_data_centres_and_instances_share_the_whole():
    total = 0
    for data_centre in ("n1", "n2"):
        for name in NAMES:
            budgets = LinkBudgets(SETTINGS, data_centre, name)
            budgets.configure(CONFIGURATION, NAMES, 0)
            budget = budgets.budget("s1")
            assert budget.take(10**9, 499) == 0, "nothing before the share has risen"
            total += sum(budget.take(10**9, now) for now in range(500, 1_501))
    contract = contracts(CONFIGURATION, SETTINGS)["link/ns/south"]
    assert contract.rate_per_s * 1024 - 6 <= total <= contract.rate_per_s * 1024
    assert contract.rate_per_s * 8 * 1024 <= LIMIT_BITS * 0.9


def test_ready_at_is_when_the_bytes_are_there():
    budgets = LinkBudgets(SETTINGS, "n1", "a")
    budgets.configure(CONFIGURATION, ("a",), 0)
    budget = budgets.budget("s1")
    assert budget.ready_at(5_000, 0) == 500
    assert not budget.has_room(100)
    at = budget.ready_at(5_000, 500)
    assert budget.take(5_000, at - 1) < 5_000
    budgets = LinkBudgets(SETTINGS, "n1", "a")
    budgets.configure(CONFIGURATION, ("a",), 0)
    assert budgets.budget("s1").take(5_000, at) == 5_000
    assert budgets.has_room("n2", 0), "no limit inside a region"
