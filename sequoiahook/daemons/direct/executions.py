"""Requests that other instances hand over, from their arrival to their outcome."""

import asyncio
import random
from collections import deque
from collections.abc import Callable

import logbook

from sequoiahook.clock import Clock
from sequoiahook.daemons.direct.request_fields import request_fields
from sequoiahook.daemons.direct.request_runner import RequestRunner
from sequoiahook.daemons.held_answers import AnswerMemory
from sequoiahook.decisions.direct.core import DirectCore
from sequoiahook.decisions.direct.handed_over import (
    EXECUTOR_SETTINGS,
    AdmissionState,
    DirectPool,
    open_request,
)
from sequoiahook.decisions.direct.requests import Deliver, OpenRequest, Refuse
from sequoiahook.decisions.effects import Send
from sequoiahook.decisions.exchange.effects import AbortTarget, Write
from sequoiahook.decisions.exchange.executor import Executor
from sequoiahook.decisions.exchange.states import Reason
from sequoiahook.decisions.exchange.target_result import Stage
from sequoiahook.messages.direct_requests import DirectHandOver
from sequoiahook.messages.requests import NOT_RUN, UNKNOWN, MessageId
from sequoiahook.names import bounded_name

__all__ = ["Executions"]

LAG_SAMPLES = 4
"""Number of delays of which the smallest counts: a single pause is no overload."""

log = logbook.Logger("request")


class Executions:
    """Runs requests of other instances.

    Args:
        core: The decisions.
        runner: Runs open requests.
        clock: The clock.
        send: Sends a message to a peer.
        bytes_max: Largest total of the bodies of open requests, and of the answers that
            were not acknowledged yet, in bytes.
        answers: Counts the answers that the process holds.
    """

    def __init__(
        self,
        core: DirectCore,
        runner: RequestRunner,
        clock: Clock,
        send: Callable[[str, tuple], None],
        bytes_max: int,
        answers: AnswerMemory,
    ):
        me = core.me
        self._answers = answers
        self._lags_ms: deque[int] = deque(maxlen=LAG_SAMPLES)
        self._core = core
        self._runner = runner
        self._clock = clock
        self._send = send
        rng = random.Random()
        settings = EXECUTOR_SETTINGS._replace(
            body_bytes_max=min(EXECUTOR_SETTINGS.body_bytes_max, bytes_max)
        )
        self._executor = Executor(settings, me.name, me.incarnation, rng)
        self._pool = DirectPool(bytes_max)
        self._services: set[str] = set()
        self._tasks_by_id: dict[MessageId, asyncio.Task] = {}
        self._incarnation_by_peer: dict[str, int] = {}

    @property
    def open_count(self) -> int:
        """Number of requests without an acknowledged outcome."""
        return self._executor.open_count

    def on_peer_up(self, name: str, incarnation: int, now: int) -> None:
        """Cancel the requests of an earlier incarnation of a peer."""
        earlier = self._incarnation_by_peer.get(name, incarnation)
        self._incarnation_by_peer[name] = incarnation
        if earlier != incarnation:
            self._apply(self._executor.sender_gone(name, earlier, now))

    def receive(self, peer: str, body: tuple, now: int) -> None:
        """Process a message of a peer."""
        if not isinstance(body, DirectHandOver):
            self._apply(self._executor.received(peer, body, now))
            return
        handover = body.handover
        if handover.service not in self._services:
            self._services.add(handover.service)
            self._executor.set_pool(handover.service, self._pool)
        self._pool.state = AdmissionState(
            self._core.connectivity.is_available(now) and self._core.is_serving(now),
            self._lag_ms(),
            self._executor.outcome_bytes,
            self._core.exit_limit,
        )
        self._apply(self._executor.received(peer, handover, now), body)

    def tick(self, lag_ms: int, now: int) -> None:
        """Handle what is due.

        Args:
            lag_ms: Delay of the event loop.
            now: The time in milliseconds.
        """
        self._lags_ms.append(lag_ms)
        self._apply(self._executor.tick(now))

    def close(self) -> None:
        """Cancel all tasks."""
        for task in self._tasks_by_id.values():
            task.cancel()

    def _lag_ms(self) -> int:
        return min(self._lags_ms, default=0)

    def _apply(self, effects: list, body: DirectHandOver | None = None) -> None:
        """Carry out effects.

        Args:
            effects: The effects.
            body: The handover that they result from; only then may one be a `Write`,
                since each handover starts at once, and once.
        """
        for effect in effects:
            if isinstance(effect, Send):
                self._send(effect.destination, effect.body)
            elif isinstance(effect, Write):
                task = asyncio.create_task(self._run(effect, body))
                self._tasks_by_id[effect.request_id] = task
            elif isinstance(effect, AbortTarget):
                task = self._tasks_by_id.get(effect.request_id)
                if task is not None:
                    task.cancel()
        self._answers.outcome_bytes = self._executor.outcome_bytes

    async def _run(self, write: Write, body: DirectHandOver) -> None:
        request_id = write.request_id
        now = self._clock.now()
        request = open_request(body, request_id.sender, now + write.remaining_ms, now)
        executor, clock = self._executor, self._clock
        try:
            step = await self._runner.run(
                request, lambda: executor.may_write(request_id, clock.now())
            )
        except asyncio.CancelledError:
            step = None
        finally:
            del self._tasks_by_id[request_id]
        self._apply(self._end(request_id, request, step))
        self._log(request, step)

    def _end(
        self, request_id: MessageId, request: OpenRequest, step: Deliver | Refuse | None
    ) -> list:
        now = self._clock.now()
        if isinstance(step, Deliver):
            return self._executor.target_result(request_id, step.result, now)
        ran = UNKNOWN if request.may_have_run else NOT_RUN
        if step is not None:
            cause, retry_after_ms = step.cause, step.retry_after_ms
            return self._executor.end_without_answer(
                request_id, ran, cause, retry_after_ms, now
            )
        if request.records and Stage(request.records[-1].stage).ran != NOT_RUN:
            ran = UNKNOWN
        return self._executor.end_without_answer(
            request_id, ran, Reason.CANCELLED, 0, now
        )

    def _log(self, request: OpenRequest, step: Deliver | Refuse | None) -> None:
        status, cause = 0, Reason.CANCELLED
        if isinstance(step, Deliver):
            status, cause = step.result.status, "answered"
        elif step is not None:
            cause = step.cause
        fields = {
            "request": bounded_name(request.incoming.id),
            "handed_over_by": request.origin.instance,
            "status": status,
            "cause": cause,
            "duration_ms": self._clock.now() - request.arrived_at,
            "configuration": self._core.configuration_number,
        }
        log.info("request of a peer", extra=fields | request_fields(request))
