"""Slopes of the rights and of the pools, for docs/CAPACITY.md.

Run as ``python -m bench.roles``. Each figure is measured at three sizes in one process.
"""

import random
import time
import tracemalloc

from sequoiahook.decisions.effects import Send
from sequoiahook.decisions.pool.effects import Start, TargetReport
from sequoiahook.decisions.pool.pool import Pool
from sequoiahook.decisions.pool.settings import PoolSettings
from sequoiahook.decisions.rights import Reserved, Rights, RightsSettings
from sequoiahook.messages.base import Envelope
from sequoiahook.wire.codec import encode_envelope
from sequoiahook.world.contract import Contract
from sequoiahook.world.target import Target
from sequoiahook.world.view import DataCentreView

__all__ = ["main"]

CONTRACTS = (8, 80, 800)
INSTANCES = (2, 12, 24)
TARGETS = (5, 50, 500)
START_MS = 10_000
TICKS = 200
REQUESTS = 4_000
GAP_MS = 5
RATE_PER_S = 1_000


def rights_of(count: int, contracts: int) -> dict[str, Rights]:
    """Return the rights of the instances of one data centre."""
    names = tuple(f"i{index:02}" for index in range(count))
    contracts_by_name = {
        f"organisation/o{index}": Contract(RATE_PER_S, RATE_PER_S)
        for index in range(contracts)
    }
    rights_by_name = {}
    for index, name in enumerate(names):
        rights = Rights(RightsSettings(), name, "dc", random.Random(index))
        rights.configure(1, contracts_by_name, ["dc"], 0)
        rights.set_view(DataCentreView("dc", 1, names), 0)
        rights_by_name[name] = rights
    return rights_by_name


class Exchange:
    """Carries messages between rights at once, and counts them."""

    def __init__(self, rights_by_name: dict[str, Rights]):
        self.rights_by_name = rights_by_name
        self.messages = 0
        self.message_bytes = 0
        self.reserved = 0

    def carry(self, name: str, effects: list, now: int) -> None:
        """Deliver what an instance sends, and what that causes."""
        for effect in effects:
            if isinstance(effect, Reserved):
                self.reserved += 1
                rights = self.rights_by_name[name]
                self.carry(name, rights.commit(effect.request_id, now), now)
            elif isinstance(effect, Send):
                self.messages += 1
                envelope = Envelope(name, 1, 1, effect.destination, effect.body)
                self.message_bytes += len(encode_envelope(envelope))
                receiver = self.rights_by_name[effect.destination]
                answers = receiver.handle(name, effect.body, now)
                self.carry(effect.destination, answers, now)

    def tick(self, now: int) -> None:
        """Tick every instance."""
        for name, rights in self.rights_by_name.items():
            self.carry(name, rights.tick(now), now)


def settle(exchange: Exchange) -> int:
    """Run until every share is at hand; returns the time."""
    for now in range(0, START_MS, 100):
        exchange.tick(now)
    return START_MS


def idle_rights(contracts: int) -> None:
    """Print what idle contracts cost an instance."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    exchange = Exchange(rights_of(1, contracts))
    now = settle(exchange)
    memory = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    started = time.process_time()
    for _ in range(TICKS):
        now += 100
        exchange.tick(now)
    tick_us = (time.process_time() - started) / TICKS * 1e6
    print(
        f"rights idle: {contracts:5} contracts {tick_us:9.1f} us a tick "
        f"{memory / contracts:8.0f} bytes a contract"
    )


def busy_rights(instances: int) -> None:
    """Print what requests cost, spread evenly over the instances."""
    exchange = Exchange(rights_of(instances, 8))
    now = settle(exchange)
    exchange.messages = exchange.message_bytes = 0
    rng = random.Random(1)
    names = sorted(exchange.rights_by_name)
    started = time.process_time()
    for number in range(REQUESTS):
        now += GAP_MS
        name = rng.choice(names)
        contract = f"organisation/o{rng.randrange(8)}"
        effects = exchange.rights_by_name[name].reserve(str(number), contract, 50, now)
        exchange.carry(name, effects, now)
        if number % 10 == 0:
            exchange.tick(now)
    spent_us = (time.process_time() - started) / REQUESTS * 1e6
    print(
        f"rights busy: {instances:5} instances {spent_us:9.1f} us a request "
        f"{exchange.messages / REQUESTS:6.2f} messages and "
        f"{exchange.message_bytes / REQUESTS:6.0f} bytes a request, "
        f"{exchange.reserved} of {REQUESTS} reserved"
    )


def pool(targets: int) -> None:
    """Print what a request costs the owner of a pool, and what a summary takes."""
    subject = Pool(PoolSettings(), "s", random.Random(1))
    members = [
        Target(f"t{index}", "s", "dc", "127.0.0.1", 1 + index, 4, "active")
        for index in range(targets)
    ]
    subject.configure(members, 0, 0)
    report = TargetReport(True, False, 20, False)
    running: list[int] = []
    started = time.process_time()
    for number in range(REQUESTS):
        effects = subject.submit(number, f"o{number % 8}", number + 2_000, number)
        running += [e.request_id for e in effects if isinstance(e, Start)]
        while len(running) > targets * 2:
            effects = subject.finish(running.pop(0), report, number)
            running += [e.request_id for e in effects if isinstance(e, Start)]
    spent_us = (time.process_time() - started) / REQUESTS * 1e6
    summary = subject.summary("dc", "i00", 1, 1, REQUESTS)
    size = len(encode_envelope(Envelope("i00", 1, 1, "i01", summary)))
    print(
        f"pool:        {targets:5} targets   {spent_us:9.1f} us a request, "
        f"a summary takes {size} bytes"
    )


def main() -> None:
    """Print every slope."""
    for contracts in CONTRACTS:
        idle_rights(contracts)
    for instances in INSTANCES:
        busy_rights(instances)
    for targets in TARGETS:
        pool(targets)


if __name__ == "__main__":
    main()
