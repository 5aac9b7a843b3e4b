"""Spans that are open at an instance."""

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
    """Opens one span for each hop of a request and emits it at its end.

    Args:
        instance_name: Name of the instance.
        rng: Source of span ids.
    """

    def __init__(self, instance_name: str, rng: Random):
        self._name = instance_name
        self._rng = rng
        self._open_by_key: dict[Hashable, _OpenSpan] = {}

    def start(self, key: Hashable, name: str, traceparent: str, now: int) -> str:
        """Open a span under a key.

        Args:
            key: Anything that names the span among the open ones.
            name: What the span covers.
            traceparent: Context of the span that causes it; empty or malformed for
                none.
            now: The time.

        Returns:
            The traceparent for what the span causes in turn.
        """
        parent = parse_traceparent(traceparent)
        context = make_context(self._rng) if parent is None else parent.child(self._rng)
        parent_id = "" if parent is None else parent.span_id
        self._open_by_key[key] = _OpenSpan(context, parent_id, name, now)
        return context.traceparent

    def end(self, key: Hashable, now: int, **attributes: str) -> list[EmitSpan]:
        """Close the span of a key; nothing happens if there is none."""
        opened = self._open_by_key.pop(key, None)
        if opened is None:
            return []
        span = Span(
            opened.context.trace_id,
            opened.context.span_id,
            opened.parent_id,
            opened.name,
            self._name,
            opened.start_ms,
            now - opened.start_ms,
            tuple(sorted(attributes.items())),
        )
        return [EmitSpan(span)]
