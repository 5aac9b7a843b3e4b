"""Forwarding of callers' requests to targets, as the decisions direct."""

import asyncio
from typing import Protocol

import logbook

from sequoiahook.clock import MS_PER_S, Clock
from sequoiahook.daemons.caller_http import CallerAnswer, CallerRequest
from sequoiahook.daemons.direct.reporting import Reporter
from sequoiahook.daemons.target_http import TargetClient, TargetRequest
from sequoiahook.decisions.direct.core import DirectCore
from sequoiahook.decisions.direct.fingerprints import fingerprint
from sequoiahook.decisions.direct.requests import (
    Attempt,
    Cause,
    Deliver,
    Hold,
    HoldPermit,
    HoldTrial,
    IncomingRequest,
    OpenRequest,
    Refuse,
    Status,
)
from sequoiahook.decisions.exchange.target_result import TargetResult
from sequoiahook.messages.requests import Fields
from sequoiahook.metrics import Metrics

__all__ = ["CallerHandler", "Dialect"]

STOPPING_RETRY_AFTER_MS = 20
"""Short, since the other instances accept the request at once."""

REUSE_IDLE_MAX_MS = 3_000
"""Longest idle time of a connection that a non-idempotent request may reuse.

The target may have closed a connection that was idle for longer, which becomes visible
only after the request was written.
"""

log = logbook.Logger("request")


class Dialect(Protocol):
    """Encoding of requests and answers."""

    def read_request(self, request: CallerRequest) -> IncomingRequest:
        """Decode a caller's request."""

    def target_fields(self, attempt: Attempt) -> Fields:
        """Return the header fields to send to the target."""

    def refusal(self, request_id: str, refusal: Refuse) -> CallerAnswer:
        """Encode an answer of the instance itself."""


class CallerHandler:
    """Answers requests of callers.

    Attributes:
        open_count: Number of requests in progress.
        last_request_at: Time of the last request, in milliseconds.

    Args:
        core: The decisions.
        targets: The HTTP client for targets.
        dialect: Encoding of requests and answers.
        reporter: Exchanges tokens with other instances.
        clock: The clock.
        metrics: Counters and latencies.
    """

    def __init__(
        self,
        core: DirectCore,
        targets: TargetClient,
        dialect: Dialect,
        reporter: Reporter,
        clock: Clock,
        metrics: Metrics,
    ):
        self.open_count = 0
        self.last_request_at = clock.now()
        self._core = core
        self._targets = targets
        self._dialect = dialect
        self._reporter = reporter
        self._clock = clock
        self._metrics = metrics

    async def handle(self, request: CallerRequest) -> CallerAnswer:
        """Answer a request."""
        self.open_count += 1
        self.last_request_at = self._clock.now()
        try:
            return await self._handle(self._dialect.read_request(request))
        finally:
            self.open_count -= 1

    def refuse_stopping(self, request: CallerRequest) -> CallerAnswer:
        """Refuse a request that arrives after the instance stopped accepting work."""
        incoming = self._dialect.read_request(request)
        refusal = Refuse(Status.UNAVAILABLE, Cause.STOPPING, STOPPING_RETRY_AFTER_MS)
        self._log_outcome(incoming, None, refusal, self._clock.now())
        return self._dialect.refusal(incoming.id, refusal)

    async def _handle(self, incoming: IncomingRequest) -> CallerAnswer:
        arrived_at = self._clock.now()
        admitted = self._core.admission.admit(incoming, arrived_at)
        if isinstance(admitted, Refuse):
            self._log_outcome(incoming, None, admitted, arrived_at)
            return self._dialect.refusal(incoming.id, admitted)
        attempts = self._core.attempts
        step = attempts.next_step(admitted, self._clock.now())
        self._reporter.send_token_requests()
        while not isinstance(step, Deliver | Refuse):
            if isinstance(step, Attempt):
                result = await self._exchange(step, arrived_at)
                step = attempts.on_ended(step, result, self._clock.now())
            else:
                await self._wait(step)
                step = attempts.next_step(admitted, self._clock.now())
            self._reporter.send_token_requests()
        self._log_outcome(incoming, admitted, step, arrived_at)
        if isinstance(step, Deliver):
            result = step.result
            return CallerAnswer(result.status, result.headers, result.body)
        return self._dialect.refusal(incoming.id, step)

    async def _wait(self, step: Hold | HoldPermit | HoldTrial) -> None:
        if isinstance(step, HoldTrial):
            await asyncio.sleep(step.max_wait_ms / MS_PER_S)
        else:
            await self._reporter.wait(step)

    async def _exchange(self, attempt: Attempt, arrived_at: int) -> TargetResult:
        exchange = self._targets.open(self._target_request(attempt))
        try:
            return await exchange.run(
                lambda: self._core.attempts.may_write(attempt, self._clock.now())
            )
        except asyncio.CancelledError:
            result = TargetResult(exchange.stage)
            self._core.attempts.on_abandoned(attempt, result, self._clock.now())
            self._log_caller_gone(attempt, exchange.stage.value, arrived_at)
            raise

    def _target_request(self, attempt: Attempt) -> TargetRequest:
        incoming = attempt.request.incoming
        return TargetRequest(
            attempt.state.record.address,
            incoming.method,
            incoming.target_path,
            self._dialect.target_fields(attempt),
            incoming.body,
            attempt.timeout_ms,
            may_reuse=True,
            id=incoming.id,
            host=incoming.host.encode("latin-1"),
            idle_max_ms=None
            if attempt.request.route.is_idempotent
            else REUSE_IDLE_MAX_MS,
        )

    def _log_outcome(
        self,
        incoming: IncomingRequest,
        request: OpenRequest | None,
        outcome: Deliver | Refuse,
        arrived_at: int,
    ) -> None:
        now = self._clock.now()
        if isinstance(outcome, Deliver):
            status, cause, retry_after_ms = outcome.result.status, "answered", 0
        else:
            status, cause, retry_after_ms, _ = outcome
        self._metrics.count(f"requests {status} {cause}")
        self._metrics.record_ms("request", now - arrived_at)
        fields = self._common_fields(incoming, request, arrived_at)
        fields |= {"status": status, "cause": cause}
        if retry_after_ms:
            fields["retry_after_ms"] = retry_after_ms
        log.info("request", extra=fields)

    def _log_caller_gone(self, attempt: Attempt, stage: str, arrived_at: int) -> None:
        request = attempt.request
        self._metrics.count("requests caller gone")
        fields = self._common_fields(request.incoming, request, arrived_at)
        log.info("caller gone", extra=fields | {"stage": stage})

    def _common_fields(
        self,
        incoming: IncomingRequest,
        request: OpenRequest | None,
        arrived_at: int,
    ) -> dict:
        now = self._clock.now()
        fields = {
            "request": incoming.id,
            "duration_ms": now - arrived_at,
            "configuration": self._core.configuration_number,
            "configuration_age_ms": self._core.freshness.age_ms(now),
        }
        if request is not None:
            fields["route"] = request.route.name
            fields["service"] = request.service
            fields["organisation"] = request.organisation
            fields["object"] = incoming.object_key
            fields["deadline_ms"] = request.deadline_at - request.arrived_at
            fields["attempts"] = [tuple(record) for record in request.records]
            if request.lost_count:
                fields["fingerprint"] = fingerprint(request).hex()
            if request.crash_evidence is not None:
                fields |= request.crash_evidence._asdict()
        return fields
