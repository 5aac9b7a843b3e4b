"""Simulated targets and callers, and a token bucket in place of rights."""

import random
from typing import Protocol

from bench.engine import Engine, Network
from bench.measures import Measures, Request
from bench.sizes import Load, Size
from sequoiahook.world.contract import Contract
from sequoiahook.world.target import Target

__all__ = ["Callers", "FakeTarget", "Rights", "SteeringSystem", "TokenBucket"]

WORK_SIGMA = 0.6
COLD_REQUESTS = 30
COLD_FACTOR = 3
FAILURE_MS = 2
LOOKUP_LIFETIME_MS = 1_000


class Rights(Protocol):
    """Admits the requests of one organisation at the rate of its contract."""

    def spend(self, now: int) -> bool:
        """Return whether one more may pass."""


class TokenBucket:
    """A token bucket that every instance can use without a message.

    Args:
        contract: Rate and burst of the bucket.
        instance_count: Number of instances among which the contract is divided
            evenly; the bucket holds the share of one instance.
    """

    def __init__(self, contract: Contract, instance_count: int = 1):
        self._rate = contract.rate_per_s / instance_count / 1000
        self._burst = max(1.0, contract.burst / instance_count)
        self._tokens = self._burst
        self._updated_at = 0

    def spend(self, now: int) -> bool:
        """Return whether one more may pass."""
        self._tokens = min(
            self._burst, self._tokens + (now - self._updated_at) * self._rate
        )
        self._updated_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class FakeTarget:
    """A simulated target.

    With ``has_queue`` it queues the requests above its slots; otherwise it runs them
    and counts them in ``Measures.above_slots``.
    """

    def __init__(self, engine: Engine, target: Target, measures: Measures):
        self._engine = engine
        self._measures = measures
        self.target = target
        self.running = 0
        self.queue: list[tuple] = []
        self.cold_requests_left = 0
        self.is_failing = False
        self.speed = 1.0
        self.has_queue = False

    def run(self, request: Request, on_done) -> None:
        """Run a request, then call ``on_done(is_success, duration_ms)``."""
        if self.has_queue and self.running >= self.target.slots:
            self.queue.append((request, on_done))
            return
        self.running += 1
        if self.running > self.target.slots:
            self._measures.above_slots += 1
        duration_ms = request.work_ms / self.speed
        if self.cold_requests_left:
            self.cold_requests_left -= 1
            duration_ms *= COLD_FACTOR
        if self.is_failing:
            duration_ms = FAILURE_MS
        duration_ms = max(1, round(duration_ms))
        self._engine.call_later(duration_ms, self._finish, on_done, duration_ms)

    def _finish(self, on_done, duration_ms: int) -> None:
        self.running -= 1
        if self.queue:
            self.run(*self.queue.pop(0))
        on_done(not self.is_failing, duration_ms)


class SteeringSystem(Protocol):
    """A system under test, which accepts requests at its instances."""

    def accept(self, instance_name: str, request: Request, on_answer) -> None:
        """Accept a request; call ``on_answer(request, outcome)`` when it has ended."""


class Callers:
    """Sends requests of all organisations, with exponential times between them."""

    def __init__(
        self,
        engine: Engine,
        network: Network,
        size: Size,
        rng: random.Random,
        measures: Measures,
        contracts: dict[str, Contract],
    ):
        self._engine = engine
        self._network = network
        self._size = size
        self._rng = rng
        self._measures = measures
        self._buckets_by_organisation = {
            name: TokenBucket(c) for name, c in contracts.items()
        }
        self._request_count = 0
        self._pending_by_number: dict[int, Request] = {}
        self.weights_by_data_centre = dict.fromkeys(size.data_centres, 1.0)
        self.failed_at_by_data_centre: dict[str, int] = {}
        self._is_stopped = False

    def start(
        self, steering: SteeringSystem, rates_by_organisation: dict[str, float]
    ) -> None:
        """Start sending at the rates given, in requests a second by organisation."""
        total = sum(load.capacity_per_s for load in self._size.loads)
        for organisation, rate in rates_by_organisation.items():
            for load in self._size.loads:
                rate_per_ms = rate * load.capacity_per_s / total / 1000
                self._schedule_next(steering, organisation, load, rate_per_ms)

    def stop(self) -> None:
        """Stop sending."""
        self._is_stopped = True

    def record_lost(self) -> None:
        """Record the requests that were never answered."""
        for request in self._pending_by_number.values():
            self._record_outcome(request, "lost")

    def _schedule_next(
        self, steering, organisation: str, load: Load, rate_per_ms: float
    ) -> None:
        wait_ms = self._rng.expovariate(rate_per_ms)
        self._engine.call_later(
            wait_ms, self._send, steering, organisation, load, rate_per_ms
        )

    def _send(
        self, steering, organisation: str, load: Load, rate_per_ms: float
    ) -> None:
        if self._is_stopped:
            return
        self._schedule_next(steering, organisation, load, rate_per_ms)
        self._request_count += 1
        now = self._engine.now
        work_ms = self._rng.lognormvariate(0, WORK_SIGMA) * load.mean_ms
        # Divides by the mean of the distribution, so that the mean is load.mean_ms.
        work_ms /= 2.718281828 ** (WORK_SIGMA * WORK_SIGMA / 2)
        is_within_contract = self._buckets_by_organisation[organisation].spend(now)
        request = Request(
            self._request_count, organisation, load, now, is_within_contract, work_ms
        )
        data_centres = [
            n for n in self.weights_by_data_centre if now < self._avoided_from(n)
        ]
        (data_centre,) = self._rng.choices(
            data_centres, [self.weights_by_data_centre[n] for n in data_centres]
        )
        self._pending_by_number[request.number] = request
        if not self._network.is_up(data_centre, data_centre):
            return
        instance_name = self._rng.choice(self._size.instance_names(data_centre))
        self._engine.call_later(
            self._size.caller_ms,
            steering.accept,
            instance_name,
            request,
            self._return_answer,
        )

    def _avoided_from(self, data_centre: str) -> float:
        """Return when callers stop sending to a data centre that has failed."""
        return (
            self.failed_at_by_data_centre.get(data_centre, float("inf"))
            + LOOKUP_LIFETIME_MS
        )

    def _return_answer(self, request: Request, outcome: str) -> None:
        self._engine.call_later(
            self._size.caller_ms, self._receive_answer, request, outcome
        )

    def _receive_answer(self, request: Request, outcome: str) -> None:
        if self._pending_by_number.pop(request.number, None) is None:
            return
        self._record_outcome(request, outcome)

    def _record_outcome(self, request: Request, outcome: str) -> None:
        elapsed_ms = self._engine.now - request.sent_at
        if outcome in ("ok", "refused") and elapsed_ms > request.load.deadline_ms:
            outcome = "late"
        is_first = request.load == self._size.loads[0]
        self._measures.record(request, is_first, outcome, elapsed_ms)
