"""Requests over the share of their organisation: when they are refused, and how."""

from types import SimpleNamespace

import pytest

from sequoiahook.daemons.direct import share_log
from sequoiahook.daemons.direct.metrics import metrics_answer
from sequoiahook.daemons.direct.request_fields import request_fields
from sequoiahook.daemons.direct.share_log import NAMES_MAX, CapacityRefusals
from sequoiahook.decisions.direct.requests import (
    Attempt,
    Cause,
    Deliver,
    Hold,
    Origin,
    Refuse,
)
from sequoiahook.decisions.exchange.target_result import Stage, TargetResult
from sequoiahook.metrics import Metrics
from tests.direct_parts import (
    a_configuration,
    a_request,
    a_route,
    an_organisation,
)
from tests.test_direct_attempts import a_core

NOW = 0
CONNECT_REFUSED = TargetResult(Stage.CONNECT_REFUSED)
LOST = TargetResult(Stage.WRITTEN_NO_ANSWER)
SLOTS = 4


def a_limited_core(permille=0, targets=1, organisations=(), route=None):
    """Return a core whose only organisation gets free slots only."""
    core = a_core(route, organisations, targets)
    core.fleet.shares.set_ratios("s", {"one": permille}, NOW)
    return core


def admitted(core, **changes):
    return core.admission.admit(a_request(**changes), NOW)


def fill(core, count=SLOTS):
    return [core.attempts.next_step(admitted(core), NOW) for _ in range(count)]


def test_a_request_over_the_share_gets_a_free_slot():
    """Guards against slots that stay idle because of a ratio."""
    core = a_limited_core()
    assert all(isinstance(step, Attempt) for step in fill(core))
    step = core.attempts.next_step(admitted(core), NOW)
    assert (step.status, step.cause) == (503, Cause.OVER_SHARE)
    assert step.retry_after_ms > 0


def test_an_organisation_under_the_level_queues_where_the_other_is_refused():
    two = an_organisation("two", "key-of-organisation-two")
    core = a_limited_core(organisations=(an_organisation(), two))
    fill(core)
    other = admitted(core, key="key-of-organisation-two")
    assert isinstance(core.attempts.next_step(other, NOW), Attempt)


def test_a_ratio_near_one_does_not_limit():
    core = a_limited_core(permille=750)
    assert all(isinstance(step, Attempt) for step in fill(core, 2 * SLOTS))


def test_a_route_without_a_key_is_not_limited():
    core = a_limited_core(route=a_route(is_open=True))
    assert all(isinstance(step, Attempt) for step in fill(core, 2 * SLOTS))
    assert core.fleet.shares.demand("s", NOW).offered_by_organisation == {}


def test_the_share_is_decided_before_a_token_is_taken():
    """Guards against refusals that use up the rate of their organisation."""
    core = a_limited_core()
    fill(core)
    core.admission.take_token = lambda *_: pytest.fail("a token was taken")
    step = core.attempts.next_step(admitted(core), NOW)
    assert step.cause == Cause.OVER_SHARE


def test_a_request_that_may_have_run_is_never_refused_because_of_a_share():
    core = a_limited_core(targets=2)
    request = admitted(core)
    attempt = core.attempts.next_step(request, NOW)
    for _ in range(50):
        core.attempts.next_step(admitted(core), NOW)
    step = core.attempts.on_ended(attempt, LOST, NOW)
    assert isinstance(step, Attempt | Deliver) or step.status in (502, 504)


def test_a_retry_is_not_limited_again():
    """The request has its token, and was counted with its first attempt."""
    core = a_limited_core(targets=2)
    request = admitted(core)
    attempt = core.attempts.next_step(request, NOW)
    offered = core.fleet.shares.demand("s", NOW)
    step = core.attempts.on_ended(attempt, CONNECT_REFUSED, NOW)
    assert isinstance(step, Attempt)
    assert core.fleet.shares.demand("s", NOW) == offered


def test_a_request_that_was_handed_over_is_not_limited():
    """The instance of its caller has decided that."""
    core = a_limited_core()
    fill(core)
    request = admitted(core)
    request.origin = Origin("n2", 1, ("north",), is_first=True)
    assert isinstance(core.attempts.next_step(request, NOW), Attempt)


def test_a_request_that_waits_for_a_token_is_counted_once():
    core = a_limited_core(permille=500)
    core.admission.take_token = lambda *_: Hold("one", 20)
    request = admitted(core)
    for _ in range(3):
        assert isinstance(core.attempts.next_step(request, NOW), Hold)
    work_ms = core.selector.estimates.typical_work_ms(request.route)
    offered = core.fleet.shares.totals("s", NOW).offered_ms_by_organisation
    assert offered == {"one": work_ms}


def test_without_a_ratio_requests_are_refused_as_before():
    core = a_core(targets=1)
    steps = fill(core, 20)
    causes = {step.cause for step in steps if isinstance(step, Refuse)}
    assert causes == {Cause.TARGETS_FULL}
    assert core.fleet.shares.is_short("s", NOW)


def test_a_deployment_without_organisations_counts_nothing():
    core = a_core(targets=1)
    configuration = a_configuration(2)._replace(organisations_by_name={})
    core.configure(configuration, NOW)
    fill(core, 20)
    assert core.fleet.shares.short_services(NOW) == []
    assert core.reports(NOW, includes_far=True) == []


def test_the_log_line_of_a_refusal_states_the_ratio_and_its_age():
    core = a_limited_core(permille=100)
    fill(core)
    request = core.admission.admit(a_request(), 150)
    step = core.attempts.next_step(request, 150)
    assert step.cause == Cause.OVER_SHARE
    fields = request_fields(request)
    assert (fields["share_permille"], fields["share_age_ms"]) == (100, 150)
    assert "room_wait_ms" not in fields
    sent = fill(a_limited_core())[0]
    assert "share_permille" not in request_fields(sent.request)


def test_changes_of_the_ratios_are_logged_once(monkeypatch):
    core, lines = a_limited_core(permille=100), []
    logged = SimpleNamespace(info=lambda event, extra: lines.append((event, extra)))
    monkeypatch.setattr(share_log, "log", logged)
    writer = share_log.ShareLog(core.fleet.shares)
    for now in (0, 100):
        writer.write(now)
    fields = {
        "service": "s",
        "permille_by_organisation": {"one": 100},
        "over_level": 1,
        "is_short": False,
    }
    assert lines == [("organisation shares", fields)]


def test_refusals_are_counted_for_a_bounded_number_of_organisations():
    metrics = Metrics()
    refusals = CapacityRefusals(metrics)
    for number in range(NAMES_MAX + 5):
        request = SimpleNamespace(organisation=f"o{number}")
        refusals.record(request, Refuse(503, Cause.OVER_SHARE, 10))
        refusals.record(request, Refuse(429, Cause.OVER_RATE, 10))
    refusals.record(SimpleNamespace(organisation=""), Refuse(503, Cause.TARGETS_FULL))
    counts = metrics.counts_by_name
    assert len(counts) == NAMES_MAX + 1
    assert counts["refused for lack of capacity: others"] == 5
    assert counts["refused for lack of capacity: o0"] == 1


def test_the_metrics_show_waiting_requests():
    core = a_core(targets=1)
    core.capacity.waiting._requests_by_service["s"] = {1: None, 2: None}
    text = metrics_answer(Metrics(), core, NOW).body.decode()
    assert 'sequoiahook_waiting{service="s"} 2' in text
