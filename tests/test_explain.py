"""Explanations show what would happen to a request, and change nothing."""

import asyncio
import json
import random
import threading
from collections import deque
from enum import Enum
from types import FunctionType, MethodType
from typing import NamedTuple

import pytest

from sequoiahook.cli.exit_codes import ExitCode
from sequoiahook.cli.main import main
from sequoiahook.daemons.caller_http import CallerRequest
from sequoiahook.daemons.direct.explain import explain_answer, is_explain_call
from sequoiahook.decisions.direct.core import DirectCore, DirectCoreSettings
from sequoiahook.decisions.direct.placements import Placement
from sequoiahook.decisions.direct.request_explanation import (
    ExplainQuery,
    explain_request,
    read_explain_query,
)
from sequoiahook.decisions.direct.requests import Attempt, Cause
from sequoiahook.decisions.exchange.target_result import Stage, TargetResult
from sequoiahook.errors import CheckError
from sequoiahook.world.routing import ServiceShare
from standins.platform_documents import PORTS
from tests.direct_parts import (
    KEY,
    LATENCY_GOAL_MS,
    a_configuration,
    a_request,
    a_route,
    a_service,
    a_target,
    an_instance,
    an_organisation,
)
from tests.virtual_platform import VirtualPlatform

SETTINGS = DirectCoreSettings(regions=("north", "south"), retry_slack=60)
PLAIN_TYPES = int | float | str | bytes | Enum | type
QUERY = ExplainQuery("a.example", "/look/1", "one", "17")


class FakeTarget(NamedTuple):
    target: str
    region: str
    obstacle: str


class FakeExplanation(NamedTuple):
    states_pace: bool
    region_order: tuple
    targets: tuple
    decision: Placement


class FakeExplainer:
    """Explains each query with given targets and decision, and records the queries."""

    def __init__(self, decision=None):
        self.decision = decision or Placement(None, 0, 0, 70, Cause.TARGETS_FULL)
        self.queries = []

    def explain(self, query, now):
        self.queries.append(query)
        targets = (
            FakeTarget("t-north", "north", ""),
            FakeTarget("t2", "south", "cold"),
        )
        return FakeExplanation(False, ("north", "south"), targets, self.decision)


def explainer_of(core):
    """Return the selector of a core, or a fake if selectors explain nothing yet."""
    return core.selector if hasattr(core.selector, "explain") else FakeExplainer()


def a_core(route=None, organisations=(), **changes):
    core = DirectCore(SETTINGS, an_instance("me"), 0)
    routes = (route or a_route(),)
    configuration = a_configuration(1, routes, organisations)
    core.configure(configuration._replace(**changes), 0)
    targets = {f"t-{r}": a_target(f"t-{r}", region=r) for r in ("north", "south")}
    core.targets.replace(targets, 0)
    core.freshness.confirm(0)
    return core


def places(error):
    return {finding.place for finding in error.value.findings}


@pytest.mark.parametrize(
    ("text", "wrong"),
    [
        ("", {"host", "path"}),
        ("host=a&path=look", {"path"}),
        ("host=a&path=/&host=b", {"host"}),
        ("host=a&path=/&deadline_ms=0", {"deadline_ms"}),
        ("host=a&path=/&deadline_ms=1e3", {"deadline_ms"}),
        ("host=a&path=/&deadline_ms=", {"deadline_ms"}),
        ("host=a&path=/&deadline_ms=" + "9" * 5_000, {"deadline_ms"}),
        ("host=a&path=/&body_bytes=-1", {"body_bytes"}),
        ("host=a&path=/&body_bytes=%D9%A3", {"body_bytes"}),
        ("host=a&path=/&object=" + "x" * 5_000, {"object"}),
        ("host=a&path=/&api_key=secret&body_bytes=x", {"api_key", "body_bytes"}),
    ],
)
def test_each_wrong_parameter_is_named(text, wrong):
    with pytest.raises(CheckError) as error:
        read_explain_query(text)
    assert places(error) == wrong
    assert "secret" not in str(error.value)


def test_parameters_are_read():
    text = "host=a&path=/look/1%3Fq%3D2&organisation=one&object=17&deadline_ms=300"
    expected = ExplainQuery("a", "/look/1?q=2", "one", "17", 300, 5_000)
    assert read_explain_query(f"{text}&body_bytes=5000") == expected


def test_the_request_is_explained_as_it_would_be_admitted():
    organisation = an_organisation(priority=0, regions=("south", "west"))
    core = a_core(a_route(regions=("north", "south")), (organisation,))
    explainer = FakeExplainer()
    query = QUERY._replace(deadline_ms=300, body_bytes=9)
    document = explain_request(core, explainer, query, 10)
    (asked,) = explainer.queries
    assert (asked.regions, asked.priority, asked.remaining_ms) == (("south",), 0, 300)
    assert (asked.object_key, asked.service.name) == ("17", "s")
    route = document["route"]
    assert (route["name"], route["priority"], route["regions"]) == (
        "look",
        0,
        ("south",),
    )
    (service,) = document["services"]
    assert service["region_order"] == ["north", "south"]
    assert service["targets"][1] == {
        "target": "t2",
        "region": "south",
        "obstacle": "cold",
    }
    decision = service["decision"]
    assert (decision["target"], decision["cause"]) == (None, Cause.TARGETS_FULL)
    assert document["refusal"] is None
    assert json.loads(json.dumps(document))


def test_the_selected_target_is_shown():
    core = a_core()
    state = core.targets.states_by_id["t-south"]
    placement = Placement(state, 120, placed_by="home")
    document = explain_request(core, FakeExplainer(placement), QUERY, 10)
    decision = document["services"][0]["decision"]
    assert (decision["target"], decision["region"]) == ("t-south", "south")
    assert (decision["expected_ms"], decision["placed_by"]) == (120, "home")


def test_each_service_of_a_split_route_is_explained():
    shares = (ServiceShare("s", 3), ServiceShare("s2", 1))
    services = {"s": a_service(), "s2": a_service(name="s2")}
    core = a_core(a_route(shares=shares), services_by_name=services)
    document = explain_request(core, FakeExplainer(), QUERY, 10)
    found = [(entry["service"], entry["weight"]) for entry in document["services"]]
    assert found == [("s", 3), ("s2", 1)]


def a_leaving_core():
    core = a_core()
    core.leave(1_000)
    return core


@pytest.mark.parametrize(
    ("core", "query", "now", "refusal"),
    [
        (lambda: DirectCore(SETTINGS, an_instance("me"), 0), QUERY, 0,
         (503, Cause.NO_CONFIGURATION)),
        (a_core, QUERY._replace(path="/other/1"), 0, (404, Cause.NO_ROUTE)),
        (lambda: a_core(has_unknown_routes=True), QUERY._replace(host="x"), 0,
         (503, Cause.UNREADABLE)),
        (lambda: a_core(a_route(is_readable=False)), QUERY, 0,
         (503, Cause.UNREADABLE)),
        (lambda: a_core(organisations=(an_organisation(is_readable=False),)), QUERY, 0,
         (503, Cause.UNREADABLE)),
        (a_core, QUERY._replace(organisation=""), 0, (401, Cause.NO_KEY)),
        (a_core, QUERY, 10_000_000, (503, Cause.STALE)),
        (lambda: a_core(a_route(regions=("north",)),
                        (an_organisation(regions=("south",)),)), QUERY, 0,
         (503, Cause.NO_COMMON_REGION)),
        (a_leaving_core, QUERY, 0, (503, Cause.STOPPING)),
    ],
)  # fmt: skip
def test_a_refusal_before_the_selection_is_that_of_a_request(core, query, now, refusal):
    core = core()
    document = explain_request(core, FakeExplainer(), query, now)
    assert tuple(document["refusal"].values()) == refusal
    assert document["services"] == []
    key = KEY if query.organisation else ""
    request = a_request(host=query.host, target_path=query.path, key=key)
    admitted = core.admission.admit(request, now)
    if refusal[1] == Cause.STOPPING:
        admitted = core.attempts.next_step(admitted, now)
    assert (admitted.status, admitted.cause) == refusal


def test_an_open_route_needs_no_organisation():
    core = a_core(a_route(is_open=True))
    document = explain_request(
        core, FakeExplainer(), ExplainQuery("a.example", "/look/1"), 0
    )
    assert document["refusal"] is None


def test_an_unknown_organisation_is_an_error_that_does_not_repeat_it():
    """It may be a key that was given by mistake."""
    with pytest.raises(CheckError) as error:
        explain_request(a_core(), FakeExplainer(), QUERY._replace(organisation=KEY), 0)
    assert places(error) == {"organisation"}
    assert KEY not in str(error.value)


def snapshot(value, seen=None):
    """Return a comparable copy of everything that is reachable from a value."""
    seen = {} if seen is None else seen
    if value is None or isinstance(value, PLAIN_TYPES):
        return value
    if isinstance(value, FunctionType | MethodType):
        return value.__qualname__
    if id(value) in seen:
        return f"seen {seen[id(value)]}"
    seen[id(value)] = len(seen)
    return type(value).__name__, contents(value, seen)


def contents(value, seen):
    if isinstance(value, random.Random):
        return value.getstate()
    if isinstance(value, set | frozenset):
        return sorted(map(repr, value))
    if isinstance(value, list | tuple | deque):
        return [snapshot(item, seen) for item in value]
    if not isinstance(value, dict):
        slots = [s for c in type(value).__mro__ for s in getattr(c, "__slots__", ())]
        value = {s: getattr(value, s) for s in slots if hasattr(value, s)} | vars(value)
    return [(snapshot(k, seen), snapshot(v, seen)) for k, v in value.items()]


def a_busy_core():
    """Return a core with demand, open requests, a limit and several regions."""
    limited = an_organisation(rate_per_s=50, burst=50)
    core = a_core(organisations=(limited,))
    core.rates.update(0)
    for index in range(40):
        now = 1_000 + index * 50
        core.freshness.confirm(now)
        core.tick(now)
        request = core.admission.admit(a_request(object_key=str(index % 7)), now)
        step = core.attempts.next_step(request, now)
        if isinstance(step, Attempt) and index % 3:
            result = TargetResult(Stage.ANSWERED, status=200, duration_ms=80)
            core.attempts.on_ended(step, result, now + 20)
    return core


def test_the_snapshot_shows_changes():
    """The next test relies on it."""
    core = a_busy_core()
    before = snapshot(core)
    request = core.admission.admit(a_request(), 3_000)
    assert snapshot(core) == before
    core.attempts.next_step(request, 3_000)
    assert snapshot(core) != before


@pytest.mark.parametrize("object_key", ["", "3", "new"])
@pytest.mark.parametrize("now", [3_000, 3_500, 60_000])
def test_an_explanation_changes_no_state(object_key, now):
    core = a_busy_core()
    core.freshness.confirm(now)
    before = snapshot(core)
    query = QUERY._replace(object_key=object_key)
    first = explain_request(core, explainer_of(core), query, now)
    assert first["services"]
    assert snapshot(core) == before
    assert explain_request(core, explainer_of(core), query, now) == first


def call(target, method="GET"):
    return CallerRequest(1, "127.0.0.1", method, target, (), b"")


def answer(target, method="GET"):
    request = call(target, method)
    assert is_explain_call(request)
    return explain_answer(request, a_core(), FakeExplainer(), 0)


def test_explanations_are_json():
    reply = answer(b"/explain?host=a.example&path=/look/1&organisation=one")
    assert (reply.status, json.loads(reply.body)["route"]["name"]) == (200, "look")


def test_wrong_calls_are_refused():
    reply = answer(b"/explain?host=a.example")
    (finding,) = json.loads(reply.body)["findings"]
    assert (reply.status, finding["place"]) == (400, "path")
    assert answer(b"/explain", "POST").status == 405
    assert not is_explain_call(call(b"/metrics?x=/explain"))


async def fetch(address, target):
    reader, writer = await asyncio.open_connection(*address)
    writer.write(b"GET %s HTTP/1.1\r\nHost: m\r\nConnection: close\r\n\r\n" % target)
    reply = await reader.read()
    writer.close()
    head, _, body = reply.partition(b"\r\n\r\n")
    return int(head.split()[1]), body


def test_an_instance_answers_at_its_metrics_address():
    replies = []

    async def ask(address):
        query = b"host=a.example&path=/look/1&organisation=one"
        for target in (b"/explain?" + query, b"/explain?path=x", b"/metrics"):
            replies.append(await fetch(address, target))

    with VirtualPlatform({"n1": "north-a"}) as platform:
        platform.start("n1")
        platform.run_for(4)
        selector = platform.instance("n1").core.selector
        if not hasattr(selector, "explain"):
            selector.explain = FakeExplainer().explain
        platform.run_caller(ask((platform.host("n1"), PORTS.metrics)))
        platform.run_for(1)
    assert [status for status, _ in replies] == [200, 400, 200]
    assert json.loads(replies[0][1])["instance"] == "n1"
    assert b"sequoiahook_targets" in replies[2][1]


class MetricsServer(threading.Thread):
    """Answers explanations on a port of its own until it is stopped."""

    def __init__(self):
        super().__init__(daemon=True)
        self.started = threading.Event()
        self.paths = []

    def __enter__(self):
        self.start()
        assert self.started.wait(5)
        return self

    def __exit__(self, *_):
        self.loop.call_soon_threadsafe(self.stopped.set)
        self.join()

    def run(self):
        asyncio.run(self.serve())

    async def serve(self):
        self.loop, self.stopped = asyncio.get_running_loop(), asyncio.Event()
        server = await asyncio.start_server(self.reply, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        self.started.set()
        await self.stopped.wait()
        server.close()

    async def reply(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        target = head.split()[1]
        self.paths.append(target)
        reply = explain_answer(call(target), a_core(), FakeExplainer(), 0)
        length = b"Content-Length: %d\r\n" % len(reply.body)
        writer.write(b"HTTP/1.1 %d X\r\n%s\r\n%s" % (reply.status, length, reply.body))
        writer.close()


def run(capsys, *arguments):
    with pytest.raises(SystemExit) as ended:
        main(("explain", *arguments))
    return ended.value.code, capsys.readouterr()


def test_the_command_shows_the_decision(capsys):
    with MetricsServer() as server:
        request = (server.address, "a.example", "/look/1", "--organisation", "one")
        code, output = run(capsys, *request, "--deadline-ms", "300")
        assert code == ExitCode.OK
        for text in ("route look", f"goal {LATENCY_GOAL_MS} ms", "t-north", "cold"):
            assert text in output.out
        assert f"refused with 503: {Cause.TARGETS_FULL}" in output.out
        assert b"deadline_ms=300" in server.paths[0]
        code, output = run(capsys, *request, "--json")
        assert json.loads(output.out)["services"][0]["service"] == "s"
        code, output = run(capsys, server.address, "a.example", "/none")
        assert (code, "refused with 404: no route" in output.out) == (ExitCode.OK, True)


def test_the_command_names_the_place_of_a_wrong_argument(capsys):
    with MetricsServer() as server:
        code, output = run(capsys, server.address, "a.example", "look")
        assert code == ExitCode.INVALID
        assert "path: must begin with a slash" in output.err
        arguments = (server.address, "a.example", "/look/1", "--deadline-ms", "0")
        code, output = run(capsys, *arguments)
        assert "deadline_ms: must be a whole number from 1" in output.err
    for address in ("127.0.0.1", "127.0.0.1:x", ":80", "127.0.0.1:70000"):
        code, output = run(capsys, address, "a.example", "/look/1")
        assert (code, "address: must be IP:PORT" in output.err) == (
            ExitCode.INVALID,
            True,
        )


def test_an_instance_that_is_not_reached_is_unavailable(capsys):
    code, output = run(capsys, "127.0.0.1:1", "a.example", "/look/1")
    assert code == ExitCode.UNAVAILABLE
    assert output.err.startswith("error: 127.0.0.1:1")
