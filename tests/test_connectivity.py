"""Lost connectivity to targets is told from other faults, and leaves nothing behind."""

import pytest

from sequoiahook.decisions.direct.connectivity import ConnectivitySettings
from sequoiahook.decisions.direct.core import DirectCore, DirectCoreSettings
from sequoiahook.decisions.direct.requests import (
    Attempt,
    Cause,
    Deliver,
    ForwardToPeer,
    HandoverOutcome,
    OpenRequest,
    Origin,
    Refuse,
)
from sequoiahook.decisions.exchange.states import Reason
from sequoiahook.decisions.exchange.target_result import Stage, TargetResult
from sequoiahook.decisions.keys import KeyName
from sequoiahook.messages.requests import NOT_RUN, RAN, UNKNOWN
from sequoiahook.world.instance import Address
from tests.direct_parts import (
    a_configuration,
    a_request,
    a_route,
    a_target,
    an_instance,
    an_organisation,
)

REGION_BY_DATA_CENTRE = {"north-a": "north", "north-b": "north", "south-a": "south"}
SETTINGS = DirectCoreSettings(regions=("north", "south"), retry_slack=60)
STEP_MS = 20
REPORT_MS = 200
CONNECT_TIMEOUT_MS = 300
VERDICT_MS = 2_000
VALID_MS = ConnectivitySettings().verdict_valid_ms


def instance(name, data_centre, **changes):
    return an_instance(
        name,
        data_centre=data_centre,
        region=REGION_BY_DATA_CENTRE[data_centre],
        caller_address=Address(name, 80),
        handover_address=Address(name, 82),
    )._replace(**changes)


class Network:
    """Instances without I/O whose connections to targets hang when they are cut.

    Attributes:
        cut: Instances that have lost connectivity to all targets.
        down: Targets to which no instance can connect.
        silent: Instances that get no datagrams.
    """

    def __init__(self, *instances, targets=2, organisations=(), route=None):
        self.now = 0
        self.instances = {i.name: i for i in instances}
        self.targets = {
            f"t-{place}-{number}": a_target(
                f"t-{place}-{number}", data_centre=place, region=region
            )
            for place, region in REGION_BY_DATA_CENTRE.items()
            for number in range(targets)
        }
        self.cut, self.down, self.silent = set(), set(), set()
        self.cores = {}
        self.number = 0
        for name, own in self.instances.items():
            core = DirectCore(SETTINGS, own, 0)
            route = route or a_route(is_open=True)
            core.configure(a_configuration(1, (route,), organisations), 0)
            core.targets.replace(self.targets, 0)
            core.set_instances(self.instances, 0)
            core.freshness.confirm(0)
            core.connectivity.reach.linked = set(self.instances) - {name}
            self.cores[name] = core

    def is_reached(self, name, target_id):
        return name not in self.cut and target_id not in self.down

    def run(self, duration_ms, loaded=None):
        """Advance, with a request at each instance each step."""
        for _ in range(duration_ms // STEP_MS):
            self.now += STEP_MS
            for name, core in self.cores.items():
                core.freshness.confirm(self.now)
                if self.now % REPORT_MS == 0:
                    core.tick(self.now)
                    self._post(name, core.reports(self.now, includes_far=True))
                core.connectivity.update(self.now)
                self._probe(name)
                if loaded is None or name in loaded:
                    self.request(name)
                self._post(name, core.token_requests(self.now))

    def request(self, name, end=True):
        core = self.cores[name]
        self.number += 1
        key = str(self.number % 50)
        incoming = a_request(target_path=f"/look/{key}", object_key=key)
        request = core.admission.admit(incoming, self.now)
        step = core.attempts.next_step(request, self.now)
        while end and isinstance(step, Attempt):
            reached = self.is_reached(name, step.state.record.id)
            stage = Stage.ANSWERED if reached else Stage.CONNECT_TIMEOUT
            result = TargetResult(
                stage, status=200 if reached else 0, connect_ms=1 if reached else None
            )
            step = core.attempts.on_ended(step, result, self.now)
        return step

    def _probe(self, name):
        core = self.cores[name]
        for state in core.connectivity.probes(self.now):
            reached = self.is_reached(name, state.record.id)
            core.connectivity.record_probe(state, reached, self.now)

    def _post(self, source, outgoing):
        for name, datagram in outgoing:
            if name in self.silent or source in self.silent:
                continue
            self._post(name, self.cores[name].receive(datagram, self.now))


def network(**options):
    return Network(
        instance("n1", "north-a"),
        instance("n2", "north-a"),
        instance("n3", "north-b"),
        instance("n4", "south-a"),
        **options,
    )


def is_lost(net, name="n1"):
    return net.cores[name].connectivity.is_lost


def test_requests_are_handed_over_while_connectivity_is_lost():
    net = network()
    net.run(1_000)
    net.cut = {"n1"}
    net.run(VERDICT_MS)
    step = net.request("n1")
    assert isinstance(step, ForwardToPeer)
    assert set(step.candidates) <= {"n2", "n3", "n4"}
    assert step.candidates[0] in ("n2", "n3")
    assert not any(is_lost(net, name) for name in ("n2", "n3", "n4"))


@pytest.mark.parametrize("rounds", [1, 20])
@pytest.mark.parametrize("loaded", [{"n1"}, {"n1", "n2"}, set()])
def test_peers_that_take_requests_stay_known_in_a_quiet_fleet(loaded, rounds):
    # Guards against evidence of peers that lapses before it is renewed.
    net = network()
    net.run(1_000, loaded={"n1"})
    net.cut = {"n1"}
    net.run(VERDICT_MS, loaded={"n1"})
    assert is_lost(net)
    unknown = []
    for _ in range(rounds * 500 // STEP_MS):
        net.run(STEP_MS, loaded=loaded)
        reach = net.cores["n1"].connectivity.reach
        if not reach.candidates((), net.now):
            unknown.append(net.now)
    assert is_lost(net)
    assert unknown == []


def test_no_connectivity_is_lost_while_all_targets_are_down():
    net = network()
    net.run(1_000)
    net.down = set(net.targets)
    net.run(4_000)
    assert not any(is_lost(net, name) for name in net.instances)


def test_no_connectivity_is_lost_while_one_data_centre_cannot_be_reached():
    net = network()
    net.run(1_000)
    net.down = {name for name in net.targets if "north-a" in name}
    net.run(4_000)
    assert not any(is_lost(net, name) for name in net.instances)


def test_single_failed_connection_changes_nothing():
    net = network()
    net.run(1_000)
    state = net.cores["n1"].targets.states_by_id["t-north-a-0"]
    net.cores["n1"].connectivity.record_failed(state, net.now)
    assert not net.cores["n1"].connectivity.is_suspected(net.now)
    assert isinstance(net.request("n1", end=False), Attempt)


def test_verdict_ends_when_no_peer_confirms_it():
    net = network()
    net.run(1_000)
    net.cut = {"n1"}
    net.run(VERDICT_MS)
    assert is_lost(net)
    net.silent = {"n1"}
    net.run(VALID_MS + REPORT_MS, loaded={"n2", "n3", "n4"})
    assert not is_lost(net)


def test_instance_sends_by_itself_within_a_second_after_connectivity_is_back():
    net = network()
    net.run(1_000)
    net.cut = {"n1"}
    net.run(VERDICT_MS)
    net.cut = set()
    net.run(1_000)
    assert not is_lost(net)
    assert isinstance(net.request("n1", end=False), Attempt)


def test_nothing_is_learned_about_targets_from_lost_connectivity():
    net = network()
    net.run(1_000)
    net.cut = {"n1"}
    net.run(VERDICT_MS)
    core = net.cores["n1"]
    states = core.targets.states_by_id.values()
    assert all(state.may_send(net.now) for state in states)
    assert all(state.failure_ratio(net.now) == 0 for state in states)
    assert core.selector.lost_capacity.ratio(net.now) == 0
    net.cut = set()
    net.run(1_000)
    assert not any(state.is_cold(net.now) for state in states)
    assert core.selector.lost_capacity.ratio(net.now) == 0


def test_open_requests_of_an_isolated_instance_are_not_reported_as_load():
    net = network()
    net.run(1_000)
    core = net.cores["n1"]
    target_id = net.request("n1", end=False).state.record.id
    net.cut = {"n1"}
    net.run(VERDICT_MS)
    assert core.targets.states_by_id[target_id].open_count == 1
    state = net.cores["n2"].targets.states_by_id[target_id]
    assert state.in_flight(net.now) == 0


def test_requests_cross_regions_when_the_own_region_has_lost_connectivity():
    net = network()
    net.run(1_000)
    net.cut = {"n1", "n2", "n3"}
    net.run(VERDICT_MS)
    assert all(is_lost(net, name) for name in net.cut)
    for name in net.cut:
        assert net.request(name).candidates == ("n4",)


def test_quiet_instance_notices_lost_connectivity_by_an_unanswered_request():
    net = network()
    net.run(1_000)
    net.cut = {"n1"}
    net.request("n1", end=False)
    net.run(VERDICT_MS, loaded={"n2", "n3", "n4"})
    assert is_lost(net)


def test_peers_without_requests_probe_targets_for_the_asking_instance():
    net = network()
    net.run(1_000)
    net.run(3_000, loaded=())
    net.cut = {"n1"}
    net.run(VERDICT_MS, loaded={"n1"})
    assert is_lost(net)


def test_peers_that_refuse_are_left_out_for_a_while():
    net = network()
    net.run(1_000)
    net.cut = {"n1"}
    net.run(VERDICT_MS)
    reach = net.cores["n1"].connectivity.reach
    reach.avoid("n2", net.now)
    assert "n2" not in reach.candidates((), net.now)
    assert "n2" in reach.candidates((), net.now + 300)


def test_requests_reach_only_instances_of_their_regions_or_the_callers_own():
    net = network()
    net.run(1_000)
    net.cut = {"n1"}
    net.run(VERDICT_MS)
    reach = net.cores["n1"].connectivity.reach
    assert "n4" not in reach.candidates(("north",), net.now)
    assert "n4" in reach.candidates(("south",), net.now)


def test_refusal_is_immediate_when_no_peer_reaches_targets():
    net = network()
    net.run(1_000)
    net.cut = {"n1"}
    net.run(VERDICT_MS)
    net.cores["n1"].connectivity.reach.linked.clear()
    step = net.request("n1")
    assert isinstance(step, Refuse)
    assert (step.status, step.cause) == (503, Cause.UNREACHABLE)


def test_queries_and_probes_are_bounded_in_number():
    net = network()
    net.run(1_000)
    net.cut = {"n1"}
    sent = []
    post = net._post
    net._post = lambda source, out: (
        sent.extend(d for _, d in out if type(d.body).__name__ == "ReachQuery"),
        post(source, out),
    )
    net.run(10_000)
    assert len(sent) <= 3 * 10 * 2


def forwarded(outcome, route=None, **changes):
    net = network(route=route)
    net.run(1_000)
    net.cut = {"n1"}
    net.run(VERDICT_MS)
    step = net.request("n1")
    return net.cores["n1"].attempts.on_forwarded(step, outcome, net.now)


def test_answer_of_a_handover_is_delivered():
    outcome = HandoverOutcome("n2", RAN, 201, ((b"a", b"b"),), b"body")
    step = forwarded(outcome)
    assert isinstance(step, Deliver)
    assert (step.result.status, step.result.body) == (201, b"body")


@pytest.mark.parametrize(
    ("outcome", "status"),
    [
        (HandoverOutcome("n2", UNKNOWN, cause=Reason.LINK_LOST), 502),
        (HandoverOutcome("n2", NOT_RUN, cause=Cause.UNKNOWN_KEY), 401),
        (HandoverOutcome("n2", NOT_RUN, cause=Cause.CRASHES), 500),
        (HandoverOutcome("n2", NOT_RUN, cause=Cause.TARGETS_FULL), 503),
    ],
)
def test_status_of_a_refused_handover_is_true(outcome, status):
    step = forwarded(outcome, a_route(is_open=True, is_idempotent=False))
    assert step.status == status


def test_request_that_no_instance_took_is_handed_over_once_more_and_then_refused():
    net = network()
    net.run(1_000)
    net.cut = {"n1"}
    net.run(VERDICT_MS)
    attempts = net.cores["n1"].attempts
    busy = HandoverOutcome("n2", NOT_RUN, cause="busy")
    step = attempts.on_forwarded(net.request("n1"), busy, net.now)
    assert isinstance(step, ForwardToPeer)
    step = attempts.on_forwarded(step, busy, net.now)
    assert (step.status, step.cause) == (503, Cause.UNREACHABLE)


def handed_over_request(core, now, key_name="", number=1):
    route = a_route(is_open=not key_name)
    name = KeyName("one", key_name) if key_name else None
    request = OpenRequest(a_request(key=""), route, "s", name, now, now + 2_000)
    request.origin = Origin("n9", number, ("north", "south"), True)
    return request


def test_handed_over_request_is_never_handed_on():
    net = network()
    net.run(1_000)
    net.cut = {"n1"}
    net.run(VERDICT_MS)
    core = net.cores["n1"]
    step = core.attempts.next_step(handed_over_request(core, net.now), net.now)
    assert (step.status, step.cause) == (503, Reason.UNREACHABLE)


def test_key_of_a_handed_over_request_is_checked_by_its_name():
    organisation = an_organisation()
    (key_name,) = organisation.keys_by_name
    net = network(organisations=(organisation,))
    core = net.cores["n2"]
    request = handed_over_request(core, net.now, key_name)
    assert core.admission.recheck_key(request, net.now) is None
    other = an_organisation(key="another-key-of-organisation")
    core.configure(a_configuration(2, (a_route(),), (other,)), net.now)
    assert core.admission.recheck_key(request, net.now).status == 401
    newer = handed_over_request(core, net.now, key_name, number=3)
    assert core.admission.recheck_key(newer, net.now) is None
    late = net.now + SETTINGS.freshness.withdrawal_ms
    assert core.admission.recheck_key(request, late).status == 503


def test_rate_is_spent_where_the_caller_is_and_returned_there():
    organisation = an_organisation(rate_per_s=100, burst=5)
    (key_name,) = organisation.keys_by_name
    net = network(organisations=(organisation,), route=a_route())
    net.run(1_000, loaded=())
    core = net.cores["n2"]
    for _ in range(50):
        request = handed_over_request(core, net.now, key_name)
        attempt = core.attempts.next_step(request, net.now)
        assert isinstance(attempt, Attempt)
        answer = TargetResult(Stage.ANSWERED, status=200)
        core.attempts.on_ended(attempt, answer, net.now)
