"""Placement for services that state their pace, and its explanation."""

from collections import deque

import pytest

from sequoiahook.decisions.direct.answer_sizes import AnswerSizes
from sequoiahook.decisions.direct.region_summary import PlacedBy
from sequoiahook.decisions.direct.requests import Attempt, Cause
from sequoiahook.decisions.direct.target_explanation import Obstacle
from sequoiahook.decisions.direct.target_registry import (
    TargetRegistry,
    TargetRegistrySettings,
)
from sequoiahook.decisions.direct.target_selection import (
    TargetSelectionSettings,
    TargetSelector,
)
from sequoiahook.decisions.direct.target_selection_settings import NearbySettings
from sequoiahook.decisions.exchange.target_result import Stage, TargetResult
from sequoiahook.world.target import LoadReport, StatedLimit
from tests.direct_parts import a_query, a_request, a_route, a_target
from tests.test_direct_attempts import a_core

REGIONS = ("north", "south")
PACED = LoadReport(0, 4, 100)
QUERY = a_query()


def some_targets(count, region="north", prefix="n", **changes):
    return [a_target(f"{prefix}{i}", region=region, **changes) for i in range(count)]


class Placing:
    """A selector whose service states its pace."""

    def __init__(self, *targets, data_centre="", is_paced=True, share=1_000):
        self.registry = TargetRegistry(TargetRegistrySettings())
        self.registry.replace({target.id: target for target in targets}, 0)
        self.selector = TargetSelector(
            TargetSelectionSettings(), "north", REGIONS, self.registry, 0, data_centre
        )
        self.selector.home_shares.permille_by_service["s"] = share
        self.states = self.registry.states_by_id
        if is_paced:
            for state in self.states.values():
                self.selector.record_load(state, PACED, -10_000)

    def choose(self, now=0, **changes):
        return self.selector.choose(QUERY._replace(**changes), now)

    def send(self, now=0, **changes):
        placement = self.choose(now, **changes)
        if placement.state is not None:
            placement.state.on_sent(now)
            self.selector.record_sent(placement, now)
        return placement

    def order(self, region="north"):
        """Return the targets in the order of the object, nearest first."""
        explanation = self.selector.explain(QUERY, 0)
        return [t.target for t in explanation.targets if t.region == region]

    def fill(self, target_id, count=12, now=0):
        for _ in range(count):
            self.states[target_id].on_sent(now)

    def know(self, target_id, now=0):
        self.selector.estimates.record_handled(
            QUERY.route, QUERY.object_key, self.states[target_id], now
        )


def test_service_states_its_pace_after_a_fourth_figure_only():
    placing = Placing(*some_targets(2), is_paced=False)
    selector, state = placing.selector, placing.states["n0"]
    selector.record_load(state, LoadReport(0, 4, None), 0)
    assert not selector.states_pace("s")
    selector.record_load(state, LoadReport(0, 4, 90), 0)
    selector.record_load(state, LoadReport(0, 4, None), 0)
    assert selector.states_pace("s")
    assert not selector.states_pace("other")


def test_idle_targets_beat_a_refusal():
    """Hot objects filled the first two targets, and the others stood idle."""
    for is_paced in (False, True):
        placing = Placing(*some_targets(8), is_paced=is_paced)
        first, second = placing.order()[:2]
        placing.fill(first)
        placing.fill(second)
        placement = placing.choose()
        assert (placement.state is not None) == is_paced
    assert placement.placed_by == PlacedBy.HOME


def test_at_most_six_targets_of_the_own_region_and_two_of_each_other():
    north = some_targets(9)
    south = some_targets(9, "south", "s", data_centre="south-a")
    placing = Placing(*north, *south)
    assert len(placing.order("north")) == 6
    assert len(placing.order("south")) == 2
    for target_id in placing.order("north"):
        placing.fill(target_id)
    for target_id in placing.order("south"):
        placing.fill(target_id)
    assert placing.choose().cause == Cause.TARGETS_FULL


def test_full_targets_get_no_request_beyond_three_times_their_slots():
    placing = Placing(*some_targets(3))
    for target_id in placing.states:
        placing.know(target_id)
    learnt = a_query(a_route(latency_goal_ms=1))
    for _ in range(200):
        placing.selector.work.record(learnt, 1.0, 1.0, is_cached=True)
    patient = a_route(latency_goal_ms=10**6, timeout_ms=10**7)
    for _ in range(100):
        placing.send(route=patient, remaining_ms=10**7)
    assert [state.open_count for state in placing.states.values()] == [12, 12, 12]
    placing.selector.record_load(placing.states["n0"], LoadReport(0, 4, 100), 0)
    assert placing.choose(route=patient, remaining_ms=10**7).state is None


def test_urgent_requests_queue_longer():
    counts = []
    for priority in (2, 1, 0):
        placing = Placing(*some_targets(1))
        while placing.send(priority=priority).state is not None:
            pass
        counts.append(placing.states["n0"].open_count)
    assert counts == sorted(counts)
    assert 4 <= counts[0] < counts[-1] <= 12


def test_cached_object_outweighs_a_moderately_slow_target():
    placing = Placing(*some_targets(6))
    owner, other = placing.order()[:2]
    placing.know(owner)
    placing.states[owner].record_load(LoadReport(0, 4, 250), 0)
    assert placing.choose().state.record.id == owner
    placing.states[owner].record_load(LoadReport(0, 4, 400), 0)
    assert placing.choose().state.record.id == other
    assert placing.choose(now=600).state.record.id == owner


def test_owner_is_preferred_if_times_are_about_equal():
    placing = Placing(*some_targets(6))
    owner, other = placing.order()[:2]
    for target_id in (owner, other):
        placing.know(target_id)
    placing.states[owner].record_load(LoadReport(0, 4, 110), 0)
    assert placing.choose().state.record.id == owner
    placing.states[owner].record_load(LoadReport(0, 4, 150), 0)
    assert placing.choose().state.record.id == other


def test_busy_region_spreads_objects_to_idle_targets_only():
    """Work without a cached object takes the room of several requests."""
    placing = Placing(*some_targets(6))
    owner, *others = placing.order()
    placing.fill(owner)
    for target_id in others[:-1]:
        placing.fill(target_id, 3)
    assert placing.choose().state.record.id in others
    for target_id in others[:-1]:
        placing.fill(target_id, 1)
    assert placing.choose().state.record.id == others[-1]
    placing.fill(others[-1], 1)
    assert placing.choose().cause == Cause.TARGETS_FULL
    placing.know(others[-1])
    assert placing.choose().state.record.id == others[-1]


def test_target_without_the_object_and_without_free_slots_is_not_used():
    placing = Placing(*some_targets(2))
    owner, other = placing.order()
    placing.fill(owner)
    placing.fill(other, 4)
    patient = {"route": a_route(latency_goal_ms=2_000, timeout_ms=9_000)}
    assert placing.choose(**patient, remaining_ms=9_000).state is None
    single = placing.choose(**patient, remaining_ms=9_000, regions=("north",))
    assert single.state.record.id == other


def test_old_report_of_a_full_target_is_not_believed():
    placing = Placing(*some_targets(1))
    placing.selector.record_load(placing.states["n0"], LoadReport(50, 4, 100), 0)
    assert placing.choose(now=300).cause == Cause.TARGETS_FULL
    assert placing.choose(now=301).state is not None


def test_false_report_of_idleness_does_not_hide_own_requests():
    placing = Placing(*some_targets(2))
    for _ in range(200):
        placing.send(route=a_route(latency_goal_ms=10**6))
        placing.selector.record_load(placing.states["n0"], LoadReport(0, 4, 1), 0)
    assert placing.states["n0"].open_count <= 12


def two_data_centres():
    return [
        *some_targets(6, prefix="a", data_centre="north-a"),
        *some_targets(6, prefix="b", data_centre="north-b"),
    ]


@pytest.mark.parametrize("is_paced", [False, True])
@pytest.mark.parametrize(("answer_bytes", "is_near"), [(16_383, False), (16_384, True)])
def test_large_answers_come_from_the_own_data_centre(answer_bytes, is_near, is_paced):
    """Large answers crossed between data centres for half of the requests."""
    placing = Placing(*two_data_centres(), data_centre="north-b", is_paced=is_paced)
    shared = Placing(*two_data_centres(), is_paced=is_paced)
    placing.selector.answer_sizes.record(QUERY.route, answer_bytes)
    keys = [str(number) for number in range(30)]
    first = [placing.choose(object_key=key).state.record for key in keys]
    others = [shared.choose(object_key=key).state.record for key in keys]
    if is_near:
        assert {target.data_centre for target in first} == {"north-b"}
    else:
        assert first == others


def test_region_with_few_targets_has_no_second_owner_of_objects():
    """A second owner displaced other objects from the few caches of a region."""
    placing = Placing(*two_data_centres(), data_centre="north-b", share=300)
    shared = Placing(*two_data_centres())
    placing.selector.answer_sizes.record(QUERY.route, 90_000)
    query = QUERY._replace(regions=("north",))
    expected = shared.selector.choose(query, 0).state.record
    assert placing.selector.choose(query, 0).state.record == expected


def test_answer_sizes_follow_the_mean_and_are_bounded():
    sizes = AnswerSizes(NearbySettings(routes_max=2))
    routes = [a_route(name=name) for name in ("first", "second", "third")]
    for route in routes:
        sizes.record(route, 100_000)
    assert [sizes.are_large(route) for route in routes] == [False, True, True]
    for _ in range(30):
        sizes.record(routes[2], 400)
    assert not sizes.are_large(routes[2])


def test_limit_on_change_of_region_still_binds():
    south = some_targets(3, "south", "s", data_centre="south-a")
    placing = Placing(*some_targets(1), *south)
    placing.fill("n0", 12)
    moved = [placing.send() for _ in range(30)]
    assert moved[0].placed_by == PlacedBy.OVERFLOW
    assert moved[1].cause == Cause.SHIFT_LIMIT


def test_tried_suspended_resting_and_blocked_targets_are_not_used():
    placing = Placing(*some_targets(5))
    tried, suspended, resting, blocked, left = placing.order()
    placing.states[suspended].on_sent(0)
    placing.states[suspended].on_ended(Stage.CONNECT_REFUSED, 0)
    placing.states[resting].rest_until = 1_000
    placing.states[blocked].limit_per_s = 5.0
    placing.states[blocked].blocked_until = 1_000
    query = QUERY._replace(tried_ids=frozenset([tried]))
    assert placing.selector.choose(query, 10).state.record.id == left
    obstacles = {
        t.target: t.obstacle for t in placing.selector.explain(query, 10).targets
    }
    assert obstacles == {
        tried: Obstacle.TRIED,
        suspended: Obstacle.SUSPENDED,
        resting: Obstacle.RESTING,
        blocked: Obstacle.LIMITED,
        left: "",
    }


def test_cold_target_is_used_only_without_others():
    placing = Placing(a_target("n0", cold_ms=10_000), a_target("n1"))
    assert {placing.choose(object_key=str(n)).state.record.id for n in range(9)} == {
        "n1"
    }
    placing.registry.remove("n1", 0)
    assert placing.choose().state.record.id == "n0"


def test_request_of_one_region_stays_there():
    south = some_targets(3, "south", "s", data_centre="south-a")
    placing = Placing(*some_targets(1), *south)
    placing.fill("n0")
    assert placing.choose(regions=("north",)).cause == Cause.TARGETS_FULL


def test_earliest_answer_is_used_if_others_are_too_late():
    placing = Placing(*some_targets(2))
    owner, other = placing.order()
    placing.know(owner)
    placing.know(other)
    placing.states[owner].record_load(LoadReport(0, 4, 110), 0)
    late_ms = placing.choose().expected_ms
    assert placing.choose(remaining_ms=late_ms).state.record.id == owner
    assert placing.choose(remaining_ms=late_ms - 1).state.record.id == other


RESULTS = (
    TargetResult(Stage.ANSWERED, status=200),
    TargetResult(Stage.ANSWERED, status=500),
    TargetResult(Stage.SHED, status=503),
    TargetResult(Stage.CONNECT_REFUSED),
    TargetResult(Stage.CONNECT_TIMEOUT),
    TargetResult(Stage.NOTHING_WRITTEN),
    TargetResult(Stage.WRITTEN_NO_ANSWER),
    TargetResult(Stage.ANSWER_TRUNCATED),
)


@pytest.mark.parametrize("result", RESULTS)
@pytest.mark.parametrize("is_abandoned", [False, True])
@pytest.mark.parametrize("is_lost", [False, True])
def test_ended_attempt_leaves_the_backlog(result, is_abandoned, is_lost):
    """An entry that stayed would count as work of the target for ever."""
    core = a_core()
    states = core.targets.states_by_id
    for state in states.values():
        core.selector.record_load(state, PACED, 0)
    request = core.admission.admit(a_request(), 0)
    step = core.attempts.next_step(request, 0)
    assert len(step.state.backlog) == 1
    core.connectivity.is_lost = is_lost
    while isinstance(step, Attempt):
        if is_abandoned:
            core.attempts.on_abandoned(step, result, 50)
            break
        step = core.attempts.on_ended(step, result, 50)
    assert all(len(state.backlog) == 0 for state in states.values())
    assert all(state.open_count == 0 for state in states.values())


def plain(value):
    """Return a copy of a value in which objects are replaced by their attributes."""
    if isinstance(value, dict):
        return {key: plain(content) for key, content in value.items()}
    if isinstance(value, list | tuple | set | deque):
        return [plain(content) for content in value]
    return plain(vars(value)) if hasattr(value, "__dict__") else value


def snapshot(selector, registry):
    """Return all that a decision could change."""
    return plain(
        [
            selector.owners.home_shares,
            selector.owners._ramp,
            selector.shift_limit,
            selector.summary,
            list(selector._candidates._rankings_by_key),
            selector.lost_capacity,
            registry.states_by_id,
        ]
    )


@pytest.mark.parametrize("is_paced", [False, True])
@pytest.mark.parametrize("share", [None, 500])
def test_explanation_changes_nothing_and_names_the_same_target(is_paced, share):
    south = some_targets(4, "south", "s", data_centre="south-a")
    placing = Placing(*some_targets(4), *south, is_paced=is_paced)
    selector = placing.selector
    if share is None:
        selector.home_shares.permille_by_service.clear()
    else:
        selector.home_shares.permille_by_service["s"] = share
    placing.registry.group("s", "north")
    for number in range(60):
        now = number * 150
        query = QUERY._replace(object_key=str(number % 7), remaining_ms=5_000)
        before = snapshot(selector, placing.registry)
        explanation = selector.explain(query, now)
        assert snapshot(selector, placing.registry) == before
        placement = selector.choose(query, now)
        assert explanation.decision == placement
        chosen = [t.target for t in explanation.targets if not t.obstacle]
        if placement.state is None:
            assert chosen == []
        else:
            assert chosen == [placement.state.record.id]
            placement.state.on_sent(now)
            selector.record_sent(placement, now)
        if number == 20:
            selector.home_shares.permille_by_service["s"] = 200


def test_explanation_shows_what_rules_each_target_out():
    south = some_targets(2, "south", "s", data_centre="south-a")
    placing = Placing(*some_targets(2), *south)
    placing.send()
    for _ in range(100):
        placing.selector.shift_limit.record_request(0, is_moved=True)
    full = placing.order()[0]
    placing.fill(full)
    explanation = placing.selector.explain(QUERY, 0)
    by_target = {t.target: t for t in explanation.targets}
    assert explanation.states_pace
    assert explanation.region_order == ("north", "south")
    assert by_target[full].obstacle == Obstacle.FULL
    assert by_target[full].start_ms > 0
    assert by_target["s0"].obstacle == Obstacle.SHIFT_LIMIT
    assert by_target["s0"].round_trip_ms > 0
    assert by_target["s0"].work_ms > by_target[full].work_ms
    assert by_target[full].is_cached
    assert not by_target["s0"].is_cached


def test_permit_of_a_target_with_a_limit_is_still_needed():
    core = a_core(targets=1)
    state = core.targets.states_by_id["t0"]
    core.selector.record_load(state, PACED, 0)
    state.stated_limit = StatedLimit(5.0)
    state.limit_per_s = 5.0
    request = core.admission.admit(a_request(), 0)
    assert not isinstance(core.attempts.next_step(request, 0), Attempt)
    assert len(state.backlog) == 0
