"""Handover of a request between instances that send to targets themselves."""

from typing import NamedTuple

from sequoiahook.messages.base import message
from sequoiahook.messages.requests import HandOver

__all__ = ["DirectHandOver", "RunTerms"]


class RunTerms(NamedTuple):
    """What the sender determined from its configuration about a request.

    Attributes:
        request_id: Request id set by the caller.
        host: Host header.
        object_key: Key of the object that it concerns; empty if it names none.
        route: Name of its route.
        priority: Priority of the request; 0 is the highest.
        attempts_max: Targets on which it may still be tried.
        latency_goal_ms: Latency up to which an answer is of full use to the caller, in
            milliseconds.
        is_sticky: Whether a target handles an object faster once it has seen it.
        regions: Regions in which it may run; empty for all.
        region_order: The same regions by preference of the sender's region.
        is_first: Whether no target has received it yet.
    """

    request_id: str
    host: str
    object_key: str
    route: str
    priority: int
    attempts_max: int
    latency_goal_ms: int
    is_sticky: bool
    regions: tuple[str, ...]
    region_order: tuple[str, ...]
    is_first: bool


@message
class DirectHandOver(NamedTuple):
    """A handover with the terms under which the request runs.

    Lost, repeated, reordered, delayed or delivered to a later incarnation: as the
    handover that it contains.

    Attributes:
        handover: The handover.
        terms: Terms of the request.
    """

    handover: HandOver
    terms: RunTerms
