"""Effects that the entry and the executor return."""

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
    """Send the caller the complete answer to its request.

    Attributes:
        number: Number under which the request was admitted.
        status: HTTP status.
        headers: Header fields of the answer.
        body: Complete body.
    """

    number: int
    status: int
    headers: Fields
    body: bytes


class Refusal(NamedTuple):
    """Refuse the caller's request; final.

    Attributes:
        number: Number under which the request was admitted.
        status: HTTP status.
        cause: A constant of ``Reason`` or the reason that a pool gave.
        ran: ``not run`` or ``unknown``.
        retry_after_ms: Retry-after time in milliseconds; 0 if there is none.
    """

    number: int
    status: int
    cause: str
    ran: str
    retry_after_ms: int


class Relocate(NamedTuple):
    """Choose new candidates because a pool has moved; reply with ``relocated``.

    Attributes:
        number: Number of the request.
    """

    number: int


class Reserve(NamedTuple):
    """Reserve another right to run; reply with ``reserved`` or ``not_reserved``.

    Attributes:
        number: Number of the request.
        organisation: Organisation that the right belongs to.
    """

    number: int
    organisation: str


class Commit(NamedTuple):
    """Consume a reserved right: the request ran, or may have run.

    Attributes:
        reservation: The reservation.
    """

    reservation: int


class Release(NamedTuple):
    """Return a reserved right: the request never ran and never will.

    Attributes:
        reservation: The reservation.
    """

    reservation: int


class Write(NamedTuple):
    """Connect to a target and write a request to it.

    Call the executor's ``may_write`` immediately before writing the first byte, with
    no await in between.

    Attributes:
        request_id: Id of the handover.
        target_name: Name of the target.
        service: Name of the service.
        organisation: Name of the organisation.
        method: HTTP method.
        target_path: Path and query.
        headers: Header fields for the target.
        body: Complete body.
        remaining_ms: Time left until the deadline, in milliseconds.
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
    """Close the connection of a request; its result must still be reported.

    Attributes:
        request_id: Id of the handover.
    """

    request_id: MessageId
