"""Refusals of requests that one central bucket would have served."""

import heapq
import itertools
import random
from typing import NamedTuple

import pytest

from sequoiahook.clock import ManualClock
from sequoiahook.decisions.effects import Send
from sequoiahook.decisions.rights import Refused, Reserved, Rights, RightsSettings
from sequoiahook.world.contract import Contract
from sequoiahook.world.view import DataCentreView

MICRO = 1_000_000
REGION_BY_DATA_CENTRE = {"a": 0, "b": 0, "c": 1, "d": 1, "e": 2, "f": 2}
NEAR_MS = 1
FAR_MS = 35
WARM_MS = 8_000
HELD_MS = 5


class Load(NamedTuple):
    """Poisson arrivals; those that a central bucket would refuse are left out."""

    contract: Contract
    share_of_rate: float
    weights: tuple
    wait_ms: int
    seconds: int


UNEVEN = Load(Contract(200, 40), 0.9, (30, 5, 2, 2, 20, 1, 1, 1, 1, 1, 10, 1), 250, 6)
SPARSE = Load(Contract(2, 1), 0.5, (1,) * 12, 250, 300)
PATIENT = SPARSE._replace(wait_ms=500)


class Result(NamedTuple):
    requests: int
    refused: int
    messages_per_s: float

    @property
    def refused_percent(self):
        return 100 * self.refused / self.requests


class Simulation:
    """Twelve instances in six data centres, on one manual clock."""

    def __init__(self, settings, load, seed):
        self.clock = ManualClock()
        self.rng = random.Random(seed)
        self.load = load
        self.queue = []
        self.serial = itertools.count()
        self.refused = set()
        self.messages = 0
        self.wakes_by_name = {}
        self.names = [f"{d}{i}" for d in REGION_BY_DATA_CENTRE for i in (1, 2)]
        self.rights_by_name = {
            name: Rights(settings, name, name[0], random.Random(f"{seed}{name}"))
            for name in self.names
        }
        for name, rights in self.rights_by_name.items():
            for d in REGION_BY_DATA_CENTRE:
                view = DataCentreView(d, 1, (f"{d}1", f"{d}2"))
                self.do(name, rights.set_view(view, 0))
            contracts = {"c": load.contract}
            self.do(name, rights.configure(1, contracts, [*REGION_BY_DATA_CENTRE], 0))
            self.push(0, "tick", name)

    def push(self, at_ms, kind, *what):
        heapq.heappush(self.queue, (at_ms, next(self.serial), kind, what))

    def do(self, name, effects):
        now = self.clock.now()
        for effect in effects:
            if isinstance(effect, Send):
                self.messages += now >= WARM_MS
                regions = [REGION_BY_DATA_CENTRE[n[0]] for n in (name, effect[0])]
                delay_ms = NEAR_MS if regions[0] == regions[1] else FAR_MS
                self.push(now + delay_ms, "handle", effect.destination, name, effect)
            elif isinstance(effect, Reserved):
                self.push(now + HELD_MS, "commit", name, effect.request_id)
            elif isinstance(effect, Refused):
                self.refused.add(effect.request_id)

    def arrivals(self):
        per_ms = self.load.contract.rate_per_s * self.load.share_of_rate / 1000
        at_ms = WARM_MS
        bucket = self.load.contract.burst * MICRO
        filled_ms = at_ms
        while True:
            at_ms += self.rng.expovariate(per_ms)
            if at_ms > WARM_MS + self.load.seconds * 1000:
                return
            refill = int(self.load.contract.rate_per_s * 1000 * (at_ms - filled_ms))
            bucket = min(self.load.contract.burst * MICRO, bucket + refill)
            filled_ms = at_ms
            if bucket >= MICRO:
                bucket -= MICRO
                yield int(at_ms), self.rng.choices(self.names, self.load.weights)[0]

    def run(self):
        arrivals = list(self.arrivals())
        for number, (at_ms, name) in enumerate(arrivals):
            self.push(at_ms, "reserve", name, f"r{number}")
        end_ms = WARM_MS + self.load.seconds * 1000 + 1000
        while self.queue and self.queue[0][0] <= end_ms:
            at_ms, _, kind, (name, *what) = heapq.heappop(self.queue)
            now = self.clock.advance(at_ms - self.clock.now())
            rights = self.rights_by_name[name]
            if kind == "handle":
                self.do(name, rights.handle(what[0], what[1].body, now))
            elif kind == "reserve":
                self.do(name, rights.reserve(what[0], "c", self.load.wait_ms, now))
            elif kind == "commit":
                self.do(name, rights.commit(what[0], now))
            else:
                self.do(name, rights.tick(now))
            self.wake(name, rights, now)
        per_s = self.messages / self.load.seconds
        return Result(len(arrivals), len(self.refused), per_s)

    def wake(self, name, rights, now):
        wake_ms = rights.next_wake(now)
        known_ms = self.wakes_by_name.get(name, 0)
        if not now < known_ms <= wake_ms:
            self.wakes_by_name[name] = wake_ms
            self.push(wake_ms, "tick", name)


def fixed_shares(load, seed):
    """Return the result of shares that never move, as plain arithmetic."""
    simulation = Simulation(RightsSettings(), load, seed)
    count = len(simulation.names)
    rate = load.contract.rate_per_s * MICRO / 1000 / count
    burst = max(1, load.contract.burst / count) * MICRO
    state = dict.fromkeys(simulation.names, (burst, 0))
    arrivals = list(simulation.arrivals())
    refused = 0
    for at_ms, name in arrivals:
        tokens, filled_ms = state[name]
        tokens = min(burst, tokens + rate * (at_ms - filled_ms))
        if tokens + rate * load.wait_ms < MICRO:
            refused += 1
            state[name] = (tokens, at_ms)
        else:
            state[name] = (tokens - MICRO, at_ms)
    return Result(len(arrivals), refused, 0.0)


WAYS = {
    "loans": lambda load, seed: Simulation(RightsSettings(), load, seed).run(),
    "tokens only": lambda load, seed: Simulation(
        RightsSettings(rate_margin_deviations=10**6), load, seed
    ).run(),
    "fixed shares": fixed_shares,
}


@pytest.mark.parametrize(
    ("load", "percent_max"),
    [(UNEVEN, 0.5), (SPARSE, 0.5), (PATIENT, 0.5)],
    ids=["uneven", "sparse", "patient"],
)
def test_requests_inside_the_rate_are_served(load, percent_max):
    results = {way: run(load, 7) for way, run in WAYS.items()}
    for way, result in results.items():
        print(
            f"{way}: {result.refused_percent:.2f} % of {result.requests}, "
            f"{result.messages_per_s:.1f} messages/s"
        )
    assert results["loans"].refused_percent <= percent_max
    assert results["fixed shares"].refused_percent > 10
