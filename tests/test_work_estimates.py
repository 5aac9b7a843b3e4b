"""Expected work: what single observations, objects and organisations change."""

from hypothesis import given, strategies as st
from pytest import approx

from sequoiahook.decisions.direct.work_estimates import (
    WorkEstimates,
    WorkEstimateSettings,
)
from tests.direct_parts import LATENCY_GOAL_MS, a_query, a_route

INITIAL_MS = LATENCY_GOAL_MS * 0.35


def estimates(**settings):
    return WorkEstimates(WorkEstimateSettings(**settings))


def learn(work, works_ms, query=None, *, is_cached=True):
    for work_ms in works_ms:
        work.record(query or a_query(), work_ms, 1.0, is_cached=is_cached)


def test_first_expectation_follows_from_the_latency_goal():
    expected = estimates().expect(a_query())
    assert expected.cached_ms == INITIAL_MS
    assert expected.uncached_ms == 3 * INITIAL_MS


def test_route_converges_to_the_mean_work():
    work = estimates()
    learn(work, [50.0, 150.0] * 300, a_query(object_key=""))
    assert work.expect(a_query(object_key="")).cached_ms == approx(100, rel=0.1)


def test_single_observation_of_an_object_has_little_weight():
    work = estimates()
    for number in range(500):
        learn(work, [INITIAL_MS], a_query(object_key=str(number)))
    learn(work, [7 * INITIAL_MS], a_query(object_key="dear"))
    assert work.expect(a_query(object_key="dear")).cached_ms < 2 * INITIAL_MS
    learn(work, [7 * INITIAL_MS] * 60, a_query(object_key="dear"))
    dear_ms = work.expect(a_query(object_key="dear")).cached_ms
    assert dear_ms > 4 * work.expect(a_query(object_key="499")).cached_ms


def test_organisation_and_size_of_the_body_change_the_work():
    work = estimates()
    for _ in range(200):
        learn(work, [100.0], a_query(object_key="", organisation="small"))
        learn(work, [400.0], a_query(object_key="", organisation="large"))
        learn(work, [400.0], a_query(object_key="", body_bytes=1 << 20))
        learn(work, [100.0], a_query(object_key="", body_bytes=100))

    def cached_ms(**changes):
        return work.expect(a_query(object_key="", **changes)).cached_ms

    assert cached_ms(organisation="large") > 2 * cached_ms(organisation="small")
    assert cached_ms(body_bytes=(1 << 20) + 5) > 2 * cached_ms(body_bytes=99)


def test_routes_are_independent():
    work = estimates()
    learn(work, [1_000.0] * 100)
    other = a_query(a_route(name="other"))
    assert work.expect(other).cached_ms == INITIAL_MS


def test_ratio_of_uncached_objects_is_learnt_within_bounds():
    work = estimates()
    learn(work, [INITIAL_MS * 5] * 300, is_cached=False)
    expected = work.expect(a_query())
    assert expected.cached_ms == INITIAL_MS
    assert expected.uncached_ms == approx(5 * INITIAL_MS, rel=0.1)
    learn(work, [1.0] * 1_000, is_cached=False)
    assert work.expect(a_query()).uncached_ms == approx(1.5 * INITIAL_MS)


def test_tail_is_exceeded_by_one_request_in_twenty():
    work = estimates()
    query = a_query(object_key="")
    learn(work, ([100.0] * 30 + [700.0]) * 60, query)
    rare = work.expect(query).tail_ratio
    learn(work, ([100.0] * 5 + [700.0]) * 300, query)
    assert rare < 2.5 < work.expect(query).tail_ratio


def test_tables_are_bounded_and_lose_the_least_recently_used():
    work = estimates(objects_max=10, organisations_max=5)
    kept = a_query(object_key="kept", organisation="kept")
    for number in range(100):
        learn(work, [9 * INITIAL_MS], kept)
        query = a_query(object_key=str(number), organisation=str(number))
        learn(work, [INITIAL_MS], query)
    assert len(work._ratio_by_object) == 10
    assert len(work._ratio_by_organisation) == 5
    assert work.expect(kept).cached_ms > 2 * work.expect(a_query()).cached_ms


@given(
    works_ms=st.lists(st.floats(0.0, 1e9), max_size=50),
    weight=st.floats(0.0, 1.0),
    is_cached=st.booleans(),
)
def test_no_observation_makes_an_expectation_meaningless(works_ms, weight, is_cached):
    """A pause of a target, or an answer within a millisecond."""
    work = estimates()
    for work_ms in works_ms:
        work.record(a_query(), work_ms, weight, is_cached=is_cached)
    expected = work.expect(a_query())
    assert 0 < expected.cached_ms < expected.uncached_ms < 1e12
    assert 1 <= expected.tail_ratio <= 20
