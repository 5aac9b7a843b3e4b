"""One hand-over at its executor."""

from sequoiahook.decisions.exchange.effects import Write
from sequoiahook.decisions.exchange.pool_protocol import Pool
from sequoiahook.decisions.exchange.states import ExecutorState
from sequoiahook.messages.requests import Cancel, HandOver, MessageId, Outcome

__all__ = ["Work", "deadline_at", "sent_at"]


class Work:
    """State of one hand-over.

    Attributes:
        source: Name of the instance that handed it over.
        id: Its id.
        state: Where it stands.
        hand_over: The request; None once it is finished, or if only a cancel came.
        pool: The pool that it is queued in.
        generation: Count of pauses of the executor when it arrived.
        deadline_at: When its answer is of no more use.
        right_lapses_at: When the right to run it ends.
        attempt: How many targets were tried.
        objection: Why it must not be sent; empty if it may.
        is_sender_gone: Whether nobody waits for its outcome.
        outcome: Its outcome once it is finished.
        resends: How often the outcome was sent again.
    """

    def __init__(self, source: str, work_id: MessageId, deadline_at: int):
        self.source = source
        self.id = work_id
        self.state = ExecutorState.QUEUED
        self.hand_over: HandOver | None = None
        self.pool: Pool | None = None
        self.generation = 0
        self.deadline_at = deadline_at
        self.right_lapses_at = deadline_at
        self.attempt = 0
        self.objection = ""
        self.is_sender_gone = False
        self.outcome: Outcome | None = None
        self.resends = 0

    @property
    def is_at_target(self) -> bool:
        """Whether a result of its target is awaited."""
        return self.state in (ExecutorState.CONNECTING, ExecutorState.SENDING)

    @property
    def ran(self) -> str:
        """What its outcome says of it."""
        return self.outcome.ran

    def write(self, target_name: str, now: int) -> Write:
        """Return the effect that sends it to a target."""
        body = self.hand_over
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
        """Keep the outcome and drop the request."""
        self.state = ExecutorState.FINISHED
        self.outcome = outcome
        self.hand_over = None
        self.pool = None


def sent_at(body: HandOver | Cancel) -> int:
    """Return the earliest time of sending, on the clock of the receiver."""
    return body.stamp.clock_ms + body.stamp_age_ms


def deadline_at(body: HandOver | Cancel) -> int:
    """Return the deadline on the clock of the receiver; all copies have the same."""
    return sent_at(body) + body.remaining_ms
