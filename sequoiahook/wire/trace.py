"""Trace context as of W3C Trace Context, and one span for each hop."""

import json
import re
from random import Random
from typing import NamedTuple

__all__ = ["Span", "TraceContext", "make_context", "parse_traceparent"]

_TRACEPARENT = re.compile(
    r"(?!ff)[0-9a-f]{2}-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})(-.*)?"
)
TRACE_ID_BITS = 128
SPAN_ID_BITS = 64
_VERSION = "00"


class TraceContext(NamedTuple):
    """The trace and the span that a request belongs to.

    Attributes:
        trace_id: 32 hexadecimal digits.
        span_id: 16 hexadecimal digits.
        flags: 2 hexadecimal digits.
    """

    trace_id: str
    span_id: str
    flags: str = "01"

    @property
    def traceparent(self) -> str:
        """The value of the traceparent field."""
        return f"{_VERSION}-{self.trace_id}-{self.span_id}-{self.flags}"

    def child(self, rng: Random) -> "TraceContext":
        """Return the context of a new span of the same trace."""
        return self._replace(span_id=_identifier(rng, SPAN_ID_BITS))


class Span(NamedTuple):
    """One hop of one request.

    Attributes:
        trace_id: Trace that it belongs to.
        span_id: Its own id.
        parent_id: Span that caused it; empty if there is none.
        name: What was done.
        instance: Name of the instance that did it.
        start_ms: Start on the clock of that instance, in milliseconds.
        duration_ms: How long it took, in milliseconds.
        attributes: Names and values, without any key.
    """

    trace_id: str
    span_id: str
    parent_id: str
    name: str
    instance: str
    start_ms: int
    duration_ms: int
    attributes: tuple[tuple[str, str], ...] = ()

    def to_json_line(self) -> str:
        """Return the span as one line of JSON, without the line end."""
        document = self._asdict()
        document["attributes"] = dict(self.attributes)
        return json.dumps(document, separators=(",", ":"))


def parse_traceparent(value: str) -> TraceContext | None:
    """Return the context that a traceparent field names; None if it is malformed."""
    match = _TRACEPARENT.fullmatch(value)
    if match is None or (value.startswith(_VERSION) and match[4]):
        return None
    trace_id, span_id, flags = match[1], match[2], match[3]
    if not int(trace_id, 16) or not int(span_id, 16):
        return None
    return TraceContext(trace_id, span_id, flags)


def make_context(rng: Random) -> TraceContext:
    """Return the context of the first span of a new trace."""
    trace_id = _identifier(rng, TRACE_ID_BITS)
    return TraceContext(trace_id, _identifier(rng, SPAN_ID_BITS))


def _identifier(rng: Random, bits: int) -> str:
    value = rng.getrandbits(bits) or 1
    return f"{value:0{bits // 4}x}"
