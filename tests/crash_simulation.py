"""Simulation of a fleet and of requests that end the targets that run them.

A target that ends loses all requests that are open at it, refuses connections, and is
replaced by a new one after some seconds.
"""

from collections import Counter, defaultdict
from typing import NamedTuple

from sequoiahook.clock import MS_PER_S
from sequoiahook.decisions.direct.requests import Deliver, Refuse
from sequoiahook.decisions.exchange.target_result import Stage, TargetResult
from tests.direct_parts import a_request, a_target
from tests.limit_simulation import (
    DEADLINE_MS,
    NEAR_WAY_MS,
    WORK_MS,
    LimitSimulation,
)

CRASH_AFTER_MS = 50
DOWN_MS = 3_000
ENTRY_LEFT_MS = 1_500
"""Time for which the entry of a target that ended is still listed."""

LOST = TargetResult(Stage.WRITTEN_NO_ANSWER)
REFUSED = TargetResult(Stage.CONNECT_REFUSED)
OK = TargetResult(Stage.ANSWERED, status=200)
CRASHING_PATH = "/look/crashing"
POPULAR_PATH = "/look/popular"


class Repeated(NamedTuple):
    """A request that is sent again and again.

    Attributes:
        path: Its path.
        per_s: Mean rate at all instances together.
        method: Its method.
        body: Its body.
    """

    path: str
    per_s: float
    method: str = "GET"
    body: bytes = b""


class CrashSimulation(LimitSimulation):
    """A fleet whose targets end under requests with a crashing path.

    Attributes:
        crashing_paths: Paths of the requests that end their targets.
        ended: Time and path of each end of a target by a request.
        reached_at_by_path: Times at which requests of each path reached targets.
        outcomes_by_path: Counts of final answers by status, for each path.
        refusals_by_path: Time and refusal of each refused request, for each path.

    Args:
        instance_count: Number of instances.
        repeated: Requests that are sent again and again.
        seed: Seed of arrivals and objects.
    """

    def __init__(self, instance_count, repeated=(), seed=1):
        self.crashing_paths = {CRASHING_PATH}
        self.ended = []
        self.reached_at_by_path = defaultdict(list)
        self.outcomes_by_path = defaultdict(Counter)
        self.refusals_by_path = defaultdict(list)
        self._open_by_target = defaultdict(list)
        self._down, self._replaced = set(), 0
        super().__init__(instance_count, seed)
        for request in repeated:
            self._repeat(request)

    def _repeat(self, repeated):
        names = [name for name in self.instances if name not in self.paused]
        if self.now:
            self._arrive(
                self.rng.choice(names),
                a_request(
                    target_path=repeated.path,
                    object_key=repeated.path,
                    method=repeated.method,
                    body=repeated.body,
                    deadline_ms=DEADLINE_MS,
                ),
            )
        gap_ms = self.rng.expovariate(repeated.per_s) * MS_PER_S
        self._at(self.now + gap_ms, self._repeat, repeated)

    def end_targets(self, target_ids):
        """End targets at once; they are replaced after some seconds."""
        for target_id in target_ids:
            self._down.add(target_id)
            for name, core, attempt, way_ms in self._open_by_target.pop(target_id, []):
                self._at(self.now + way_ms, self._end, name, core, attempt, LOST)
            self._at(self.now + ENTRY_LEFT_MS, self._unlist, target_id)
            self._at(self.now + DOWN_MS, self._replace, target_id)

    def _unlist(self, target_id):
        self.targets.pop(target_id)
        for core in self.cores.values():
            core.targets.replace(self.targets, self.now)

    def _replace(self, target_id):
        self._replaced += 1
        region, number = target_id.split("-")[1:3]
        new_id = f"t-{region}-{number}-{self._replaced}"
        self.targets[new_id] = a_target(
            new_id,
            region=region,
            data_centre=f"{region}-a",
            slots=6,
            started_at=1 + self._replaced,
        )
        self.reached_at_by_target[new_id] = []
        for core in self.cores.values():
            core.targets.replace(self.targets, self.now)

    def _send(self, name, attempt):
        record = attempt.state.record
        is_near = record.region == self.instances[name].region
        way_ms = NEAR_WAY_MS if is_near else 50
        core = self.cores[name]
        reached_at = self.now + way_ms
        self._at(reached_at, self._reach, name, core, attempt, way_ms)

    def _reach(self, name, core, attempt, way_ms):
        target_id = attempt.state.record.id
        if target_id in self._down:
            self._at(self.now + way_ms, self._end, name, core, attempt, REFUSED)
            return
        path = attempt.request.incoming.target_path
        self.reached_at_by_path[path].append(self.now)
        exchange = (name, core, attempt, way_ms)
        self._open_by_target[target_id].append(exchange)
        if path in self.crashing_paths:
            self._at(self.now + CRASH_AFTER_MS, self._crash, target_id, path)
        else:
            self._at(self.now + WORK_MS, self._finish, target_id, exchange)

    def _crash(self, target_id, path):
        if target_id not in self._down:
            self.ended.append((self.now, path))
            self.end_targets([target_id])

    def _finish(self, target_id, exchange):
        if exchange not in self._open_by_target.get(target_id, ()):
            return
        self._open_by_target[target_id].remove(exchange)
        name, core, attempt, way_ms = exchange
        answer = OK._replace(duration_ms=2 * way_ms + WORK_MS)
        self._at(self.now + way_ms, self._end, name, core, attempt, answer)

    def _follow(self, name, request, decide, *arguments):
        core = self.cores[name]
        step = decide(*arguments, self.now) if arguments else decide(request, self.now)
        self._post(name, core.token_requests(self.now))
        path = request.incoming.target_path
        if isinstance(step, Deliver):
            self.outcomes_by_path[path][step.result.status] += 1
        elif isinstance(step, Refuse):
            self.outcomes_by_path[path][step.status] += 1
            self.refusals_by_path[path].append((self.now, step))
        self._act(name, request, step)
