"""Pacing of the envelopes that an instance sends over links between regions."""

from collections import deque

from sequoiahook.decisions.links import LinkBudget, LinkBudgets
from sequoiahook.messages.base import Envelope
from sequoiahook.messages.requests import HandOver, Outcome

__all__ = ["LinkPacer", "paced_bytes"]

ENVELOPE_OVERHEAD_BYTES = 512
FIELD_OVERHEAD_BYTES = 8
QUEUED_BYTES_MAX = 8 * 1024 * 1024


def paced_bytes(envelope: Envelope) -> int:
    """Return the bytes that an envelope uses of a link; 0 if it is not paced.

    Only requests and answers are paced; control messages use the part of the link that
    the budgets leave free.
    """
    body = envelope.body
    if not isinstance(body, HandOver | Outcome):
        return 0
    fields = sum(
        len(name) + len(value) + FIELD_OVERHEAD_BYTES for name, value in body.headers
    )
    return len(body.body) + fields + ENVELOPE_OVERHEAD_BYTES


class _PacedQueue:
    """Envelopes that wait for one budget, in order of arrival."""

    def __init__(self, budget: LinkBudget):
        self.budget = budget
        self.envelopes: deque[Envelope] = deque()
        self.head_bytes_left = 0
        self.queued_bytes = 0


class LinkPacer:
    """Delays envelopes until the link's budget has enough bytes for them.

    Args:
        budgets: Byte budgets of this instance's links.
    """

    def __init__(self, budgets: LinkBudgets):
        self._budgets = budgets
        self._queues_by_budget: dict[LinkBudget, _PacedQueue] = {}

    def is_full(self, data_centre: str) -> bool:
        """Return whether a request must be refused because the queue is full."""
        queue = self._queue(data_centre)
        return queue is not None and queue.queued_bytes > QUEUED_BYTES_MAX

    def submit(self, envelope: Envelope, data_centre: str, now: int) -> list[Envelope]:
        """Queue an envelope; return the envelopes that may be sent now, in order."""
        queue = self._queue(data_centre)
        if queue is None or not paced_bytes(envelope):
            return [envelope]
        if not queue.envelopes:
            queue.head_bytes_left = paced_bytes(envelope)
        queue.envelopes.append(envelope)
        queue.queued_bytes += paced_bytes(envelope)
        return self._dequeue_ready(queue, now)

    def tick(self, now: int) -> list[Envelope]:
        """Return the envelopes that may be sent now."""
        ready: list[Envelope] = []
        for budget, queue in list(self._queues_by_budget.items()):
            ready += self._dequeue_ready(queue, now)
            if not queue.envelopes:
                del self._queues_by_budget[budget]
        return ready

    def next_wake(self, now: int) -> int | None:
        """Return the time at which ``tick`` is next due; None if nothing waits."""
        wakes = [
            queue.budget.ready_at(queue.head_bytes_left, now)
            for queue in self._queues_by_budget.values()
            if queue.envelopes
        ]
        return min((wake for wake in wakes if wake is not None), default=None)

    def _queue(self, data_centre: str) -> _PacedQueue | None:
        budget = self._budgets.budget(data_centre)
        if budget is None:
            return None
        return self._queues_by_budget.setdefault(budget, _PacedQueue(budget))

    def _dequeue_ready(self, queue: _PacedQueue, now: int) -> list[Envelope]:
        ready: list[Envelope] = []
        while queue.envelopes:
            queue.head_bytes_left -= queue.budget.debit(queue.head_bytes_left, now)
            if queue.head_bytes_left:
                break
            envelope = queue.envelopes.popleft()
            queue.queued_bytes -= paced_bytes(envelope)
            ready.append(envelope)
            if queue.envelopes:
                queue.head_bytes_left = paced_bytes(queue.envelopes[0])
        return ready
