"""Shares of capacity: the level, the ratios, the counts and their expiry."""

import itertools
import math

import pytest
from hypothesis import given, strategies as st

from sequoiahook.decisions.direct.organisation_shares import (
    OrganisationShares,
    ShareSettings,
    bounded,
    combined,
    contract_weights,
    max_min_level,
    ratios,
)
from sequoiahook.messages.shares import ORGANISATIONS_MAX, ShareDemand
from tests.direct_parts import an_organisation

WORK_MS = 200
SETTINGS = ShareSettings()


def a_demand(started, offered, **changes):
    return ShareDemand("", "s", True, started, 0, offered)._replace(**changes)


def shares_under_load(offered, started, refused, at=1_000):
    shares = OrganisationShares(SETTINGS)
    for _ in range(offered):
        shares.record_offered("s", "one", WORK_MS, at)
    for _ in range(started):
        shares.record_started("s", "one", WORK_MS, at)
    for _ in range(refused):
        shares.record_refused("s", at)
    return shares


demands = st.dictionaries(st.text(max_size=3), st.integers(0, 10_000), max_size=8)


@given(demands, st.integers(0, 40_000))
def test_the_level_gives_out_the_whole_capacity(offered, capacity):
    """Guards against capacity that is left unused or given out twice."""
    level = max_min_level(offered, capacity)
    given_out = sum(min(work, level) for work in offered.values())
    if sum(offered.values()) <= capacity:
        assert level == math.inf
    else:
        assert given_out == pytest.approx(capacity)


@given(
    demands, st.integers(0, 40_000), st.dictionaries(st.text(max_size=3), st.just(3))
)
def test_the_level_is_proportional_to_weights(offered, capacity, weights):
    level = max_min_level(offered, capacity, weights)
    served = {n: min(work, level * weights.get(n, 1)) for n, work in offered.items()}
    assert sum(served.values()) <= capacity * 1.001 or level == math.inf
    for one, other in itertools.permutations(served, 2):
        if served[one] < offered[one]:
            per_weight = served[one] / weights.get(one, 1)
            assert served[other] / weights.get(other, 1) <= per_weight * 1.001


def test_what_small_organisations_leave_is_redistributed():
    found = ratios([a_demand(16_000, {"hot": 40_000, "one": 2_400, "two": 2_400})])
    assert found == {"hot": 280}


def test_demands_of_instances_are_added():
    found = ratios(
        [
            a_demand(8_000, {"hot": 20_000, "one": 2_400}),
            a_demand(8_000, {"hot": 20_000, "two": 2_400}, is_short=False),
        ]
    )
    assert found == {"hot": 280}


def test_a_datagram_states_the_largest_demands_and_the_sum_of_the_others():
    offered = {f"o{i}": i for i in range(ORGANISATIONS_MAX + 3)}
    demand = bounded(a_demand(0, offered))
    assert len(demand.offered_by_organisation) == ORGANISATIONS_MAX
    assert demand.other == 0 + 1 + 2
    total = combined("a", [demand, demand])
    assert total.other == 2 * demand.other
    assert total.group == "a"


def test_ratios_count_organisations_that_are_not_stated_as_served_in_full():
    assert ratios([a_demand(16_000, {"hot": 40_000}, other=4_800)]) == {"hot": 280}


def test_a_service_is_short_above_two_percent_of_refusals():
    assert not shares_under_load(100, 98, 2).is_short("s", 1_000)
    assert shares_under_load(100, 97, 3).is_short("s", 1_000)
    assert not OrganisationShares(SETTINGS).is_short("s", 1_000)


def test_counts_expire_after_two_seconds():
    shares = shares_under_load(100, 50, 50)
    assert shares.demand("s", 1_200) == a_demand(5_000, {"one": 10_000})
    assert shares.short_services(1_000 + SETTINGS.window_ms - 1) == ["s"]
    assert shares.short_services(1_000 + SETTINGS.window_ms) == []


def test_a_ratio_that_is_not_confirmed_expires():
    """Guards against shares that outlive a frozen leader."""
    shares = OrganisationShares(SETTINGS)
    shares.set_ratios("s", {"one": 100}, 1_000)
    last = 1_000 + SETTINGS.valid_ms
    assert shares.admit("s", "one", WORK_MS, last).evidence == (100, 2_000)
    assert shares.admit("s", "one", WORK_MS, last + 1) is None
    assert not shares.is_in_force("s", last + 1)


@pytest.mark.parametrize("permille", [50, 280, 500, 700])
def test_credit_admits_the_ratio_without_randomness(permille):
    shares = OrganisationShares(SETTINGS)
    shares.set_ratios("s", {"one": permille}, 0)
    verdicts = [shares.admit("s", "one", WORK_MS, 0) for _ in range(1_000)]
    admitted = sum(verdict.is_credit_spent for verdict in verdicts)
    expected = min(1_000, permille * SETTINGS.credit_percent / 100)
    assert abs(admitted - expected) <= 2


def test_credit_is_counted_in_work():
    """A ratio of requests would admit too much if the admitted ones cost more."""
    shares = OrganisationShares(SETTINGS)
    shares.set_ratios("s", {"one": 400}, 0)
    works = [20, 200] * 500
    spent = [w for w in works if shares.admit("s", "one", w, 0).is_credit_spent]
    assert sum(spent) == pytest.approx(sum(works) * 0.4 * 1.15, abs=400)


def test_organisations_under_the_level_are_not_limited():
    shares = OrganisationShares(SETTINGS)
    shares.set_ratios("s", {"hot": 100}, 0)
    assert shares.admit("s", "one", WORK_MS, 0) is None
    assert shares.admit("other", "hot", WORK_MS, 0) is None


def test_changes_are_reported_once():
    shares = OrganisationShares(SETTINGS)
    shares.set_ratios("s", {"hot": 100}, 0)
    assert [c.permille_by_organisation for c in shares.pop_changes(0)] == [{"hot": 100}]
    assert shares.pop_changes(100) == []
    shares.expire(3_000)
    assert [c.permille_by_organisation for c in shares.pop_changes(3_000)] == [{}]
    assert shares.pop_changes(3_100) == []


def test_large_contract_is_not_taken_for_an_excess():
    """Equal weights limited an organisation with a large contract to a small one's."""
    offered = {"large": 24_000, "small": 4_000, "hot": 20_000}
    rates = {"large": 300.0, "small": 50.0, "hot": 50.0}
    found = ratios([a_demand(32_000, offered)], rates)
    assert found == {"hot": 200}
    assert ratios([a_demand(32_000, offered)]).keys() == {"large", "hot"}


def test_weights_are_the_rates_of_contracts():
    organisations = [an_organisation("one", "key-one", 300), an_organisation()]
    assert contract_weights(organisations[:1]) == {"one": 300.0}
    assert contract_weights(organisations) == {}
