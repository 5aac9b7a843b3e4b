import json
import random

import pytest

from sequoiahook.decisions.configuration import (
    Accepted,
    Apply,
    ConfigurationReplica,
    OutcomeUnknown,
    Reject,
    RolloutSettings,
)
from sequoiahook.decisions.configuration.pieces import digest_of, split
from sequoiahook.decisions.configuration.root import Root
from sequoiahook.decisions.effects import Send
from sequoiahook.messages.configuration import (
    ConfigurationCompare,
    ConfigurationPieces,
    ConfigurationPush,
    PieceRequest,
)
from tests.configuration_simulation import ROOT, Change, Simulation

REGION = Change("regions_by_name", "r", {"data_centres": ["east", "west"]})
WITHIN_EAST = frozenset(("east",))


def start(sizes, seed=0):
    simulation = Simulation(sizes, seed)
    submit(simulation, REGION)
    simulation.settle()
    return simulation


def submit(simulation, change):
    number = simulation.oracle.number
    patch = change.patch(f"p{number}", number)
    return simulation.submit(simulation.live_nodes()[0], patch, change)


def organisation(rate):
    value = {"rate_per_s": rate, "burst": 1, "keys_by_name": {}}
    return Change("organisations_by_name", "o", value)


def test_patch_is_in_force_within_100_ms_without_faults():
    simulation = start({"east": 6, "west": 6})
    for rate in range(1, 9):
        submit(simulation, organisation(rate))
        simulation.advance(100)
        simulation.check_all_hold(1 + rate)
        simulation.advance(237)


def test_lost_pushes_are_repeated():
    simulation = start({"east": 6, "west": 6})
    for rate in range(1, 9):
        simulation.drop_percent = 100
        simulation.consecutive_losses_max = 1
        submit(simulation, organisation(rate))
        simulation.advance(800)
        simulation.check_all_hold(1 + rate)
        simulation.clear_faults()
        simulation.advance(2337)


@pytest.mark.parametrize("seed", range(8))
def test_boot_in_outage_applies_highest_answer(seed):
    simulation = start({"east": 4}, seed)
    simulation.partitions = {WITHIN_EAST}
    submit(simulation, organisation(1))
    simulation.advance(500)
    assert {node.highest_number for node in simulation.live_nodes()} == {1, 2}
    simulation.platform.is_unavailable = True
    simulation.partitions = set()
    new = simulation.add("east")
    simulation.send_view_to(new)
    simulation.advance(3000)
    assert new.applied == [2]


def make_push(number, entry):
    piece = json.dumps({"entries": {"o": entry}}, separators=(",", ":")).encode()
    names = {"organisations_by_name": digest_of(piece)}
    root = {"number": number, "pieces_by_name": names, "recent_patches": []}
    encoded = json.dumps(root).encode()
    return ConfigurationPush(number, encoded, ((digest_of(piece), piece),))


def test_boot_waits_for_answers_before_applying_one():
    settings = RolloutSettings()
    replica = ConfigurationReplica(settings, "c", "east", random.Random(1))
    replica.configure_view({"east": ["a", "b", "c"]}, 0)
    entry = {"burst": 1, "keys_by_name": {}, "rate_per_s": 1}
    early = replica.receive("a", make_push(3, entry), 10)
    assert not any(isinstance(effect, Apply) for effect in early)
    both = replica.receive("b", make_push(5, entry), 20)
    assert [effect.number for effect in both if isinstance(effect, Apply)] == [5]
    late = replica.receive("a", make_push(4, entry), 30)
    assert late == [Send("a", ConfigurationCompare(5, replica.is_watcher(30), False))]
    assert replica.number == 5
    alone = ConfigurationReplica(settings, "c", "east", random.Random(1))
    alone.configure_view({"east": ["a", "b", "c"]}, 0)
    alone.receive("a", make_push(3, entry), 10)
    late = alone.tick(settings.boot_wait_ms)
    assert [effect.number for effect in late if isinstance(effect, Apply)] == [3]


def test_boot_gets_all_pieces_with_one_request():
    entry = {"burst": 1, "keys_by_name": {}, "rate_per_s": 1}
    document = {"organisations_by_name": {f"o{i}": entry for i in range(200)}}
    new = split(document, 100)
    assert len(new.pieces_by_digest) > 100
    replicas = {
        name: ConfigurationReplica(RolloutSettings(), name, "east", random.Random(1))
        for name in ("a", "b")
    }
    replicas["a"].configure_view({"east": ["a", "b"]}, 0)
    replicas["a"].add_patch_result(
        Root(1, (), new.pieces_by_name), new.pieces_by_digest, 2000
    )
    effects = [("b", replicas["b"].configure_view({"east": ["a", "b"]}, 0))]
    requests = 0
    while effects:
        source, found = effects.pop()
        for effect in found:
            if isinstance(effect, Send):
                requests += isinstance(effect.body, PieceRequest)
                to = effect.destination
                effects.append((to, replicas[to].receive(source, effect.body, 2000)))
    assert replicas["b"].document == document
    assert requests == 1


def test_unusable_push_is_reported_once():
    replica = ConfigurationReplica(RolloutSettings(), "c", "east", random.Random(1))
    replica.configure_view({"east": ["a", "c"]}, 0)
    push = make_push(3, {"rate_per_s": 0})
    rejects = [
        effect
        for now in (10, 20, 30)
        for effect in replica.receive("a", push, now)
        if isinstance(effect, Reject)
    ]
    assert [reject.number for reject in rejects] == [3]
    assert replica.number == 0


def test_data_centre_without_platform_receives_from_others():
    simulation = start({"east": 3, "west": 3})
    simulation.disconnected = {"west"}
    submit(simulation, organisation(1))
    simulation.advance(2500)
    simulation.check_all_hold(2)


def test_slow_platform_only_delays_patches():
    simulation = start({"east": 3, "west": 3})
    simulation.platform.slow_ms = 700
    for rate in range(1, 4):
        submit(simulation, organisation(rate))
        simulation.advance(8000)
        assert simulation.oracle.number == 1 + rate
        simulation.check_all_hold(1 + rate)


def test_pieces_are_requested_from_another_instance_on_timeout():
    piece = b'{"entries":{"r":{"data_centres":["east"]}}}'
    digest = digest_of(piece)
    root = {"number": 4, "pieces_by_name": {"regions_by_name": digest}}
    replica = ConfigurationReplica(RolloutSettings(), "c", "east", random.Random(1))
    effects = replica.configure_view({"east": ["a", "b", "c"]}, 0)
    push = ConfigurationPush(4, json.dumps(root | {"recent_patches": []}).encode(), ())
    assert Send("a", PieceRequest((digest,), True)) in replica.receive("a", push, 10)
    effects = replica.receive("b", ConfigurationCompare(4, False, False), 20)
    wrong = ConfigurationPieces(((digest, piece + b" "),))
    effects = replica.receive("a", wrong, 30)
    assert effects[0].findings[0].place == f"piece-{digest}"
    effects = []
    for now in range(40, 2000, 10):
        if replica.next_wake(now) <= now:
            effects += replica.tick(now)
    destinations = [e.destination for e in effects if isinstance(e.body, PieceRequest)]
    assert destinations[:3] == ["b", "a", "b"]
    late = ConfigurationPieces(((digest, piece),))
    applied = [e for e in replica.receive("b", late, 2010) if isinstance(e, Apply)]
    assert applied[0].number == 4
    assert replica.document == {"regions_by_name": {"r": {"data_centres": ["east"]}}}


def test_lower_number_is_applied_if_higher_one_is_unavailable():
    replica = ConfigurationReplica(RolloutSettings(), "c", "east", random.Random(1))
    replica.configure_view({"east": ["a", "b", "c"]}, 0)
    entry = {"burst": 1, "keys_by_name": {}, "rate_per_s": 1}
    other = entry | {"rate_per_s": 9}
    replica.receive("b", make_push(5, other)._replace(pieces=()), 10)
    comparisons = [
        Send("a", ConfigurationCompare(0, is_watcher, True))
        for is_watcher in (True, False)
    ]
    applied = []
    for now in range(20, 5000, 20):
        effects = replica.tick(now) if replica.next_wake(now) <= now else []
        if now % 1000 == 0:
            effects += replica.receive("a", ConfigurationCompare(3, True, False), now)
        if any(comparison in effects for comparison in comparisons):
            effects += replica.receive("a", make_push(3, entry), now)
        applied += [effect.number for effect in effects if isinstance(effect, Apply)]
    assert applied == [3]


def test_malformed_root_is_reported_and_last_valid_one_stays():
    simulation = start({"east": 3})
    valid_root = json.loads(simulation.platform.current_value(ROOT))
    simulation.platform.overwrite(ROOT, {"number": "two"})
    submission = submit(simulation, organisation(1))
    simulation.advance(9000)
    rejects = [reject for node in simulation.live_nodes() for reject in node.rejects]
    places = {finding.place for reject in rejects for finding in reject.findings}
    assert "configuration.number" in places
    simulation.check_all_hold(1)
    assert isinstance(submission.outcome, OutcomeUnknown)
    assert submission.outcome.findings[0].place == "configuration.number"
    simulation.platform.overwrite(ROOT, valid_root)
    submission = submit(simulation, organisation(1))
    simulation.settle()
    assert repr(submission.outcome) == repr(Accepted(2))


def test_unusable_document_is_reported_and_next_one_is_applied():
    simulation = start({"east": 3, "west": 2})
    root = json.loads(simulation.platform.current_value(ROOT))
    document = dict(simulation.oracle.documents[1])
    for number, entry in ((2, {"rate_per_s": "many"}), (3, organisation(1).value)):
        piece = json.dumps({"entries": {"o": entry}}, sort_keys=True)
        piece = piece.replace(" ", "")
        digest = digest_of(piece.encode())
        names = root["pieces_by_name"] | {"organisations_by_name": digest}
        simulation.platform.versions_by_name[f"piece-{digest}"] = [None, piece]
        simulation.oracle.patch_ids.append(f"forced {number}")
        document = document | {"organisations_by_name": {"o": entry}}
        simulation.oracle.documents.append(document)
        simulation.platform.overwrite(
            ROOT, root | {"number": number, "pieces_by_name": names}
        )
        simulation.advance(5000)
        simulation.check_all_hold(1 if number == 2 else 3)
    watchers = [node for node in simulation.live_nodes() if node.rejects]
    places = {finding.place for finding in watchers[0].rejects[0].findings}
    assert "$.organisations_by_name.o.rate_per_s" in places
    assert watchers[0].rejects[0] == Reject(2, watchers[0].rejects[0].findings)


def status(simulation, data_centre):
    value = json.loads(simulation.platform.current_value(f"status-{data_centre}"))
    return value["numbers_by_instance"]


def test_each_data_centre_has_one_status_object():
    simulation = start({"east": 5, "west": 3})
    submit(simulation, organisation(1))
    simulation.advance(5000)
    for data_centre in ("east", "west"):
        expected = {node.name: 2 for node in simulation.live_nodes(data_centre)}
        assert status(simulation, data_centre) == expected
    for node in simulation.live_nodes("east")[:3]:
        simulation.replace(node)
    simulation.advance(30_000)
    assert status(simulation, "east") == {
        node.name: 2 for node in simulation.live_nodes("east")
    }
    names = [name for name in simulation.platform.versions_by_name if "status" in name]
    assert sorted(names) == ["status-east", "status-west"]


def test_platform_calls_do_not_grow_with_the_instances():
    calls = []
    for size in (2, 12, 24):
        simulation = start({"east": size, "west": size})
        before = sum(simulation.platform.calls_by_kind.values())
        for rate in range(1, 4):
            submit(simulation, organisation(rate))
            simulation.advance(5000)
        calls.append(sum(simulation.platform.calls_by_kind.values()) - before)
        simulation.check_all_hold(4)
    assert max(calls) <= 1.2 * min(calls)
