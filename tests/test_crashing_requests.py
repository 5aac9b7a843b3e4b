"""A request that ends the targets that run it is refused; others are not.

Bound of the users: from four seconds after a request has ended three targets, it
reaches targets three times at most.
"""

from collections import Counter

import pytest

from sequoiahook.decisions.direct.core import DirectCore
from sequoiahook.decisions.direct.fingerprints import fingerprint
from sequoiahook.decisions.direct.requests import Attempt, Cause, HoldTrial
from sequoiahook.decisions.direct.suspects import SuspectSettings
from sequoiahook.decisions.exchange.target_result import Stage, TargetResult
from sequoiahook.messages.crashes import NEVER, Crash, CrashReport, SuspectStatement
from sequoiahook.messages.reports import Datagram
from sequoiahook.wire.datagrams import encode_datagram
from tests.crash_simulation import (
    CRASHING_PATH,
    LOST,
    OK,
    POPULAR_PATH,
    CrashSimulation,
    Repeated,
)
from tests.direct_parts import (
    a_configuration,
    a_request,
    a_route,
    a_target,
    an_instance,
)
from tests.test_direct_attempts import SETTINGS

PER_S = 240
CRASHING = Repeated(CRASHING_PATH, 8)
POPULAR = Repeated(POPULAR_PATH, 20)
STABLE_MS = 4_000
LATE_MAX = 3
ENDED_MAX = 12
"""Number of targets in the simulation: a request never ends as many as there are."""


def late_arrivals(simulation, path=CRASHING_PATH):
    """Return the arrivals at targets later than the bound after the third end."""
    ended = [at for at, crashing in simulation.ended if crashing == path]
    if len(ended) < 3:
        return []
    times = simulation.reached_at_by_path[path]
    return [at for at in times if at > ended[2] + STABLE_MS]


def served_ratio(simulation, path):
    outcomes = simulation.outcomes_by_path[path]
    return outcomes[200] / max(1, outcomes.total())


@pytest.mark.parametrize("instance_count", [4, 12, 30, 90])
@pytest.mark.parametrize("per_s", [8, 1])
def test_repeated_request_does_not_end_target_after_target(instance_count, per_s):
    simulation = CrashSimulation(instance_count, [CRASHING._replace(per_s=per_s)])
    simulation.run(24_000, PER_S)
    assert len(late_arrivals(simulation)) <= LATE_MAX
    assert len(simulation.ended) <= ENDED_MAX


def test_repeated_upload_does_not_end_target_after_target():
    upload = CRASHING._replace(method="POST", body=bytes(200_000))
    simulation = CrashSimulation(12, [upload])
    simulation.run(24_000, PER_S)
    assert len(late_arrivals(simulation)) <= LATE_MAX
    assert len(simulation.ended) <= ENDED_MAX


def refused_as_crashing(simulation, path, since=0):
    return [
        refusal
        for at, refusal in simulation.refusals_by_path[path]
        if refusal.cause == Cause.CRASHES and at >= since
    ]


@pytest.mark.parametrize("seed", range(4))
def test_popular_request_is_not_refused_when_a_rack_ends_at_once(seed):
    simulation = CrashSimulation(12, [POPULAR], seed)
    simulation.run(3_000, PER_S)
    simulation.end_targets([f"t-{region}-0" for region in ("east", "north", "south")])
    simulation.run(4_000, PER_S)
    simulation.end_targets([f"t-north-{number}" for number in (1, 2, 3)])
    simulation.run(6_000, PER_S)
    assert refused_as_crashing(simulation, POPULAR_PATH) == []
    assert served_ratio(simulation, POPULAR_PATH) >= 0.95


@pytest.mark.parametrize("seed", range(4))
def test_neighbours_of_a_crashing_request_are_not_refused(seed):
    simulation = CrashSimulation(12, [CRASHING, POPULAR], seed)
    simulation.run(20_000, PER_S)
    assert simulation.ended
    others = [path for path in simulation.outcomes_by_path if path != CRASHING_PATH]
    assert not any(refused_as_crashing(simulation, path) for path in others)
    assert served_ratio(simulation, POPULAR_PATH) >= 0.9


def test_request_is_served_again_once_it_ends_no_target():
    simulation = CrashSimulation(12, [CRASHING])
    simulation.run(10_000, PER_S)
    assert refused_as_crashing(simulation, CRASHING_PATH, since=8_000)
    simulation.crashing_paths.clear()
    simulation.run(25_000, PER_S)
    assert refused_as_crashing(simulation, CRASHING_PATH, since=33_000) == []
    assert simulation.outcomes_by_path[CRASHING_PATH][200] > 0


@pytest.mark.parametrize("instance_count", [4, 30])
def test_verdict_reaches_restarted_and_new_instances(instance_count):
    simulation = CrashSimulation(instance_count, [CRASHING])
    simulation.run(8_000, PER_S)
    names = list(simulation.instances)
    for name in names[: len(names) // 2]:
        simulation.start(name)
    simulation.add_instance("east-a-90")
    restarted_at = simulation.now
    simulation.run(8_000, PER_S)
    late = [at for at in late_arrivals(simulation) if at > restarted_at + STABLE_MS]
    assert len(late) <= LATE_MAX


def test_verdict_reaches_the_other_side_after_a_partition():
    simulation = CrashSimulation(12, [CRASHING])
    simulation.partitioned = {n for n in simulation.instances if "east" in n}
    simulation.run(9_000, PER_S)
    simulation.partitioned = set()
    joined_at = simulation.now
    simulation.run(8_000, PER_S)
    late = [at for at in late_arrivals(simulation) if at > joined_at + STABLE_MS]
    assert len(late) <= LATE_MAX


def test_refusal_is_immediate_and_says_that_the_request_did_not_run():
    simulation = CrashSimulation(12, [CRASHING])
    simulation.run(12_000, PER_S)
    refusals = refused_as_crashing(simulation, CRASHING_PATH)
    assert refusals
    assert {(r.status, r.retry_after_ms) for r in refusals} == {(500, 0)}
    assert all(r.cause.startswith("not run") for r in refusals)


def test_lost_answers_of_targets_that_go_on_are_no_evidence():
    core = a_core(count=4)
    for number in range(12):
        now = 1_000 + 500 * number
        step = send(core, now)
        assert isinstance(step, Attempt)
        while isinstance(step, Attempt):
            step = core.attempts.on_ended(step, LOST, now + 10)
        for key in range(20):
            other = send(core, now + 20, target_path="/look/x", object_key=str(key))
            if isinstance(other, Attempt):
                core.attempts.on_ended(other, OK, now + 30)


def a_core(count=1):
    core = DirectCore(SETTINGS, an_instance("me"), 0)
    core.configure(a_configuration(1, (a_route(is_open=True),)), 0)
    core.targets.replace({f"t{i}": a_target(f"t{i}") for i in range(count)}, 0)
    return core


def send(core, now, **changes):
    incoming = a_request(**{"target_path": "/look/crashing", **changes})
    return core.attempts.next_step(core.admission.admit(incoming, now), now)


def test_memory_and_reports_are_bounded_whatever_ends():
    core = a_core()
    core.set_instances({"p": an_instance("p")}, 0)
    bodies = []
    for number in range(5_000):
        now = 1_000 + number * 10
        core.targets.replace({"t0": a_target("t0", started_at=number)}, now)
        attempt = send(core, now, target_path=f"/look/{number}")
        if isinstance(attempt, Attempt):
            core.attempts.on_ended(attempt, LOST, now + 5)
        bodies += core.token_requests(now + 5)
    settings = SuspectSettings()
    assert core.fleet.suspects.count <= settings.per_organisation_max
    sizes = [len(encode_datagram(o.datagram, b"secret")) for o in bodies]
    assert max(sizes) <= 6_000


def test_an_organisation_does_not_displace_the_evidence_of_another():
    core = a_core()
    suspects = core.fleet.suspects
    crash = Crash("t9", 1, 10, 5)
    mine = SuspectStatement("small", b"x" * 12, (crash,), NEVER, NEVER)
    suspects.receive(CrashReport((mine,)), 1_000)
    for number in range(2_000):
        other = mine._replace(
            organisation="large", fingerprint=number.to_bytes(12, "big")
        )
        suspects.receive(CrashReport((other,)), 1_000 + number)
    assert suspects.count == 1 + SuspectSettings().per_organisation_max


def test_truncated_answers_are_no_evidence_and_end_a_trial():
    core = a_core(count=4)
    truncated = TargetResult(Stage.ANSWER_TRUNCATED)
    outcomes = (LOST, LOST, LOST, LOST, truncated, truncated, truncated)
    for number, outcome in enumerate(outcomes):
        now = 1_000 + 100 * number
        step = send(core, now)
        assert isinstance(step, Attempt)
        while isinstance(step, Attempt):
            step = core.attempts.on_ended(step, outcome, now + 10)


def test_trial_goes_on_at_another_target_if_the_first_cannot_be_reached():
    core = a_core(count=4)
    request = core.admission.admit(a_request(target_path="/look/crashing"), 900)
    crashes = (Crash("t8", 1, 10, 5), Crash("t9", 1, 10, 5))
    known = SuspectStatement("", fingerprint(request), crashes, NEVER, NEVER)
    core.receive(Datagram("p", 1, 1, CrashReport((known,))), 1_000)
    trial = send(core, 1_100)
    assert isinstance(trial, Attempt)
    assert isinstance(send(core, 1_110), HoldTrial)
    refused = TargetResult(Stage.CONNECT_REFUSED)
    assert isinstance(core.attempts.on_ended(trial, refused, 1_120), Attempt)


def test_repeated_loss_at_one_run_of_a_target_counts_once_and_ends_a_trial():
    core = a_core(count=2)
    for number in range(8):
        now = 1_000 + 100 * number
        step = send(core, now)
        assert isinstance(step, Attempt)
        while isinstance(step, Attempt):
            step = core.attempts.on_ended(step, LOST, now + 10)
            now += 20


@pytest.mark.parametrize("instance_count", [4, 12, 30])
def test_other_requests_are_served_while_targets_end(instance_count):
    simulation = CrashSimulation(instance_count, [CRASHING])
    simulation.run(12_000, PER_S)
    assert simulation.ended
    outcomes = Counter()
    for path, counts in simulation.outcomes_by_path.items():
        if path != CRASHING_PATH:
            outcomes.update(counts)
    assert outcomes[200] >= 0.9 * outcomes.total()
