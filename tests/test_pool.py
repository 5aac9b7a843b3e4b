import random
from itertools import pairwise

from sequoiahook.decisions.pool import Refuse, RefuseReason, Start, TargetReport
from sequoiahook.decisions.pool.pool import Pool
from sequoiahook.decisions.pool.settings import PoolSettings
from sequoiahook.decisions.pool.shares import shares
from sequoiahook.world.contract import Contract
from sequoiahook.world.target import Target

OK = TargetReport(True, False, 50, False)
FAULT = TargetReport(False, True, 2, False)


def target(name, slots=2, state="active", port=None, service="register"):
    port = port or 1000 + int(name[1:])
    return Target(name, service, "dc1", "127.0.0.1", port, slots, state)


def pool(*targets, warm_up_ms=0, settings=None):
    subject = Pool(settings or PoolSettings(), "register", random.Random(1))
    subject.configure(targets, warm_up_ms, 0)
    return subject


def test_request_that_would_miss_its_deadline_is_refused_at_once():
    subject = pool(target("t1", slots=1))
    assert subject.submit("a", "x", 5_000, 0) == [Start("a", "t1")]
    (effect,) = subject.submit("b", "x", 60, 0)
    assert (effect.request_id, effect.reason) == ("b", RefuseReason.DEADLINE)
    assert effect.retry_after_ms > 0


def test_blocked_pool_refuses_at_once_with_retry_after():
    subject = Pool(PoolSettings(), "register", random.Random(1))
    subject.take_over(0, 3_000)
    subject.configure([target("t1")], 0, 0)
    (effect,) = subject.submit("a", "x", 2_000, 0)
    assert isinstance(effect, Refuse)
    assert 1_000 <= effect.retry_after_ms <= 1_200
    assert subject.submit("b", "x", 5_000, 0) == []
    assert subject.next_wake(0) == 3_000
    assert subject.tick(3_000) == [Start("b", "t1")]


def test_request_is_refused_as_busy_only_beyond_the_wait_limit():
    subject = pool(target("t1", slots=1))
    assert subject.submit("a", "x", 5_000, 0, 0) == [Start("a", "t1")]
    (effect,) = subject.submit("b", "x", 5_000, 0, 10)
    assert effect.reason == RefuseReason.BUSY
    assert subject.submit("b", "x", 5_000, 0, 100) == []


def test_queue_is_refused_when_no_target_is_left():
    subject = pool(target("t1", slots=1))
    subject.submit("a", "x", 5_000, 0)
    subject.submit("b", "x", 5_000, 0)
    (effect,) = subject.set_leaving(["t1"], 1)
    assert (effect.request_id, effect.reason) == ("b", RefuseReason.NO_TARGET)


def test_failing_target_gets_few_requests_and_longer_suspensions():
    subject = pool(target("t1", slots=4), target("t2", slots=4))
    now = faults = 0
    suspended_at = []
    for number in range(2_000):
        now += 10
        (start,) = subject.submit(number, "x", now + 5_000, now)
        if start.target_name == "t1":
            faults += 1
            suspended_at.append(now)
            subject.finish(number, FAULT, now + 2)
        else:
            subject.finish(number, OK, now + 9)
    assert faults <= 10, "too many requests to a failing target in 20 s"
    gaps = [b - a for a, b in pairwise(suspended_at[3:])]
    assert gaps == sorted(gaps)


def test_suspended_target_is_retried_with_one_request():
    subject = pool(target("t1", slots=4))
    for number in range(3):
        subject.submit(number, "x", 5_000, 0)
        subject.finish(number, FAULT, 0)
    assert subject.submit("a", "x", 5_000, 0) == []
    assert subject.next_wake(0) == 500
    assert subject.submit("b", "x", 5_000, 0) == []
    assert subject.tick(500) == [Start("a", "t1")]
    assert len(subject.finish("a", OK, 550)) == 1
    assert subject.capacity(550) == 2


def test_added_target_warms_up_over_time():
    subject = pool(target("t1", slots=4))
    subject.configure([target("t1", slots=4), target("t2", slots=4)], 900, 0)
    assert [subject.capacity(now) - 4 for now in (0, 300, 600, 900)] == [1, 2, 3, 4]


def test_duplicate_names_and_addresses_are_merged():
    subject = pool(
        target("t1", slots=4),
        target("t1", slots=2),
        target("t2", slots=3, port=1001),
        target("t3", slots=9, service="archive"),
    )
    assert subject.capacity(0) == 2


def test_load_reports_never_raise_the_slots_of_a_target():
    subject = pool(target("t1", slots=5), target("t2", slots=5))
    subject.report_load("t1", -1_000, 0)
    subject.report_load("t2", 100, 0)
    starts = [subject.submit(n, "x", 5_000, 0)[0].target_name for n in range(10)]
    assert starts == ["t1"] * 5 + ["t2"] * 5
    assert subject.submit(10, "x", 5_000, 0) == []


def test_slot_time_is_shared_rather_than_request_count():
    subject = pool(target("t1", slots=1))
    started = []
    for number in range(60):
        subject.submit(("long", number), "long", 60_000, 0)
        subject.submit(("short", number), "short", 60_000, 0)
    for _ in range(40):
        request_id = next(iter(subject._runs)).request_id
        started.append(request_id[0])
        duration_ms = 90 if request_id[0] == "long" else 30
        subject.finish(request_id, OK._replace(duration_ms=duration_ms), 0)
    assert 28 <= started.count("short") <= 32, (
        "three times as many requests of a third of the duration"
    )


def test_flood_of_one_organisation_does_not_delay_others():
    subject = pool(target("t1", slots=2))
    contracts = {"flood": Contract(100, 10), "small": Contract(25, 10)}
    subject.set_shares(shares(contracts))
    for number in range(100):
        subject.submit(number, "flood", 60_000, 0)
    for number in range(100, 104):
        subject.submit(number, "small", 60_000, 0)
    order = []
    for _ in range(13):
        running = next(iter(subject._runs)).request_id
        order += [e.request_id >= 100 for e in subject.finish(running, OK, 50)]
    assert sum(order) == 4, "a third of the starts go to the small organisation"


def test_latest_start_time_allows_for_long_requests():
    subject = pool(target("t1", slots=1))
    for number in range(60):
        subject.submit(number, "x", 5_000, 0)
        duration_ms = 10 if number % 2 else 90
        subject.finish(number, OK._replace(duration_ms=duration_ms), 0)
    (effect,) = subject.submit("a", "x", 150, 0)
    assert effect.reason == RefuseReason.DEADLINE, "a request may run longer than 90 ms"
    assert subject.submit("b", "x", 300, 0) == [Start("b", "t1")]


def test_stopped_pool_reports_no_free_slots():
    subject = pool(target("t1"))
    subject.stop(0)
    summary = subject.summary("dc1", "i1", 1, 1, 0)
    assert (summary.free_slots, summary.wait_ms) == (0, -1)
    (effect,) = subject.submit("a", "x", 5_000, 0)
    assert effect.reason == RefuseReason.MOVED


def test_wait_follows_the_service_rate_when_others_are_served_first():
    subject = pool(target("t1", slots=1))
    for number in range(20):
        subject.submit(number, "a", 60_000, 0)
    for now in range(100, 1_100, 100):
        subject.submit(("b", now), "b", 60_000, now)
        running = next(iter(subject._runs)).request_id
        subject.finish(running, OK, now)
    assert subject.wait_ms("a", 1_000) >= 2_000, (
        "one start in 200 ms and 15 queued requests"
    )


def test_estimate_above_the_deadline_is_corrected():
    subject = pool(target("t1", 1))
    for number in range(50):
        subject.submit(number, "one", number * 1_000 + 500, number * 1_000)
        report = TargetReport(True, False, 900, False)
        subject.finish(number, report, number * 1_000 + 900)
    effects = subject.submit("later", "one", 100_500, 100_000)
    assert effects == [Start("later", "t1")]
