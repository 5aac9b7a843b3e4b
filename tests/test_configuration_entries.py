"""Entries that cannot be read affect no other entry.

Guards against a configuration that every instance ignores as a whole because one route
or organisation in it is unknown to this version.
"""

import logbook
import pytest

from sequoiahook.clock import ManualClock
from sequoiahook.daemons.direct.object_store import Kind, Listing, StoredObject
from sequoiahook.daemons.direct.observers import ConfigurationObserver
from sequoiahook.decisions.direct.core import DirectCore
from sequoiahook.decisions.direct.requests import Cause, OpenRequest, Refuse, Status
from sequoiahook.decisions.direct.revisions import Revision
from sequoiahook.errors import CheckError
from sequoiahook.platform.configuration import read_routing
from sequoiahook.platform.settings import read_settings
from sequoiahook.platform.store import StoreClient, _last_name
from standins.platform_documents import (
    configuration_document,
    settings_text,
    target_object,
)
from tests.direct_parts import a_request, an_instance
from tests.test_direct_attempts import SETTINGS

ONE = "key-one-a"
TWO = "key-two-a"


def a_document():
    two = {"api_keys": [TWO], "rate_per_s": 10, "burst": 10}
    return configuration_document(version=7, two=two)


def a_core(document):
    core = DirectCore(SETTINGS, an_instance("me"), 0)
    observer = ConfigurationObserver(core, ManualClock(100), lambda _: None)
    stored = StoredObject("main", 1, read_routing(document))
    observer.on_listed(Listing({"main": stored}, Revision(1, 1)), 100)
    return core


def admitted(core, path, key=ONE):
    """Return the status of the refusal of a request; 0 if it is admitted."""
    step = core.admission.admit(a_request(target_path=path, key=key), 100)
    if isinstance(step, OpenRequest):
        return 0
    assert isinstance(step, Refuse)
    return int(step.status)


def test_a_download_may_be_repeated():
    document = a_document()
    document["routes"]["look"]["type"] = "download"
    configuration = read_routing(document)
    assert configuration.routes_by_name["look"].is_idempotent
    assert not configuration.findings


def test_requests_of_an_unknown_type_run_but_are_not_repeated():
    document = a_document()
    document["routes"]["look"]["type"] = "batch"
    configuration = read_routing(document)
    assert not configuration.routes_by_name["look"].is_idempotent
    assert [f.place for f in configuration.findings] == ["config/main.routes.look.type"]
    assert admitted(a_core(document), "/look/1") == 0


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("service", 5),
        ("traffic_split", [{"service": "desk", "weight": "much"}]),
        ("allowed_regions", "north"),
        ("allowed_regions", [3]),
    ],
)
def test_a_route_with_an_unknown_place_is_refused_as_not_run(field, value):
    document = a_document()
    document["routes"]["look"][field] = value
    core = a_core(document)
    assert admitted(core, "/look/1") == Status.UNAVAILABLE
    assert admitted(core, "/write/1") == 0


@pytest.mark.parametrize("field", ["hostname", "path_prefix"])
def test_a_route_that_cannot_be_matched_is_not_answered_as_missing(field):
    document = a_document()
    document["routes"]["look"][field] = None
    core = a_core(document)
    assert admitted(core, "/look/1") == Status.UNAVAILABLE
    assert admitted(core, "/write/1") == 0


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("timeout_ms", "soon"),
        ("target_latency_ms", -1),
        ("priority", 1.5),
        ("max_attempts", None),
        ("public", "no"),
        ("sticky_sessions", 1),
    ],
)
def test_other_fields_of_a_route_have_defaults(field, value):
    document = a_document()
    document["routes"]["look"][field] = value
    core = a_core(document)
    assert admitted(core, "/look/1") == 0
    assert len(core.admission.configuration.findings) == 1
    route = core.admission.configuration.routes_by_name["look"]
    assert route.timeout_ms >= 2_500
    assert route.attempts_max >= 1
    assert not route.is_open


def test_a_route_that_is_no_object_affects_no_other():
    document = a_document()
    document["routes"]["look"] = "text"
    core = a_core(document)
    assert admitted(core, "/look/1") == Status.UNAVAILABLE
    assert admitted(core, "/write/1") == 0


@pytest.mark.parametrize("table", ["routes", "services", "tenants", "limits"])
def test_a_configuration_without_a_readable_table_is_not_applied(table):
    document = a_document()
    document[table] = "text"
    with pytest.raises(CheckError) as caught:
        read_routing(document)
    assert [f.place for f in caught.value.findings] == [f"config/main.{table}"]


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("rate_per_s", "many"),
        ("rate_per_s", float("inf")),
        ("burst", float("nan")),
        ("allowed_regions", "north"),
    ],
)
def test_an_organisation_with_unknown_limits_is_refused_as_not_run(field, value):
    document = a_document()
    document["tenants"]["two"][field] = value
    core = a_core(document)
    assert admitted(core, "/look/1", TWO) == Status.UNAVAILABLE
    assert admitted(core, "/look/1", ONE) == 0


@pytest.mark.parametrize("keys", ["text", [TWO[:3], 5], None])
def test_a_key_that_may_be_unreadable_is_not_answered_as_unknown(keys):
    document = a_document()
    document["tenants"]["two"]["api_keys"] = keys
    core = a_core(document)
    assert admitted(core, "/look/1", TWO) == Status.UNAVAILABLE
    assert admitted(core, "/look/1", ONE) == 0


def test_a_withdrawn_key_is_refused_whatever_else_is_unreadable():
    document = a_document()
    document["tenants"]["one"]["api_keys"] = ["key-one-b"]
    document["routes"]["write"] = 5
    document["services"]["vault"] = 5
    document["limits"] = {"idle_timeout_ms": 0}
    core = a_core(document)
    assert admitted(core, "/look/1", ONE) == Status.UNAUTHORIZED
    assert admitted(core, "/look/1", "key-one-b") == 0


def test_a_key_of_an_unusable_length_is_reported_with_its_place():
    document = a_document()
    document["tenants"]["two"]["api_keys"] = [TWO, "short"]
    findings = read_routing(document).findings
    assert [f.place for f in findings] == ["config/main.tenants.two.api_keys[1]"]
    assert admitted(a_core(document), "/look/1", TWO) == 0


def test_unknown_fields_are_ignored():
    document = a_document()
    document["routes"]["look"]["colour"] = "blue"
    document["tenants"]["two"]["colour"] = "blue"
    document["colour"] = "blue"
    assert not read_routing(document).findings


def test_each_finding_is_logged_with_version_and_place():
    document = a_document()
    document["routes"]["look"]["type"] = "batch"
    with logbook.TestHandler() as handler:
        a_core(document)
    (record,) = [r for r in handler.records if "not readable" in r.message]
    assert record.extra["configuration"] == 7
    assert record.extra["place"] == "config/main.routes.look.type"
    assert Cause.UNREADABLE in record.message


@pytest.mark.parametrize(
    "item", [5, None, {}, {"metadata": 5}, {"metadata": {"name": None}}]
)
def test_an_object_without_a_name_affects_no_other(tmp_path, item):
    path = tmp_path / "node.toml"
    path.write_text(settings_text(name="n1", zone="north-a"))
    store = StoreClient(read_settings(str(path)))
    stored = store.decode_object(Kind.TARGETS, item)
    assert stored.value is None
    assert "has no name" in stored.problem
    assert _last_name([target_object("i-1"), item]) == "i-1"
    assert _last_name([item]) == ""


def test_a_target_with_infinite_fields_is_invalid_and_not_fatal(tmp_path):
    path = tmp_path / "node.toml"
    path.write_text(settings_text(name="n1", zone="north-a"))
    store = StoreClient(read_settings(str(path)))
    for value in (float("inf"), float("nan"), 10**400, [], {}):
        document = target_object("i-1")
        document["spec"]["status"]["cold_remaining_ms"] = value
        document["spec"]["status"]["state"] = value
        assert store.decode_object(Kind.TARGETS, document).value is None
