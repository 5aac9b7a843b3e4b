"""Targets that asked for rest get no requests of the asked instance meanwhile."""

import pytest

from sequoiahook.decisions.direct.requests import Attempt, Cause, Refuse
from sequoiahook.decisions.exchange.target_result import Stage, TargetResult
from sequoiahook.world.target import StatedRest
from tests.direct_parts import a_request, a_route, a_target
from tests.test_direct_attempts import a_core

NOW = 10_000
REST_MS = 3_000
ANSWER = TargetResult(Stage.ANSWERED, status=200)


def rest(duration_ms=REST_MS):
    return TargetResult(Stage.SHED, status=503, stated_rest=StatedRest(duration_ms))


def warm_core(targets=3, route=None):
    return a_core(route=route, targets=targets, now=0)


def send(core, now, key="17"):
    core.freshness.confirm(now)
    request = core.admission.admit(a_request(object_key=key), now)
    return core.attempts.next_step(request, now)


def sent_to(core, now, count=40):
    """Return the targets of requests for many new objects, each answered at once."""
    ids = []
    for number in range(count):
        step = send(core, now, key=f"{now}-{number}")
        if isinstance(step, Attempt):
            ids.append(step.state.record.id)
            core.attempts.on_ended(step, ANSWER, now)
    return ids


def ask(core, now=NOW, duration_ms=REST_MS, key="17"):
    """Let the owner of an object ask for rest, and return its id."""
    attempt = send(core, now, key)
    step = core.attempts.on_ended(attempt, rest(duration_ms), now)
    if isinstance(step, Attempt):
        core.attempts.on_ended(step, ANSWER, now)
    return attempt.state.record.id


def test_rest_binds_all_objects_and_ends():
    core = warm_core()
    target_id = ask(core)
    assert target_id not in sent_to(core, NOW + 10)
    assert target_id not in sent_to(core, NOW + REST_MS - 1)
    assert target_id in sent_to(core, NOW + REST_MS)


def test_retries_and_trials_after_a_suspension_respect_the_rest():
    core = warm_core(targets=2)
    target_id = ask(core)
    other = send(core, NOW + 10)
    assert other.state.record.id != target_id
    step = core.attempts.on_ended(other, TargetResult(Stage.CONNECT_REFUSED), NOW + 20)
    assert isinstance(step, Refuse)
    assert step.cause == Cause.TARGETS_RESTING


def test_request_that_waits_for_a_connection_is_not_written():
    core = warm_core()
    waiting = send(core, NOW)
    ask(core, NOW + 1)
    assert not core.attempts.may_write(waiting, NOW + 2)
    step = core.attempts.on_ended(waiting, TargetResult(Stage.NOTHING_WRITTEN), NOW + 2)
    assert step.state is not waiting.state


def test_answers_on_their_way_neither_end_nor_shorten_a_rest():
    core = warm_core()
    first, second, third = (send(core, NOW) for _ in range(3))
    assert first.state is second.state is third.state
    core.attempts.on_ended(first, rest(), NOW)
    core.attempts.on_ended(second, ANSWER, NOW + 100)
    core.attempts.on_ended(third, rest(200), NOW + 200)
    assert first.state.rest_until == NOW + REST_MS
    assert first.state.record.id not in sent_to(core, NOW + REST_MS - 1)


def test_longer_rest_extends_one_that_runs():
    core = warm_core()
    first, second = (send(core, NOW) for _ in range(2))
    core.attempts.on_ended(first, rest(1_000), NOW)
    core.attempts.on_ended(second, rest(), NOW + 100)
    assert first.state.rest_until == NOW + 100 + REST_MS


def test_new_run_of_a_target_starts_without_rest():
    core = warm_core()
    target_id = ask(core)
    core.targets.put(a_target(target_id, started_at=2), NOW + 100)
    assert target_id in sent_to(core, NOW + 200)


def test_owner_of_an_object_has_it_back_after_the_rest():
    core = warm_core()
    target_id = ask(core)
    assert send(core, NOW + 10).state.record.id != target_id
    assert send(core, NOW + REST_MS).state.record.id == target_id


def test_target_gets_one_request_at_a_time_until_it_answers_after_the_rest():
    core = warm_core()
    target_id = ask(core)
    now = NOW + REST_MS
    first = send(core, now)
    assert first.state.record.id == target_id
    assert send(core, now).state.record.id != target_id
    core.attempts.on_ended(first, ANSWER, now + 50)
    attempts = [send(core, now + 60) for _ in range(2)]
    assert {attempt.state.record.id for attempt in attempts} == {target_id}


def test_refusal_tells_when_the_first_rest_ends():
    core = warm_core(targets=1, route=a_route(attempts_max=3))
    ask(core)
    step = send(core, NOW + 1_000)
    assert (step.status, step.cause) == (503, Cause.TARGETS_RESTING)
    assert step.retry_after_ms == REST_MS - 1_000


def test_refused_request_returns_its_token_and_says_not_run():
    core = warm_core(targets=1)
    attempt = send(core, NOW)
    step = core.attempts.on_ended(attempt, rest(), NOW)
    assert isinstance(step, Refuse)
    assert step.status == 503
    assert not attempt.request.may_have_run


@pytest.mark.parametrize("duration_ms", [0, 250])
def test_short_rests_do_not_suspend_a_target_for_longer(duration_ms):
    core = warm_core()
    target_id = ask(core, duration_ms=duration_ms)
    assert target_id in sent_to(core, NOW + duration_ms)


def test_rest_does_not_let_requests_leave_their_region_without_bound():
    core = a_core(targets=1, now=0)
    south = a_target("south", region="south", data_centre="south-a")
    core.targets.put(south, 0)
    core.selector.home_shares.permille_by_service["s"] = 1_000
    target_id = ask(core)
    assert target_id == "t0"
    moved = sent_to(core, NOW + 10, count=100)
    assert len(moved) < 30
    assert core.selector.lost_capacity.ratio(NOW + 10) == 0
