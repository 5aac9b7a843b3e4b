"""Messages that hand a request over to another instance and return its outcome.

An instance gives each of its peers a :class:`ReceiverStamp`, a reading of its own
clock. A message returns the stamp with the time for which its sender held it, which
bounds the age of the message without a comparison of two clocks.
"""

from collections.abc import Iterable
from typing import NamedTuple

from sequoiahook.messages.base import message

__all__ = [
    "NOT_RUN",
    "RAN",
    "UNKNOWN",
    "Cancel",
    "CreditUnit",
    "Fields",
    "HandOver",
    "MessageId",
    "Outcome",
    "OutcomeReceived",
    "ReceiverStamp",
    "StampGrant",
    "StampRequest",
    "fields_bytes",
]

RAN = "ran"
NOT_RUN = "not run"
UNKNOWN = "unknown"

Fields = tuple[tuple[bytes, bytes], ...]
"""HTTP header fields as pairs of name and value."""


class MessageId(NamedTuple):
    """Globally unique id of a handover.

    Attributes:
        sender: Name of the instance that hands the request over.
        incarnation: Incarnation of the sender.
        sequence: Number of the handover, unique within the incarnation.
    """

    sender: str
    incarnation: int
    sequence: int


class CreditUnit(NamedTuple):
    """One unit of credit that was granted in the receiver's data centre.

    Attributes:
        lender_incarnation: Incarnation of the instance that granted it.
        grant_id: Id of the grant that it belongs to.
        unit: Number of the unit in the grant, from 0.
    """

    lender_incarnation: int
    grant_id: int
    unit: int


class ReceiverStamp(NamedTuple):
    """A reading of the issuing instance's clock; opaque to all others.

    Attributes:
        incarnation: Incarnation of the issuing instance.
        clock_ms: Reading of the issuing instance's clock, in milliseconds.
    """

    incarnation: int
    clock_ms: int


@message
class StampRequest(NamedTuple):
    """Requests a stamp from a peer.

    Lost: sent again later. Repeated: answered again. Reordered or delayed: no effect,
    since any stamp of the running incarnation is sufficient.
    """


@message
class StampGrant(NamedTuple):
    """Gives a peer a stamp.

    Lost: the peer sends another request. Repeated or reordered: the peer keeps the
    newest reading of the latest incarnation. Delayed: the delay adds to the age of the
    messages that carry the stamp, so a handover may be refused as late; the refusal
    carries a new stamp.

    Attributes:
        stamp: The stamp.
    """

    stamp: ReceiverStamp


FIELD_BYTES = 256
"""Memory that a header field takes beyond its characters."""


def fields_bytes(fields: Iterable[tuple[bytes, bytes]]) -> int:
    """Return the memory that header fields take, in bytes."""
    return sum(len(name) + len(value) + FIELD_BYTES for name, value in fields)


@message
class HandOver(NamedTuple):
    """Hands a request over to be run on a target of a service.

    Lost: the sender cancels shortly before the deadline, or repeats it when the link is
    re-established. Repeated: recognised by its id, which is kept until the deadline;
    the outcome is sent again. Reordered: a Cancel that was received first takes
    precedence. Delayed: the stamp bounds the age, and it is not run if the right to run
    or the deadline may have lapsed. Delivered to a later incarnation: never run there;
    the outcome is unknown.

    Attributes:
        id: Id of the handover; each attempt has a new one.
        service: Name of the service.
        organisation: Name of the organisation; empty on a route that is open to all.
        key_name: Name of the key that the caller used; never the key.
        configuration_number: Number of the configuration with which the sender checked
            the key.
        method: HTTP method.
        target_path: Path and query, without any key.
        headers: Header fields for the target, without any key.
        body: Complete body.
        remaining_ms: Time from sending to the deadline, in milliseconds.
        idempotent: Whether the request may run more than once.
        traceparent: Trace context of the sender's span.
        attempt: Number of the attempt; 1 for the first handover of a request.
        token_lease_ms: Validity of the right to run from sending, in milliseconds.
        stamp: Stamp that the receiver issued.
        stamp_age_ms: Time for which the sender had held the stamp, in milliseconds.
        credit: Unit of credit that a handover to another data centre spends.
        wait_limit_ms: Longest expected queueing time, in milliseconds; above it the
            receiver refuses, since another candidate is better. -1 for no limit.
    """

    id: MessageId
    service: str
    organisation: str
    key_name: str
    configuration_number: int
    method: str
    target_path: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    remaining_ms: int
    idempotent: bool
    traceparent: str
    attempt: int
    token_lease_ms: int
    stamp: ReceiverStamp
    stamp_age_ms: int
    credit: tuple[CreditUnit, ...] = ()
    wait_limit_ms: int = -1


@message
class Outcome(NamedTuple):
    """Reports the outcome of a handover; final for its id.

    Lost: sent again until it is acknowledged or the deadline has passed. Repeated:
    dropped, since the request is no longer open. Reordered or delayed: the id assigns
    it to its request or to none.

    Attributes:
        id: Id of the handover.
        ran: ``ran`` with a complete answer, ``not run`` if it never ran and never will,
            ``unknown`` otherwise.
        status: HTTP status of the answer; 0 if there is none.
        headers: Header fields of the answer.
        body: Complete body of the answer.
        reason: Reason for a missing answer; empty if there is one.
        retry_after_ms: Retry-after time, in milliseconds; 0 for none.
        stamp: New stamp of the instance that sends the outcome.
    """

    id: MessageId
    ran: str
    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    reason: str
    retry_after_ms: int
    stamp: ReceiverStamp


@message
class OutcomeReceived(NamedTuple):
    """Acknowledges an outcome, so that its sender can discard the body.

    Lost: the outcome is repeated and acknowledged again. Repeated, reordered or
    delayed: no further effect.

    Attributes:
        id: Id of the handover.
    """

    id: MessageId


@message
class Cancel(NamedTuple):
    """Cancels a handover that is not yet sent to a target; answered with its outcome.

    Lost: the sender times out and reports the outcome as unknown. Repeated: the outcome
    is sent again. Reordered before its handover: the id is recorded and the handover
    never runs. Delayed or delivered to a later incarnation: answered with unknown.

    Attributes:
        id: Id of the handover.
        stamp: Stamp that the handover carried.
        stamp_age_ms: Time for which the sender had held the stamp, in milliseconds.
        remaining_ms: Time from sending to the deadline, in milliseconds.
        stop_running: Whether to abort the request at the target if it was sent.
    """

    id: MessageId
    stamp: ReceiverStamp
    stamp_age_ms: int
    remaining_ms: int
    stop_running: bool
