"""Requests wait at the instance for room, in order, and are checked again then."""

import asyncio
from types import SimpleNamespace

import pytest

from sequoiahook.daemons.direct.request_runner import RequestRunner
from sequoiahook.daemons.held_answers import AnswerMemory, HeldAnswers
from sequoiahook.decisions.direct.organisation_shares import (
    OrganisationShares,
    ShareSettings,
)
from sequoiahook.decisions.direct.requests import (
    Attempt,
    Cause,
    Deliver,
    HoldRoom,
    OpenRequest,
    Refuse,
)
from sequoiahook.decisions.direct.target_selection import TargetSelector
from sequoiahook.decisions.direct.waiting import Waiting, WaitingSettings
from sequoiahook.decisions.exchange.target_result import Stage, TargetResult
from sequoiahook.decisions.keys import KeyName
from tests.direct_parts import (
    LATENCY_GOAL_MS,
    a_configuration,
    a_request,
    a_route,
    an_organisation,
)
from tests.share_simulation import HOT, STEADY, ShareSimulation
from tests.test_direct_attempts import a_core

SETTINGS = WaitingSettings()
LONGEST_MS = LATENCY_GOAL_MS // SETTINGS.goal_divisor
WORK_MS = 100
OK = TargetResult(Stage.ANSWERED, status=200, duration_ms=WORK_MS)


def a_paced_core():
    """Return a core with one target, whose requests wait for room."""
    core = a_core(targets=1)
    core.capacity.waiting = Waiting(SETTINGS, lambda _: True, core.fleet.shares)
    return core


def an_open_request(organisation="one", arrived_at=0, **changes):
    route = a_route(**changes)
    name = KeyName(organisation, "k")
    return OpenRequest(a_request(), route, "s", name, arrived_at, arrived_at + 2_000)


def a_waiting(states_pace=True):
    shares = OrganisationShares(ShareSettings())
    return Waiting(SETTINGS, lambda _: states_pace, shares), shares


def fill(core, now=0):
    """Send requests until the only target has no room; return the attempts."""
    attempts = []
    while True:
        request = core.admission.admit(a_request(), now)
        step = core.attempts.next_step(request, now)
        if not isinstance(step, Attempt):
            return attempts, request, step
        attempts.append(step)


def test_services_without_a_pace_refuse_at_once():
    """Guards against a change for deployments whose targets state no pace."""
    waiting, _ = a_waiting(states_pace=False)
    assert waiting.hold(an_open_request(), 1, WORK_MS, 0) is None
    _, request, step = fill(a_core(targets=1))
    assert isinstance(step, Refuse)
    assert request.room_wait is None


def test_a_request_waits_an_eighth_of_its_goal_at_most():
    waiting, _ = a_waiting()
    request = an_open_request()
    step = waiting.hold(request, LONGEST_MS, WORK_MS, 0)
    assert step == HoldRoom("s", SETTINGS.decide_again_ms)
    waiting.leave(request, 25)
    assert waiting.hold(request, LONGEST_MS, WORK_MS, 40) == HoldRoom("s", 10)
    waiting.leave(request, LONGEST_MS)
    assert waiting.hold(request, 1, WORK_MS, LONGEST_MS) is None
    assert request.room_wait.waited_ms == LONGEST_MS
    assert waiting.counts_by_service == {}


@pytest.mark.parametrize(
    ("room_after_ms", "work_ms", "now"),
    [
        (LONGEST_MS + 1, WORK_MS, 0),
        (20, LATENCY_GOAL_MS - 10, 0),
        (20, WORK_MS, 1_890),
    ],
    ids=["room too late", "goal missed", "deadline missed"],
)
def test_a_wait_that_would_not_help_is_refused_at_once(room_after_ms, work_ms, now):
    waiting, _ = a_waiting()
    assert waiting.hold(an_open_request(), room_after_ms, work_ms, now) is None


def test_a_goal_that_cannot_be_met_anyway_does_not_limit_the_wait():
    waiting, _ = a_waiting()
    assert waiting.hold(an_open_request(), 20, 600, 0) is not None


def test_at_most_64_requests_wait_for_a_service():
    waiting, _ = a_waiting()
    requests = [an_open_request() for _ in range(SETTINGS.waiting_max + 1)]
    steps = [waiting.hold(request, 1, WORK_MS, 0) for request in requests]
    assert all(steps[:-1])
    assert steps[-1] is None
    assert waiting.counts_by_service == {"s": SETTINGS.waiting_max}
    waiting.leave(requests[0], 0)
    assert waiting.hold(requests[-1], 1, WORK_MS, 0) is not None


def test_the_order_is_goal_then_priority_then_recent_work_then_arrival():
    waiting, shares = a_waiting()
    shares.record_started("s", "busy", 1_000, 300)
    late = an_open_request("one", -200)
    lower = an_open_request("one", 290, priority=2)
    busy = an_open_request("busy", 280)
    second = an_open_request("one", 295)
    first = an_open_request("one", 293)
    for request in (late, lower, busy, second, first):
        assert waiting.hold(request, 1, 300, 300)
    ranked = Waiting.next_requests(waiting, "s", 300)
    assert ranked == [first, second, busy][: SETTINGS.wake_max]
    for request in ranked:
        waiting.leave(request, 300)
    assert waiting.next_requests("s", 300) == [lower, late]


def test_a_waiting_request_holds_no_token():
    """Guards against waits that use up the rate of an organisation."""
    core, taken = a_paced_core(), []
    core.admission.take_token = lambda request, now: taken.append(request)
    attempts, request, step = fill(core)
    assert isinstance(step, HoldRoom)
    assert taken == [attempt.request for attempt in attempts]
    core.capacity.waiting.leave(request, 1)
    core.attempts.on_ended(attempts[0], OK, 1)
    assert isinstance(core.attempts.next_step(request, 1), Attempt)
    assert taken[-1] is request


def test_a_key_that_was_withdrawn_during_the_wait_is_refused():
    core = a_paced_core()
    attempts, request, step = fill(core)
    assert isinstance(step, HoldRoom)
    core.configure(a_configuration(2, (), (an_organisation(key="another-key"),)), 5)
    core.attempts.on_ended(attempts[0], OK, 5)
    core.capacity.waiting.leave(request, 5)
    step = core.attempts.next_step(request, 5)
    assert (step.status, step.cause) == (401, Cause.UNKNOWN_KEY)


@pytest.mark.parametrize("change", ["evacuation", "stop", "deadline"])
def test_other_promises_are_checked_again_after_the_wait(change):
    core = a_paced_core()
    attempts, request, step = fill(core)
    assert isinstance(step, HoldRoom)
    now = 10
    core.attempts.on_ended(attempts[0], OK, now)
    if change == "evacuation":
        core.evacuate(["north-a"], now)
    elif change == "stop":
        core.leave(now + 50)
    else:
        now = 1_990
    core.capacity.waiting.leave(request, now)
    step = core.attempts.next_step(request, now)
    causes = {
        "evacuation": Cause.NO_TARGET,
        "stop": Cause.STOPPING,
        "deadline": Cause.DEADLINE,
    }
    assert (step.status, step.cause) == (503, causes[change])


def test_waits_serve_more_of_the_steady_organisations(monkeypatch):
    """Shares and waits together: requests wait and targets stay used."""
    monkeypatch.setattr(TargetSelector, "states_pace", lambda *_: True)
    world = ShareSimulation({"hot": HOT, "one": STEADY, "two": STEADY})
    world.run(4_000)
    fractions, use = world.measure(12_000)
    assert min(fractions["one"], fractions["two"]) >= 0.93
    assert use >= 0.95
    assert sum(world.wait_counts.values()) > 0
    counts = [c.capacity.waiting.counts_by_service for c in world.cores.values()]
    assert all(count.get("s", 0) <= SETTINGS.waiting_max for count in counts)


class Exchange:
    """An exchange with a target that ends when it is told to."""

    def __init__(self, ended):
        self.stage = Stage.NOTHING_WRITTEN
        self._ended = ended

    async def run(self, may_write):
        assert may_write()
        await self._ended.wait()
        return OK


class Reporter:
    def send_token_requests(self):
        pass


def a_runner(core, ended):
    clock = SimpleNamespace(now=lambda: 0)
    targets = SimpleNamespace(
        hold_answers=lambda: HeldAnswers(AnswerMemory(), 0),
        open=lambda request, held: Exchange(ended),
    )
    return RequestRunner(core, targets, lambda attempt: (), Reporter(), clock)


def test_an_attempt_that_ends_wakes_a_waiting_request():
    """Guards against waits that end only when they are decided again after 25 ms."""

    async def scenario():
        core, ended = a_paced_core(), asyncio.Event()
        runner = a_runner(core, ended)
        admit = core.admission.admit
        tasks = [
            asyncio.create_task(runner.run(admit(a_request(), 0))) for _ in range(14)
        ]
        await asyncio.sleep(0)
        assert core.capacity.waiting.counts_by_service == {"s": 2}
        ended.set()
        for _ in range(20):
            await asyncio.sleep(0)
        assert all(isinstance(task.result(), Deliver) for task in tasks)
        assert core.capacity.waiting.counts_by_service == {}

    asyncio.run(scenario())


def test_a_caller_that_disconnects_frees_its_place():
    async def scenario():
        core = a_paced_core()
        runner = a_runner(core, asyncio.Event())
        fill(core)
        request = core.admission.admit(a_request(), 0)
        before = core.capacity.waiting.counts_by_service["s"]
        task = asyncio.create_task(runner.run(request))
        await asyncio.sleep(0)
        assert core.capacity.waiting.counts_by_service["s"] == before + 1
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert core.capacity.waiting.counts_by_service["s"] == before

    asyncio.run(scenario())
