"""Effects of the entry and of the executor."""

from typing import NamedTuple

from sequoiahook.messages.requests import Fields, MessageId

__all__ = [
    "AbortTarget",
    "Answer",
    "Commit",
    "Refusal",
    "Release",
    "Relocate",
    "Reserve",
    "Write",
]


class Answer(NamedTuple):
    """Give the caller the whole answer to its request.

    Attributes:
        number: Number under which the request was admitted.
        status: HTTP status.
        headers: Fields of the answer.
        body: Whole body.
    """

    number: int
    status: int
    headers: Fields
    body: bytes


class Refusal(NamedTuple):
    """Tell the caller that there is no answer; final.

    Attributes:
        number: Number under which the request was admitted.
        status: HTTP status.
        cause: Why, a constant of ``Reason`` or a pool's own words.
        ran: ``not run`` or ``unknown``.
        retry_after_ms: When to come back, in milliseconds; 0 if there is no advice.
    """

    number: int
    status: int
    cause: str
    ran: str
    retry_after_ms: int


class Relocate(NamedTuple):
    """Choose places anew, since a pool has moved; reply with ``relocated``.

    Attributes:
        number: Number of the request.
    """

    number: int


class Reserve(NamedTuple):
    """Reserve another right to run; reply with ``reserved`` or ``not_reserved``.

    Attributes:
        number: Number of the request.
        organisation: Whose right it is.
    """

    number: int
    organisation: str


class Commit(NamedTuple):
    """Spend a reserved right: the request ran, or may have run.

    Attributes:
        reservation: The reservation.
    """

    reservation: int


class Release(NamedTuple):
    """Give a reserved right back: the request never ran and never will.

    Attributes:
        reservation: The reservation.
    """

    reservation: int


class Write(NamedTuple):
    """Connect to a target and write a request to it.

    Right before the first byte the caller of this effect asks the executor's
    ``may_write``; no await may lie between the two.

    Attributes:
        request_id: Id of the hand-over.
        target_name: Name of the target.
        service: Name of the service.
        organisation: Name of the organisation.
        method: HTTP method.
        target_path: Path and query.
        headers: Fields for the target.
        body: Whole body.
        remaining_ms: Time left, in milliseconds.
        may_reuse: Whether a kept-alive connection may be used.
        traceparent: Trace context of the sender's span.
    """

    request_id: MessageId
    target_name: str
    service: str
    organisation: str
    method: str
    target_path: str
    headers: Fields
    body: bytes
    remaining_ms: int
    may_reuse: bool
    traceparent: str


class AbortTarget(NamedTuple):
    """Close the connection on which a request was sent; its result is still awaited.

    Attributes:
        request_id: Id of the hand-over.
    """

    request_id: MessageId
