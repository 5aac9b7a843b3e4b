"""Fake targets and callers, and a plain token bucket in place of rights."""

import random
from typing import Protocol

from bench.engine import Engine, Network
from bench.measures import Measures, Request
from bench.sizes import Load, Size
from sequoiahook.world.contract import Contract
from sequoiahook.world.target import Target

__all__ = ["Callers", "FakeTarget", "PlainBucket", "Rights", "Steering"]

SIGMA = 0.6
COLD_REQUESTS = 30
COLD_FACTOR = 3
FAIL_MS = 2
LOOKUP_MS = 1_000


class Rights(Protocol):
    """Admits requests of one contract."""

    def spend(self, now: int) -> bool:
        """Return whether one more may pass."""


class PlainBucket:
    """One token bucket, as if all instances could ask it at no cost."""

    def __init__(self, contract: Contract, parts: int = 1):
        self._rate = contract.rate_per_s / parts / 1000
        self._burst = max(1.0, contract.burst / parts)
        self._level = self._burst
        self._at = 0

    def spend(self, now: int) -> bool:
        """Return whether one more may pass."""
        self._level = min(self._burst, self._level + (now - self._at) * self._rate)
        self._at = now
        if self._level < 1:
            return False
        self._level -= 1
        return True


class FakeTarget:
    """Runs requests; counts those above its slots, or queues them if told to."""

    def __init__(self, engine: Engine, target: Target, measures: Measures):
        self._engine = engine
        self._measures = measures
        self.target = target
        self.running = 0
        self.queue: list[tuple] = []
        self.cold_left = 0
        self.is_failing = False
        self.speed = 1.0
        self.has_queue = False

    def run(self, request: Request, done) -> None:
        """Run a request and call ``done(is_success, duration_ms)``."""
        if self.has_queue and self.running >= self.target.slots:
            self.queue.append((request, done))
            return
        self.running += 1
        if self.running > self.target.slots:
            self._measures.above_slots += 1
        duration_ms = request.work_ms / self.speed
        if self.cold_left:
            self.cold_left -= 1
            duration_ms *= COLD_FACTOR
        if self.is_failing:
            duration_ms = FAIL_MS
        duration_ms = max(1, round(duration_ms))
        self._engine.after(duration_ms, self._end, done, duration_ms)

    def _end(self, done, duration_ms: int) -> None:
        self.running -= 1
        if self.queue:
            self.run(*self.queue.pop(0))
        done(not self.is_failing, duration_ms)


class Steering(Protocol):
    """What is measured: takes requests at an instance and answers them."""

    def accept(self, instance: str, request: Request, answer) -> None:
        """Call ``answer(fate)`` at the instance when the request has ended."""


class Callers:
    """Sends requests of all organisations at random times."""

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
        self._meters = {name: PlainBucket(c) for name, c in contracts.items()}
        self._count = 0
        self._pending: dict[int, Request] = {}
        self.weights = dict.fromkeys(size.data_centres, 1.0)
        self.gone_at: dict[str, int] = {}
        self._is_stopped = False

    def start(self, steering: Steering, rates: dict[str, float]) -> None:
        """Begin to send, at requests a second by organisation."""
        total = sum(load.capacity_per_s for load in self._size.loads)
        for organisation, rate in rates.items():
            for load in self._size.loads:
                per_ms = rate * load.capacity_per_s / total / 1000
                self._next(steering, organisation, load, per_ms)

    def stop(self) -> None:
        """Send nothing more."""
        self._is_stopped = True

    def finish(self) -> None:
        """Count the requests that were never answered."""
        for request in self._pending.values():
            self._count_fate(request, "lost")

    def _next(self, steering, organisation: str, load: Load, per_ms: float) -> None:
        wait_ms = self._rng.expovariate(per_ms)
        self._engine.after(wait_ms, self._send, steering, organisation, load, per_ms)

    def _send(self, steering, organisation: str, load: Load, per_ms: float) -> None:
        if self._is_stopped:
            return
        self._next(steering, organisation, load, per_ms)
        self._count += 1
        now = self._engine.now
        work_ms = self._rng.lognormvariate(0, SIGMA) * load.mean_ms
        work_ms /= 2.718281828 ** (SIGMA * SIGMA / 2)
        is_inside = self._meters[organisation].spend(now)
        request = Request(self._count, organisation, load, now, is_inside, work_ms)
        names = [n for n in self.weights if now < self._gone_from(n)]
        (data_centre,) = self._rng.choices(names, [self.weights[n] for n in names])
        self._pending[request.number] = request
        if not self._network.is_up(data_centre, data_centre):
            return
        instance = self._rng.choice(self._size.instances(data_centre))
        self._engine.after(
            self._size.caller_ms, steering.accept, instance, request, self._answered
        )

    def _gone_from(self, data_centre: str) -> float:
        """Return when callers no longer try a data centre."""
        return self.gone_at.get(data_centre, float("inf")) + LOOKUP_MS

    def _answered(self, request: Request, fate: str) -> None:
        self._engine.after(self._size.caller_ms, self._arrived, request, fate)

    def _arrived(self, request: Request, fate: str) -> None:
        if self._pending.pop(request.number, None) is None:
            return
        self._count_fate(request, fate)

    def _count_fate(self, request: Request, fate: str) -> None:
        took_ms = self._engine.now - request.sent_at
        if fate in ("ok", "refused") and took_ms > request.load.deadline_ms:
            fate = "late"
        is_first = request.load == self._size.loads[0]
        self._measures.count(request, is_first, fate, took_ms)
