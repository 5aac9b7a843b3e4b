"""One admitted request at the instance that its caller is connected to."""

from typing import NamedTuple

from sequoiahook.decisions.effects import Send
from sequoiahook.decisions.exchange.states import EntryState
from sequoiahook.messages.requests import (
    Cancel,
    Fields,
    HandOver,
    MessageId,
    ReceiverStamp,
)

__all__ = ["AdmittedRequest", "OpenRequest"]


class AdmittedRequest(NamedTuple):
    """A request that may run: its key is checked and its right is reserved.

    Attributes:
        number: Number given by the caller of ``admit``, unique for ever.
        reservation: The reserved right.
        service: Name of the service.
        organisation: Name of the organisation; empty on a route open to all.
        key_name: Name of the key; empty on a route open to all.
        configuration_number: Configuration by which the key was checked.
        method: HTTP method.
        target_path: Path and query, without any key.
        headers: Fields for the target, without any key.
        body: Whole body.
        deadline_ms: Time left until the caller's deadline, in milliseconds.
        idempotent: Whether it may run more than once.
        traceparent: Trace context of this instance's span.
        token_lease_ms: How long the reserved right lasts, in milliseconds.
    """

    number: int
    reservation: int
    service: str
    organisation: str
    key_name: str
    configuration_number: int
    method: str
    target_path: str
    headers: Fields
    body: bytes
    deadline_ms: int
    idempotent: bool
    traceparent: str
    token_lease_ms: int


class OpenRequest:
    """State of one admitted request until its right is settled.

    Attributes:
        request: The request.
        places: Names of the instances to hand it to, the best first.
        place_index: Which of them is tried; past the end it starts again.
        state: Where it stands.
        id: Id of the current hand-over; None between hand-overs.
        stamp: Stamp that the current hand-over carries.
        stamp_received_at: When that stamp arrived.
        asked_since: Since when the place is asked for a stamp.
        attempt: Number of the current hand-over.
        copies: How often the current hand-over was sent.
        reservation: The reserved right; None between two rights.
        right_lapses_at: When the right ends.
        may_have_run: Whether an earlier hand-over may have run.
        failure: Why that earlier hand-over has no answer.
        is_caller_gone: Whether nobody waits for the answer.
        moved_from: Place whose pool has moved; empty once other places were chosen.
        timeout_at: When the caller is answered at the latest.
        cancel_at: When what is not sent yet is cancelled.
        due_at: When it is looked at next.
    """

    def __init__(self, request: AdmittedRequest, places: tuple[str, ...], now: int):
        self.request = request
        self.places = places
        self.place_index = 0
        self.state = EntryState.ASKING
        self.id: MessageId | None = None
        self.stamp: ReceiverStamp | None = None
        self.stamp_received_at = now
        self.asked_since = now
        self.attempt = 0
        self.copies = 0
        self.reservation: int | None = request.reservation
        self.right_lapses_at = now + request.token_lease_ms
        self.may_have_run = False
        self.failure = ""
        self.is_caller_gone = False
        self.moved_from = ""
        self.timeout_at = now
        self.cancel_at = now
        self.due_at = now

    @property
    def place(self) -> str:
        """Name of the instance that it is handed to."""
        return self.places[self.place_index % len(self.places)]

    def hand_over(self, now: int) -> Send:
        """Return the effect that sends (another copy of) the current hand-over."""
        self.copies += 1
        request = self.request
        body = HandOver(
            id=self.id,
            service=request.service,
            organisation=request.organisation,
            key_name=request.key_name,
            configuration_number=request.configuration_number,
            method=request.method,
            target_path=request.target_path,
            headers=request.headers,
            body=request.body,
            remaining_ms=self.timeout_at - now,
            idempotent=request.idempotent,
            traceparent=request.traceparent,
            attempt=self.attempt,
            token_lease_ms=max(0, self.right_lapses_at - now),
            stamp=self.stamp,
            stamp_age_ms=now - self.stamp_received_at,
        )
        return Send(self.place, body)

    def cancel(self, now: int) -> Send:
        """Return the effect that cancels the current hand-over."""
        body = Cancel(
            id=self.id,
            stamp=self.stamp,
            stamp_age_ms=now - self.stamp_received_at,
            remaining_ms=self.timeout_at - now,
            stop_running=self.is_caller_gone,
        )
        return Send(self.place, body)
