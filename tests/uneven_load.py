"""Simulation of uneven demand: hot objects, slow machines, two data centres a region.

Counts what callers get. Targets report their load as `Server-Load` does, with their
pace or without.
"""

import hashlib
import itertools
import math
from collections import Counter
from typing import NamedTuple

from sequoiahook.decisions.direct.requests import Attempt, Refuse
from sequoiahook.decisions.exchange.target_result import Stage
from sequoiahook.world.target import LoadReport
from tests.direct_parts import a_request
from tests.region_simulation import (
    CACHED_WORK_RATIO,
    OK,
    OWN_REGION,
    QUEUE_SIZE,
    ROUND_TRIP_MS,
    SHED,
    RegionSimulation,
    Run,
    SimulatedTarget,
)

SLOW_RATIO = 0.15
SLOW_FACTOR = 2.5
SLOW_MS = 600
EXPENSIVE_RATIO = 0.03
EXPENSIVE_FACTOR = 7
ZIPF_EXPONENT = 0.9
LATER_RATIO = 1 / 3
"""Callers follow a retry-after time up to this part of the time that they have."""


class Arrival(NamedTuple):
    """A request of a caller.

    Attributes:
        load: Its route.
        key: Key of its object.
        at: When the caller first sent it.
    """

    load: object
    key: str
    at: int


class PacedTarget(SimulatedTarget):
    """A target whose machine is slow at times, and that reports its load."""

    def __init__(self, record):
        super().__init__(record)
        self._ends = []
        self.busy_ms = 0.0

    def pace(self, now):
        """Return how long work takes at a time, in percent."""
        text = f"{self.record.id} {int(now) // SLOW_MS}".encode()
        digest = hashlib.blake2b(text, digest_size=4).digest()
        is_slow = int.from_bytes(digest, "big") < SLOW_RATIO * (1 << 32)
        return int(100 * SLOW_FACTOR) if is_slow else 100

    def run(self, key, work_ms, now):
        """Return when the work is done; None if it is shed."""
        if self.open_count(now) >= len(self._free_at) + QUEUE_SIZE:
            return None
        begins_at = max(now, min(self._free_at))
        paced_ms = work_ms * self.pace(begins_at) / 100
        is_cached = key in self._cache
        done = super().run(key, paced_ms, now)
        if done is not None:
            self._ends.append(done)
            self.busy_ms += paced_ms * (CACHED_WORK_RATIO if is_cached else 1)
        return done

    def open_count(self, now):
        """Return the number of running and waiting requests."""
        self._ends = [end for end in self._ends if end > now]
        return len(self._ends)


class UnevenLoad(RegionSimulation):
    """The instances of one region with callers whose demand is uneven.

    Args:
        targets_by_region: Number of targets of each service, by region.
        loads: The routes and their requests.
        seed: Seed of arrivals, objects and work.
        is_paced: Whether targets state their pace.
        goal_ms: Latency goal.
        deadline_ms: Time that callers wait.
        answer_bytes: Size of the answers.
    """

    def __init__(
        self,
        targets_by_region,
        loads,
        seed,
        *,
        is_paced,
        goal_ms,
        deadline_ms,
        answer_bytes=0,
        **sizes,
    ):
        self.answer = OK._replace(body=bytes(answer_bytes))
        self.is_paced = is_paced
        self.goal_ms = goal_ms
        self.deadline_ms = deadline_ms
        self.counts = Counter()
        self.causes = Counter()
        self._weights_by_count = {}
        super().__init__(targets_by_region, loads, seed, **sizes)

    def ratio(self, name):
        """Return the ratio of the offered requests with an outcome."""
        return self.counts[name] / max(1, self.counts["offered"])

    def busy_ratio(self, region, duration_ms):
        """Return the ratio of the slots of a region that were busy."""
        targets = [t for t in self.targets.values() if t.record.region == region]
        slots = sum(target.record.slots for target in targets)
        return sum(target.busy_ms for target in targets) / max(1, slots * duration_ms)

    def _configuration(self):
        configuration = super()._configuration()
        routes = {
            name: route._replace(
                latency_goal_ms=self.goal_ms, timeout_ms=self.deadline_ms
            )
            for name, route in configuration.routes_by_name.items()
        }
        return configuration._replace(routes_by_name=routes)

    def _data_centre(self, region, index):
        return f"{region}-{'ab'[index % 2]}"

    def _add(self, name, service, region, slots):
        super()._add(name, service, region, slots)
        record = self.targets[name].record
        half = "ab"[int(name.rsplit("-", 1)[1]) % 2]
        record = record._replace(data_centre=f"{region}-{half}")
        self.targets[name] = PacedTarget(record)

    def _arrive(self, arrival):
        load = arrival.load
        weights = self._weights_by_count.get(load.object_count)
        if weights is None:
            ranks = range(1, load.object_count + 1)
            weights = list(itertools.accumulate(r**-ZIPF_EXPONENT for r in ranks))
            self._weights_by_count[load.object_count] = weights
        key = self._rng.choices(range(load.object_count), cum_weights=weights)[0]
        self.counts["offered"] += 1
        self._try(Arrival(load, str(key), self.now))

    def _try(self, arrival):
        core = self.cores[self._rng.choice(list(self.cores))]
        left_ms = arrival.at + self.deadline_ms - self.now
        incoming = a_request(
            target_path=f"/{arrival.load.name}/1",
            object_key=arrival.key,
            deadline_ms=left_ms,
        )
        request = core.admission.admit(incoming, self.now)
        self._decide(core, request, arrival)

    def _follow(self, core, step, arrival):
        if isinstance(step, Attempt):
            self._send(core, step, arrival)
        elif isinstance(step, Refuse):
            self.refusals.append((self.now, step))
            self.causes[step.cause] += 1
            self.counts["refusals"] += 1
            left_ms = arrival.at + self.deadline_ms - self.now
            if 0 < step.retry_after_ms <= left_ms * LATER_RATIO:
                self._at(self.now + step.retry_after_ms, self._try, arrival)
            else:
                self.counts["refused"] += 1
        else:
            latency_ms = self.now - arrival.at
            in_time = "in time" if latency_ms <= self.goal_ms else "late"
            self.counts[in_time] += 1

    def _send(self, core, attempt, arrival):
        record = attempt.state.record
        is_own = record.region == OWN_REGION
        way_ms = 0 if is_own else ROUND_TRIP_MS / 2
        target = self.targets[record.id]
        work_ms = arrival.load.work_ms * self._rng.uniform(0.85, 1.15)
        if self._rng.random() < EXPENSIVE_RATIO:
            work_ms *= EXPENSIVE_FACTOR
        reached_at = self.now + way_ms
        done = target.run((arrival.load.name, arrival.key), work_ms, reached_at)
        ended_at = reached_at if done is None else done
        pace = target.pace(ended_at) if self.is_paced else None
        end = ended_at + way_ms
        self._at(math.ceil(ended_at), self._answer, core, attempt, arrival, done, pace)
        if done is not None:
            self.runs.append(Run(self.now, record.region))
            self.counts["own region"] += is_own
            self.counts["near"] += record.data_centre == core.me.data_centre
            self.counts["runs"] += 1
        return end

    def _answer(self, core, attempt, arrival, done, pace):
        """Take the report of the target when it answers; it arrives later."""
        record = attempt.state.record
        target = self.targets[record.id]
        way_ms = 0 if record.region == OWN_REGION else ROUND_TRIP_MS // 2
        load = LoadReport(target.open_count(self.now), record.slots, pace)
        end = self.now + way_ms
        base = SHED if done is None else self.answer
        sent_at = attempt.request.last_sent_at
        result = base._replace(duration_ms=end - sent_at, load=load)
        assert base is SHED or result.stage is Stage.ANSWERED
        self._at(end, self._end, core, attempt, result, arrival)
