"""The backlog of a target, against a model that runs its slots step by step."""

from hypothesis import given, strategies as st
from pytest import approx

from sequoiahook.decisions.direct.target_backlog import OpenWork, TargetBacklog

TYPICAL_MS = 100.0


def a_work(mean_ms, begins_at=0, tail_ms=None):
    tail_ms = 3 * mean_ms if tail_ms is None else tail_ms
    return OpenWork(begins_at, begins_at, float(mean_ms), float(tail_ms))


def a_backlog(*works):
    backlog = TargetBacklog()
    for work in works:
        backlog.add(work)
    return backlog


def time_to_free_slot(slots, works_ms):
    """Run requests in their order, one millisecond after the other."""
    running, queue, now = [], list(works_ms), 0
    while True:
        while queue and len(running) < slots:
            running.append(queue.pop(0))
        if len(running) < slots:
            return now
        running = [left - 1 for left in running]
        running = [left for left in running if left > 0]
        now += 1


@given(
    slots=st.integers(1, 5),
    works_ms=st.lists(st.integers(1, 60), max_size=15),
)
def test_own_requests_end_in_their_order(slots, works_ms):
    backlog = a_backlog(*(a_work(work_ms) for work_ms in works_ms))
    start_ms = backlog.start_ms(slots, len(works_ms), TYPICAL_MS, 1.0, 0)
    assert start_ms == approx(time_to_free_slot(slots, works_ms))


@given(slots=st.integers(1, 6), others=st.integers(0, 20))
def test_more_requests_of_others_never_shorten_the_wait(slots, others):
    backlog = a_backlog()
    waits = [
        backlog.start_ms(slots, count, TYPICAL_MS, 1.0, 0)
        for count in (others, others + 1)
    ]
    assert waits[0] <= waits[1]
    assert (waits[0] > 0) == (others >= slots)


def test_requests_of_others_are_as_far_as_on_average():
    """Three that run end after a quarter, a half and three quarters of the work."""
    assert a_backlog().start_ms(3, 3, TYPICAL_MS, 1.0, 0) == 25
    assert a_backlog().start_ms(3, 4, TYPICAL_MS, 1.0, 0) == 50
    assert a_backlog().start_ms(1, 1, TYPICAL_MS, 1.0, 0) == 50


def test_elapsed_time_shortens_the_remaining_work():
    work = a_work(200)
    assert work.remaining_ms(1.0, 0) == 200
    assert work.remaining_ms(1.0, 150) == 50
    assert work.remaining_ms(1.0, 200) == 20


def test_request_that_lasts_longer_than_its_mean_work_is_probably_expensive():
    work = a_work(200, tail_ms=1_400)
    assert work.remaining_ms(1.0, 300) == 0.5 * (1_400 - 300)
    assert work.remaining_ms(1.0, 500) == 900
    assert work.remaining_ms(1.0, 5_000) == 20


def test_queued_request_has_all_of_its_work_left():
    work = a_work(200, begins_at=1_000)
    assert work.remaining_ms(1.0, 600) == 200


def test_slow_machine_takes_longer():
    assert a_backlog(a_work(200)).start_ms(1, 1, TYPICAL_MS, 2.5, 0) == 500


@given(
    works=st.lists(st.integers(1, 5).map(a_work), max_size=12),
    rng=st.randoms(use_true_random=False),
)
def test_each_ended_request_is_removed_once(works, rng):
    """Equal requests are frequent, and each must free one entry only."""
    backlog = a_backlog(*works)
    ended = list(works)
    rng.shuffle(ended)
    for count, work in enumerate(ended, start=1):
        backlog.remove(work)
        assert len(backlog) == len(works) - count
    backlog.remove(a_work(1))
    assert len(backlog) == 0
