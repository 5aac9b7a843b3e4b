"""Runs one open request: waits, attempts at targets, and handovers to peers."""

import asyncio
from collections.abc import Awaitable, Callable

from sequoiahook.clock import MS_PER_S, Clock
from sequoiahook.daemons.direct.reporting import Reporter
from sequoiahook.daemons.held_answers import HeldAnswers
from sequoiahook.daemons.target_http import TargetClient, TargetRequest
from sequoiahook.decisions.direct.core import DirectCore
from sequoiahook.decisions.direct.requests import (
    Attempt,
    Deliver,
    ForwardToPeer,
    HandoverOutcome,
    Hold,
    HoldPermit,
    HoldRoom,
    HoldTrial,
    OpenRequest,
    Refuse,
)
from sequoiahook.decisions.exchange.target_result import TargetResult
from sequoiahook.messages.requests import Fields

__all__ = ["RequestRunner"]

REUSE_IDLE_MAX_MS = 3_000
"""Longest idle time of a connection that a non-idempotent request may reuse.

The target may have closed a connection that was idle for longer, which becomes visible
only after the request was written.
"""


class RequestRunner:
    """Carries out the steps that are decided for open requests.

    Attributes:
        forward: Hands a request over to a peer and returns the outcome, which it counts
            in the given answers; it may be cancelled.

    Args:
        core: The decisions.
        targets: The HTTP client for targets.
        target_fields: Returns the header fields to send to the target.
        reporter: Exchanges tokens with other instances.
        clock: The clock.
    """

    def __init__(
        self,
        core: DirectCore,
        targets: TargetClient,
        target_fields: Callable[[Attempt], Fields],
        reporter: Reporter,
        clock: Clock,
    ):
        self.forward: Callable[[ForwardToPeer, HeldAnswers], Awaitable[HandoverOutcome]]
        self._core = core
        self._targets = targets
        self._target_fields = target_fields
        self._reporter = reporter
        self._clock = clock
        self._room_futures_by_request: dict[int, asyncio.Future] = {}

    async def run(
        self, request: OpenRequest, may_write: Callable[[], bool] = lambda: True
    ) -> Deliver | Refuse:
        """Run a request and return its final step.

        Args:
            request: The request.
            may_write: Called right before the first byte to a target; False prevents
                the attempt.

        Raises:
            asyncio.CancelledError: If the task is cancelled; the last attempt is
                recorded.
        """
        held = self._targets.hold_answers()
        try:
            return await self._run(request, may_write, held)
        finally:
            held.release()

    async def _run(
        self, request: OpenRequest, may_write: Callable[[], bool], held: HeldAnswers
    ) -> Deliver | Refuse:
        attempts, clock = self._core.attempts, self._clock
        step = attempts.next_step(request, clock.now())
        self._reporter.send_token_requests()
        while not isinstance(step, Deliver | Refuse):
            if isinstance(step, Attempt):
                result = await self._exchange(step, may_write, held)
                step = attempts.on_ended(step, result, clock.now())
                self._signal_room(request.service)
            elif isinstance(step, ForwardToPeer):
                outcome = await self.forward(step, held)
                step = attempts.on_forwarded(step, outcome, clock.now())
            elif isinstance(step, HoldRoom):
                await self._wait_for_room(request, step)
                step = attempts.next_step(request, clock.now())
            else:
                await self._wait(step)
                step = attempts.next_step(request, clock.now())
            self._reporter.send_token_requests()
        return step

    async def _wait(self, step: Hold | HoldPermit | HoldTrial) -> None:
        if isinstance(step, HoldTrial):
            await asyncio.sleep(step.max_wait_ms / MS_PER_S)
        else:
            await self._reporter.wait(step)

    async def _wait_for_room(self, request: OpenRequest, step: HoldRoom) -> None:
        """Wait until the request is to be decided again; free its place then."""
        future = asyncio.get_running_loop().create_future()
        self._room_futures_by_request[id(request)] = future
        try:
            async with asyncio.timeout(step.max_wait_ms / MS_PER_S):
                await future
        except TimeoutError:
            return  # It is decided again even without a signal of capacity.
        finally:
            del self._room_futures_by_request[id(request)]
            self._core.capacity.waiting.leave(request, self._clock.now())

    def _signal_room(self, service: str) -> None:
        """Wake the first requests that wait for a service."""
        waiting = self._core.capacity.waiting
        for request in waiting.next_requests(service, self._clock.now()):
            future = self._room_futures_by_request.get(id(request))
            if future is not None and not future.done():
                future.set_result(None)

    async def _exchange(
        self, attempt: Attempt, may_write: Callable[[], bool], held: HeldAnswers
    ) -> TargetResult:
        exchange = self._targets.open(self._target_request(attempt), held)
        attempts, clock = self._core.attempts, self._clock
        try:
            result = await exchange.run(
                lambda: attempts.may_write(attempt, clock.now()) and may_write()
            )
        except asyncio.CancelledError:
            result = TargetResult(exchange.stage)
            attempts.on_abandoned(attempt, result, clock.now())
            self._signal_room(attempt.request.service)
            raise
        if result.stream is not None:
            result.stream.add_end_callback(
                lambda end: attempts.on_stream_ended(attempt, end, clock.now())
            )
        return result

    def _target_request(self, attempt: Attempt) -> TargetRequest:
        incoming = attempt.request.incoming
        return TargetRequest(
            attempt.state.record.address,
            incoming.method,
            incoming.target_path,
            self._target_fields(attempt),
            incoming.body,
            attempt.timeout_ms,
            may_reuse=True,
            id=incoming.id,
            host=incoming.host.encode("latin-1"),
            idle_max_ms=None
            if attempt.request.route.is_idempotent
            else REUSE_IDLE_MAX_MS,
            # An outcome for another instance contains the whole body.
            may_stream=attempt.request.origin is None,
        )
