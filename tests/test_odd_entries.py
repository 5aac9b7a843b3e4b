"""One odd entry among those of the targets harms no instance and no other entry.

Guards against instances that end, stop following the store or ask a peer without a
pause because another writer left an entry that cannot be read.
"""

import pytest

from standins.platform_documents import configuration_document, target_object
from tests.virtual_platform import VirtualPlatform

ZONE_BY_NAME = {"n1": "north-a", "n2": "north-b", "n3": "north-a"}
MARKER = "@odd"
CALLS_MAX = 120
"""Calls of the store by three instances in 10 s; about 50 in a calm fleet."""

DEEP = "[" * 100_000 + "]" * 100_000
ODD_TEXTS = {
    "nested 100,000 levels deep": DEEP,
    "nested 500 levels deep": '{"a":' * 500 + "1" + "}" * 500,
    "nested 100 levels deep": "[" * 100 + "]" * 100,
    "number of 5,000 digits": "9" * 5_000,
    "number of 400 digits": "9" * 400,
    "infinite number": "1e999",
    "negative number": "-1",
    "lone surrogate": '"\\ud800"',
    "null": "null",
}
FIELDS = {
    "address": lambda spec: spec.update(address=MARKER),
    "born": lambda spec: spec.update(born=MARKER),
    "slots": lambda spec: spec["info"].update(slots=MARKER),
    "state": lambda spec: spec["status"].update(state=MARKER),
    "cold": lambda spec: spec["status"].update(cold_remaining_ms=MARKER),
    "unknown": lambda spec: spec.update(note=MARKER),
}
ODD_ADDRESSES = [
    "10.5.0.1:65536",
    "10.5.0.1:0",
    "10.5.0.1:-1",
    "10.5.0.1:" + "9" * 100,
    "10.5.0.1:8_1",
    "10.5.0.1:\u0661",
    ":80",
    "no-address:80",
    "\u0000:80",
]


def play(put_odd_entry):
    with VirtualPlatform(ZONE_BY_NAME) as platform:
        platform.put("config", "main", configuration_document(1))
        for name in ZONE_BY_NAME:
            platform.start(name)
        platform.run_for(4)
        put_odd_entry(platform)
        platform.run_for(2)
        platform.kill("n2")
        platform.start("n2")
        platform.run_for(4)
        platform.put("config", "main", configuration_document(2))
        platform.drained.add("i-2")
        platform.write_target("i-2")
        calls = platform.store.calls.total()
        platform.run_for(10)
        for number in range(6):
            for name in ZONE_BY_NAME:
                platform.send(name, f"/look/{number}", "key-one-a")
        platform.run_for(3)
        assert platform.store.calls.total() - calls < CALLS_MAX
        assert_followed(platform)


def assert_followed(platform):
    assert [line for line in platform.log.lines if line[2] == "task failed"] == []
    for name in ZONE_BY_NAME:
        assert platform.instance(name).core.configuration_number == 2, name
        log = [line for line in platform.log.lines if line[1] == name]
        assert sum(line[2] == "relay unavailable" for line in log) < 20, name
    assert {answer.status for answer in platform.answers} == {200}
    ids = {answer.id for answer in platform.answers}
    runs = {run["id"] for run in platform.targets_by_id["i-1"].runs}
    assert ids <= runs


@pytest.mark.parametrize("text", ODD_TEXTS)
def test_odd_values_in_entries_harm_only_these_entries(text):
    def put_odd_entries(platform):
        platform.raw_text_by_marker[MARKER] = ODD_TEXTS[text]
        for field, change in FIELDS.items():
            spec = target_object(field, state="draining")["spec"]
            change(spec)
            platform.put("servers", field, spec)

    play(put_odd_entries)


def test_odd_addresses_in_entries_harm_only_these_entries():
    def put_odd_entries(platform):
        for number, address in enumerate(ODD_ADDRESSES):
            spec = target_object("odd", state="ready")["spec"]
            spec["address"] = address
            platform.put("servers", f"odd-{number}", spec)

    play(put_odd_entries)


@pytest.mark.parametrize("name", ["\ud800", "\ud800z", "x" * 2_000, "\u0000"])
def test_odd_name_of_an_entry_harms_only_the_entry(name):
    spec = target_object("odd", state="draining")["spec"]
    play(lambda platform: platform.put("servers", name, spec))


def test_odd_names_on_the_pages_of_a_list_harm_only_these_entries():
    """Pages continue after the last name of the one before."""

    def put_odd_entries(platform):
        for number in range(120):
            name = f"\udc00{number:03}"
            platform.put("servers", name, {"status": [number]})

    play(put_odd_entries)
