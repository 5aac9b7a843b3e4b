"""Parsing of JSON with parts that exceed the usual limits."""

import json

import pytest
from hypothesis import given, strategies as st

from sequoiahook.wire.lenient_json import DEPTH_MAX, parse_leniently

values = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**62), 2**62) | st.text(),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(), inner),
)


@given(values)
def test_ordinary_documents_are_parsed_as_by_the_standard_library(value):
    assert parse_leniently(json.dumps(value).encode()) == value
    assert parse_leniently(json.dumps(value, ensure_ascii=False).encode()) == value


@pytest.mark.parametrize("depth", [DEPTH_MAX, 2_000, 200_000])
def test_parts_beyond_the_depth_become_null(depth):
    text = '{"odd": ' + "[" * depth + "]" * depth + ', "own": "]\\"[{"}'
    document = parse_leniently(text.encode())
    assert document["own"] == ']"[{'
    value = document["odd"]
    for _ in range(DEPTH_MAX - 2):
        (value,) = value
    assert value == [None]


def test_huge_numbers_become_null():
    text = '{"a": ' + "9" * 9_000 + ', "b": [-1, 18446744073709551615]}'
    assert parse_leniently(text.encode()) == {"a": None, "b": [-1, 2**64 - 1]}


@pytest.mark.parametrize("text", ["[" * 5_000, '{"a": ', "[1, 2", '"abc', ""])
def test_incomplete_documents_are_refused(text):
    with pytest.raises(ValueError):
        parse_leniently(text.encode())
