"""Connections to each port of an instance, of which nobody authenticates.

They guard against ports on which connections take all descriptors.
"""

import http.client

import pytest

from sequoiahook.world.instance import Address
from standins.fleet import wait_for
from standins.platform_documents import PORTS
from standins.platform_fleet import Request, send_request
from tests.flooding import (
    NAME,
    SERVED_TIMEOUT_S,
    Crowd,
    SmallFleet,
    check_flood,
    flood,
    start_small,
)

pytestmark = pytest.mark.serial

LINK_PORTS = (PORTS.internal, PORTS.internal + 1)
OTHER_PORTS = (PORTS.readiness, PORTS.lookups, PORTS.metrics)
HALF_HANDSHAKE = b"GET / HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\n"
HALF_REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n"


@pytest.fixture
def fleet():
    with SmallFleet() as fleet:
        start_small(fleet)
        yield fleet


@pytest.mark.parametrize("port", [*LINK_PORTS, *OTHER_PORTS])
def test_idle_connections_to_a_port(fleet, port):
    """Ports for links accepted any number of connections."""
    crowds = [
        Crowd(250, sent, reads=True, returns=True, port=port)
        for sent in (b"", HALF_REQUEST)
    ]
    check_flood(fleet, *crowds)


def test_idle_connections_to_all_ports(fleet):
    """The shares of all ports together exceeded the descriptors."""
    ports = (PORTS.callers, *LINK_PORTS, *OTHER_PORTS)
    check_flood(fleet, *(Crowd(150, HALF_REQUEST, port=port) for port in ports))


@pytest.mark.parametrize("port", LINK_PORTS)
def test_connections_to_a_port_that_return(fleet, port):
    """Each connection that left was replaced before its descriptor was free."""
    check_flood(fleet, Crowd(200, HALF_HANDSHAKE, port=port, leaves=True))


@pytest.mark.parametrize(
    ("port", "path"),
    [
        (PORTS.lookups, "/-/resolve?name=a.example&region=north&zone=north-a"),
        (PORTS.readiness, "/-/ready"),
        (PORTS.metrics, "/metrics"),
    ],
)
def test_other_ports_answer_beside_idle_connections(fleet, port, path):
    """Idle connections took the places of all others until they timed out."""
    host, _ = fleet.caller_address(NAME)

    def is_answered():
        try:
            return send_request(Address(host, port), Request(path)).status == 200
        except (OSError, http.client.HTTPException):
            return False

    with flood(fleet, Crowd(150, HALF_REQUEST, port=port)):
        wait_for(is_answered, "a request is answered", SERVED_TIMEOUT_S)
