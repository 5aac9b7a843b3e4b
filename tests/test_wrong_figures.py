"""Figures from outside that are wrong: they bound neither time nor memory."""

import heapq
import time
import tracemalloc

import cbor2
import pytest
from hypothesis import given, strategies as st
from pytest import approx

from sequoiahook.decisions.direct.region_owners import RegionOwners, RegionOwnerSettings
from sequoiahook.decisions.direct.target_backlog import OpenWork, TargetBacklog
from sequoiahook.decisions.direct.target_registry import (
    TargetRegistry,
    TargetRegistrySettings,
)
from sequoiahook.decisions.direct.target_selection import (
    TargetSelectionSettings,
    TargetSelector,
)
from sequoiahook.errors import CodecError
from sequoiahook.messages.reports import Datagram, MemberReport, PeerState
from sequoiahook.platform.dialect import PlatformTargetDialect
from sequoiahook.wire.datagrams import _tag, decode_datagram, encode_datagram
from sequoiahook.world.target import LoadReport
from tests.direct_parts import a_target

WRAPPED = 2**32 - 1
"""A counter that has gone below zero, as an unsigned number."""

MEMORY_MAX = 1_000_000
ESTIMATES = 20
ESTIMATES_S_MAX = 1
SECRET = b"secret"
TYPICAL_MS = 100.0


def a_backlog(works_ms=()):
    backlog = TargetBacklog()
    for work_ms in works_ms:
        backlog.add(OpenWork(0, 0, float(work_ms), 3.0 * work_ms))
    return backlog


def simulated_start_ms(slots, works_ms, others):
    """Return the time until a slot is free, one request after the other."""
    count = len(works_ms) + others
    running = min(slots, count)
    other_running = round(running * others / count)
    own_running = min(len(works_ms), running - other_running)
    other_running = min(others, running - own_running)
    ends = list(works_ms[:own_running])
    ends += [
        TYPICAL_MS * (index + 1) / (other_running + 1) for index in range(other_running)
    ]
    heapq.heapify(ends)
    queued = [*works_ms[own_running:], *[TYPICAL_MS] * (others - other_running)]
    for work_ms in queued:
        heapq.heapreplace(ends, ends[0] + work_ms)
    return ends[0]


@given(
    slots=st.integers(1, 12),
    works_ms=st.lists(st.floats(0.5, 3_000), max_size=12),
    others=st.integers(0, 400),
)
def test_estimate_of_a_long_queue_is_that_of_each_request(slots, works_ms, others):
    in_flight = len(works_ms) + others
    if in_flight < slots:
        return
    start_ms = a_backlog(works_ms).start_ms(slots, in_flight, TYPICAL_MS, 1.0, 0)
    assert start_ms == approx(simulated_start_ms(slots, works_ms, others))


@pytest.mark.parametrize("slots", [1, 4, 100_000])
@pytest.mark.parametrize("in_flight", [10**5, WRAPPED, 2**64])
def test_estimate_does_not_grow_with_the_stated_figures(slots, in_flight):
    backlog = a_backlog([30, 40, 50])
    tracemalloc.start()
    started_at = time.process_time()
    try:
        for _ in range(ESTIMATES):
            backlog.start_ms(slots, in_flight, TYPICAL_MS, 1.0, 0)
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak < MEMORY_MAX
    assert time.process_time() - started_at < ESTIMATES_S_MAX


def a_registry(count=8, slots=4):
    registry = TargetRegistry(TargetRegistrySettings())
    records = {f"t{n}": a_target(f"t{n}")._replace(slots=slots) for n in range(count)}
    registry.replace(records, 0)
    return registry


def test_report_counts_up_to_a_multiple_of_the_slots():
    state = a_registry().states_by_id["t0"]
    state.record_load(LoadReport(WRAPPED, 4, 100), 0)
    assert state.in_flight(0) == 120
    state.record_load(LoadReport(5, 4, 100), 0)
    assert state.in_flight(0) == 5
    state.record_peer_count("peer", 400, 0)
    assert state.in_flight(0) == 400


def test_report_of_one_target_is_no_load_of_its_region():
    registry = a_registry()
    region = registry.states_by_id["t0"].record.region
    owners = RegionOwners(
        RegionOwnerSettings(), region, [region], registry, lambda service: True
    )
    service = registry.states_by_id["t0"].record.service
    for state in registry.states_by_id.values():
        state.record_peer_count("peer", 2, 0)
    assert owners.target_use(service, 0) == (16, 0.5)
    registry.states_by_id["t0"].record_load(LoadReport(WRAPPED, 4, 100), 0)
    assert owners.target_use(service, 0) == (18, 18 / 32)
    for state in registry.states_by_id.values():
        state.record_load(LoadReport(20, 4, 100), 0)
    assert owners.target_use(service, 0) == (160, 5)


def test_one_target_does_not_state_the_pace_of_its_service():
    registry = a_registry()
    states = list(registry.states_by_id.values())
    region, service = states[0].record.region, states[0].record.service
    selector = TargetSelector(TargetSelectionSettings(), region, [region], registry)
    for state in states:
        selector.record_load(state, LoadReport(1, 4), 0)
    selector.record_load(states[0], LoadReport(1, 4, 10_000), 0)
    assert not selector.states_pace(service)
    for state in states[:4]:
        selector.record_load(state, LoadReport(1, 4, 100), 0)
    assert selector.states_pace(service)
    for state in states[2:]:
        selector.record_load(state, LoadReport(1, 4), 0)
    selector.tick(1_000)
    assert not selector.states_pace(service)


@pytest.mark.parametrize("digits", [1, 9, 400, 5_000])
def test_long_idle_time_outs_do_not_end_the_exchange(digits):
    headers = [(b"keep-alive", b"timeout=" + b"9" * digits)]
    assert 0 < PlatformTargetDialect().idle_ms(headers) <= 10**12


def a_report(**changes):
    report = MemberReport(PeerState(False, True, 5), "n1", True, {"t1": 3}, {"desk": 4})
    return Datagram("n2", 2**62, 9, report._replace(**changes))


def with_figure(datagram, figure):
    """Return the bytes of a report with another count of open requests."""
    data = encode_datagram(datagram, SECRET)
    fields = cbor2.loads(data[16:])
    fields = [{"t1": figure} if field == {"t1": 3} else field for field in fields]
    encoded = cbor2.dumps(tuple(fields))
    return _tag(encoded, SECRET) + encoded


def test_report_of_a_peer_is_read():
    assert decode_datagram(with_figure(a_report(), 7), SECRET).body.open_by_target == {
        "t1": 7
    }


@pytest.mark.parametrize("figure", [-1, 2**63, 10**400, float("nan"), 2.0, True])
def test_counts_of_a_peer_that_it_cannot_hold_are_refused(figure):
    with pytest.raises(CodecError):
        decode_datagram(with_figure(a_report(), figure), SECRET)


def test_integers_of_a_peer_are_bounded():
    state = PeerState(False, True, 10**400)
    data = encode_datagram(a_report(state=state), SECRET)
    with pytest.raises(CodecError):
        decode_datagram(data, SECRET)
