"""Decoding of the platform's documents; findings name the path of invalid fields."""

import copy
import json
import resource
from pathlib import Path

import pytest

from sequoiahook.daemons.direct.object_store import Kind
from sequoiahook.daemons.direct.relay import ANSWER_MARGIN_MS
from sequoiahook.daemons.direct.settings import Durations
from sequoiahook.daemons.http_client import HttpResponse
from sequoiahook.errors import CheckError
from sequoiahook.platform.configuration import read_routing
from sequoiahook.platform.entries import (
    instance_document,
    read_instance_entry,
    read_target_entry,
)
from sequoiahook.platform.settings import read_settings
from sequoiahook.platform.store import (
    CALL_TIMEOUT_MS,
    WATCH_MARGIN_MS,
    StoreClient,
)
from sequoiahook.world.instance import Address
from sequoiahook.world.organisation import key_digest
from sequoiahook.world.routing import ServiceShare
from standins.platform_documents import (
    configuration_document,
    settings_text,
    target_object,
)
from tests.direct_parts import an_instance

REGIONS = {"north-a": "north"}

EVACUATION_TIMEOUT_MS = 5_000


def findings(read, *arguments):
    with pytest.raises(CheckError) as caught:
        read(*arguments)
    return {finding.place for finding in caught.value.findings}


def settings_file(tmp_path, **changes):
    path = tmp_path / "node.toml"
    path.write_text(settings_text(**changes))
    return str(path)


def test_settings_are_decoded(tmp_path):
    settings = read_settings(settings_file(tmp_path, name="n1", zone="north-a"))
    assert settings.direct.name == "n1"
    assert settings.direct.region == "north"
    assert settings.direct.bounds.withdrawal_ms == 5_000
    assert settings.direct.bounds.stop_ms == 6_000
    assert settings.direct.bounds.retry_ratio == 0.2
    assert settings.direct.regions == ("north", "south")


@pytest.mark.parametrize(
    ("limits", "memory_mb", "descriptors_max"),
    [
        ("", 300, "allowed"),
        ("[limits]\nmemory_mb = 152\nmax_fds = 100\n", 152, 100),
        ("[limits]\nmemory_mb = 0\nmax_fds = 0\n", 300, "allowed"),
        ("[limits]\nmax_fds = 1000000\n", 300, "allowed"),
    ],
)
def test_the_machine_is_read_and_no_more_descriptors_than_allowed(
    tmp_path, limits, memory_mb, descriptors_max
):
    allowed = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    path = Path(settings_file(tmp_path))
    path.write_text(path.read_text() + limits)
    machine = read_settings(str(path)).direct.machine
    expected = allowed if descriptors_max == "allowed" else descriptors_max
    assert machine == (memory_mb, expected)


def test_invalid_settings_report_the_path_of_each_field(tmp_path):
    path = tmp_path / "node.toml"
    text = settings_text(name="n1", zone="north-a")
    text = text.replace('front = "127.0.0.1:', 'front = "127')
    path.write_text(text.replace("grace_s=6", "grace_s=six"))
    assert findings(read_settings, str(path)) == {"$.listen.front", "$.bounds"}
    path.write_text("= broken")
    assert findings(read_settings, str(path)) == {str(path)}
    assert findings(read_settings, str(tmp_path / "none")) == {str(tmp_path / "none")}


def test_a_configuration_is_decoded():
    configuration = read_routing(configuration_document(version=12))
    assert configuration.number == 12
    route = configuration.routes_by_name["look"]
    assert route.is_idempotent
    assert route.shares == (ServiceShare("desk", 1),)
    assert configuration.routes_by_name["split"].shares == (
        ServiceShare("desk", 90),
        ServiceShare("vault", 10),
    )
    assert not configuration.routes_by_name["split"].is_idempotent
    one = configuration.organisations_by_name["one"]
    digests = {key.digest for key in one.keys_by_name.values()}
    assert digests == {key_digest("key-one-a"), key_digest("key-one-b")}
    assert configuration.services_by_name["desk"].cold_ms == 3_000


def test_an_invalid_configuration_reports_the_path_of_each_field():
    document = configuration_document(version=12)
    document["version"] = "xyz"
    document["routes"]["look"]["timeout_ms"] = "soon"
    del document["routes"]["split"]["traffic_split"]
    assert findings(read_routing, document) == {
        "config/main.version",
        "config/main.routes.look.timeout_ms",
        "config/main.routes.split.service",
    }


def test_a_target_entry_is_decoded():
    target = read_target_entry("i-1", target_object("i-1", born=7), REGIONS)
    assert target.id == "i-1"
    assert target.started_at == 7
    assert target.region == "north"
    assert target.address == Address("127.0.0.1", 9)
    assert not target.is_draining


@pytest.mark.parametrize(
    ("place", "value"),
    [
        ("spec.address", None),
        ("spec.address", "nowhere"),
        ("spec.address", "10.0.0.1:99999"),
        ("spec.info", []),
        ("spec.info.slots", "4"),
        ("spec.info.slots", 0),
        ("spec.info.zone", "elsewhere"),
        ("spec.status.state", "sleeping"),
        ("spec.status.cold_remaining_ms", 1.5),
        ("spec.born", "x"),
        ("spec", "text"),
    ],
)
def test_an_invalid_target_entry_reports_the_path_of_the_field(place, value):
    document = copy.deepcopy(target_object("i-1", born=7))
    section = document
    *path, last = place.split(".")
    for name in path:
        section = section[name]
    section[last] = value
    places = findings(read_target_entry, "i-1", document, REGIONS)
    assert any(found.startswith(f"servers/i-1.{place}") for found in places)


def test_an_invalid_entry_does_not_affect_the_others(tmp_path):
    store = StoreClient(read_settings(settings_file(tmp_path, zone="north-a")))
    valid = store.decode_object(Kind.TARGETS, target_object("i-1"))
    invalid = store.decode_object(
        Kind.TARGETS, {"metadata": {"name": "i-2"}, "spec": 5}
    )
    assert valid.value.id == "i-1"
    assert invalid.value is None
    assert "servers/i-2" in invalid.problem


def test_an_instance_entry_is_decoded_as_it_was_encoded():
    instance = an_instance("10.0.0.1", handover_address=Address("10.0.0.1", 82))
    document = json.loads(json.dumps({"spec": instance_document(instance)}))
    assert read_instance_entry("10.0.0.1", document) == instance


def test_an_evacuation_is_applied_in_time_although_its_watch_gets_no_answer():
    """The watch times out, one call fails and is repeated, and a peer relays it."""
    durations = Durations()
    watch_ms = durations.evacuation_wait_ms + WATCH_MARGIN_MS
    retry_ms = CALL_TIMEOUT_MS + durations.store_retry_ms
    assert watch_ms + retry_ms + ANSWER_MARGIN_MS <= EVACUATION_TIMEOUT_MS


@pytest.mark.parametrize("text", [None, "", "x", "-1", "9" * 30])
def test_an_answer_without_an_era_is_of_the_newest_one_known(tmp_path, text):
    """Otherwise every watch after it would lead to another list."""
    client = StoreClient(read_settings(settings_file(tmp_path)))
    without = HttpResponse(200, {} if text is None else {"store-era": text}, b"")
    assert client._read_era(without) == 0
    assert client._read_era(HttpResponse(200, {"store-era": "3"}, b"")) == 3
    assert client._read_era(without) == 3
