"""Messages that hand a request to another instance and bring its outcome back.

An instance gives each of its peers a :class:`ReceiverStamp`, a reading of its own
clock. A message that carries the stamp back, together with the time for which the
sender held it, tells the receiver how old the message can be at most, although no
two clocks are compared.
"""

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
]

RAN = "ran"
NOT_RUN = "not run"
UNKNOWN = "unknown"

Fields = tuple[tuple[bytes, bytes], ...]
"""HTTP fields: names and values."""


class MessageId(NamedTuple):
    """Names one hand-over for ever.

    Attributes:
        sender: Name of the instance that hands over.
        incarnation: Incarnation of the sender.
        sequence: Number, unique within the incarnation.
    """

    sender: str
    incarnation: int
    sequence: int


class CreditUnit(NamedTuple):
    """One unit of credit that the receiver's data centre granted.

    Attributes:
        lender_incarnation: Incarnation of the instance that granted it.
        grant_id: The grant that it belongs to.
        unit: Number of the unit in the grant, from 0.
    """

    lender_incarnation: int
    grant_id: int
    unit: int


class ReceiverStamp(NamedTuple):
    """A reading of the clock of the instance that gave it; opaque to all others.

    Attributes:
        incarnation: Incarnation of the instance that gave it.
        clock_ms: Reading of that instance's clock.
    """

    incarnation: int
    clock_ms: int


@message
class StampRequest(NamedTuple):
    """Ask a peer for a stamp.

    Lost: asked again after a while. Repeated: answered again. Reordered or delayed: no
    effect, because any stamp of the running incarnation will do.
    """


@message
class StampGrant(NamedTuple):
    """Give a peer a stamp.

    Lost: the peer asks again. Repeated or reordered: the peer keeps the newest reading
    of the incarnation that it hears last. Delayed: the delay counts as age of what is
    sent with it, so at worst such a hand-over is refused as late; the refusal brings a
    new stamp.

    Attributes:
        stamp: The stamp.
    """

    stamp: ReceiverStamp


@message
class HandOver(NamedTuple):
    """Run a request on a target of a service.

    Lost: the sender cancels shortly before the deadline, or repeats it when the link
    is back. Repeated: recognised by id; the outcome is sent again. Reordered: a cancel
    that came first wins. Delayed: the stamp bounds the age, and it is not run when the
    right or the deadline may have passed; ids are remembered until their deadline.
    Delivered to a later incarnation: never run there, the outcome is unknown.

    Attributes:
        id: Id of the hand-over; a new attempt has a new one.
        service: Name of the service.
        organisation: Name of the organisation; empty on a route that is open to all.
        key_name: Name of the key that the caller showed; never the key.
        configuration_number: Configuration by which the sender checked the key.
        method: HTTP method.
        target_path: Path and query, without any key.
        headers: Fields for the target, without any key.
        body: Whole body.
        remaining_ms: Time left to answer when it was sent, in milliseconds.
        idempotent: Whether it may run more than once.
        traceparent: Trace context of the sender's span.
        attempt: 1 for the first hand-over of a request.
        token_lease_ms: How long the right to run lasts from sending, in milliseconds.
        stamp: Stamp that the receiver gave.
        stamp_age_ms: How long the sender had held the stamp, in milliseconds.
        credit: The unit of credit that a hand-over to another data centre spends.
        wait_limit_ms: Refuse it if it would queue for longer, in milliseconds, since
            there is a better place then; -1 for no limit.
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
    """What became of a hand-over; final for its id.

    Lost: sent again until it is acknowledged or the deadline has passed. Repeated: the
    second finds no open request and is dropped. Reordered or delayed: it names its
    hand-over, so it reaches that request or none.

    Attributes:
        id: Id of the hand-over.
        ran: ``ran`` with a whole answer, ``not run`` if it never ran and never will,
            ``unknown`` for all else.
        status: HTTP status of the answer; 0 if there is none.
        headers: Fields of the answer.
        body: Whole body of the answer.
        reason: Why there is no answer; empty if there is one.
        retry_after_ms: When to come back, in milliseconds; 0 if there is no advice.
        stamp: A new stamp of the instance that sends the outcome.
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
    """Acknowledge an outcome, so that its body need not be kept.

    Lost: the outcome comes again and is acknowledged again. Repeated, reordered or
    delayed: no further effect.

    Attributes:
        id: Id of the hand-over.
    """

    id: MessageId


@message
class Cancel(NamedTuple):
    """Do not run a hand-over that is not sent yet; its outcome is sent in answer.

    Lost: the sender times out and says unknown. Repeated: the outcome is sent again.
    Reordered before its hand-over: the id is noted, and the hand-over never runs.
    Delayed, or delivered to a later incarnation: answered with unknown.

    Attributes:
        id: Id of the hand-over.
        stamp: The stamp that the hand-over carried.
        stamp_age_ms: How long the sender had held the stamp, in milliseconds.
        remaining_ms: Time left to answer when it was sent, in milliseconds.
        stop_running: Whether to stop it at the target as well if it was sent.
    """

    id: MessageId
    stamp: ReceiverStamp
    stamp_age_ms: int
    remaining_ms: int
    stop_running: bool
