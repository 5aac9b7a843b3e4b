"""Platform calls of all components of an instance, correlated by tickets."""

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

__all__ = ["PlatformTickets", "apply_membership_answer", "membership_call"]

AnswerHandler = Callable[[CallAnswer, int], list]


class PlatformTickets:
    """Issues tickets for platform calls and passes the answers to their handlers."""

    def __init__(self):
        self._handlers_by_ticket: dict[int, AnswerHandler] = {}
        self._last_ticket = 0

    def call(self, call: PlatformCall, handler: AnswerHandler) -> CallPlatform:
        """Register a call and return the effect that makes it.

        Args:
            call: The call.
            handler: Called with the answer and the time in milliseconds; returns
                effects.
        """
        self._last_ticket += 1
        self._handlers_by_ticket[self._last_ticket] = handler
        return CallPlatform(self._last_ticket, call)

    def answer(self, ticket: int, answer: CallAnswer, now: int) -> list:
        """Pass an answer to the handler of the call; ignore an unknown ticket."""
        handler = self._handlers_by_ticket.pop(ticket, None)
        return [] if handler is None else handler(answer, now)


def membership_call(effect: tuple) -> PlatformCall:
    """Convert an effect of membership, whose values are JSON bytes, to a call."""
    if isinstance(effect, membership_effects.ReadObject):
        return ReadObject(0, effect.name)
    return WriteObject(0, effect.name, json.loads(effect.value), effect.version)


def apply_membership_answer(
    membership: Membership, name: str, answer: CallAnswer, now: int
) -> list:
    """Pass the answer to a call of membership on to it."""
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
