import json
from random import Random

import pytest
from hypothesis import given, strategies as st

from sequoiahook.wire.trace import Span, make_context, parse_traceparent

VALID = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"


def test_traceparent_round_trip():
    assert parse_traceparent(VALID).traceparent == VALID


@pytest.mark.parametrize(
    "value",
    [
        "",
        VALID.upper(),
        VALID + "-extra",
        VALID.replace("00-", "ff-", 1),
        VALID.replace("b7ad6b7169203331", "0" * 16),
        VALID.replace("0af7651916cd43dd8448eb211c80319c", "0" * 32),
    ],
)
def test_malformed_traceparent_is_rejected(value):
    assert parse_traceparent(value) is None


@given(st.integers(), st.text(max_size=60))
def test_new_contexts_parse_and_arbitrary_text_does_not_raise(seed, text):
    context = make_context(Random(seed))
    child = context.child(Random(seed + 1))
    assert parse_traceparent(child.traceparent) == child
    assert (child.trace_id, child.span_id) != (context.trace_id, context.span_id)
    parse_traceparent(text)


def test_span_is_one_line_of_json():
    span = Span("t", "s", "", "write", "i1", 5, 7, (("path", "/a\nb"),))
    line = span.to_json_line()
    assert "\n" not in line
    assert json.loads(line)["attributes"] == {"path": "/a\nb"}
