"""Datagrams between instances are decoded as they were encoded, or are refused."""

import cbor2
import pytest
from hypothesis import given, strategies as st

from sequoiahook.errors import CodecError
from sequoiahook.messages.crashes import Crash, CrashReport, SuspectStatement
from sequoiahook.messages.leaves import LeaveNotice
from sequoiahook.messages.limits import (
    LimitReport,
    LimitStatement,
    PermitDenial,
    PermitGrant,
    PermitRequest,
)
from sequoiahook.messages.reach import ReachQuery, ReachReply
from sequoiahook.messages.reports import (
    Datagram,
    GroupDigest,
    GroupReport,
    MemberReport,
    PeerState,
    QuotaTable,
    TokenDenial,
    TokenGrant,
    TokenRequest,
)
from sequoiahook.messages.shares import ORGANISATIONS_MAX, ShareDemand, ShareRatios
from sequoiahook.wire.datagrams import (
    DATAGRAM_BYTES_MAX,
    _tag,
    decode_datagram,
    encode_datagram,
)

SECRET = b"a secret of the fleet"
STATE = PeerState(False, True, 120)
BODIES = (
    MemberReport(STATE, "n1", True, {"t1": 2}, {"s": 1_500}),
    GroupReport(
        "a", {"n1": STATE}, {}, {}, {"s": 700}, QuotaTable(7, (1,), (2,), (3,))
    ),
    GroupDigest({"n9": STATE}, {"t1": 5}, {}),
    TokenRequest("one", 0.5, 200),
    TokenGrant("one", 1),
    TokenDenial("one", 350),
    LimitReport("north", True, {"t1": LimitStatement(1, 5_600, 40)}),
    PermitRequest("t1", 2, LimitStatement(1, 300, 0)),
    PermitGrant("t1", 2),
    PermitDenial("t1", 180),
    CrashReport(
        (
            SuspectStatement("one", b"123456789abc", (Crash("t1", 1, 50, 7),), -1, 20),
            SuspectStatement("", b"cba987654321", (), 30, -1),
        )
    ),
    ReachQuery(3, ("t1", "t2")),
    ReachReply(3, True, {"t1": 40}),
    LeaveNotice((("t1", 1),)),
    ShareDemand("a", "s", True, 16_000, 20, {"one": 40_000, "": 0}),
    ShareRatios("s", {"one": 280}),
)

values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=4),
    lambda inner: (
        st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=3), inner)
    ),
    max_leaves=8,
)


@pytest.mark.parametrize("body", BODIES, ids=lambda body: type(body).__name__)
def test_each_message_is_decoded_as_it_was_encoded(body):
    datagram = Datagram("n1", 5, 9, body)
    assert decode_datagram(encode_datagram(datagram, SECRET), SECRET) == datagram


@pytest.mark.parametrize("body", BODIES, ids=lambda body: type(body).__name__)
def test_a_wrong_secret_and_a_changed_byte_are_refused(body):
    data = encode_datagram(Datagram("n1", 5, 9, body), SECRET)
    with pytest.raises(CodecError):
        decode_datagram(data, b"another secret")
    with pytest.raises(CodecError):
        decode_datagram(data[:-1] + bytes([data[-1] ^ 1]), SECRET)


@pytest.mark.parametrize(
    "tokens", [0, -1, float("nan"), float("inf"), "1", True, None, 1e9]
)
def test_an_invalid_number_of_tokens_is_refused(tokens):
    data = encode_datagram(Datagram("n1", 5, 9, TokenGrant("one", tokens)), SECRET)
    with pytest.raises(CodecError):
        decode_datagram(data, SECRET)


@pytest.mark.parametrize(
    "body",
    [
        ShareDemand("a", "s", True, -1, 0, {}),
        ShareDemand("a", "s", True, 0, -1, {}),
        ShareDemand("a", "s", 1, 0, 0, {}),
        ShareDemand("a", "s", True, 0, 0, {"one": -1}),
        ShareDemand("a", "s", True, 0, 0, {"one": 0.5}),
        ShareRatios("s", {"one": -1}),
        ShareRatios(b"s", {}),
        ShareRatios("s", {str(i): 1 for i in range(ORGANISATIONS_MAX + 1)}),
    ],
)
def test_invalid_demands_and_ratios_are_refused(body):
    data = encode_datagram(Datagram("n1", 5, 9, body), SECRET)
    with pytest.raises(CodecError):
        decode_datagram(data, SECRET)


def test_the_largest_demand_fits_in_a_datagram():
    names = [f"{i:060}" for i in range(ORGANISATIONS_MAX)]
    body = ShareDemand("a", "s", True, 0, 0, dict.fromkeys(names, 1 << 31))
    data = encode_datagram(Datagram("n1", 5, 9, body), SECRET)
    assert len(data) <= DATAGRAM_BYTES_MAX


@given(st.lists(values, max_size=10) | values)
def test_authentic_invalid_content_is_refused_or_decoded_whole(content):
    encoded = cbor2.dumps(content)
    try:
        datagram = decode_datagram(_tag(encoded, SECRET) + encoded, SECRET)
    except CodecError:
        return
    assert encode_datagram(datagram, SECRET)


@given(st.sampled_from(range(len(BODIES))), st.lists(values, min_size=2, max_size=6))
def test_fields_of_a_wrong_type_are_refused(kind, fields):
    encoded = cbor2.dumps(["n1", 5, 9, kind, *fields])
    try:
        datagram = decode_datagram(_tag(encoded, SECRET) + encoded, SECRET)
    except CodecError:
        return
    assert type(datagram.body) is type(BODIES[kind])
