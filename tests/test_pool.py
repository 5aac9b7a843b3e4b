import random

from sequoiahook.decisions.pool import Pool, PoolSettings, Refuse, Start, TargetReport
from sequoiahook.world.target import Target


def target(name, slots=2, state="active", port=None):
    port = port or 1000 + int(name[1:])
    return Target(name, "register", "dc1", "127.0.0.1", port, slots, state)


def pool(*targets, warm_up_ms=0):
    subject = Pool(PoolSettings(), "register", random.Random(1))
    subject.configure(targets, warm_up_ms, 0)
    return subject


def test_request_starts_at_once_on_a_free_slot():
    subject = pool(target("t1"))
    assert subject.submit("a", "x", 5_000, 0) == [Start("a", "t1")]


def test_request_that_cannot_be_in_time_is_refused_at_once():
    subject = pool(target("t1", slots=1))
    subject.submit("a", "x", 5_000, 0)
    (effect,) = subject.submit("b", "x", 60, 0)
    assert isinstance(effect, Refuse)
    assert effect.retry_after_ms > 0


def test_finish_starts_the_next():
    subject = pool(target("t1", slots=1))
    subject.submit("a", "x", 5_000, 0)
    assert subject.submit("b", "x", 5_000, 0) == []
    report = TargetReport(True, False, 10, False)
    assert subject.finish("a", report, 10) == [Start("b", "t1")]
