from typing import NamedTuple

import pytest
from hypothesis import given, strategies as st

from sequoiahook.errors import CodecError
from sequoiahook.messages.base import Envelope, message
from sequoiahook.wire.codec import decode_envelope, encode_envelope


@message
class Sample(NamedTuple):
    name: str
    pairs: tuple[tuple[str, bytes], ...]
    count: int


def test_round_trip():
    body = Sample("a", (("x", b"\xff"),), 3)
    envelope = Envelope("one", 5, 7, "two", body)
    assert decode_envelope(encode_envelope(envelope)) == envelope


def test_wrong_field_type_is_refused():
    envelope = Envelope("one", 5, 7, "two", Sample("a", (), "3"))
    with pytest.raises(CodecError):
        decode_envelope(encode_envelope(envelope))


@given(st.binary(max_size=200))
def test_arbitrary_bytes_never_escape_as_another_error(data):
    with pytest.raises(CodecError):
        decode_envelope(data)
