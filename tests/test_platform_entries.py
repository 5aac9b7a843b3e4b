"""Real processes whose store holds entries that they cannot read."""

import pytest

from standins.fleet import wait_for
from standins.platform_documents import configuration_document
from standins.platform_fleet import PlatformFleet, Request, send_request
from tests.test_platform_processes import TARGETS, start

NAMES = ("n1", "n2")
CONFIG_TIMEOUT_S = 2.5


@pytest.fixture(scope="module")
def fleet():
    with PlatformFleet() as fleet:
        start(fleet, *NAMES)
        yield fleet


def put_configuration(fleet, version, change):
    document = configuration_document(version)
    change(document)
    fleet.control_store(put=[("config", "main", document)])
    wait_for(
        lambda: all(
            f"sequoiahook_configuration_number {version}\n" in fleet.metrics(name)
            for name in NAMES
        ),
        f"configuration {version} is in force",
        CONFIG_TIMEOUT_S,
    )


def statuses(fleet, **changes):
    return {
        send_request(fleet.caller_address(name), Request(**changes)).status
        for name in NAMES
    }


def logged_places(fleet, name):
    return [
        record["place"]
        for record in fleet.log_records(name)
        if record["event"] == "entry of the configuration not readable"
    ]


def test_an_unreadable_route_harms_only_itself_and_withdrawn_keys_are_refused(fleet):
    def change(document):
        document["routes"]["look"]["allowed_regions"] = 5
        document["routes"]["open"]["type"] = "stream"
        document["tenants"]["one"]["api_keys"] = ["key-one-b"]

    put_configuration(fleet, 101, change)
    assert statuses(fleet, path="/look/1", key="key-one-b") == {503}
    assert statuses(fleet, path="/write/1", method="POST", key="key-one-b") == {200}
    assert statuses(fleet, path="/open/1", key="") == {200}
    assert statuses(fleet, path="/write/1", method="POST", key="key-one-a") == {401}
    assert "sequoiahook_configuration_findings 2\n" in fleet.metrics("n1")
    places = [
        "config/main.routes.look.allowed_regions",
        "config/main.routes.open.type",
    ]
    wait_for(lambda: logged_places(fleet, "n2") == places, "the findings are logged")
    put_configuration(fleet, 102, lambda document: None)
    assert statuses(fleet, path="/look/1") == {200}


def test_unreadable_entries_of_targets_and_instances_harm_only_themselves(fleet):
    fleet.control_store(
        put=[
            ("servers", "i-0", 5),
            ("servers", "i-9", {"address": [], "info": "x", "status": {}}),
            ("instances", "n0", "text"),
            ("evacuations", "nowhere", {"a": 1}),
        ]
    )
    wait_for(
        lambda: all("instances 2\n" in fleet.metrics(name) for name in NAMES),
        "the instances know each other",
    )
    for _ in range(3 * len(TARGETS)):
        assert statuses(fleet) == {200}
    assert all("sequoiahook_targets 3\n" in fleet.metrics(name) for name in NAMES)
