"""Forwarding of callers' requests to targets, as the decisions direct."""

import asyncio
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, Protocol

import logbook

from sequoiahook.clock import Clock
from sequoiahook.daemons.caller_exchange import (
    CallerAnswer,
    CallerRequest,
    call_at_end,
)
from sequoiahook.daemons.direct.request_fields import request_fields
from sequoiahook.daemons.direct.request_runner import RequestRunner
from sequoiahook.daemons.direct.share_log import CapacityRefusals
from sequoiahook.decisions.direct.core import DirectCore
from sequoiahook.decisions.direct.requests import (
    Attempt,
    Deliver,
    IncomingRequest,
    OpenRequest,
    Refuse,
)
from sequoiahook.decisions.exchange.target_result import StreamEnd
from sequoiahook.messages.requests import Fields
from sequoiahook.metrics import Metrics
from sequoiahook.names import bounded_name

__all__ = ["CallerHandler", "Dialect"]

_CAUSES = {
    StreamEnd.COMPLETE: "answered",
    StreamEnd.BROKEN: "answer broken off by the target",
    StreamEnd.TIMED_OUT: "target stalled within the answer",
    StreamEnd.GIVEN_UP: "answer not read to its end",
}

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
        runner: Runs open requests.
        dialect: Encoding of requests and answers.
        clock: The clock.
        metrics: Counters and latencies.
    """

    def __init__(
        self,
        core: DirectCore,
        runner: RequestRunner,
        dialect: Dialect,
        clock: Clock,
        metrics: Metrics,
    ):
        self.open_count = 0
        self.last_request_at = clock.now()
        self._core = core
        self._runner = runner
        self._dialect = dialect
        self._clock = clock
        self._metrics = metrics
        self._capacity_refusals = CapacityRefusals(metrics)

    async def handle(self, request: CallerRequest) -> CallerAnswer:
        """Answer a request."""
        self.open_count += 1
        self.last_request_at = self._clock.now()
        answer = None
        try:
            answer = await self._handle(self._dialect.read_request(request))
        finally:
            call_at_end(answer, self._on_ended)
        return answer

    def is_repeatable(self, request: CallerRequest) -> bool:
        """Return whether a request may run beside others of its connection."""
        incoming = self._dialect.read_request(request)
        return self._core.admission.is_repeatable(incoming)

    def _on_ended(self) -> None:
        self.open_count -= 1

    def refuse_stopping(self, request: CallerRequest) -> CallerAnswer:
        """Refuse a request that arrives after the instance stopped accepting work."""
        incoming = self._dialect.read_request(request)
        refusal = self._core.exit_limit.refusal()
        self._log_outcome(incoming, None, refusal, self._clock.now())
        return self._dialect.refusal(incoming.id, refusal)

    async def _handle(self, incoming: IncomingRequest) -> CallerAnswer:
        arrived_at = self._clock.now()
        admitted = self._core.admission.admit(incoming, arrived_at)
        if isinstance(admitted, Refuse):
            self._log_outcome(incoming, None, admitted, arrived_at)
            return self._dialect.refusal(incoming.id, admitted)
        try:
            step = await self._runner.run(admitted)
        except asyncio.CancelledError:
            self._log_caller_gone(admitted, arrived_at)
            raise
        if isinstance(step, Deliver):
            return self._delivered(incoming, admitted, step, arrived_at)
        self._log_outcome(incoming, admitted, step, arrived_at)
        return self._dialect.refusal(incoming.id, step)

    def _delivered(
        self,
        incoming: IncomingRequest,
        request: OpenRequest,
        step: Deliver,
        arrived_at: int,
    ) -> CallerAnswer:
        result = step.result
        answer = CallerAnswer(
            result.status, result.headers, result.body, stream=result.stream
        )
        if result.stream is None:
            self._log_outcome(incoming, request, step, arrived_at)
            return answer
        first_byte_ms = self._clock.now() - arrived_at

        def log_stream(end: StreamEnd) -> None:
            fields = {
                "first_byte_ms": first_byte_ms,
                "body_bytes": len(result.body) + result.stream.byte_count,
                "body_length": result.stream.length,
            }
            self._log_outcome(incoming, request, step, arrived_at, end, fields)

        result.stream.add_end_callback(log_stream)
        return answer

    def _log_outcome(
        self,
        incoming: IncomingRequest,
        request: OpenRequest | None,
        outcome: Deliver | Refuse,
        arrived_at: int,
        end: StreamEnd = StreamEnd.COMPLETE,
        stream_fields: Mapping[str, Any] = MappingProxyType({}),
    ) -> None:
        now = self._clock.now()
        if isinstance(outcome, Deliver):
            status, cause, retry_after_ms = outcome.result.status, _CAUSES[end], 0
        else:
            status, cause, retry_after_ms, _ = outcome
            if request is not None:
                self._capacity_refusals.record(request, outcome)
        self._metrics.count(f"requests {status} {cause}")
        self._metrics.record_ms("request", now - arrived_at)
        if request is not None and request.room_wait is not None:
            self._metrics.record_ms("room wait", request.room_wait.waited_ms)
        fields = self._common_fields(incoming, request, arrived_at)
        fields |= {"status": status, "cause": cause, **stream_fields}
        if retry_after_ms:
            fields["retry_after_ms"] = retry_after_ms
        log.info("request", extra=fields)

    def _log_caller_gone(self, request: OpenRequest, arrived_at: int) -> None:
        stage = request.records[-1].stage if request.records else ""
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
            "request": bounded_name(incoming.id),
            "duration_ms": now - arrived_at,
            "configuration": self._core.configuration_number,
            "configuration_age_ms": self._core.freshness.age_ms(now),
        }
        return fields if request is None else fields | request_fields(request)
