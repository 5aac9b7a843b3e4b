from typing import NamedTuple

import pytest
from hypothesis import given, strategies as st

from sequoiahook.errors import CodecError
from sequoiahook.messages.base import Envelope, message
from sequoiahook.wire.codec import decode_envelope, encode_envelope


@message
class SampleMessage(NamedTuple):
    name: str
    pairs: tuple[tuple[str, bytes], ...]
    count: int


def test_round_trip():
    body = SampleMessage("a", (("x", b"\xff"),), 3)
    envelope = Envelope("one", 5, 7, "two", body)
    assert decode_envelope(encode_envelope(envelope)) == envelope


def test_wrong_field_type_is_rejected():
    envelope = Envelope("one", 5, 7, "two", SampleMessage("a", (), "3"))
    with pytest.raises(CodecError):
        decode_envelope(encode_envelope(envelope))


@given(st.binary(max_size=200))
def test_arbitrary_bytes_raise_only_codec_error(data):
    with pytest.raises(CodecError):
        decode_envelope(data)
