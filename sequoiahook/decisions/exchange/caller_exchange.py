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

__all__ = ["AdmittedRequest", "CallerExchange"]


class AdmittedRequest(NamedTuple):
    """A request that may run: its key is checked and its right is reserved.

    Attributes:
        number: Number chosen by the caller of ``admit``; never reused.
        reservation: The reserved right.
        service: Name of the service.
        organisation: Name of the organisation; empty on a route open to all.
        key_name: Name of the key; empty on a route open to all.
        configuration_number: Configuration by which the key was checked.
        method: HTTP method.
        target_path: Path and query, without any key.
        headers: Header fields for the target, without any key.
        body: Complete body.
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


class CallerExchange:
    """State of one admitted request until its right is settled.

    Attributes:
        request: The request.
        candidates: Names of the instances to hand it over to, best first.
        candidate_index: Index of the current candidate, modulo their number.
        state: Current state.
        id: Id of the current handover; None between handovers.
        stamp: Stamp that the current handover carries.
        stamp_received_at: When that stamp arrived.
        stamp_wait_started_at: When a stamp was first requested from the candidate.
        attempt: Number of the current handover.
        send_count: Number of copies of the current handover that were sent.
        reservation: The reserved right; None while another is being reserved.
        right_lapses_at: When the right lapses.
        may_have_run: Whether an earlier handover may have run.
        failure_reason: Why the earlier handover ended without an answer.
        is_caller_gone: Whether the caller has disconnected.
        moved_from: Candidate whose pool has moved, which is not retried at once; else
            empty.
        timeout_at: Latest time at which the caller gets a reply.
        cancel_at: When the handover is cancelled; what a target already received still
            runs.
        due_at: When its timer is due.
    """

    def __init__(self, request: AdmittedRequest, candidates: tuple[str, ...], now: int):
        self.request = request
        self.candidates = candidates
        self.candidate_index = 0
        self.state = EntryState.AWAITING_STAMP
        self.id: MessageId | None = None
        self.stamp: ReceiverStamp | None = None
        self.stamp_received_at = now
        self.stamp_wait_started_at = now
        self.attempt = 0
        self.send_count = 0
        self.reservation: int | None = request.reservation
        self.right_lapses_at = now + request.token_lease_ms
        self.may_have_run = False
        self.failure_reason = ""
        self.is_caller_gone = False
        self.moved_from = ""
        self.timeout_at = now
        self.cancel_at = now
        self.due_at = now

    @property
    def candidate(self) -> str:
        """Name of the instance that it is handed over to."""
        return self.candidates[self.candidate_index % len(self.candidates)]

    def hand_over(self, now: int) -> Send:
        """Count a copy of the current handover and return the effect that sends it."""
        self.send_count += 1
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
        return Send(self.candidate, body)

    def cancel(self, now: int) -> Send:
        """Return the effect that cancels the current handover."""
        body = Cancel(
            id=self.id,
            stamp=self.stamp,
            stamp_age_ms=now - self.stamp_received_at,
            remaining_ms=self.timeout_at - now,
            stop_running=self.is_caller_gone,
        )
        return Send(self.candidate, body)
