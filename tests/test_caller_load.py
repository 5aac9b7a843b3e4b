"""Limits on all connections of callers, without a network."""

import pytest
from hypothesis import given, strategies as st

from sequoiahook.daemons.allocator import RECEIVE_BYTES_MAX
from sequoiahook.daemons.caller_exchange import CallerAnswer, CallerServerSettings
from sequoiahook.daemons.caller_limits import Machine, caller_limits
from sequoiahook.daemons.caller_load import (
    READ_AHEAD_BYTES_MIN,
    UPLOAD_READ_BYTES_MIN,
    Admission,
    CallerLoad,
)
from sequoiahook.daemons.listening import ACCEPTED_AT_ONCE_MAX

AUXILIARY_PORTS = 2
LINK_PORTS = 2
PORTS = 6
OWN_DESCRIPTORS = 30
"""Standard streams, event loop, listening sockets and connections to the store."""

SETTINGS = CallerServerSettings(
    body_bytes_max=1_000,
    all_body_bytes_max=1_500,
    write_timeout_ms=10_000,
    pressed_write_timeout_ms=2_000,
    connections_max=2,
    refusals_max=1,
    requests_max=4,
    unread_bytes_max=100_000,
    all_read_ahead_bytes_max=50_000,
)


@pytest.fixture
def load():
    return CallerLoad(SETTINGS)


def test_connections_beyond_the_limit_are_refused_and_then_dropped(load):
    """Connections that are being refused took descriptors without a limit."""
    assert load.admit_connection() is Admission.ACCEPT
    load.connection_count = 2
    assert load.admit_connection() is Admission.REFUSE
    load.refusing_count = 1
    assert load.admit_connection() is Admission.DROP


def test_requests_beyond_the_limits_are_refused(load):
    assert load.refusal_cause() == ""
    load.request_count = 4
    assert load.refusal_cause() == "too many requests in progress"
    load.request_count, load.unread_bytes = 0, 100_001
    assert load.refusal_cause() == "too many unread answers"


@pytest.mark.parametrize(
    ("field", "largest"),
    [("request_count", 1), ("unread_bytes", 49_999), ("read_ahead_bytes", 24_999)],
)
def test_half_of_each_limit_stays_for_requests_that_are_not_sent_ahead(
    load, field, largest
):
    """Callers with requests ahead took all of it, so that others were refused."""
    setattr(load, field, largest)
    assert load.may_start_ahead()
    setattr(load, field, largest + 1)
    assert not load.may_start_ahead()
    assert load.refusal_cause() == ""


def test_a_small_request_is_read_when_others_hold_all_bytes(load):
    """Half headers of other callers must not keep an ordinary request from arriving."""
    load.read_ahead_bytes = 50_000
    assert load.may_read_ahead(READ_AHEAD_BYTES_MIN - 1)
    assert not load.may_read_ahead(READ_AHEAD_BYTES_MIN)
    load.read_ahead_bytes = 49_999
    assert load.may_read_ahead(READ_AHEAD_BYTES_MIN)


def test_one_body_of_the_largest_size_is_accepted_on_each_machine():
    load = CallerLoad(SETTINGS._replace(all_body_bytes_max=10))
    load.body_bytes = 1_000
    assert not load.has_too_many_body_bytes
    load.body_bytes = 1_001
    assert load.has_too_many_body_bytes


@pytest.mark.parametrize(
    ("field", "value"), [("connection_count", 2), ("unread_bytes", 100_001)]
)
def test_a_caller_that_reads_nothing_is_given_less_time_under_pressure(
    load, field, value
):
    assert not load.is_overdue(9_999)
    assert load.is_overdue(10_000)
    setattr(load, field, value)
    assert not load.is_overdue(1_999)
    assert load.is_overdue(2_000)


def test_the_buffers_of_an_answer_that_still_arrives_count(load):
    """Many small first parts of large answers did not count as memory."""
    whole = CallerAnswer(200, (), b"x" * 1_000)
    assert 1_000 < load.size(whole) < 5_000
    assert load.size(whole._replace(stream=object())) > 100_000


@pytest.mark.parametrize(
    ("memory_mb", "connections", "requests", "unread_mb"),
    [(152, 1_408, 1_291, 22), (300, 1_660, 1_291, 59), (16_000, 1_660, 1_291, 3_984)],
)
def test_limits_follow_from_the_machine(memory_mb, connections, requests, unread_mb):
    limits = caller_limits(Machine(memory_mb, 4_100))
    assert limits.connections_max == connections
    assert limits.requests_max == requests
    assert limits.unread_bytes_max == unread_mb << 20


def test_header_fields_of_one_request_are_accepted_on_each_machine():
    load = CallerLoad(SETTINGS._replace(all_head_bytes_max=1_000))
    assert load.has_room_for_head(2_000)
    load.head_bytes = 600
    assert load.has_room_for_head(400)
    assert not load.has_room_for_head(401)


def test_many_bodies_are_read_in_small_parts():
    """The buffers of all bodies that were being read took more than the bodies."""
    load = CallerLoad(SETTINGS._replace(all_body_bytes_max=16_000_000))
    load.upload_count = 1
    assert load.upload_read_bytes == RECEIVE_BYTES_MAX
    load.upload_count = 100
    assert load.upload_read_bytes == 10_000
    load.upload_count = 10_000
    assert load.upload_read_bytes == UPLOAD_READ_BYTES_MIN


machines = st.builds(
    Machine,
    memory_mb=st.integers(1, 1_000_000),
    descriptors_max=st.integers(128, 1 << 20),
)


@given(machine=machines)
def test_the_limits_fit_the_descriptors_and_leave_some(machine):
    """Without free descriptors no connection is accepted and no target is reached."""
    limits = caller_limits(machine)
    assert min(limits) > 0
    descriptors = (
        limits.connections_max
        + limits.lookup_connections_max
        + limits.refusals_max
        + limits.requests_max
        + limits.idle_targets_max
    )
    assert descriptors <= machine.descriptors_max - 64


@given(machine=machines.filter(lambda machine: machine.descriptors_max >= 256))
def test_all_ports_together_fit_the_descriptors(machine):
    """Ports for links accepted any number of connections."""
    limits = caller_limits(machine)
    auxiliary = limits.auxiliary_connections_max + limits.auxiliary_refusals_max
    descriptors = (
        limits.connections_max
        + limits.lookup_connections_max
        + limits.refusals_max
        + limits.auxiliary_refusals_max
        + limits.requests_max
        + limits.idle_targets_max
        + AUXILIARY_PORTS * auxiliary
        + LINK_PORTS * limits.unauthenticated_max
        + PORTS * ACCEPTED_AT_ONCE_MAX
    )
    assert descriptors <= machine.descriptors_max - OWN_DESCRIPTORS


@given(machine=machines.filter(lambda machine: machine.memory_mb >= 100))
def test_the_limits_fit_the_memory(machine):
    limits = caller_limits(machine)
    total = (
        limits.body_bytes_max + limits.unread_bytes_max + limits.read_ahead_bytes_max
    )
    assert total <= (machine.memory_mb - 50) << 20
