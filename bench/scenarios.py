"""What happens in each scenario, and when."""

from collections.abc import Callable
from typing import NamedTuple

from bench.fakes import PlainBucket
from bench.world import World
from sequoiahook.world.contract import Contract

__all__ = ["SCENARIOS", "Scenario"]

EVENT_MS = 6_000
FLOODER = "org2"


class Scenario(NamedTuple):
    """A scenario: the load, and what is done to the world before or during it."""

    use: float
    prepare: Callable
    flooder: str = ""
    flood_factor: float = 1.0


def _nothing(world: World, steering) -> None:
    """Leave the world as it is."""


def _let_in(world: World, steering) -> None:
    """The flood passes admission, so that only the queues stand against it."""
    world.rights[FLOODER] = PlainBucket(Contract(10**6, 10**6))


def _uneven(world: World, steering) -> None:
    world.callers.weights["r1-d1"] = 3.0


def _region_dies(world: World, steering) -> None:
    def die() -> None:
        world.network.dead_regions.add("r3")
        for name in ("r3-d1", "r3-d2"):
            world.callers.gone_at[name] = world.engine.now

    world.engine.at(EVENT_MS, die)


def _lying_reports(world: World, steering) -> None:
    """Half of the targets say that they are idle, a third that they are full."""

    def report() -> None:
        for owner in getattr(steering, "owners", {}).values():
            names = [
                n for n in world.targets_by_name if n.startswith(owner.key.service)
            ]
            for name in names:
                load = (0, 100, 0)[int(name.rpartition("-")[2]) // 6 % 3]
                owner.carry_out(owner.pool.report_load(name, load, world.engine.now))
        world.engine.after(500, report)

    world.engine.at(0, report)


def _fails_fast(world: World, steering) -> None:
    name = f"{world.size.loads[0].service}-0"
    fake = world.targets_by_name[name]
    world.engine.at(EVENT_MS, setattr, fake, "is_failing", True)
    world.engine.at(EVENT_MS + 6_000, setattr, fake, "is_failing", False)


def _move(world: World, steering) -> None:
    """Half of a data centre's traffic moves to cold targets in another region."""
    load = world.size.loads[0]
    rate = load.capacity_per_s * world.use / len(world.size.data_centres)

    def move() -> None:
        targets = dict(world.size.document(world.use)["targets_by_name"])
        for index in range(5):
            targets[f"{load.service}-{100 + index}"] = {
                "service": load.service,
                "data_centre": "r2-d1",
                "host": "10.0.0.2",
                "port": 1 + index,
                "slots": load.slots,
            }
        shift = {
            "service": load.service,
            "source": "r1-d1",
            "destination": "r2-d1",
            "share_percent": 50,
            "rate": None,
            "cap": {"rate_per_s": round(rate * 0.4), "burst": round(rate * 0.04) + 1},
        }
        del shift["rate"]
        world.configure(
            {"targets_by_name": targets, "shifts_by_name": {"move": shift}}, cold=30
        )
        steering.configure()

    world.engine.at(EVENT_MS, move)


def _rolling(world: World, steering) -> None:
    """One target after the other drains, is replaced, and comes back cold."""
    load = world.size.loads[0]
    names = [f"{load.service}-{index}" for index in range(0, load.target_count, 3)]
    drains: list[int] = []

    def begin(index: int) -> None:
        _set_state(world, steering, names[index], "draining")
        watch(index, world.engine.now)

    def watch(index: int, since: int) -> None:
        fake = world.targets_by_name[names[index]]
        if fake.running or fake.queue:
            world.engine.after(1, watch, index, since)
            return
        drains.append(world.engine.now - since)
        world.measures.drain_ms = max(drains)
        fake.cold_left = 30
        _set_state(world, steering, names[index], "active")

    for index in range(len(names)):
        world.engine.at(3_000 + index * 1_000, begin, index)


def _set_state(world: World, steering, name: str, state: str) -> None:
    document = world.size.document(world.use)["targets_by_name"]
    targets = world.changes.get("targets_by_name", document)
    changed = {**targets, name: {**targets[name], "state": state}}
    world.configure({"targets_by_name": changed})
    steering.configure()


def _cut_off(world: World, steering) -> None:
    cut = world.network.cut_data_centres
    world.engine.at(EVENT_MS, cut.add, "r1-d1")
    world.engine.at(EVENT_MS + 5_000, cut.discard, "r1-d1")


def _owner_changes(is_planned: bool, is_blocked: bool) -> Callable:
    def prepare(world: World, steering) -> None:
        keys = getattr(steering, "owners", {})
        for key in [*keys][:1]:
            world.engine.at(
                EVENT_MS, steering.replace_owner, key, is_planned, is_blocked
            )

    return prepare


def _uploads(world: World, steering) -> None:
    """One data centre gets so many uploads that they spill over the links."""
    world.callers.weights["r1-d1"] = 4.0
    world.callers.weights["r1-d2"] = 4.0


SCENARIOS = {
    "steady": Scenario(0.7, _nothing),
    "flood": Scenario(0.7, _nothing, FLOODER, 5.0),
    "flood-admitted": Scenario(0.7, _let_in, FLOODER, 5.0),
    "uneven": Scenario(0.6, _uneven),
    "region-dies": Scenario(0.7, _region_dies),
    "lying-reports": Scenario(0.7, _lying_reports),
    "fails-fast": Scenario(0.7, _fails_fast),
    "move": Scenario(0.7, _move),
    "rolling": Scenario(0.7, _rolling),
    "cut-off": Scenario(0.7, _cut_off),
    "uploads": Scenario(0.5, _uploads),
    "owner-leaves": Scenario(0.7, _owner_changes(is_planned=True, is_blocked=True)),
    "owner-dies": Scenario(0.7, _owner_changes(is_planned=False, is_blocked=True)),
    "owner-dies-unblocked": Scenario(
        0.7, _owner_changes(is_planned=False, is_blocked=False)
    ),
}
