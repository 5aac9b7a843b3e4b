"""Messages that relay objects of the platform's store between instances."""

from typing import NamedTuple

from sequoiahook.messages.base import message

__all__ = ["StoreAnswer", "StoreAsk", "StoreRead", "StoreReadAnswer"]


@message
class StoreAsk(NamedTuple):
    """Requests the objects of a kind, or their changes, without stating an era.

    Sent by earlier versions only, and answered by a StoreAnswer.

    Lost: times out at the sender. Repeated: answered again; the sender ignores the
    second answer, since its ticket is no longer open.

    Attributes:
        ticket: Number of the request, unique within the sender's incarnation.
        kind: Kind of the objects.
        revision: Revision after which changes are requested; negative for all objects.
        wait_ms: Longest time to wait for a change, in milliseconds.
    """

    ticket: int
    kind: str
    revision: int
    wait_ms: int


@message
class StoreAnswer(NamedTuple):
    """Answers a StoreAsk; ignored if its ticket is unknown.

    Attributes:
        ticket: Number of the request.
        problem: Reason for a failure; empty on success.
        revision: Revision of the objects after the answer.
        content: The objects or changes, in CBOR.
        age_ms: Time since the store confirmed the content to the sender, in
            milliseconds.
        held_ms: Time for which the sender held the request, in milliseconds.
    """

    ticket: int
    problem: str
    revision: int
    content: bytes
    age_ms: int
    held_ms: int


@message
class StoreRead(NamedTuple):
    """Requests the objects of a kind, or their changes, from a peer.

    Lost: times out at the sender. Repeated: answered again; the sender ignores the
    second answer, since its ticket is no longer open.

    Attributes:
        ticket: Number of the request, unique within the sender's incarnation.
        kind: Kind of the objects.
        era: Era of the revision; for all objects the newest era that the sender knows.
        revision: Revision after which changes are requested; negative for all objects.
        wait_ms: Longest time to wait for a change, in milliseconds.
    """

    ticket: int
    kind: str
    era: int
    revision: int
    wait_ms: int


@message
class StoreReadAnswer(NamedTuple):
    """Answers a StoreRead; ignored if its ticket is unknown.

    Attributes:
        ticket: Number of the request.
        problem: Reason for a failure; empty on success.
        era: Era of the revision.
        revision: Revision of the objects after the answer.
        content: The objects or changes, in CBOR.
        age_ms: Time since the store confirmed the content to the sender, in
            milliseconds.
        held_ms: Time for which the sender held the request, in milliseconds.
    """

    ticket: int
    problem: str
    era: int
    revision: int
    content: bytes
    age_ms: int
    held_ms: int
