"""Scheduler of a pool: admits, queues and starts requests on the pool's targets.

Every request for the targets passes through the pool's one owner, so the owner's count
of running requests is authoritative; load reports can only lower what a target gets.
"""

import random
from collections.abc import Hashable, Iterable, Mapping, Sequence

from sequoiahook.decisions.pool.effects import (
    PoolEffect,
    Refuse,
    RefuseReason,
    Start,
    TargetReport,
)
from sequoiahook.decisions.pool.estimate import DurationEstimates
from sequoiahook.decisions.pool.fair_queue import FairQueue, QueuedRequest
from sequoiahook.decisions.pool.ownership import Ownership
from sequoiahook.decisions.pool.runs import Run, Runs
from sequoiahook.decisions.pool.settings import PoolSettings
from sequoiahook.decisions.pool.target_set import TargetSet
from sequoiahook.messages.pools import PoolHandover, PoolSummary
from sequoiahook.world.target import Target

__all__ = ["Pool"]

ESTIMATE_STALE_MS = 1_000
"""After this time without a success, the next one replaces the estimates."""


class Pool:
    """Decides where and when each request of one service runs in one data centre.

    Methods that may free a slot or add a request return the effects to carry out, in
    order.

    Args:
        settings: Settings of the pool.
        service_name: Name of the service.
        rng: Source of randomness, used to break ties.
    """

    def __init__(self, settings: PoolSettings, service_name: str, rng: random.Random):
        self.service_name = service_name
        self._settings = settings
        self._queue = FairQueue()
        self._runs = Runs(settings)
        self._targets = TargetSet(settings, rng)
        self._durations = DurationEstimates(settings.service_time_ms)
        self._ownership = Ownership(self._runs)
        self._last_success_at = 0

    def configure(
        self, targets: Sequence[Target], warm_up_ms: int, now: int
    ) -> list[PoolEffect]:
        """Apply the targets of the configuration in force.

        The targets of the first call are warm; targets that a later call adds warm up.
        A removed target gets no new requests, and its running ones still count.

        Args:
            targets: All targets of the pool; those of other services are ignored.
            warm_up_ms: Time in which an added target reaches its full slots.
            now: The time in milliseconds.
        """
        own_targets = [
            target for target in targets if target.service == self.service_name
        ]
        self._targets.configure(own_targets, warm_up_ms, now)
        return self._advance(now)

    def set_shares(self, share_by_organisation: Mapping[str, float]) -> None:
        """Set the weights by which scarce slot time is divided over organisations."""
        self._queue.set_shares(dict(share_by_organisation))

    def set_leaving(self, target_names: Iterable[str], now: int) -> list[PoolEffect]:
        """Replace the platform's list of leaving targets, which may lag."""
        self._targets.set_leaving(set(target_names))
        return self._advance(now)

    def mark_target_leaving(self, target_name: str, now: int) -> list[PoolEffect]:
        """Record a target's own report that it is leaving; overrides the list."""
        self._targets.mark_leaving(target_name, now)
        return self._advance(now)

    def mark_target_serving(self, target_name: str, now: int) -> list[PoolEffect]:
        """Record a target's own report that it is serving.

        Ignored for a while after the target has reported that it is leaving.
        """
        self._targets.mark_serving(target_name, now)
        return self._advance(now)

    def report_load(
        self, target_name: str, load_percent: int, now: int
    ) -> list[PoolEffect]:
        """Record a target's load report, which can only lower what it gets."""
        self._targets.report_load(target_name, load_percent, now)
        return self._advance(now)

    def take_over(
        self, now: int, previous_runs_end_at: int, view_number: int = 0
    ) -> list[PoolEffect]:
        """Take over from an owner whose requests may still run at the targets.

        No request starts before those have ended, unless the previous owner hands over
        its running requests.

        Args:
            now: The time in milliseconds.
            previous_runs_end_at: Latest end of the previous owner's requests on this
                clock: the service's deadline plus the overrun, counted from the last
                time at which that owner can have started a request.
            view_number: The view by which this instance owns the pool.
        """
        self._ownership.take_over(previous_runs_end_at, view_number)
        return self._advance(now)

    def apply_handover(self, message: PoolHandover, now: int) -> list[PoolEffect]:
        """Apply the previous owner's list of requests that are still running."""
        self._ownership.apply_handover(message, now)
        return self._advance(now)

    def stop(self, now: int) -> list[PoolEffect]:
        """Stop permanently and refuse the queue, as the pool gets another owner."""
        effects = self._advance(now) + self._refuse_all(RefuseReason.MOVED)
        self._ownership.is_stopped = True
        return effects

    def handover(
        self, data_centre: str, view_number: int, sequence: int, now: int
    ) -> PoolHandover:
        """Return the handover for the next owner; call :meth:`stop` first.

        Args:
            data_centre: Data centre of the pool.
            view_number: The view by which the next owner owns the pool.
            sequence: Sequence number, higher than of any earlier one for the view.
            now: The time in milliseconds.
        """
        return self._ownership.handover(
            self.service_name, data_centre, view_number, sequence, now
        )

    def submit(
        self,
        request_id: Hashable,
        organisation: str,
        deadline_at: int,
        now: int,
        wait_limit_ms: int | None = None,
    ) -> list[PoolEffect]:
        """Start, queue or refuse a request.

        A request whose id is already queued or running is ignored.

        Args:
            request_id: Any hashable value, unique among queued and running requests.
            organisation: Organisation that is charged for the slot time.
            deadline_at: When its caller stops waiting.
            now: The time in milliseconds.
            wait_limit_ms: Longest wait before the request is refused as busy, so that
                the caller tries a better candidate; None if there is no other.
        """
        effects = self._advance(now)
        if request_id in self._queue or request_id in self._runs:
            return effects
        refusal = self._admission_refusal(request_id, organisation, deadline_at, now)
        if refusal is None and wait_limit_ms is not None:
            refusal = self._busy_refusal(request_id, organisation, wait_limit_ms, now)
        if refusal is not None:
            return [*effects, refusal]
        cost_ms = self._durations.mean_ms_of(organisation)
        wait_ms = self.wait_ms(organisation, now)
        start_by = self._start_by(deadline_at, wait_ms, now)
        self._queue.push(
            QueuedRequest(request_id, organisation, deadline_at, start_by, cost_ms)
        )
        return effects + self._advance(now)

    def finish(
        self, request_id: Hashable, result: TargetReport, now: int
    ) -> list[PoolEffect]:
        """Release the slot of a started request and record its result."""
        run = self._runs.release(request_id)
        if run is not None:
            self._record_result(run, result, now)
        return self._advance(now)

    def cancel(self, request_id: Hashable, now: int) -> list[PoolEffect]:
        """Cancel a request whose caller has disconnected.

        A queued request is removed. A started one keeps its slot until its end is
        reported, since the target may still be running it.
        """
        self._queue.remove(request_id)
        return self._advance(now)

    def tick(self, now: int) -> list[PoolEffect]:
        """Expire queued requests and overdue runs, and start what can start."""
        return self._advance(now)

    def next_wake(self, now: int) -> int | None:
        """Return when :meth:`tick` is next due; None if never."""
        wakes = [self._queue.next_expiry(), self._runs.next_expiry()]
        if len(self._queue):
            wakes.append(self._targets.next_change(now))
            wakes.append(self._ownership.next_change(now))
        return min((wake for wake in wakes if wake is not None), default=None)

    def queue_length(self) -> int:
        """Return the number of queued requests."""
        return len(self._queue)

    def free_slots(self, now: int) -> int:
        """Return the number of requests that could start now."""
        if self._ownership.is_blocked(now) or self._ownership.is_stopped:
            return 0
        return self._targets.free_slots(self._runs, now)

    def capacity(self, now: int) -> int:
        """Return the number of requests that the open targets may run at once."""
        return self._targets.capacity(now)

    def summary(
        self, data_centre: str, owner: str, incarnation: int, sequence: int, now: int
    ) -> PoolSummary:
        """Return the summary of the pool for other instances."""
        wait_ms = self._wait_ms(self._queue.work_ms(), now)
        return PoolSummary(
            self.service_name,
            data_centre,
            owner,
            incarnation,
            sequence,
            0,
            self.free_slots(now),
            self.capacity(now),
            -1 if wait_ms is None else wait_ms,
            self._targets.open_count(),
            int(self._durations.mean_ms),
        )

    def service_time_ms(self) -> float:
        """Return the estimated duration of a request, in milliseconds."""
        return self._durations.mean_ms

    def wait_ms(self, organisation: str, now: int) -> int | None:
        """Return the wait of a new request; None if no target is open."""
        wait_ms = self._wait_ms(self._queue.work_ahead_ms(organisation), now)
        if wait_ms is None:
            return None
        return max(wait_ms, int(self._queue.observed_wait_ms(organisation, now)))

    def _wait_ms(self, work_ahead_ms: float, now: int) -> int | None:
        opens_at = self._opens_at(now)
        if opens_at is None:
            return None
        if not len(self._queue) and self.free_slots(now):
            return 0
        capacity = max(1, self._targets.capacity(max(now, opens_at)))
        work_ms = work_ahead_ms + self._durations.mean_ms
        return opens_at - now + int(work_ms / capacity)

    def _opens_at(self, now: int) -> int | None:
        if self._ownership.is_stopped:
            return None
        opens_at = now
        if not self._targets.capacity(now):
            opens_at = self._targets.next_change(now)
        if opens_at is None:
            return None
        return max(opens_at, self._ownership.next_change(now) or now)

    def _admission_refusal(
        self, request_id: Hashable, organisation: str, deadline_at: int, now: int
    ) -> Refuse | None:
        settings = self._settings
        if self._ownership.is_stopped:
            return self._refuse(request_id, RefuseReason.MOVED, 0)
        wait_ms = self.wait_ms(organisation, now)
        if wait_ms is None:
            return self._refuse(request_id, RefuseReason.NO_TARGET, 0)
        start_by = self._start_by(deadline_at, wait_ms, now)
        late_ms = now + wait_ms - start_by
        if late_ms >= 0 and (wait_ms > 0 or now >= start_by):
            return self._refuse(request_id, RefuseReason.DEADLINE, late_ms)
        is_full = len(self._queue) >= settings.queue_length_max
        organisation_length = self._queue.length_of(organisation)
        if is_full or organisation_length >= settings.organisation_queue_length_max:
            return self._refuse(request_id, RefuseReason.QUEUE_FULL, wait_ms)
        return None

    def _busy_refusal(
        self, request_id: Hashable, organisation: str, wait_limit_ms: int, now: int
    ) -> Refuse | None:
        wait_ms = self.wait_ms(organisation, now)
        if wait_ms is None or wait_ms <= wait_limit_ms:
            return None
        return self._refuse(request_id, RefuseReason.BUSY, wait_ms)

    def _refuse(self, request_id: Hashable, reason: str, wait_ms: int) -> Refuse:
        wait_ms = max(wait_ms, self._settings.retry_after_min_ms)
        return Refuse(request_id, reason, wait_ms)

    def _start_by(self, deadline_at: int, wait_ms: int | None, now: int) -> int:
        """Return the latest time at which a request may be started.

        If a slot is free and the estimate is stale, the estimate is ignored. Otherwise
        an estimate above the deadline would refuse every request, and no result would
        ever correct it.
        """
        is_estimate_stale = now - self._last_success_at >= ESTIMATE_STALE_MS
        is_probe = is_estimate_stale and wait_ms == 0
        upper_bound_ms = 0 if is_probe else int(self._durations.upper_bound_ms)
        return deadline_at - max(self._settings.refuse_margin_ms, upper_bound_ms)

    def _record_result(self, run: Run, result: TargetReport, now: int) -> None:
        duration_ms = max(0, result.duration_ms)
        self._queue.charge(run.organisation, duration_ms - run.cost_ms)
        self._targets.record_result(run.target_name, run.address, result, now)
        if result.is_success:
            if now - self._last_success_at >= ESTIMATE_STALE_MS:
                self._durations = DurationEstimates(max(1, duration_ms))
            self._durations.add(run.organisation, duration_ms)
            self._last_success_at = now

    def _advance(self, now: int) -> list[PoolEffect]:
        self._runs.expire(now)
        effects = [
            self._refuse(
                request.request_id,
                RefuseReason.DEADLINE,
                self.wait_ms(request.organisation, now) or 0,
            )
            for request in self._queue.pop_expired(now)
        ]
        if self._opens_at(now) is None:
            return effects + self._refuse_all(RefuseReason.NO_TARGET)
        if self._ownership.is_blocked(now):
            return effects
        while len(self._queue):
            target_name = self._targets.choose(self._runs, now)
            if target_name is None:
                break
            request = self._queue.pop(now)
            effects.append(self._start_request(request, target_name))
        return effects

    def _refuse_all(self, reason: str) -> list[PoolEffect]:
        return [
            self._refuse(request.request_id, reason, 0)
            for request in self._queue.pop_all()
        ]

    def _start_request(self, request: QueuedRequest, target_name: str) -> Start:
        address = self._targets.address_of(target_name)
        self._runs.start(request, target_name, address)
        return Start(request.request_id, target_name)
