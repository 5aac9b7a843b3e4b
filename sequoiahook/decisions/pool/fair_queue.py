"""A queue that divides a pool's slot time fairly over organisations.

Start-time fair queueing: each request gets a start tag in virtual time, the
organisation with the least tag goes next, and its next tag lies one cost later, divided
by its share. An idle organisation starts at the present virtual time, so it saves up
nothing and owes nothing.
"""

import heapq
from collections import OrderedDict
from collections.abc import Hashable
from typing import NamedTuple

__all__ = ["FairQueue", "QueuedRequest"]

HEAP_SLACK = 64
DRAIN_WINDOW_MS = 1_000
DRAIN_KNOWN_MS = 200
PACE_TRUST = 0.8


class QueuedRequest(NamedTuple):
    """A request that waits for a slot.

    Attributes:
        request_id: As submitted.
        organisation: Whose request it is.
        deadline_at: When its caller stops waiting.
        start_by: When it is refused if it was not started.
        cost_ms: Slot time that it is expected to take.
    """

    request_id: Hashable
    organisation: str
    deadline_at: int
    start_by: int
    cost_ms: float


class _Flow:
    """The queued requests and the account of one organisation."""

    def __init__(self, virtual_ms: float):
        self.requests_by_id: OrderedDict[Hashable, QueuedRequest] = OrderedDict()
        self.cost_ms = 0.0
        self.tag = virtual_ms
        self.drained_ms = 0.0
        self.drained_since: int | None = None

    def drained(self, cost_ms: float, now: int) -> None:
        """Count slot time that was served while requests waited."""
        if self.drained_since is None:
            self.drained_since = now
            return
        self.drained_ms += cost_ms
        elapsed_ms = now - self.drained_since
        if elapsed_ms > DRAIN_WINDOW_MS:
            self.drained_ms /= 2
            self.drained_since = now - elapsed_ms // 2

    def own_wait_ms(self, now: int) -> float:
        """Return the wait at the pace at which the flow was served of late."""
        if self.drained_since is None or self.drained_ms <= 0:
            return 0.0
        elapsed_ms = now - self.drained_since
        if elapsed_ms < DRAIN_KNOWN_MS:
            return 0.0
        return PACE_TRUST * self.cost_ms * elapsed_ms / self.drained_ms


class FairQueue:
    """Requests by organisation; :meth:`pop` takes them in fair order."""

    def __init__(self):
        self._flows: dict[str, _Flow] = {}
        self._organisation_by_id: dict[Hashable, str] = {}
        self._share_by_organisation: dict[str, float] = {}
        self._virtual_ms = 0.0
        self._expiry: list[tuple[int, int, Hashable]] = []
        self._count = 0

    def __len__(self) -> int:
        return len(self._organisation_by_id)

    def __contains__(self, request_id: Hashable) -> bool:
        return request_id in self._organisation_by_id

    def set_shares(self, share_by_organisation: dict[str, float]) -> None:
        """Set the shares; an organisation without one has the least of all."""
        self._share_by_organisation = dict(share_by_organisation)

    def length_of(self, organisation: str) -> int:
        """Return how many requests of an organisation wait."""
        flow = self._flows.get(organisation)
        return len(flow.requests_by_id) if flow else 0

    def push(self, request: QueuedRequest) -> None:
        """Add a request whose id is not queued."""
        flow = self._flow(request.organisation)
        flow.requests_by_id[request.request_id] = request
        flow.cost_ms += request.cost_ms
        self._organisation_by_id[request.request_id] = request.organisation
        self._count += 1
        entry = (request.start_by, self._count, request.request_id)
        heapq.heappush(self._expiry, entry)

    def pop(self, now: int = 0) -> QueuedRequest | None:
        """Remove and return the next request in fair order; None if there is none."""
        waiting = [pair for pair in self._flows.items() if pair[1].requests_by_id]
        if not waiting:
            return None
        organisation, flow = min(waiting, key=lambda pair: (pair[1].tag, pair[0]))
        self._virtual_ms = max(self._virtual_ms, flow.tag)
        request = next(iter(flow.requests_by_id.values()))
        self.remove(request.request_id)
        self.charge(organisation, request.cost_ms)
        if flow.requests_by_id:
            flow.drained(request.cost_ms, now)
        return request

    def pop_all(self) -> list[QueuedRequest]:
        """Remove and return every request."""
        return [self.remove(request_id) for request_id in [*self._organisation_by_id]]

    def remove(self, request_id: Hashable) -> QueuedRequest | None:
        """Remove a request; returns None if it is not queued."""
        organisation = self._organisation_by_id.pop(request_id, None)
        if organisation is None:
            return None
        flow = self._flows[organisation]
        request = flow.requests_by_id.pop(request_id)
        flow.cost_ms -= request.cost_ms
        self._compact()
        return request

    def charge(self, organisation: str, cost_ms: float) -> None:
        """Count slot time against an organisation; negative to correct a guess."""
        flow = self._flow(organisation)
        flow.tag += cost_ms / self._share(organisation)

    def pop_expired(self, now: int) -> list[QueuedRequest]:
        """Remove and return the requests whose time to start has passed."""
        expired = []
        while self._expiry and self._expiry[0][0] <= now:
            _, _, request_id = heapq.heappop(self._expiry)
            request = self._queued(request_id)
            if request is not None and request.start_by <= now:
                self.remove(request_id)
                expired.append(request)
        return expired

    def next_expiry(self) -> int | None:
        """Return when the next request expires; None if nothing is queued."""
        while self._expiry and self._expiry[0][2] not in self._organisation_by_id:
            heapq.heappop(self._expiry)
        return self._expiry[0][0] if self._expiry else None

    def work_ahead_ms(self, organisation: str) -> float:
        """Return the queued slot time that goes before a new request.

        Args:
            organisation: Whose request it would be.
        """
        own = self._flows.get(organisation)
        own_cost_ms = own.cost_ms if own else 0.0
        start = max(self._virtual_ms, own.tag) if own else self._virtual_ms
        start += own_cost_ms / self._share(organisation)
        ahead_ms = own_cost_ms
        for name, flow in self._flows.items():
            if name == organisation or not flow.requests_by_id:
                continue
            earlier_ms = (start - flow.tag) * self._share(name)
            ahead_ms += min(flow.cost_ms, max(0.0, earlier_ms))
        return ahead_ms

    def own_wait_ms(self, organisation: str, now: int) -> float:
        """Return the wait of a new request at the pace of late; 0 if not known.

        It knows what :meth:`work_ahead_ms` cannot: requests of others that come later
        and go first.
        """
        flow = self._flows.get(organisation)
        return flow.own_wait_ms(now) if flow is not None else 0.0

    def work_ms(self) -> float:
        """Return the slot time of everything that is queued."""
        return sum(flow.cost_ms for flow in self._flows.values())

    def _flow(self, organisation: str) -> _Flow:
        flow = self._flows.get(organisation)
        if flow is None:
            self._forget_idle()
            flow = self._flows[organisation] = _Flow(self._virtual_ms)
        if not flow.requests_by_id:
            flow.tag = max(flow.tag, self._virtual_ms)
            flow.drained_ms, flow.drained_since = 0.0, None
        return flow

    def _forget_idle(self) -> None:
        idle = [
            name
            for name, flow in self._flows.items()
            if not flow.requests_by_id and flow.tag <= self._virtual_ms
        ]
        for name in idle:
            del self._flows[name]

    def _share(self, organisation: str) -> float:
        share = self._share_by_organisation.get(organisation)
        if share is not None:
            return share
        return min(self._share_by_organisation.values(), default=1.0)

    def _queued(self, request_id: Hashable) -> QueuedRequest | None:
        organisation = self._organisation_by_id.get(request_id)
        if organisation is None:
            return None
        return self._flows[organisation].requests_by_id[request_id]

    def _compact(self) -> None:
        if len(self._expiry) <= 2 * len(self) + HEAP_SLACK:
            return
        self._expiry = [
            entry for entry in self._expiry if entry[2] in self._organisation_by_id
        ]
        heapq.heapify(self._expiry)
