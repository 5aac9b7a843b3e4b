"""Refusals of requests that one central token bucket would have served."""

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
LOCAL_DELAY_MS = 1
REMOTE_DELAY_MS = 35
WARM_UP_MS = 8_000
COMMIT_DELAY_MS = 5


class Load(NamedTuple):
    """Poisson arrivals; those that a central token bucket refuses are left out."""

    contract: Contract
    share_of_rate: float
    weights: tuple
    wait_ms: int
    seconds: int


UNEVEN = Load(Contract(200, 40), 0.9, (30, 5, 2, 2, 20, 1, 1, 1, 1, 1, 10, 1), 250, 6)
SPARSE = Load(Contract(2, 1), 0.5, (1,) * 12, 250, 300)
LONG_WAIT = SPARSE._replace(wait_ms=500)


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
        self.events = []
        self.sequence = itertools.count()
        self.refused = set()
        self.messages = 0
        self.wake_at_by_name = {}
        self.names = [
            f"{data_centre}{i}" for data_centre in REGION_BY_DATA_CENTRE for i in (1, 2)
        ]
        self.rights_by_name = {
            name: Rights(settings, name, name[0], random.Random(f"{seed}{name}"))
            for name in self.names
        }
        for name, rights in self.rights_by_name.items():
            for data_centre in REGION_BY_DATA_CENTRE:
                view = DataCentreView(
                    data_centre, 1, (f"{data_centre}1", f"{data_centre}2")
                )
                self.carry_out(name, rights.set_view(view, 0))
            contracts = {"c": load.contract}
            self.carry_out(
                name, rights.configure(1, contracts, [*REGION_BY_DATA_CENTRE], 0)
            )
            self.schedule(0, "tick", name)

    def schedule(self, due_at, kind, *arguments):
        heapq.heappush(self.events, (due_at, next(self.sequence), kind, arguments))

    def carry_out(self, name, effects):
        now = self.clock.now()
        for effect in effects:
            if isinstance(effect, Send):
                self.messages += now >= WARM_UP_MS
                regions = [
                    REGION_BY_DATA_CENTRE[instance[0]] for instance in (name, effect[0])
                ]
                delay_ms = (
                    LOCAL_DELAY_MS if regions[0] == regions[1] else REMOTE_DELAY_MS
                )
                self.schedule(
                    now + delay_ms, "handle", effect.destination, name, effect
                )
            elif isinstance(effect, Reserved):
                self.schedule(now + COMMIT_DELAY_MS, "commit", name, effect.request_id)
            elif isinstance(effect, Refused):
                self.refused.add(effect.request_id)

    def arrivals(self):
        arrivals_per_ms = self.load.contract.rate_per_s * self.load.share_of_rate / 1000
        due_at = WARM_UP_MS
        bucket = self.load.contract.burst * MICRO
        refilled_at = due_at
        while True:
            due_at += self.rng.expovariate(arrivals_per_ms)
            if due_at > WARM_UP_MS + self.load.seconds * 1000:
                return
            refill = int(self.load.contract.rate_per_s * 1000 * (due_at - refilled_at))
            bucket = min(self.load.contract.burst * MICRO, bucket + refill)
            refilled_at = due_at
            if bucket >= MICRO:
                bucket -= MICRO
                yield int(due_at), self.rng.choices(self.names, self.load.weights)[0]

    def run(self):
        arrivals = list(self.arrivals())
        for number, (due_at, name) in enumerate(arrivals):
            self.schedule(due_at, "reserve", name, f"r{number}")
        end_at = WARM_UP_MS + self.load.seconds * 1000 + 1000
        while self.events and self.events[0][0] <= end_at:
            due_at, _, kind, (name, *arguments) = heapq.heappop(self.events)
            now = self.clock.advance(due_at - self.clock.now())
            rights = self.rights_by_name[name]
            if kind == "handle":
                self.carry_out(
                    name, rights.handle(arguments[0], arguments[1].body, now)
                )
            elif kind == "reserve":
                self.carry_out(
                    name, rights.reserve(arguments[0], "c", self.load.wait_ms, now)
                )
            elif kind == "commit":
                self.carry_out(name, rights.commit(arguments[0], now))
            else:
                self.carry_out(name, rights.tick(now))
            self.schedule_wake(name, rights, now)
        per_s = self.messages / self.load.seconds
        return Result(len(arrivals), len(self.refused), per_s)

    def schedule_wake(self, name, rights, now):
        wake_at = rights.next_wake(now)
        scheduled_at = self.wake_at_by_name.get(name, 0)
        if not now < scheduled_at <= wake_at:
            self.wake_at_by_name[name] = wake_at
            self.schedule(wake_at, "tick", name)


def fixed_shares(load, seed):
    """Return the result of constant shares, without loans."""
    simulation = Simulation(RightsSettings(), load, seed)
    count = len(simulation.names)
    rate = load.contract.rate_per_s * MICRO / 1000 / count
    burst = max(1, load.contract.burst / count) * MICRO
    state = dict.fromkeys(simulation.names, (burst, 0))
    arrivals = list(simulation.arrivals())
    refused = 0
    for due_at, name in arrivals:
        tokens, refilled_at = state[name]
        tokens = min(burst, tokens + rate * (due_at - refilled_at))
        if tokens + rate * load.wait_ms < MICRO:
            refused += 1
            state[name] = (tokens, due_at)
        else:
            state[name] = (tokens - MICRO, due_at)
    return Result(len(arrivals), refused, 0.0)


STRATEGIES = {
    "loans": lambda load, seed: Simulation(RightsSettings(), load, seed).run(),
    "tokens only": lambda load, seed: Simulation(
        RightsSettings(rate_margin_deviations=10**6), load, seed
    ).run(),
    "fixed shares": fixed_shares,
}


@pytest.mark.parametrize(
    ("load", "percent_max"),
    [(UNEVEN, 0.5), (SPARSE, 0.5), (LONG_WAIT, 0.5)],
    ids=["uneven", "sparse", "long wait"],
)
def test_requests_inside_the_rate_are_served(load, percent_max):
    results = {strategy: run(load, 7) for strategy, run in STRATEGIES.items()}
    for strategy, result in results.items():
        print(
            f"{strategy}: {result.refused_percent:.2f} % of {result.requests}, "
            f"{result.messages_per_s:.1f} messages/s"
        )
    assert results["loans"].refused_percent <= percent_max
    assert results["fixed shares"].refused_percent > 10
