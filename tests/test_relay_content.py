"""Objects in messages between instances, one of which cannot be read."""

import zlib

import cbor2
import pytest

from sequoiahook.daemons.direct.relay_content import (
    decode_objects,
    encode_objects,
    encode_together,
)
from sequoiahook.decisions.direct.store_cache import CachedObject


def nested(depth):
    value = 1
    for _ in range(depth):
        value = [value]
    return value


ODD = CachedObject("odd", nested(500))
SURROGATE = CachedObject("\ud800", {"text": "\ud800"}, True)
OWN = CachedObject("own", {"a": 1})


@pytest.mark.parametrize("odd", [ODD, SURROGATE])
def test_unreadable_document_harms_no_other(odd):
    first, second = decode_objects(encode_objects([odd, OWN]))
    assert (first.name, first.is_deleted, second) == (odd.name, odd.is_deleted, OWN)
    assert set(first.document) == {"metadata"}


@pytest.mark.parametrize("odd", [ODD, SURROGATE])
def test_an_earlier_version_can_decode_the_other_documents(odd):
    content = zlib.decompress(encode_together([odd, OWN]))
    first, second = cbor2.loads(content)
    assert set(first[1]) == {"metadata"}
    assert tuple(second) == tuple(OWN)
