"""Messages by which an instance shares what it follows in the platform's store."""

from typing import NamedTuple

from sequoiahook.messages.base import message

__all__ = ["StoreAnswer", "StoreAsk"]


@message
class StoreAsk(NamedTuple):
    """Asks a peer for objects of a kind, or for changes of them.

    A lost ask times out at the sender; a repeat is answered twice, and the second
    answer is ignored by its ticket.

    Attributes:
        ticket: Number of the ask, unique in the sender's incarnation.
        kind: Kind of the objects.
        revision: Revision after which changes are wanted; negative for all objects.
        wait_ms: How long to wait for a change.
    """

    ticket: int
    kind: str
    revision: int
    wait_ms: int


@message
class StoreAnswer(NamedTuple):
    """Answers an ask; one with an unknown ticket is ignored.

    Attributes:
        ticket: Number of the ask.
        problem: Why there is no answer; empty if there is one.
        revision: Revision that the answer leads to.
        content: The objects or changes, in CBOR.
        age_ms: Time since the store confirmed the answer to the sender.
        held_ms: For how long the sender kept the ask.
    """

    ticket: int
    problem: str
    revision: int
    content: bytes
    age_ms: int
    held_ms: int
