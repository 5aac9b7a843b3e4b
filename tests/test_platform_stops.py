"""Real processes that stop one after the other or together, under load.

Guards against requests that a stopping process passes on and cuts at its exit.
"""

import http.client
import signal
import threading
import time
from collections import defaultdict
from typing import NamedTuple

import pytest

from standins.fleet import wait_for
from standins.platform_fleet import PlatformFleet, Request, send_request

ZONE_BY_NAME = {"n1": "north-a", "n2": "north-b", "n3": "south-a"}
TARGETS = ("i-1", "i-2", "i-3")
WORK_MS = 1_400
GRACE_S = 6.0
EARLY_S = 3.0
LAST_SIXTH_S = 5.0
UNREAD_SLACK_S = 0.2
NOT_RUN_STATUSES = (429, 503)


class Sent(NamedTuple):
    """A request that a stopping process got, with monotonic times in seconds."""

    id: str
    sent_at: float
    ended_at: float
    status: int


class Caller(threading.Thread):
    """Uses one instance until no connection to it can be opened."""

    def __init__(self, fleet, name, number):
        super().__init__(daemon=True)
        self.sent = []
        self._address = fleet.caller_address(name)
        self._id = f"{name}-{number}"
        self._pause_s = (0.0, 0.1, 0.7, 1.3)[number % 4]
        self._is_kept = number % 3 > 0
        self._is_late = number % 3 == 2

    def run(self):
        while True:
            connection = http.client.HTTPConnection(*self._address, timeout=8)
            try:
                connection.connect()
            except OSError:
                return
            if self._is_late:
                time.sleep(3 * self._pause_s)
            is_open = True
            while is_open:
                is_open = self._send(connection) and self._is_kept
                time.sleep(self._pause_s)
            connection.close()

    def _send(self, connection):
        request = Request(
            "/write/1",
            "POST",
            id=f"{self._id}-{len(self.sent)}",
            body=b"x" * 2_000,
            deadline_ms=3_000,
        )
        sent_at, status, is_open = time.monotonic(), 0, False
        try:
            reply = send_request(self._address, request, connection)
            status = reply.status
            is_open = reply.headers.get("connection") != "close"
        except (OSError, http.client.HTTPException):
            pass
        self.sent.append(Sent(request.id, sent_at, time.monotonic(), status))
        return is_open


def cut(sent, signal_at, runs_by_id):
    """Return what is wrong with a request; an empty text if nothing is."""
    runs = runs_by_id[sent.id]
    if len(runs) > 1:
        return "ran twice"
    if runs and sent.status in NOT_RUN_STATUSES:
        return "refused, but ran"
    if sent.status:
        return ""
    if not runs:
        has_waited = sent.ended_at > sent.sent_at + UNREAD_SLACK_S
        return "ended without an answer" if has_waited else ""
    is_worked_on = runs[0]["at"] + WORK_MS / 1_000 > signal_at + LAST_SIXTH_S
    is_exempt = sent.sent_at <= signal_at + EARLY_S and is_worked_on
    return "" if is_exempt else "was passed on and cut"


@pytest.fixture
def fleet():
    with PlatformFleet() as fleet:
        fleet.configure(1)
        for target_id in TARGETS:
            fleet.start_target(target_id)
        for name, zone in ZONE_BY_NAME.items():
            fleet.start_instance(name, zone)
        fleet.wait_ready(*ZONE_BY_NAME)
        wait_for(lambda: len(fleet.look_up("n1")) > 1, "the instances know each other")
        for target_id in TARGETS:
            fleet.control_target(target_id, faults={"work_ms": WORK_MS})
        yield fleet


@pytest.mark.parametrize("gap_s", (0.0, 2.5))
def test_stopping_processes_cut_no_request(fleet, gap_s):
    signal_at_by_name, callers_by_name = {}, {}
    for name in ("n1", "n2"):
        callers = [Caller(fleet, name, number) for number in range(12)]
        callers_by_name[name] = callers
        for caller in callers:
            caller.start()
        time.sleep(0.3)
        signal_at_by_name[name] = time.monotonic()
        fleet.signal(name, signal.SIGTERM)
        time.sleep(gap_s)
    for name in signal_at_by_name:
        assert fleet.wait_exit(name) == 0
        for caller in callers_by_name[name]:
            caller.join(timeout=10)
    runs_by_id = defaultdict(list)
    for run in fleet.runs():
        runs_by_id[run["id"]].append(run)
    problems = [
        f"{sent.id}, sent {sent.sent_at - signal_at_by_name[name]:.2f} s after the "
        f"signal, {text} at {sent.ended_at - signal_at_by_name[name]:.2f} s"
        for name, callers in callers_by_name.items()
        for caller in callers
        for sent in caller.sent
        if (text := cut(sent, signal_at_by_name[name], runs_by_id))
    ]
    assert not problems
