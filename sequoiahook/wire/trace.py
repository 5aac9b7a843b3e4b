"""W3C Trace Context, and spans of the hops of a request."""

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
    """Trace and span of a request.

    Attributes:
        trace_id: Id of the trace, 32 hexadecimal digits.
        span_id: Id of the span, 16 hexadecimal digits.
        flags: Trace flags, 2 hexadecimal digits.
    """

    trace_id: str
    span_id: str
    flags: str = "01"

    @property
    def traceparent(self) -> str:
        """Value of the traceparent field."""
        return f"{_VERSION}-{self.trace_id}-{self.span_id}-{self.flags}"

    def child(self, rng: Random) -> "TraceContext":
        """Return the context of a new span in the same trace."""
        return self._replace(span_id=_random_id(rng, SPAN_ID_BITS))


class Span(NamedTuple):
    """One hop of a request.

    Attributes:
        trace_id: Id of its trace.
        span_id: Id of the span.
        parent_id: Id of the parent span; empty if there is none.
        name: Name of the operation.
        instance: Name of the instance that recorded the span.
        start_ms: Start by the clock of that instance, in milliseconds.
        duration_ms: Duration in milliseconds.
        attributes: Names and values; never contain a key of a caller.
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
        """Return the span as one line of JSON, without a newline."""
        document = self._asdict()
        document["attributes"] = dict(self.attributes)
        return json.dumps(document, separators=(",", ":"))


def parse_traceparent(value: str) -> TraceContext | None:
    """Return the context of a traceparent field; None if the value is malformed."""
    match = _TRACEPARENT.fullmatch(value)
    if match is None or (value.startswith(_VERSION) and match[4]):
        return None
    trace_id, span_id, flags = match[1], match[2], match[3]
    if not int(trace_id, 16) or not int(span_id, 16):
        return None
    return TraceContext(trace_id, span_id, flags)


def make_context(rng: Random) -> TraceContext:
    """Return the context of the first span of a new trace."""
    trace_id = _random_id(rng, TRACE_ID_BITS)
    return TraceContext(trace_id, _random_id(rng, SPAN_ID_BITS))


def _random_id(rng: Random, bits: int) -> str:
    value = rng.getrandbits(bits) or 1
    return f"{value:0{bits // 4}x}"
