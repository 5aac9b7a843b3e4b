"""Instances that are stopped while crowds of callers outside the limits send.

They guard against a stop that waits for callers, and against an exit with an error.
"""

import itertools
import signal
import time

import pytest

from standins.platform_documents import PORTS
from tests.flooding import (
    NAME,
    Crowd,
    SmallestFleet,
    check_log,
    flood,
    get,
    post,
    resident_mb,
    start_small,
    trickled,
    usual_fields,
)
from tests.test_flood_uploads import in_chunks, with_length

pytestmark = pytest.mark.serial

CALLERS = 60
PAUSE_S = 0.3

LOOK_UP = get("/-/resolve?name=a.example&region=north&zone=north-a")
ORDINARY = get("/look/1", usual_fields(1))
CROWDS = (
    Crowd(CALLERS, ORDINARY * 1_000),
    Crowd(CALLERS, lambda _: itertools.repeat(ORDINARY), True),
    Crowd(CALLERS, ORDINARY, leaves=True),
    Crowd(CALLERS, post("/write/1", b"x" * 900_000, usual_fields(1))),
    Crowd(CALLERS, with_length(4_000_000, 500_000), leaves=True),
    Crowd(CALLERS, in_chunks(1)),
    Crowd(CALLERS, trickled(ORDINARY), pause_s=0.05, returns=True),
    Crowd(CALLERS, b"", returns=True),
    Crowd(CALLERS, ORDINARY[:20], returns=True, port=PORTS.internal),
    Crowd(CALLERS, LOOK_UP * 1_000, reads=True, port=PORTS.lookups),
)


@pytest.fixture
def fleet():
    with SmallestFleet() as fleet:
        start_small(fleet)
        yield fleet


@pytest.mark.parametrize(
    "numbers",
    [
        [signal.SIGTERM],
        [signal.SIGTERM, signal.SIGINT, signal.SIGTERM],
        [signal.SIGHUP, signal.SIGHUP, signal.SIGTERM, signal.SIGHUP],
    ],
    ids=lambda numbers: "-".join(number.name for number in numbers),
)
def test_stop_beside_all_crowds(fleet, numbers):
    """A stop waited for callers that read nothing, and for handshakes."""
    check_stop(fleet, CROWDS, numbers)


def check_stop(fleet, crowds, numbers):
    """Send signals beside crowds, and check that the process exits in order."""
    pid = fleet.processes_by_name[NAME].pid
    with flood(fleet, *crowds):
        peak_mb = resident_mb(pid)
        for number in numbers:
            fleet.signal(NAME, number)
            time.sleep(PAUSE_S)
        code = fleet.wait_exit(NAME)
    print(f"peak: {peak_mb}")
    assert code == 0
    assert peak_mb < fleet.memory_mb
    check_log(fleet)
