"""Measure the cost of rights and pools at three sizes each, for docs/CAPACITY.md.

Run with ``python -m bench.roles``; all sizes run in one process.
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

CONTRACT_COUNTS = (8, 80, 800)
INSTANCE_COUNTS = (2, 12, 24)
TARGET_COUNTS = (5, 50, 500)
SETTLE_MS = 10_000
TICK_COUNT = 200
REQUEST_COUNT = 4_000
REQUEST_INTERVAL_MS = 5
RATE_PER_S = 1_000


def new_rights(instance_count: int, contract_count: int) -> dict[str, Rights]:
    """Return the rights of the instances of one data centre."""
    names = tuple(f"i{index:02}" for index in range(instance_count))
    contracts_by_name = {
        f"organisation/o{index}": Contract(RATE_PER_S, RATE_PER_S)
        for index in range(contract_count)
    }
    rights_by_name = {}
    for index, name in enumerate(names):
        rights = Rights(RightsSettings(), name, "dc", random.Random(index))
        rights.configure(1, contracts_by_name, ["dc"], 0)
        rights.set_view(DataCentreView("dc", 1, names), 0)
        rights_by_name[name] = rights
    return rights_by_name


class MessageExchange:
    """Delivers messages between rights without delay, and counts them."""

    def __init__(self, rights_by_name: dict[str, Rights]):
        self.rights_by_name = rights_by_name
        self.message_count = 0
        self.message_bytes = 0
        self.reserved_count = 0

    def carry_out(self, name: str, effects: list, now: int) -> None:
        """Carry out the effects of an instance, and those that they cause."""
        for effect in effects:
            if isinstance(effect, Reserved):
                self.reserved_count += 1
                rights = self.rights_by_name[name]
                self.carry_out(name, rights.commit(effect.request_id, now), now)
            elif isinstance(effect, Send):
                self.message_count += 1
                envelope = Envelope(name, 1, 1, effect.destination, effect.body)
                self.message_bytes += len(encode_envelope(envelope))
                receiver = self.rights_by_name[effect.destination]
                answers = receiver.handle(name, effect.body, now)
                self.carry_out(effect.destination, answers, now)

    def tick(self, now: int) -> None:
        """Tick every instance."""
        for name, rights in self.rights_by_name.items():
            self.carry_out(name, rights.tick(now), now)


def settle(exchange: MessageExchange) -> int:
    """Tick until every instance has its share; return the time in ms."""
    for now in range(0, SETTLE_MS, 100):
        exchange.tick(now)
    return SETTLE_MS


def measure_idle_rights(contract_count: int) -> None:
    """Print the time and memory that idle contracts cost an instance."""
    tracemalloc.start()
    start_bytes = tracemalloc.get_traced_memory()[0]
    exchange = MessageExchange(new_rights(1, contract_count))
    now = settle(exchange)
    memory_bytes = tracemalloc.get_traced_memory()[0] - start_bytes
    tracemalloc.stop()
    started = time.process_time()
    for _ in range(TICK_COUNT):
        now += 100
        exchange.tick(now)
    tick_us = (time.process_time() - started) / TICK_COUNT * 1e6
    print(
        f"rights idle: {contract_count:5} contracts {tick_us:9.1f} us a tick "
        f"{memory_bytes / contract_count:8.0f} bytes a contract"
    )


def measure_busy_rights(instance_count: int) -> None:
    """Print the cost of requests that are spread evenly over the instances."""
    exchange = MessageExchange(new_rights(instance_count, 8))
    now = settle(exchange)
    exchange.message_count = exchange.message_bytes = 0
    rng = random.Random(1)
    names = sorted(exchange.rights_by_name)
    started = time.process_time()
    for number in range(REQUEST_COUNT):
        now += REQUEST_INTERVAL_MS
        name = rng.choice(names)
        contract = f"organisation/o{rng.randrange(8)}"
        effects = exchange.rights_by_name[name].reserve(str(number), contract, 50, now)
        exchange.carry_out(name, effects, now)
        if number % 10 == 0:
            exchange.tick(now)
    spent_us = (time.process_time() - started) / REQUEST_COUNT * 1e6
    print(
        f"rights busy: {instance_count:5} instances {spent_us:9.1f} us a request "
        f"{exchange.message_count / REQUEST_COUNT:6.2f} messages and "
        f"{exchange.message_bytes / REQUEST_COUNT:6.0f} bytes a request, "
        f"{exchange.reserved_count} of {REQUEST_COUNT} reserved"
    )


def measure_pool(target_count: int) -> None:
    """Print the cost of a request for the owner of a pool, and the summary's size."""
    pool = Pool(PoolSettings(), "s", random.Random(1))
    pool_targets = [
        Target(f"t{index}", "s", "dc", "127.0.0.1", 1 + index, 4, "active")
        for index in range(target_count)
    ]
    pool.configure(pool_targets, 0, 0)
    report = TargetReport(True, False, 20, False)
    running_ids: list[int] = []
    started = time.process_time()
    for number in range(REQUEST_COUNT):
        effects = pool.submit(number, f"o{number % 8}", number + 2_000, number)
        running_ids += [e.request_id for e in effects if isinstance(e, Start)]
        while len(running_ids) > target_count * 2:
            effects = pool.finish(running_ids.pop(0), report, number)
            running_ids += [e.request_id for e in effects if isinstance(e, Start)]
    spent_us = (time.process_time() - started) / REQUEST_COUNT * 1e6
    summary = pool.summary("dc", "i00", 1, 1, REQUEST_COUNT)
    size = len(encode_envelope(Envelope("i00", 1, 1, "i01", summary)))
    print(
        f"pool:        {target_count:5} targets   {spent_us:9.1f} us a request, "
        f"a summary takes {size} bytes"
    )


def main() -> None:
    """Measure at each size."""
    for contract_count in CONTRACT_COUNTS:
        measure_idle_rights(contract_count)
    for instance_count in INSTANCE_COUNTS:
        measure_busy_rights(instance_count)
    for target_count in TARGET_COUNTS:
        measure_pool(target_count)


if __name__ == "__main__":
    main()
