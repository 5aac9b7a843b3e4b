"""Handling of requests at the instance that owns a pool of targets."""

from collections import deque
from random import Random

from sequoiahook.decisions.effects import Send
from sequoiahook.decisions.exchange.effects import AbortTarget
from sequoiahook.decisions.exchange.execution import Execution, deadline_at, sent_at
from sequoiahook.decisions.exchange.handover_registry import HandoverRegistry
from sequoiahook.decisions.exchange.key_checker import KeyChecker
from sequoiahook.decisions.exchange.outbox import Outbox
from sequoiahook.decisions.exchange.pool_protocol import Pool, PoolEffect, Start
from sequoiahook.decisions.exchange.retry import RetryBudget, is_safe_to_retry
from sequoiahook.decisions.exchange.settings import ExecutorSettings
from sequoiahook.decisions.exchange.states import ExecutorState, Reason
from sequoiahook.decisions.exchange.target_result import Stage, TargetResult
from sequoiahook.decisions.keys import KeyName, KeyTable
from sequoiahook.messages.requests import (
    NOT_RUN,
    RAN,
    UNKNOWN,
    Cancel,
    HandOver,
    MessageId,
    Outcome,
    OutcomeReceived,
    ReceiverStamp,
    StampGrant,
    StampRequest,
    fields_bytes,
)

__all__ = ["Executor", "ExecutorSettings"]


class Executor:
    """Handovers that an instance runs on the targets of its pools.

    A handover runs at most once on a target unless it is idempotent. ``not run`` is
    reported only if it did not run and never will.

    Args:
        settings: Durations and limits.
        instance_name: Name of the instance.
        incarnation: Incarnation of the instance.
        rng: Source of randomness.
    """

    def __init__(
        self,
        settings: ExecutorSettings,
        instance_name: str,
        incarnation: int,
        rng: Random,
    ):
        self._settings = settings
        self._name = instance_name
        self._incarnation = incarnation
        self._budget: RetryBudget | None = None
        self._registry: HandoverRegistry[Execution] = HandoverRegistry(
            settings.drift_margin_ms
        )
        self._pools_by_service: dict[str, Pool] = {}
        self._draining: list[Pool] = []
        self._outbox = Outbox(settings.outcome_resend_ms, rng)
        self._key_checker = KeyChecker()
        self._last_input_at: int | None = None
        self._pause_count = 0
        self._open_bytes = 0
        self._outcome_bytes = 0

    @property
    def open_count(self) -> int:
        """Number of handovers without an acknowledged outcome."""
        return self._registry.open_count

    @property
    def outcome_bytes(self) -> int:
        """Total size of the answers that are not acknowledged yet, in bytes."""
        return self._outcome_bytes

    @property
    def known_id_count(self) -> int:
        """Number of known ids, open or closed."""
        return len(self._registry)

    def has_received(self, request_id: MessageId) -> bool:
        """Return whether a handover was received before."""
        return request_id in self._registry

    def refuse(self, source: str, request_id: MessageId, reason: str, now: int) -> list:
        """Refuse a handover that was not received before, and register its id."""
        execution = Execution(source, request_id, now)
        self._registry.open(request_id, execution, now)
        return self._finish(execution, NOT_RUN, reason, now)

    def state(self, request_id: MessageId) -> ExecutorState | None:
        """Return the state of an open handover."""
        execution = self._registry.get(request_id)
        return execution.state if execution else None

    def set_pool(self, service: str, pool: Pool) -> None:
        """Set the pool of a service, replacing any earlier one."""
        self.drop_pool(service)
        self._pools_by_service[service] = pool

    def drop_pool(self, service: str) -> None:
        """Accept no more handovers for a service; queued ones still run."""
        pool = self._pools_by_service.pop(service, None)
        if pool is not None:
            self._draining.append(pool)

    def move_pool(self, service: str, now: int) -> list:
        """Drop the pool of a service and refuse its queued handovers as moved.

        Handovers that were already sent may finish.
        """
        pool = self._pools_by_service.get(service)
        self.drop_pool(service)
        effects: list = []
        for execution in self._registry.executions():
            if execution.pool is pool and execution.state is ExecutorState.QUEUED:
                effects += self._dequeue(execution, Reason.MOVED, now)
        return effects

    def received(self, source: str, body: tuple, now: int) -> list:
        """Handle a message from another instance or from this one."""
        self._detect_pause(now)
        if isinstance(body, HandOver):
            return self._on_handover(source, body, now)
        if isinstance(body, Cancel):
            return self._on_cancel(source, body, now)
        if isinstance(body, OutcomeReceived):
            self._on_acknowledgement(body.id)
        if isinstance(body, StampRequest):
            return [Send(source, StampGrant(self._stamp(now)))]
        return []

    def apply_keys(self, keys: KeyTable, now: int) -> list:
        """Apply the keys of a configuration; refuse queued requests they exclude."""
        self._detect_pause(now)
        self._key_checker.update(keys)
        return self._refuse_withdrawn(now)

    def withdraw(self, organisation: str, key_name: str, now: int) -> list:
        """Refuse all requests with a key until the next configuration."""
        self._detect_pause(now)
        self._key_checker.withdraw(KeyName(organisation, key_name))
        return self._refuse_withdrawn(now)

    def may_write(self, request_id: MessageId, now: int) -> bool:
        """Return whether the first byte of a request may be written now.

        After True the request counts as sent. After False the caller must report the
        result ``NOTHING_WRITTEN``.
        """
        self._detect_pause(now)
        execution = self._registry.get(request_id)
        if execution is None or not execution.is_at_target:
            return False
        execution.rejection = execution.rejection or self._rejection(execution, now)
        if execution.rejection:
            return False
        execution.state = ExecutorState.SENDING
        return True

    def target_result(
        self, request_id: MessageId, result: TargetResult, now: int
    ) -> list:
        """Handle the result of an exchange with a target; once for each ``Write``."""
        self._detect_pause(now)
        execution = self._registry.get(request_id)
        if execution is None or not execution.is_at_target:
            return []
        execution.state = ExecutorState.QUEUED
        pool_effects = execution.pool.finish(request_id, result, now)
        return self._handle_result(execution, result, now) + self._apply(
            pool_effects, now
        )

    def end_without_answer(
        self,
        request_id: MessageId,
        ran: str,
        reason: str,
        retry_after_ms: int,
        now: int,
    ) -> list:
        """Finish a started handover that ended without an answer of a target."""
        self._detect_pause(now)
        execution = self._registry.get(request_id)
        if execution is None or not execution.is_at_target:
            return []
        not_written = TargetResult(Stage.NOTHING_WRITTEN)
        pool_effects = execution.pool.finish(request_id, not_written, now)
        reason = execution.rejection or reason
        effects = self._finish(execution, ran, reason, now, retry_after_ms)
        return effects + self._apply(pool_effects, now)

    def sender_gone(self, sender: str, incarnation: int, now: int) -> list:
        """Cancel the unsent handovers of an incarnation that has ended."""
        self._detect_pause(now)
        effects: list = []
        for execution in self._registry.executions():
            handover_id = execution.id
            if (handover_id.sender, handover_id.incarnation) != (sender, incarnation):
                continue
            execution.is_sender_gone = True
            if execution.state is ExecutorState.FINISHED:
                self._forget(execution)
            else:
                effects += self._stop(execution, stop_running=False, now=now)
        return effects

    def tick(self, now: int) -> list:
        """Run timers of the pools, resend outcomes that are due and expire old ids."""
        self._detect_pause(now)
        effects: list = []
        for pool in self._pools():
            effects += self._apply(pool.tick(now), now)
        for execution in self._outbox.pop_due(now):
            if self._registry.get(execution.id) is execution:
                effects += self._resend(execution, now)
        self._registry.expire(now)
        return effects

    def next_wake(self, now: int) -> int | None:
        """Return when ``tick`` is next due; None if nothing is open."""
        wakes = [pool.next_wake(now) for pool in self._pools()]
        wakes += [self._registry.next_expiry_at, self._outbox.next_resend_at]
        if self._registry.open_count:
            wakes.append(now + self._settings.pause_limit_ms // 2)
        return min((wake for wake in wakes if wake is not None), default=None)

    def _detect_pause(self, now: int) -> None:
        """Count a pause if no input came for so long that leases may have lapsed."""
        if self._last_input_at is None:
            self._budget = RetryBudget(self._settings.budget, now)
        elif now - self._last_input_at > self._settings.pause_limit_ms:
            self._pause_count += 1
        self._last_input_at = now

    def _stamp(self, now: int) -> ReceiverStamp:
        return ReceiverStamp(self._incarnation, now)

    def _on_handover(self, source: str, body: HandOver, now: int) -> list:
        if body.id in self._registry:
            return self._repeat_outcome(source, body.id, now)
        reason = self._unknown_reason(body, now)
        if reason:
            return [self._outcome(source, body.id, UNKNOWN, reason, now)]
        self._budget.record_first_attempt()
        execution = Execution(source, body.id, deadline_at(body))
        execution.handover = body
        execution.pause_count = self._pause_count
        execution.right_lapses_at = min(now, sent_at(body)) + body.token_lease_ms
        execution.pool = self._pools_by_service.get(body.service)
        is_full = self._is_full(body)
        self._open_bytes += _held_bytes(body)
        self._registry.open(body.id, execution, execution.deadline_at)
        if is_full:
            return self._finish(execution, NOT_RUN, Reason.OVERLOADED, now)
        return self._submit(execution, now)

    def _is_full(self, body: HandOver) -> bool:
        if self._registry.open_count >= self._settings.requests_max:
            return True
        return self._open_bytes + _held_bytes(body) > self._settings.body_bytes_max

    def _unknown_reason(self, body: HandOver | Cancel, now: int) -> str:
        """Return why an unknown id may have run; empty if it has not."""
        if body.stamp.incarnation != self._incarnation:
            return Reason.OTHER_INCARNATION
        if now >= deadline_at(body) or now < body.stamp.clock_ms:
            return Reason.TOO_OLD
        return ""

    def _rejection(self, execution: Execution, now: int) -> str:
        """Return the reason why a request must not be sent now; empty if it may be."""
        if self._key_checker.is_withdrawn(execution.handover):
            return Reason.KEY_WITHDRAWN
        if execution.pause_count != self._pause_count:
            return Reason.PAUSED
        if now >= execution.deadline_at:
            return Reason.DEADLINE
        if now >= execution.right_lapses_at:
            return Reason.RIGHT_LAPSED
        return ""

    def _submit(self, execution: Execution, now: int) -> list:
        reason = self._rejection(execution, now)
        if execution.pool is None:
            reason = reason or Reason.NO_POOL
        if reason:
            return self._finish(execution, NOT_RUN, reason, now)
        execution.state = ExecutorState.QUEUED
        execution.attempt += 1
        body = execution.handover
        limits = {}
        if execution.attempt == 1 and body.wait_limit_ms >= 0:
            limits = {"wait_limit_ms": body.wait_limit_ms}
        effects = execution.pool.submit(
            execution.id, body.organisation, execution.deadline_at, now, **limits
        )
        return self._apply(effects, now)

    def _apply(self, pool_effects: list[PoolEffect], now: int) -> list:
        """Carry out effects of a pool, and those that result from them."""
        effects: list = []
        pending = deque(pool_effects)
        while pending:
            pool_effect = pending.popleft()
            execution = self._registry.get(pool_effect.request_id)
            if isinstance(pool_effect, Start):
                started, further = self._start(execution, pool_effect.target_name, now)
                effects += started
                pending.extend(further)
                continue
            reason = pool_effect.reason
            retry_after_ms = pool_effect.retry_after_ms
            effects += self._finish(execution, NOT_RUN, reason, now, retry_after_ms)
        return effects

    def _start(
        self, execution: Execution, target_name: str, now: int
    ) -> tuple[list, list]:
        reason = self._rejection(execution, now)
        if reason:
            not_written = TargetResult(Stage.NOTHING_WRITTEN)
            pool_effects = execution.pool.finish(execution.id, not_written, now)
            return self._finish(execution, NOT_RUN, reason, now), pool_effects
        execution.state = ExecutorState.CONNECTING
        execution.rejection = ""
        return [execution.write(target_name, now)], []

    def _handle_result(
        self, execution: Execution, result: TargetResult, now: int
    ) -> list:
        """Answer, retry or refuse, depending on the stage that the exchange reached."""
        ran = result.stage.ran
        if ran == RAN:
            return self._finish_answered(execution, result, now)
        is_safe = is_safe_to_retry(result.stage)
        if is_safe and not execution.rejection and self._may_retry(execution, now):
            return self._submit(execution, now)
        reason = execution.rejection or result.stage.value
        return self._finish(execution, ran, reason, now, result.retry_after_ms)

    def _may_retry(self, execution: Execution, now: int) -> bool:
        if execution.attempt >= self._settings.attempts_max:
            return False
        return self._budget.try_spend(now)

    def _on_cancel(self, source: str, body: Cancel, now: int) -> list:
        execution = self._registry.get(body.id)
        if execution is not None and execution.state is not ExecutorState.FINISHED:
            return self._stop(execution, body.stop_running, now)
        if body.id in self._registry:
            return self._repeat_outcome(source, body.id, now)
        reason = self._unknown_reason(body, now)
        if reason:
            return [self._outcome(source, body.id, UNKNOWN, reason, now)]
        execution = Execution(source, body.id, deadline_at(body))
        self._registry.open(body.id, execution, execution.deadline_at)
        return self._finish(execution, NOT_RUN, Reason.CANCELLED, now)

    def _stop(self, execution: Execution, stop_running: bool, now: int) -> list:
        if execution.state is ExecutorState.QUEUED:
            return self._dequeue(execution, Reason.CANCELLED, now)
        if execution.state is ExecutorState.CONNECTING:
            execution.rejection = execution.rejection or Reason.CANCELLED
            return [AbortTarget(execution.id)]
        return [AbortTarget(execution.id)] if stop_running else []

    def _dequeue(self, execution: Execution, reason: str, now: int) -> list:
        pool_effects = execution.pool.cancel(execution.id, now)
        return self._finish(execution, NOT_RUN, reason, now) + self._apply(
            pool_effects, now
        )

    def _refuse_withdrawn(self, now: int) -> list:
        effects: list = []
        for execution in self._registry.executions():
            is_queued = execution.state is ExecutorState.QUEUED
            if is_queued and self._key_checker.is_withdrawn(execution.handover):
                effects += self._dequeue(execution, Reason.KEY_WITHDRAWN, now)
        return effects

    def _finish_answered(
        self, execution: Execution, result: TargetResult, now: int
    ) -> list:
        outcome = self._outcome(execution.source, execution.id, RAN, "", now).body
        outcome = outcome._replace(
            status=result.status, headers=result.headers, body=result.body
        )
        return self._close(execution, outcome, now)

    def _finish(
        self,
        execution: Execution,
        ran: str,
        reason: str,
        now: int,
        retry_after_ms: int = 0,
    ) -> list:
        outcome = self._outcome(execution.source, execution.id, ran, reason, now).body
        outcome = outcome._replace(retry_after_ms=retry_after_ms)
        return self._close(execution, outcome, now)

    def _close(self, execution: Execution, outcome: Outcome, now: int) -> list:
        if execution.handover is not None:
            self._open_bytes -= _held_bytes(execution.handover)
        execution.finish(outcome)
        self._outcome_bytes += _held_bytes(outcome)
        if execution.is_sender_gone:
            self._forget(execution)
            return []
        self._outbox.add(execution, now)
        return [Send(execution.source, outcome)]

    def _resend(self, execution: Execution, now: int) -> list:
        if now >= execution.deadline_at:
            self._forget(execution)
            return []
        self._outbox.add(execution, now)
        stamp = self._stamp(now)
        return [Send(execution.source, execution.outcome._replace(stamp=stamp))]

    def _repeat_outcome(self, source: str, request_id: MessageId, now: int) -> list:
        execution = self._registry.get(request_id)
        if execution is None:
            ran = NOT_RUN if self._registry.ran(request_id) == NOT_RUN else UNKNOWN
            return [self._outcome(source, request_id, ran, Reason.TIMEOUT, now)]
        if execution.state is not ExecutorState.FINISHED:
            return []
        return [Send(source, execution.outcome._replace(stamp=self._stamp(now)))]

    def _on_acknowledgement(self, request_id: MessageId) -> None:
        execution = self._registry.get(request_id)
        if execution is not None and execution.state is ExecutorState.FINISHED:
            self._forget(execution)

    def _forget(self, execution: Execution) -> None:
        """Close the id, keeping only whether it ran."""
        self._outcome_bytes -= _held_bytes(execution.outcome)
        self._registry.close(execution.id, execution.ran)
        execution.outcome = None

    def _outcome(
        self, source: str, request_id: MessageId, ran: str, reason: str, now: int
    ) -> Send:
        stamp = self._stamp(now)
        body = Outcome(request_id, ran, 0, (), b"", reason, 0, stamp)
        return Send(source, body)

    def _pools(self) -> list[Pool]:
        if self._draining:
            used = {id(execution.pool) for execution in self._registry.executions()}
            self._draining = [pool for pool in self._draining if id(pool) in used]
        return [*self._pools_by_service.values(), *self._draining]


def _held_bytes(message: HandOver | Outcome) -> int:
    """Return the memory that the fields and the body of a message take, in bytes."""
    return fields_bytes(message.headers) + len(message.body)
