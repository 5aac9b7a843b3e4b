"""Execution of one handover at its executor."""

from sequoiahook.decisions.exchange.effects import Write
from sequoiahook.decisions.exchange.pool_protocol import Pool
from sequoiahook.decisions.exchange.states import ExecutorState
from sequoiahook.messages.requests import Cancel, HandOver, MessageId, Outcome

__all__ = ["Execution", "deadline_at", "sent_at"]


class Execution:
    """State of one handover at its executor.

    Attributes:
        source: Name of the instance that handed it over.
        id: Its id.
        state: Current state.
        handover: The request; None once it is finished, or if only a cancel arrived.
        pool: The pool that it is queued in.
        pause_count: Number of pauses of the executor before it arrived.
        deadline_at: When its answer is due.
        right_lapses_at: When the right to run it lapses.
        attempt: Number of targets tried.
        rejection: Reason why it must not be sent; empty if it may be.
        is_sender_gone: Whether the instance that handed it over has ended.
        outcome: Its outcome once it is finished, until that is acknowledged.
        send_count: Number of times that the outcome was sent.
    """

    def __init__(self, source: str, handover_id: MessageId, deadline_at: int):
        self.source = source
        self.id = handover_id
        self.state = ExecutorState.QUEUED
        self.handover: HandOver | None = None
        self.pool: Pool | None = None
        self.pause_count = 0
        self.deadline_at = deadline_at
        self.right_lapses_at = deadline_at
        self.attempt = 0
        self.rejection = ""
        self.is_sender_gone = False
        self.outcome: Outcome | None = None
        self.send_count = 0

    @property
    def is_at_target(self) -> bool:
        """Whether the result of an exchange with a target is awaited."""
        return self.state in (ExecutorState.CONNECTING, ExecutorState.SENDING)

    @property
    def ran(self) -> str:
        """Whether it ran, according to its outcome."""
        return self.outcome.ran

    def write(self, target_name: str, now: int) -> Write:
        """Return the effect that writes it to a target."""
        body = self.handover
        return Write(
            request_id=self.id,
            target_name=target_name,
            service=body.service,
            organisation=body.organisation,
            method=body.method,
            target_path=body.target_path,
            headers=body.headers,
            body=body.body,
            remaining_ms=max(0, self.deadline_at - now),
            may_reuse=body.idempotent,
            traceparent=body.traceparent,
        )

    def finish(self, outcome: Outcome) -> None:
        """Store the outcome and drop the request."""
        self.state = ExecutorState.FINISHED
        self.outcome = outcome
        self.handover = None
        self.pool = None


def sent_at(body: HandOver | Cancel) -> int:
    """Return the earliest time of sending, in milliseconds on the receiver's clock."""
    return body.stamp.clock_ms + body.stamp_age_ms


def deadline_at(body: HandOver | Cancel) -> int:
    """Return the deadline on the receiver's clock; it is the same for all copies."""
    return sent_at(body) + body.remaining_ms
