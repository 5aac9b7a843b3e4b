"""Conversion between requests of direct sending and handovers."""

from typing import NamedTuple

from sequoiahook.clock import MS_PER_S
from sequoiahook.decisions.direct.exit_limit import ExitLimit
from sequoiahook.decisions.direct.requests import (
    CAUSES,
    ForwardToPeer,
    IncomingRequest,
    OpenRequest,
    Origin,
)
from sequoiahook.decisions.exchange.entry import AdmittedRequest, EntrySettings
from sequoiahook.decisions.exchange.executor import ExecutorSettings
from sequoiahook.decisions.exchange.pool_protocol import PoolEffect, Refuse, Start
from sequoiahook.decisions.exchange.target_result import TargetResult
from sequoiahook.decisions.keys import KeyName
from sequoiahook.decisions.pool.effects import RefuseReason
from sequoiahook.messages.direct_requests import DirectHandOver, RunTerms
from sequoiahook.messages.requests import MessageId
from sequoiahook.names import bounded_name
from sequoiahook.world.routing import Route

__all__ = [
    "ENTRY_SETTINGS",
    "EXECUTOR_SETTINGS",
    "AdmissionState",
    "DirectPool",
    "admitted_request",
    "open_request",
    "run_terms",
]

BUSY_RETRY_MS = 50

ENTRY_SETTINGS = EntrySettings(
    stamp_max_wait_ms=200,
    reconnect_grace_ms=500,
    attempts_max=2,
    requests_max=1_000,
    body_bytes_max=64 * 1024 * 1024,
    final_reasons=CAUSES,
)
EXECUTOR_SETTINGS = ExecutorSettings(
    pause_limit_ms=MS_PER_S,
    attempts_max=1,
    requests_max=400,
    body_bytes_max=32 * 1024 * 1024,
)


class AdmissionState(NamedTuple):
    """What determines whether an instance takes a request that is handed over.

    Attributes:
        is_available: Whether it reaches targets and may admit keys.
        lag_ms: Delay of its event loop.
        outcome_bytes: Size of the answers that were not acknowledged yet.
        exit_limit: Limit on requests while it is stopping.
    """

    is_available: bool
    lag_ms: int
    outcome_bytes: int
    exit_limit: ExitLimit


class DirectPool:
    """All targets of all services: starts each request at once, or refuses it.

    Attributes:
        state: What determines whether requests are taken.

    Args:
        outcome_bytes_max: Largest size of the answers that were not acknowledged yet,
            in bytes.
    """

    LAG_MAX_MS = 60

    def __init__(self, outcome_bytes_max: int):
        self._outcome_bytes_max = outcome_bytes_max
        self.state = AdmissionState(False, 0, 0, ExitLimit())

    def submit(
        self,
        request_id: MessageId,
        organisation: str,
        deadline_at: int,
        now: int,
        wait_limit_ms: int | None = None,
    ) -> list[PoolEffect]:
        """Start a request, or refuse it if this instance should not take more."""
        state = self.state
        is_busy = (
            state.lag_ms > self.LAG_MAX_MS
            or state.outcome_bytes > self._outcome_bytes_max
        )
        may_end = state.exit_limit.allows(deadline_at)
        if is_busy or not state.is_available or not may_end:
            return [Refuse(request_id, RefuseReason.BUSY, BUSY_RETRY_MS)]
        return [Start(request_id, "")]

    def finish(
        self, request_id: MessageId, result: TargetResult, now: int
    ) -> list[PoolEffect]:
        """Do nothing: requests hold no slot."""
        return []

    def cancel(self, request_id: MessageId, now: int) -> list[PoolEffect]:
        """Do nothing: requests are never queued."""
        return []

    def tick(self, now: int) -> list[PoolEffect]:
        """Do nothing: nothing is ever due."""
        return []

    def next_wake(self, now: int) -> int | None:
        """Return None."""
        return None


def admitted_request(
    step: ForwardToPeer, number: int, configuration_number: int
) -> AdmittedRequest:
    """Return the request of a step as the entry admits it."""
    request, incoming = step.request, step.request.incoming
    return AdmittedRequest(
        number=number,
        reservation=number,
        service=request.service,
        organisation=request.organisation,
        key_name=request.key_name.key_name if request.key_name else "",
        configuration_number=configuration_number,
        method=incoming.method,
        target_path=incoming.target_path,
        headers=incoming.headers,
        body=incoming.body,
        deadline_ms=step.timeout_ms,
        idempotent=request.route.is_idempotent,
        traceparent="",
        # The token does not lapse before the deadline.
        token_lease_ms=step.timeout_ms,
    )


def run_terms(step: ForwardToPeer) -> RunTerms:
    """Return the terms under which the request of a step runs."""
    request = step.request
    route, incoming = request.route, request.incoming
    return RunTerms(
        request_id=incoming.id,
        host=incoming.host,
        object_key=incoming.object_key,
        route=route.name,
        priority=request.priority,
        attempts_max=max(1, route.attempts_max - request.run_count),
        latency_goal_ms=route.latency_goal_ms,
        is_sticky=route.is_sticky,
        regions=tuple(request.regions),
        region_order=step.region_order,
        is_first=request.arrival_count == 0,
    )


def open_request(
    body: DirectHandOver, source: str, deadline_at: int, now: int
) -> OpenRequest:
    """Return the open request of a handover.

    Args:
        body: The handover.
        source: Name of the instance that handed it over.
        deadline_at: Time by which its outcome is due, in milliseconds.
        now: The time in milliseconds.
    """
    handover, terms = body
    incoming = IncomingRequest(
        id=terms.request_id,
        method=handover.method,
        host=terms.host,
        target_path=handover.target_path,
        key="",
        object_key=bounded_name(terms.object_key),
        deadline_ms=deadline_at - now,
        headers=handover.headers,
        body=handover.body,
    )
    route = Route(
        name=terms.route,
        host=terms.host,
        path_prefix="",
        is_idempotent=handover.idempotent,
        timeout_ms=deadline_at - now,
        latency_goal_ms=terms.latency_goal_ms,
        priority=terms.priority,
        shares=(),
        attempts_max=terms.attempts_max,
        is_open=not handover.key_name,
        is_sticky=terms.is_sticky,
        regions=terms.regions,
    )
    key_name = None
    if handover.key_name:
        key_name = KeyName(handover.organisation, handover.key_name)
    request = OpenRequest(incoming, route, handover.service, key_name, now, deadline_at)
    request.regions = terms.regions
    request.priority = terms.priority
    request.origin = Origin(
        source, handover.configuration_number, terms.region_order, terms.is_first
    )
    return request
