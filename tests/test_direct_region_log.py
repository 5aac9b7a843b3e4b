"""Log lines on the regions of requests hold their inputs, and are bounded in number."""

import logbook

from sequoiahook.daemons.direct.decision_log import DecisionLog
from sequoiahook.decisions.direct.core import DirectCore
from sequoiahook.decisions.direct.region_summary import PlacedBy
from tests.direct_parts import (
    a_configuration,
    a_query,
    a_request,
    a_route,
    a_target,
    an_instance,
)
from tests.test_direct_attempts import SETTINGS

REGIONS = ("north", "south")


def a_core():
    core = DirectCore(SETTINGS, an_instance("me"), 0)
    core.configure(a_configuration(1, (a_route(is_open=True),)), 0)
    targets = [a_target(f"{region}-1", region=region) for region in REGIONS]
    core.targets.replace({target.id: target for target in targets}, 0)
    return core


def send(core, now, **changes):
    request = core.admission.admit(a_request(**changes), now)
    return core.attempts.next_step(request, now)


def lines_of(decision_log, now):
    with logbook.TestHandler() as handler:
        decision_log.write(now)
    return [(record.message, record.extra) for record in handler.records]


def test_summary_counts_requests_by_region_and_reason():
    core = a_core()
    core.selector.home_shares.permille_by_service["s"] = 0
    send(core, 5_000)
    core.selector.home_shares.permille_by_service["s"] = 1_000
    send(core, 60_000)
    [(message, fields)] = lines_of(DecisionLog(core), 60_100)
    assert message == "requests by region"
    assert fields["sent_by_region"] == {"north": 1, "south": 1}
    assert fields["sent_by_reason"] == {PlacedBy.SHARE: 1, PlacedBy.HOME: 1}
    assert fields["share_by_service"] == {"s": 1_000}


def test_attempts_name_what_determined_their_region():
    core = a_core()
    core.selector.home_shares.permille_by_service["s"] = 1_000
    attempt = send(core, 5_000)
    assert attempt.request.records[0].placed_by == PlacedBy.HOME
    placement = core.selector.choose(a_query(regions=("south",)), 5_000)
    assert placement.placed_by == PlacedBy.REQUIRED_REGIONS


def test_summaries_are_at_most_one_a_second():
    core = a_core()
    with logbook.TestHandler() as handler:
        decision_log = DecisionLog(core)
        for now in range(5_000, 8_000, 50):
            send(core, now)
            decision_log.write(now)
    summaries = [r for r in handler.records if r.message == "requests by region"]
    assert 2 <= len(summaries) <= 3


def test_lost_target_is_logged():
    core = a_core()
    decision_log = DecisionLog(core)
    core.tick(5_000)
    core.targets.remove("north-1", 5_100)
    core.tick(5_500)
    [(message, fields)] = lines_of(decision_log, 7_000)
    assert message == "targets lost or returned"
    assert fields["lost"] == ("north-1",)
    assert fields["age_ms"] == 1_500
