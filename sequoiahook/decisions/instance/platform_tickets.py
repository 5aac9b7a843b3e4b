"""Calls to the platform by all parts of an instance, under one series of tickets."""

import json
from collections.abc import Callable
from typing import Any

from sequoiahook.decisions.instance.effects import CallPlatform
from sequoiahook.decisions.membership import effects as membership_effects
from sequoiahook.decisions.membership.membership import Membership
from sequoiahook.decisions.platform_calls import (
    CallAnswer,
    ObjectRead,
    ObjectWritten,
    PlatformCall,
    ReadObject,
    WriteConflict,
    WriteObject,
)

__all__ = ["PlatformTickets", "view_answer", "view_call"]

Taker = Callable[[CallAnswer, int], list]


class PlatformTickets:
    """Remembers which part made which call, and gives it the answer."""

    def __init__(self):
        self._taker_by_ticket: dict[int, Taker] = {}
        self._last_ticket = 0

    def call(self, call: PlatformCall, taker: Taker) -> CallPlatform:
        """Give a call a ticket.

        Args:
            call: The call.
            taker: Takes the answer and the time; returns effects.
        """
        self._last_ticket += 1
        self._taker_by_ticket[self._last_ticket] = taker
        return CallPlatform(self._last_ticket, call)

    def answer(self, ticket: int, answer: CallAnswer, now: int) -> list:
        """Give an answer to the part that made the call."""
        taker = self._taker_by_ticket.pop(ticket, None)
        return [] if taker is None else taker(answer, now)


def view_call(effect: tuple) -> PlatformCall:
    """Return the call for an effect of membership, whose values are JSON bytes."""
    if isinstance(effect, membership_effects.ReadObject):
        return ReadObject(0, effect.name)
    return WriteObject(0, effect.name, json.loads(effect.value), effect.version)


def view_answer(
    membership: Membership, name: str, answer: CallAnswer, now: int
) -> list:
    """Give membership the answer to one of its calls."""
    if isinstance(answer, ObjectRead):
        value = _view_bytes(answer.value) if answer.version else None
        return membership.on_object_read(name, answer.version, value, now)
    if isinstance(answer, ObjectWritten):
        return membership.on_object_written(name, now)
    if isinstance(answer, WriteConflict):
        return membership.on_object_conflict(name, answer.current, now)
    return membership.on_object_unavailable(name, now)


def _view_bytes(value: Any) -> bytes:
    return json.dumps(value, separators=(",", ":"), sort_keys=True).encode()
