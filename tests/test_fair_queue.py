from collections import Counter

from hypothesis import given, settings, strategies as st

from sequoiahook.decisions.pool.fair_queue import FairQueue, QueuedRequest

SLOTS = 4
FLOWS = st.dictionaries(
    st.sampled_from("abcd"),
    st.tuples(st.integers(1, 5), st.integers(5, 80)),
    min_size=2,
)


def request(number, organisation, cost_ms=50, start_by=10**9):
    return QueuedRequest(number, organisation, start_by, start_by, cost_ms)


@settings(max_examples=100)
@given(FLOWS, st.sampled_from((50, 400)))
def test_backlogged_organisations_get_slot_time_by_share(flows, rounds):
    """Slot time divided by share differs at most by the work in flight."""
    queue = FairQueue()
    queue.set_shares({name: share for name, (share, _) in flows.items()})
    number = 0
    for name in flows:
        for _ in range(5):
            number += 1
            queue.push(request(number, name))
    running = []
    served_ms = Counter()
    now = 0
    for _ in range(rounds):
        while len(running) < SLOTS:
            started = queue.pop()
            number += 1
            queue.push(request(number, started.organisation))
            running.append((now + flows[started.organisation][1], started.organisation))
        running.sort()
        now, name = running.pop(0)
        duration_ms = flows[name][1]
        served_ms[name] += duration_ms
        queue.charge(name, duration_ms - 50)
        shares = {other: served_ms[other] / flows[other][0] for other in flows}
        # One request may be early, and those in flight are charged at their estimate.
        bound = (SLOTS + 1) * 80
        assert max(shares.values()) - min(shares.values()) <= 2 * bound


def test_idle_organisation_accumulates_no_credit():
    queue = FairQueue()
    queue.push(request(200, "late"))
    for number in range(100):
        queue.push(request(number, "busy"))
    for _ in range(50):
        queue.pop()
    for number in range(100, 120):
        queue.push(request(number, "late"))
    order = [queue.pop().organisation for _ in range(20)]
    assert order.count("late") in (10, 11)


@settings(max_examples=100)
@given(st.lists(st.tuples(st.sampled_from("abc"), st.integers(1, 90)), max_size=30))
def test_work_ahead_matches_what_is_served_before(pushes):
    """Without new arrivals the estimate is exact, give or take one request."""
    queue = FairQueue()
    for number, (name, cost_ms) in enumerate(pushes):
        queue.push(request(number, name, cost_ms))
    estimate_ms = queue.work_ahead_ms("a")
    queue.push(request("last", "a"))
    ahead_ms = 0
    while (served := queue.pop()).request_id != "last":
        ahead_ms += served.cost_ms
    assert abs(ahead_ms - estimate_ms) <= 2 * 90


def test_expiry_heap_drops_removed_requests():
    queue = FairQueue()
    for number in range(10_000):
        queue.push(request(number, "a", start_by=number + 1))
        if number % 100:
            queue.remove(number)
    assert len(queue) == 100
    assert len(queue._expiry) <= 300
    assert queue.next_expiry() == 1
    assert [r.request_id for r in queue.pop_expired(201)] == [0, 100, 200]


def test_observed_wait_includes_later_requests_of_others():
    """Later requests of others leave the organisation one start in 100 ms."""
    queue = FairQueue()
    for number in range(20):
        queue.push(request(number, "a"))
    queue.push(request("b", "b"))
    assert queue.observed_wait_ms("a", 0) == 0, "no service rate is known yet"
    for now in range(0, 1_000, 100):
        served = [queue.pop(now), queue.pop(now)]
        assert {r.organisation for r in served} == {"a", "b"}
        queue.push(request(("b", now), "b"))
    assert 0.7 * 1_000 <= queue.observed_wait_ms("a", 900) <= 1_100
    assert queue.work_ahead_ms("a") <= 1_100
