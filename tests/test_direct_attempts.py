"""Each request ends once, with a true status, within its attempts and retry budget."""

from hypothesis import given, strategies as st

from sequoiahook.decisions.direct.core import DirectCore, DirectCoreSettings
from sequoiahook.decisions.direct.requests import (
    Attempt,
    Cause,
    Deliver,
    Hold,
    OpenRequest,
    Refuse,
)
from sequoiahook.decisions.exchange.target_result import Stage, TargetResult
from sequoiahook.messages.reports import TokenDenial, TokenGrant
from tests.direct_parts import (
    KEY,
    LATENCY_GOAL_MS,
    a_configuration,
    a_request,
    a_route,
    a_target,
    an_instance,
    an_organisation,
)

NOT_RUN_STATUSES = (429, 503, 401, 404)
NOT_RUN_STAGES = (
    Stage.CONNECT_REFUSED,
    Stage.CONNECT_TIMEOUT,
    Stage.NOTHING_WRITTEN,
    Stage.SHED,
)
SETTINGS = DirectCoreSettings(regions=("north", "south"), retry_slack=60)

results = st.one_of(
    st.sampled_from([TargetResult(stage) for stage in Stage if stage.name != "SHED"]),
    st.just(TargetResult(Stage.SHED, status=503)),
    st.sampled_from([200, 404, 500, 503]).map(
        lambda status: TargetResult(Stage.ANSWERED, status=status)
    ),
)


def a_core(route=None, organisations=(), targets=4, now=0):
    core = DirectCore(SETTINGS, an_instance("me"), now)
    core.configure(a_configuration(1, (route or a_route(),), organisations), now)
    core.targets.replace({f"t{i}": a_target(f"t{i}") for i in range(targets)}, now)
    core.freshness.confirm(now)
    return core


def may_have_run(result):
    """Whether a target may have run the request, independently of the tested code."""
    return result.stage not in NOT_RUN_STAGES


@given(
    is_idempotent=st.booleans(),
    attempts_max=st.integers(1, 3),
    outcomes=st.lists(results, min_size=8, max_size=8),
    pause_ms=st.integers(0, 900),
)
def test_final_status_matches_what_targets_ran(
    is_idempotent, attempts_max, outcomes, pause_ms
):
    route = a_route(is_idempotent=is_idempotent, attempts_max=attempts_max)
    core = a_core(route)
    now = 0
    request = core.admission.admit(a_request(), now)
    step = core.attempts.next_step(request, now)
    target_ids, runs = [], 0
    for result in outcomes:
        if not isinstance(step, Attempt):
            break
        assert runs == 0 or is_idempotent
        target_ids.append(step.state.record.id)
        runs += may_have_run(result)
        now += pause_ms
        core.freshness.confirm(now)
        step = core.attempts.on_ended(step, result, now)
    assert not isinstance(step, Attempt)
    assert len(set(target_ids)) == len(target_ids)
    assert runs <= attempts_max
    if isinstance(step, Deliver):
        assert step.result in outcomes
        assert step.result.stage is Stage.ANSWERED
    elif step.status in NOT_RUN_STATUSES:
        assert runs == 0
    else:
        assert runs > 0
    assert all(s.open_count == 0 for s in core.targets.states_by_id.values())


def test_refusal_of_request_that_did_not_run_has_retry_after():
    core = a_core(targets=0)
    request = core.admission.admit(a_request(), 0)
    refusal = core.attempts.next_step(request, 0)
    assert refusal.status == 503
    assert refusal.retry_after_ms > 0


def test_retries_stay_within_budget_of_fleet():
    core = a_core()
    names = {f"p{i}": an_instance(f"p{i}") for i in range(9)}
    core.set_instances(names, 0)
    shed = TargetResult(Stage.SHED, status=503)
    first_attempts, retries = 0, 0
    for number in range(400):
        now = number * 10
        core.freshness.confirm(now)
        request = core.admission.admit(a_request(object_key=str(number)), now)
        step = core.attempts.next_step(request, now)
        while isinstance(step, Attempt):
            retries += len(request.records) > 1
            first_attempts += len(request.records) == 1
            step = core.attempts.on_ended(step, shed, now)
    share = SETTINGS.attempts.retry_percent / 100
    assert 0 < retries <= share * first_attempts + SETTINGS.retry_slack / 10


def test_key_withdrawn_while_request_waits_stops_it():
    core = a_core()
    request = core.admission.admit(a_request(), 0)
    step = core.attempts.next_step(request, 0)
    other_organisations = (an_organisation(key="another-key-then"),)
    core.configure(a_configuration(2, organisations=other_organisations), 0)
    assert not core.attempts.may_write(step, 1)
    refusal = core.attempts.on_ended(step, TargetResult(Stage.NOTHING_WRITTEN), 1)
    assert (refusal.status, refusal.cause) == (401, "key unknown")


def test_stale_configuration_admits_only_open_routes():
    core = a_core()
    late = 5_000
    refusal = core.admission.admit(a_request(), late)
    assert isinstance(refusal, Refuse)
    assert refusal.status == 503
    open_core = a_core(a_route(is_open=True))
    assert isinstance(open_core.admission.admit(a_request(key=""), late), OpenRequest)


def test_request_is_not_written_to_target_removed_from_list():
    core = a_core(targets=1)
    request = core.admission.admit(a_request(), 0)
    step = core.attempts.next_step(request, 0)
    core.targets.remove("t0", 1)
    assert not core.attempts.may_write(step, 1)


def test_older_configuration_does_not_replace_newer_one():
    core = a_core()
    assert core.configure(a_configuration(5), 0)
    assert not core.configure(a_configuration(4), 0)
    assert core.configuration_number == 5


def test_regions_of_route_and_organisation_both_apply():
    core = a_core(
        a_route(regions=("north", "south")),
        (an_organisation(regions=("south",)),),
    )
    assert core.admission.admit(a_request(), 0).regions == ("south",)
    disjoint = a_core(
        a_route(regions=("north",)), (an_organisation(regions=("south",)),)
    )
    refusal = disjoint.admission.admit(a_request(), 0)
    assert refusal.status == 503


def test_token_is_returned_when_no_target_ran_request():
    organisations = (an_organisation(rate_per_s=10, burst=10),)
    core = a_core(organisations=organisations)
    for now in (0, 1_000, 2_000):
        core.tick(now)
    core.freshness.confirm(2_000)
    refused = TargetResult(Stage.CONNECT_REFUSED)
    for number in range(40):
        request = core.admission.admit(a_request(id=str(number)), 2_000)
        step = core.attempts.next_step(request, 2_000)
        while isinstance(step, Attempt):
            step = core.attempts.on_ended(step, refused, 2_000)
        assert step.status == 503, number


def test_statuses_of_unknown_routes_and_keys():
    core = a_core()
    assert core.admission.admit(a_request(host="b.example"), 0).status == 404
    assert core.admission.admit(a_request(key=""), 0).status == 401
    assert core.admission.admit(a_request(key=KEY + "x"), 0).status == 401


def test_instance_without_known_share_does_not_refuse_as_over_rate():
    core = a_core(organisations=(an_organisation(rate_per_s=10, burst=10),))
    core.set_instances({"other": an_instance("other")}, 0)
    first = core.admission.admit(a_request(id="first"), 0)
    assert isinstance(core.attempts.next_step(first, 0), Attempt)
    request = core.admission.admit(a_request(), 0)
    hold = core.attempts.next_step(request, 0)
    assert isinstance(hold, Hold)
    refusal = wait_out(core, request, hold)
    assert (refusal.status, refusal.cause) == (503, Cause.NO_SHARE)
    assert 0 < refusal.retry_after_ms < 1_000


def wait_out(core, request, step):
    """Let a request wait without a message; return its next step.

    The whole wait must end within a third of the latency goal.
    """
    now = 0
    while isinstance(step, Hold):
        now += step.max_wait_ms
        assert step.max_wait_ms > 0
        assert now <= LATENCY_GOAL_MS // 3
        step = core.attempts.next_step(request, now)
    return step


def a_member():
    """Return a core that requests its tokens from the leader of its group."""
    core = a_core(organisations=(an_organisation(rate_per_s=10, burst=10),))
    core.rates.set_role(is_leader=False, group="g", groups=["g"], near=[], now=0)
    core.rates.has_leader = True
    return core


def test_request_keeps_waiting_when_another_gets_the_token():
    core = a_member()
    requests = [core.admission.admit(a_request(id=str(i)), 0) for i in range(2)]
    holds = [core.attempts.next_step(request, 0) for request in requests]
    assert all(isinstance(hold, Hold) for hold in holds)
    assert len(core.rates.pop_token_requests()) == 2
    core.rates.receive_grant(TokenGrant("one", 1), 10, by_leader=True)
    assert isinstance(core.attempts.next_step(requests[0], 10), Attempt)
    assert isinstance(core.attempts.next_step(requests[1], 10), Hold)
    assert core.rates.pop_token_requests() == []
    core.rates.receive_denial(TokenDenial("one", 700), 20)
    refusal = core.attempts.next_step(requests[1], 20)
    assert (refusal.status, refusal.retry_after_ms) == (429, 700)


def test_request_is_refused_in_time_when_leader_is_unresponsive():
    core = a_member()
    request = core.admission.admit(a_request(), 0)
    hold = core.attempts.next_step(request, 0)
    core.rates.has_leader = False
    refusal = wait_out(core, request, hold)
    assert (refusal.status, refusal.cause) == (503, Cause.NO_SHARE)


def test_token_request_is_repeated_while_no_answer_comes():
    """A lost datagram would otherwise lead to a refusal within the rate."""
    core = a_member()
    request = core.admission.admit(a_request(), 0)
    hold = core.attempts.next_step(request, 0)
    (first,) = core.rates.pop_token_requests()
    now = hold.max_wait_ms
    assert isinstance(core.attempts.next_step(request, now), Hold)
    (repeated,) = core.rates.pop_token_requests()
    assert 0 < repeated.tokens < 1 == first.tokens
    assert repeated.max_wait_ms == first.max_wait_ms - now
    assert isinstance(core.attempts.next_step(request, now + 1), Hold)
    assert core.rates.pop_token_requests() == []
