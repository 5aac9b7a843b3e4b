"""Trace spans of the requests at one instance."""

from collections.abc import Hashable
from random import Random
from typing import NamedTuple

from sequoiahook.decisions.instance.effects import EmitSpan
from sequoiahook.wire.trace import Span, TraceContext, make_context, parse_traceparent

__all__ = ["Tracing"]


class _OpenSpan(NamedTuple):
    context: TraceContext
    parent_id: str
    name: str
    start_ms: int


class Tracing:
    """Opens a span for each hop of a request and emits it when the hop ends.

    Args:
        instance_name: Name of the instance.
        rng: Source of span ids.
    """

    def __init__(self, instance_name: str, rng: Random):
        self._instance_name = instance_name
        self._rng = rng
        self._open_by_key: dict[Hashable, _OpenSpan] = {}

    def start(self, key: Hashable, name: str, traceparent: str, now: int) -> str:
        """Open a span under a key.

        Args:
            key: Identifies the span among the open ones.
            name: What the span covers.
            traceparent: Context of the parent span; a new trace begins if it is empty
                or malformed.
            now: The time in milliseconds.

        Returns:
            The traceparent to pass on to child spans.
        """
        parent = parse_traceparent(traceparent)
        context = make_context(self._rng) if parent is None else parent.child(self._rng)
        parent_id = "" if parent is None else parent.span_id
        self._open_by_key[key] = _OpenSpan(context, parent_id, name, now)
        return context.traceparent

    def end(self, key: Hashable, now: int, **attributes: str) -> list[EmitSpan]:
        """End the span with a key and emit it; does nothing if there is none."""
        open_span = self._open_by_key.pop(key, None)
        if open_span is None:
            return []
        span = Span(
            open_span.context.trace_id,
            open_span.context.span_id,
            open_span.parent_id,
            open_span.name,
            self._instance_name,
            open_span.start_ms,
            now - open_span.start_ms,
            tuple(sorted(attributes.items())),
        )
        return [EmitSpan(span)]
