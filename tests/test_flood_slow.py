"""Callers that send or read a little at a time, and others that take places.

They guard against callers that keep the connections and the requests in progress of an
instance for themselves, without being silent for long.
"""

import itertools
import socket

import pytest

from standins.platform_documents import PORTS
from tests.flooding import (
    NAME,
    Crowd,
    SmallFleet,
    check_flood,
    get,
    post,
    start_small,
    trickled,
    usual_fields,
)
from tests.test_platform_processes import TARGETS

pytestmark = pytest.mark.serial

PAUSE_S = 0.05
CALLERS = 250
ODD_BYTES = (
    b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc" * 1_000,
    b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" * 500,
    b"\r\n" * 20_000,
    b"\n" * 40_000,
    b"GET " + b"x" * 40_000,
    b"GET / HTTP/1.1\r\n" + b" folded\r\n" * 2_000,
    get("/look/1", usual_fields(1) + "Upgrade: a\r\nConnection: upgrade\r\n") * 99,
    get("/look/1", usual_fields(1) + "Expect: 100-continue\r\n") * 99,
    post("/open/1", b"", "Host: a.example\r\nExpect: 100-continue\r\n") * 99,
    b"CONNECT a.example:443 HTTP/1.1\r\nHost: a.example\r\n\r\n" * 99,
    b"GET /look/1 HTTP/1.0\r\nConnection: keep-alive\r\n\r\n" * 99,
    b"POST /open/1 HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n"
    b"\r\n" + (b"1;" + b"e" * 10_000 + b"\r\nx\r\n") * 9,
)


@pytest.fixture
def fleet():
    with SmallFleet() as fleet:
        start_small(fleet)
        yield fleet


def test_answers_that_are_read_slowly(fleet):
    """Answers that were read a little at a time took all requests in progress."""
    for target_id in TARGETS:
        fleet.control_target(target_id, faults={"body_bytes": 200_000})
    requests = b"".join(get("/look/1", usual_fields(n)) for n in range(100))
    crowd = Crowd(CALLERS, requests, reads=True, read_bytes=64, pause_s=PAUSE_S)
    check_flood(fleet, crowd)


def test_uploads_that_are_sent_slowly(fleet):
    """Uploads that arrived a little at a time took all connections."""
    upload = post("/write/1", b"x" * 100_000, usual_fields(1))
    check_flood(fleet, Crowd(CALLERS, trickled(upload), pause_s=PAUSE_S))


def test_headers_that_are_sent_slowly(fleet):
    """Headers that arrived a little at a time took all connections."""
    head = get("/look/1", usual_fields(1) + "X-Other: " + "y" * 10_000 + "\r\n")
    crowd = Crowd(CALLERS, trickled(head), returns=True, pause_s=PAUSE_S)
    check_flood(fleet, crowd)


def test_connections_that_carry_one_request_each(fleet):
    """Connections that end were counted as free before their descriptors were."""
    crowds = [
        Crowd(CALLERS // 2, get(path, usual_fields(1)), leaves=True)
        for path in ("/look/1", "/nowhere/1")
    ]
    check_flood(fleet, *crowds)


def test_odd_protocols(fleet):
    """Bytes of other protocols, and rare parts of this one."""
    check_flood(fleet, *(Crowd(20, sent, leaves=True) for sent in ODD_BYTES))


def test_long_lookups(fleet):
    """Look-ups name what callers choose, too."""
    queries = (
        "name=" + "x" * 15_000,
        "&".join(f"region={number}" for number in range(1_500)),
        "region=" + "%ff" * 5_000,
        "a&" * 7_500,
    )
    lookups = [get(f"/-/resolve?{query}") for query in queries]
    crowds = [
        Crowd(15, lambda _, lookup=lookup: itertools.repeat(lookup), reads=True)
        for lookup in lookups
    ]
    check_flood(fleet, *(crowd._replace(port=PORTS.lookups) for crowd in crowds))


def test_datagrams_of_strangers(fleet):
    """Datagrams that are not authenticated take time to check."""
    host, _ = fleet.caller_address(NAME)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
        for _ in range(20_000):
            stranger.sendto(b"x" * 60_000, (host, PORTS.internal))
        check_flood(fleet, Crowd(1, b""))
