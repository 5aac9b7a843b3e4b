"""What happens to a request at the instance that owns a pool of targets."""

from collections import deque
from random import Random

from sequoiahook.decisions.effects import Send
from sequoiahook.decisions.exchange.effects import AbortTarget
from sequoiahook.decisions.exchange.key_gate import KeyGate
from sequoiahook.decisions.exchange.ledger import Ledger
from sequoiahook.decisions.exchange.outbox import Outbox
from sequoiahook.decisions.exchange.pool_protocol import Pool, PoolEffect, Start
from sequoiahook.decisions.exchange.retry import RetryBudget, is_safe_to_retry
from sequoiahook.decisions.exchange.settings import ExecutorSettings
from sequoiahook.decisions.exchange.states import ExecutorState, Reason
from sequoiahook.decisions.exchange.target_result import Stage, TargetResult
from sequoiahook.decisions.exchange.work import Work, deadline_at, sent_at
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
)

__all__ = ["Executor", "ExecutorSettings"]


class Executor:
    """All hand-overs that an instance runs on the targets of its pools.

    A hand-over runs at most once on a target unless it is idempotent; ``not run`` is
    said only if it did not and never will.

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
        self._ledger: Ledger[Work] = Ledger(settings.drift_margin_ms)
        self._pools_by_service: dict[str, Pool] = {}
        self._retiring: list[Pool] = []
        self._outbox = Outbox(settings.outcome_resend_ms, rng)
        self._key_gate = KeyGate()
        self._seen_at: int | None = None
        self._generation = 0
        self._open_bytes = 0

    @property
    def open_count(self) -> int:
        """Number of hand-overs without an acknowledged outcome."""
        return self._ledger.open_count

    @property
    def noted_count(self) -> int:
        """Number of ids that are remembered, open or not."""
        return len(self._ledger)

    def knows(self, request_id: MessageId) -> bool:
        """Return whether a hand-over was received before."""
        return request_id in self._ledger

    def refuse(self, source: str, request_id: MessageId, reason: str, now: int) -> list:
        """Refuse a hand-over that was never taken in, and never will be."""
        work = Work(source, request_id, now)
        self._ledger.open(request_id, work, now)
        return self._finish(work, NOT_RUN, reason, now)

    def state(self, request_id: MessageId) -> ExecutorState | None:
        """Return the state of an open hand-over."""
        work = self._ledger.get(request_id)
        return work.state if work else None

    def set_pool(self, service: str, pool: Pool) -> None:
        """Own the pool of a service from now on."""
        self.drop_pool(service)
        self._pools_by_service[service] = pool

    def drop_pool(self, service: str) -> None:
        """Accept no more hand-overs for a service; those that are queued go on."""
        pool = self._pools_by_service.pop(service, None)
        if pool is not None:
            self._retiring.append(pool)

    def move_pool(self, service: str, now: int) -> list:
        """Give up the pool of a service: what is queued in it is refused as moved.

        What is sent already may finish.
        """
        pool = self._pools_by_service.get(service)
        self.drop_pool(service)
        effects: list = []
        for work in self._ledger.works():
            if work.pool is pool and work.state is ExecutorState.QUEUED:
                effects += self._unqueue(work, Reason.MOVED, now)
        return effects

    def received(self, source: str, body: tuple, now: int) -> list:
        """Take a message from another instance, or from this one."""
        self._observe(now)
        if isinstance(body, HandOver):
            return self._hand_over(source, body, now)
        if isinstance(body, Cancel):
            return self._cancel(source, body, now)
        if isinstance(body, OutcomeReceived):
            self._acknowledged(body.id)
        if isinstance(body, StampRequest):
            return [Send(source, StampGrant(self._stamp(now)))]
        return []

    def configured(self, keys: KeyTable, now: int) -> list:
        """Take the keys of a new configuration; refuses what they no longer allow."""
        self._observe(now)
        self._key_gate.configured(keys)
        return self._refuse_withdrawn(now)

    def withdraw(self, organisation: str, key_name: str, now: int) -> list:
        """Refuse everything queued with a key, until the next configuration."""
        self._observe(now)
        self._key_gate.withdraw(KeyName(organisation, key_name))
        return self._refuse_withdrawn(now)

    def may_write(self, request_id: MessageId, now: int) -> bool:
        """Decide right before the first byte whether a request is sent.

        After True the request counts as sent. After False the result must be reported
        as nothing written.
        """
        self._observe(now)
        work = self._ledger.get(request_id)
        if work is None or work.state is not ExecutorState.CONNECTING:
            return False
        work.objection = work.objection or self._objection(work, now)
        if work.objection:
            return False
        work.state = ExecutorState.SENDING
        return True

    def target_result(
        self, request_id: MessageId, result: TargetResult, now: int
    ) -> list:
        """Take the end of an exchange with a target; once for each ``Write``."""
        self._observe(now)
        work = self._ledger.get(request_id)
        if work is None or not work.is_at_target:
            return []
        work.state = ExecutorState.QUEUED
        freed = work.pool.finish(request_id, result, now)
        return self._judge(work, result, now) + self._apply(freed, now)

    def sender_gone(self, sender: str, incarnation: int, now: int) -> list:
        """Drop what an instance that has ended handed over and was not sent yet."""
        self._observe(now)
        effects: list = []
        for work in self._ledger.works():
            work_id = work.id
            if (work_id.sender, work_id.incarnation) != (sender, incarnation):
                continue
            work.is_sender_gone = True
            if work.state is ExecutorState.FINISHED:
                self._forget(work)
            else:
                effects += self._stop(work, stop_running=False, now=now)
        return effects

    def tick(self, now: int) -> list:
        """Do what is due: queues, repeats of outcomes, forgetting."""
        self._observe(now)
        effects: list = []
        for pool in self._pools():
            effects += self._apply(pool.tick(now), now)
        for work in self._outbox.take_due(now):
            if self._ledger.get(work.id) is work:
                effects += self._resend(work, now)
        self._ledger.forget_old(now)
        return effects

    def next_wake(self, now: int) -> int | None:
        """Return when ``tick`` is next due; None if nothing is open."""
        wakes = [pool.next_wake(now) for pool in self._pools()]
        wakes += [self._ledger.next_forget_at, self._outbox.next_at]
        if self._ledger.open_count:
            wakes.append(now + self._settings.pause_limit_ms // 2)
        return min((wake for wake in wakes if wake is not None), default=None)

    def _observe(self, now: int) -> None:
        """Look for a gap in the own loop, in which leases may have lapsed."""
        if self._seen_at is None:
            self._budget = RetryBudget(self._settings.budget, now)
        elif now - self._seen_at > self._settings.pause_limit_ms:
            self._generation += 1
        self._seen_at = now

    def _stamp(self, now: int) -> ReceiverStamp:
        return ReceiverStamp(self._incarnation, now)

    def _hand_over(self, source: str, body: HandOver, now: int) -> list:
        if body.id in self._ledger:
            return self._repeat_outcome(source, body.id, now)
        reason = self._why_unknown(body, now)
        if reason:
            return [self._outcome(source, body.id, UNKNOWN, reason, now)]
        self._budget.first_attempt()
        work = Work(source, body.id, deadline_at(body))
        work.hand_over = body
        work.generation = self._generation
        work.right_lapses_at = min(now, sent_at(body)) + body.token_lease_ms
        work.pool = self._pools_by_service.get(body.service)
        is_full = self._is_full(body)
        self._open_bytes += len(body.body)
        self._ledger.open(body.id, work, work.deadline_at)
        if is_full:
            return self._finish(work, NOT_RUN, Reason.OVERLOADED, now)
        return self._submit(work, now)

    def _is_full(self, body: HandOver) -> bool:
        if self._ledger.open_count >= self._settings.requests_max:
            return True
        return self._open_bytes + len(body.body) > self._settings.body_bytes_max

    def _why_unknown(self, body: HandOver | Cancel, now: int) -> str:
        """Return why an id that is not noted may have run; empty if it has not."""
        if body.stamp.incarnation != self._incarnation:
            return Reason.OTHER_INCARNATION
        if now >= deadline_at(body) or now < body.stamp.clock_ms:
            return Reason.TOO_OLD
        return ""

    def _objection(self, work: Work, now: int) -> str:
        """Return why a request must not be sent now; empty if it may."""
        if self._key_gate.is_withdrawn(work.hand_over):
            return Reason.KEY_WITHDRAWN
        if work.generation != self._generation:
            return Reason.PAUSED
        if now >= work.deadline_at:
            return Reason.DEADLINE
        if now >= work.right_lapses_at:
            return Reason.RIGHT_LAPSED
        return ""

    def _submit(self, work: Work, now: int) -> list:
        reason = self._objection(work, now)
        if work.pool is None:
            reason = reason or Reason.NO_POOL
        if reason:
            return self._finish(work, NOT_RUN, reason, now)
        work.state = ExecutorState.QUEUED
        work.attempt += 1
        body = work.hand_over
        limits = {}
        if work.attempt == 1 and body.wait_limit_ms >= 0:
            limits = {"wait_limit_ms": body.wait_limit_ms}
        effects = work.pool.submit(
            work.id, body.organisation, work.deadline_at, now, **limits
        )
        return self._apply(effects, now)

    def _apply(self, pool_effects: list[PoolEffect], now: int) -> list:
        """Carry out what a pool decided, and what follows from that."""
        effects: list = []
        pending = deque(pool_effects)
        while pending:
            pool_effect = pending.popleft()
            work = self._ledger.get(pool_effect.request_id)
            if isinstance(pool_effect, Start):
                started, freed = self._start(work, pool_effect.target_name, now)
                effects += started
                pending.extend(freed)
                continue
            reason = pool_effect.reason
            retry_after_ms = pool_effect.retry_after_ms
            effects += self._finish(work, NOT_RUN, reason, now, retry_after_ms)
        return effects

    def _start(self, work: Work, target_name: str, now: int) -> tuple[list, list]:
        reason = self._objection(work, now)
        if reason:
            nothing = TargetResult(Stage.NOTHING_WRITTEN)
            freed = work.pool.finish(work.id, nothing, now)
            return self._finish(work, NOT_RUN, reason, now), freed
        work.state = ExecutorState.CONNECTING
        work.objection = ""
        return [work.write(target_name, now)], []

    def _judge(self, work: Work, result: TargetResult, now: int) -> list:
        """Answer, try another target, or give up, by what a stage proves."""
        ran = result.stage.ran
        if ran == RAN:
            return self._finish_answered(work, result, now)
        is_safe = is_safe_to_retry(result.stage)
        if is_safe and not work.objection and self._may_retry(work, now):
            return self._submit(work, now)
        reason = work.objection or result.stage.value
        return self._finish(work, ran, reason, now, result.retry_after_ms)

    def _may_retry(self, work: Work, now: int) -> bool:
        if work.attempt >= self._settings.attempts_max:
            return False
        return self._budget.take(now)

    def _cancel(self, source: str, body: Cancel, now: int) -> list:
        work = self._ledger.get(body.id)
        if work is not None and work.state is not ExecutorState.FINISHED:
            return self._stop(work, body.stop_running, now)
        if body.id in self._ledger:
            return self._repeat_outcome(source, body.id, now)
        reason = self._why_unknown(body, now)
        if reason:
            return [self._outcome(source, body.id, UNKNOWN, reason, now)]
        work = Work(source, body.id, deadline_at(body))
        self._ledger.open(body.id, work, work.deadline_at)
        return self._finish(work, NOT_RUN, Reason.CANCELLED, now)

    def _stop(self, work: Work, stop_running: bool, now: int) -> list:
        if work.state is ExecutorState.QUEUED:
            return self._unqueue(work, Reason.CANCELLED, now)
        if work.state is ExecutorState.CONNECTING:
            work.objection = work.objection or Reason.CANCELLED
            return [AbortTarget(work.id)]
        return [AbortTarget(work.id)] if stop_running else []

    def _unqueue(self, work: Work, reason: str, now: int) -> list:
        freed = work.pool.cancel(work.id, now)
        return self._finish(work, NOT_RUN, reason, now) + self._apply(freed, now)

    def _refuse_withdrawn(self, now: int) -> list:
        effects: list = []
        for work in self._ledger.works():
            is_queued = work.state is ExecutorState.QUEUED
            if is_queued and self._key_gate.is_withdrawn(work.hand_over):
                effects += self._unqueue(work, Reason.KEY_WITHDRAWN, now)
        return effects

    def _finish_answered(self, work: Work, result: TargetResult, now: int) -> list:
        outcome = self._outcome(work.source, work.id, RAN, "", now).body
        outcome = outcome._replace(
            status=result.status, headers=result.headers, body=result.body
        )
        return self._close(work, outcome, now)

    def _finish(
        self, work: Work, ran: str, reason: str, now: int, retry_after_ms: int = 0
    ) -> list:
        outcome = self._outcome(work.source, work.id, ran, reason, now).body
        outcome = outcome._replace(retry_after_ms=retry_after_ms)
        return self._close(work, outcome, now)

    def _close(self, work: Work, outcome: Outcome, now: int) -> list:
        if work.hand_over is not None:
            self._open_bytes -= len(work.hand_over.body)
        work.finish(outcome)
        if work.is_sender_gone:
            self._forget(work)
            return []
        self._outbox.add(work, now)
        return [Send(work.source, outcome)]

    def _resend(self, work: Work, now: int) -> list:
        if now >= work.deadline_at:
            self._forget(work)
            return []
        self._outbox.add(work, now)
        stamp = self._stamp(now)
        return [Send(work.source, work.outcome._replace(stamp=stamp))]

    def _repeat_outcome(self, source: str, request_id: MessageId, now: int) -> list:
        work = self._ledger.get(request_id)
        if work is None:
            ran = NOT_RUN if self._ledger.ran(request_id) == NOT_RUN else UNKNOWN
            return [self._outcome(source, request_id, ran, Reason.TIMEOUT, now)]
        if work.state is not ExecutorState.FINISHED:
            return []
        return [Send(source, work.outcome._replace(stamp=self._stamp(now)))]

    def _acknowledged(self, request_id: MessageId) -> None:
        work = self._ledger.get(request_id)
        if work is not None and work.state is ExecutorState.FINISHED:
            self._forget(work)

    def _forget(self, work: Work) -> None:
        """Keep only whether it ran."""
        self._ledger.close(work.id, work.ran)
        work.outcome = None

    def _outcome(
        self, source: str, request_id: MessageId, ran: str, reason: str, now: int
    ) -> Send:
        stamp = self._stamp(now)
        body = Outcome(request_id, ran, 0, (), b"", reason, 0, stamp)
        return Send(source, body)

    def _pools(self) -> list[Pool]:
        if self._retiring:
            used = {id(work.pool) for work in self._ledger.works()}
            self._retiring = [pool for pool in self._retiring if id(pool) in used]
        return [*self._pools_by_service.values(), *self._retiring]
