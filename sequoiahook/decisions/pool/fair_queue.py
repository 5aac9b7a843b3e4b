"""Start-time fair queue that divides a pool's slot time over organisations.

Each organisation has a start tag in virtual time. The one with the least tag is served
next, and its tag grows by the cost of the request divided by its share. An idle
organisation restarts at the current virtual time, without credit or debt.
"""

import heapq
from collections import OrderedDict
from collections.abc import Hashable
from typing import NamedTuple

__all__ = ["FairQueue", "QueuedRequest"]

EXPIRY_SLACK_ENTRIES = 64
"""Heap entries beyond twice the queue length at which stale ones are removed."""

SERVICE_RATE_WINDOW_MS = 1_000
"""Longest period over which a service rate is measured; then it is halved."""

SERVICE_RATE_MIN_WINDOW_MS = 200
"""Shortest period from which a service rate is used."""

OBSERVED_WAIT_FACTOR = 0.8
"""Part of the wait at the measured service rate that is reported."""


class QueuedRequest(NamedTuple):
    """A request that waits for a slot; times in milliseconds.

    Attributes:
        request_id: Id that the request was submitted with.
        organisation: Organisation that is charged for the slot time.
        deadline_at: When its caller stops waiting.
        start_by: When it is refused unless it has been started.
        cost_ms: Slot time that it is expected to take.
    """

    request_id: Hashable
    organisation: str
    deadline_at: int
    start_by: int
    cost_ms: float


class _Flow:
    """Queued requests, start tag and service rate of one organisation."""

    def __init__(self, virtual_time_ms: float):
        self.requests_by_id: OrderedDict[Hashable, QueuedRequest] = OrderedDict()
        self.queued_cost_ms = 0.0
        self.start_tag = virtual_time_ms
        self.served_ms = 0.0
        self.served_since: int | None = None

    def record_served(self, cost_ms: float, now: int) -> None:
        """Add slot time that was served while further requests were queued."""
        if self.served_since is None:
            self.served_since = now
            return
        self.served_ms += cost_ms
        elapsed_ms = now - self.served_since
        if elapsed_ms > SERVICE_RATE_WINDOW_MS:
            self.served_ms /= 2
            self.served_since = now - elapsed_ms // 2

    def observed_wait_ms(self, now: int) -> float:
        """Return the wait of a new request at the recent service rate; 0 if unknown."""
        if self.served_since is None or self.served_ms <= 0:
            return 0.0
        elapsed_ms = now - self.served_since
        if elapsed_ms < SERVICE_RATE_MIN_WINDOW_MS:
            return 0.0
        return OBSERVED_WAIT_FACTOR * self.queued_cost_ms * elapsed_ms / self.served_ms


class FairQueue:
    """Queue of requests by organisation; :meth:`pop` returns them in fair order."""

    def __init__(self):
        self._flows: dict[str, _Flow] = {}
        self._organisation_by_id: dict[Hashable, str] = {}
        self._share_by_organisation: dict[str, float] = {}
        self._virtual_time_ms = 0.0
        self._expiry: list[tuple[int, int, Hashable]] = []
        self._push_count = 0

    def __len__(self) -> int:
        return len(self._organisation_by_id)

    def __contains__(self, request_id: Hashable) -> bool:
        return request_id in self._organisation_by_id

    def set_shares(self, share_by_organisation: dict[str, float]) -> None:
        """Set the shares; an organisation without one gets the smallest share."""
        self._share_by_organisation = dict(share_by_organisation)

    def length_of(self, organisation: str) -> int:
        """Return the number of queued requests of an organisation."""
        flow = self._flows.get(organisation)
        return len(flow.requests_by_id) if flow else 0

    def push(self, request: QueuedRequest) -> None:
        """Add a request; its id must not be queued already."""
        flow = self._active_flow(request.organisation)
        flow.requests_by_id[request.request_id] = request
        flow.queued_cost_ms += request.cost_ms
        self._organisation_by_id[request.request_id] = request.organisation
        self._push_count += 1
        entry = (request.start_by, self._push_count, request.request_id)
        heapq.heappush(self._expiry, entry)

    def pop(self, now: int = 0) -> QueuedRequest | None:
        """Remove and return the next request in fair order; None if there is none."""
        waiting = [pair for pair in self._flows.items() if pair[1].requests_by_id]
        if not waiting:
            return None
        organisation, flow = min(waiting, key=lambda pair: (pair[1].start_tag, pair[0]))
        self._virtual_time_ms = max(self._virtual_time_ms, flow.start_tag)
        request = next(iter(flow.requests_by_id.values()))
        self.remove(request.request_id)
        self.charge(organisation, request.cost_ms)
        if flow.requests_by_id:
            flow.record_served(request.cost_ms, now)
        return request

    def pop_all(self) -> list[QueuedRequest]:
        """Remove and return every request."""
        return [self.remove(request_id) for request_id in [*self._organisation_by_id]]

    def remove(self, request_id: Hashable) -> QueuedRequest | None:
        """Remove and return a request; None if it is not queued."""
        organisation = self._organisation_by_id.pop(request_id, None)
        if organisation is None:
            return None
        flow = self._flows[organisation]
        request = flow.requests_by_id.pop(request_id)
        flow.queued_cost_ms -= request.cost_ms
        self._compact_expiry()
        return request

    def charge(self, organisation: str, cost_ms: float) -> None:
        """Charge slot time to an organisation.

        Args:
            organisation: Name of the organisation.
            cost_ms: Slot time; negative to correct an estimate that was too high.
        """
        flow = self._active_flow(organisation)
        flow.start_tag += cost_ms / self._share(organisation)

    def pop_expired(self, now: int) -> list[QueuedRequest]:
        """Remove and return the requests whose latest start time has passed."""
        expired = []
        while self._expiry and self._expiry[0][0] <= now:
            _, _, request_id = heapq.heappop(self._expiry)
            request = self._find(request_id)
            if request is not None and request.start_by <= now:
                self.remove(request_id)
                expired.append(request)
        return expired

    def next_expiry(self) -> int | None:
        """Return when the next request expires; None if the queue is empty."""
        while self._expiry and self._expiry[0][2] not in self._organisation_by_id:
            heapq.heappop(self._expiry)
        return self._expiry[0][0] if self._expiry else None

    def work_ahead_ms(self, organisation: str) -> float:
        """Return the queued slot time that would be served before a new request.

        Args:
            organisation: Organisation of the new request.
        """
        own = self._flows.get(organisation)
        own_queued_ms = own.queued_cost_ms if own else 0.0
        start_tag = (
            max(self._virtual_time_ms, own.start_tag) if own else self._virtual_time_ms
        )
        start_tag += own_queued_ms / self._share(organisation)
        ahead_ms = own_queued_ms
        for name, flow in self._flows.items():
            if name == organisation or not flow.requests_by_id:
                continue
            served_first_ms = (start_tag - flow.start_tag) * self._share(name)
            ahead_ms += min(flow.queued_cost_ms, max(0.0, served_first_ms))
        return ahead_ms

    def observed_wait_ms(self, organisation: str, now: int) -> float:
        """Return the wait of a new request at the recent service rate; 0 if unknown.

        Unlike :meth:`work_ahead_ms`, it reflects requests of other organisations that
        arrive later but are served first.
        """
        flow = self._flows.get(organisation)
        return flow.observed_wait_ms(now) if flow is not None else 0.0

    def work_ms(self) -> float:
        """Return the total slot time of the queued requests."""
        return sum(flow.queued_cost_ms for flow in self._flows.values())

    def _active_flow(self, organisation: str) -> _Flow:
        flow = self._flows.get(organisation)
        if flow is None:
            self._evict_idle_flows()
            flow = self._flows[organisation] = _Flow(self._virtual_time_ms)
        if not flow.requests_by_id:
            flow.start_tag = max(flow.start_tag, self._virtual_time_ms)
            flow.served_ms, flow.served_since = 0.0, None
        return flow

    def _evict_idle_flows(self) -> None:
        idle = [
            name
            for name, flow in self._flows.items()
            if not flow.requests_by_id and flow.start_tag <= self._virtual_time_ms
        ]
        for name in idle:
            del self._flows[name]

    def _share(self, organisation: str) -> float:
        share = self._share_by_organisation.get(organisation)
        if share is not None:
            return share
        return min(self._share_by_organisation.values(), default=1.0)

    def _find(self, request_id: Hashable) -> QueuedRequest | None:
        organisation = self._organisation_by_id.get(request_id)
        if organisation is None:
            return None
        return self._flows[organisation].requests_by_id[request_id]

    def _compact_expiry(self) -> None:
        if len(self._expiry) <= 2 * len(self) + EXPIRY_SLACK_ENTRIES:
            return
        self._expiry = [
            entry for entry in self._expiry if entry[2] in self._organisation_by_id
        ]
        heapq.heapify(self._expiry)
