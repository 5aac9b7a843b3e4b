"""The scenarios, each with its load and the changes made during the run."""

from collections.abc import Callable
from typing import NamedTuple

from bench.fakes import TokenBucket
from bench.world import World
from sequoiahook.world.contract import Contract

__all__ = ["SCENARIOS", "Scenario"]

EVENT_AT_MS = 6_000
FLOODING_ORGANISATION = "org2"


class Scenario(NamedTuple):
    """A scenario.

    Attributes:
        utilisation: Offered load as a fraction of the capacity of all targets.
        prepare: Called as ``prepare(world, steering)`` before the run; applies or
            schedules the changes.
        flooding_organisation: Organisation that sends more than its contract; empty if
            none does.
        flood_factor: Its rate as a multiple of its contract.
    """

    utilisation: float
    prepare: Callable
    flooding_organisation: str = ""
    flood_factor: float = 1.0


def _change_nothing(world: World, steering) -> None:
    """Change nothing."""


def _admit_flood(world: World, steering) -> None:
    """Disable admission control for the flood, so that only the queues limit it."""
    world.rights_by_organisation[FLOODING_ORGANISATION] = TokenBucket(
        Contract(10**6, 10**6)
    )


def _skew_load(world: World, steering) -> None:
    """Send one data centre three times the requests of any other."""
    world.callers.weights_by_data_centre["r1-d1"] = 3.0


def _fail_region(world: World, steering) -> None:
    def fail() -> None:
        world.network.failed_regions.add("r3")
        for name in ("r3-d1", "r3-d2"):
            world.callers.failed_at_by_data_centre[name] = world.engine.now

    world.engine.call_at(EVENT_AT_MS, fail)


def _report_false_loads(world: World, steering) -> None:
    """Report every third block of six targets as full and all others as idle.

    The reports do not depend on the actual load.
    """

    def report() -> None:
        for owner in getattr(steering, "owners", {}).values():
            target_names = [
                n for n in world.targets_by_name if n.startswith(owner.key.service)
            ]
            for name in target_names:
                load = (0, 100, 0)[int(name.rpartition("-")[2]) // 6 % 3]
                owner.carry_out(owner.pool.report_load(name, load, world.engine.now))
        world.engine.call_later(500, report)

    world.engine.call_at(0, report)


def _fail_fast(world: World, steering) -> None:
    name = f"{world.size.loads[0].service}-0"
    fake = world.targets_by_name[name]
    world.engine.call_at(EVENT_AT_MS, setattr, fake, "is_failing", True)
    world.engine.call_at(EVENT_AT_MS + 6_000, setattr, fake, "is_failing", False)


def _shift_traffic(world: World, steering) -> None:
    """Shift half of a data centre's traffic to cold targets in another region."""
    load = world.size.loads[0]
    rate_per_s = load.capacity_per_s * world.utilisation / len(world.size.data_centres)

    def shift_traffic() -> None:
        targets = dict(world.size.document(world.utilisation)["targets_by_name"])
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
            "cap": {
                "rate_per_s": round(rate_per_s * 0.4),
                "burst": round(rate_per_s * 0.04) + 1,
            },
        }
        del shift["rate"]
        world.configure(
            {"targets_by_name": targets, "shifts_by_name": {"move": shift}},
            cold_requests=30,
        )
        steering.configure()

    world.engine.call_at(EVENT_AT_MS, shift_traffic)


def _roll_targets(world: World, steering) -> None:
    """Drain one target after the other, and return each to service cold."""
    load = world.size.loads[0]
    target_names = [
        f"{load.service}-{index}" for index in range(0, load.target_count, 3)
    ]
    drain_durations_ms: list[int] = []

    def drain(index: int) -> None:
        _set_state(world, steering, target_names[index], "draining")
        wait_until_idle(index, world.engine.now)

    def wait_until_idle(index: int, drained_at: int) -> None:
        fake = world.targets_by_name[target_names[index]]
        if fake.running or fake.queue:
            world.engine.call_later(1, wait_until_idle, index, drained_at)
            return
        drain_durations_ms.append(world.engine.now - drained_at)
        world.measures.drain_ms = max(drain_durations_ms)
        fake.cold_requests_left = 30
        _set_state(world, steering, target_names[index], "active")

    for index in range(len(target_names)):
        world.engine.call_at(3_000 + index * 1_000, drain, index)


def _set_state(world: World, steering, name: str, state: str) -> None:
    document = world.size.document(world.utilisation)["targets_by_name"]
    targets = world.changes.get("targets_by_name", document)
    changed = {**targets, name: {**targets[name], "state": state}}
    world.configure({"targets_by_name": changed})
    steering.configure()


def _cut_off_data_centre(world: World, steering) -> None:
    isolated = world.network.isolated_data_centres
    world.engine.call_at(EVENT_AT_MS, isolated.add, "r1-d1")
    world.engine.call_at(EVENT_AT_MS + 5_000, isolated.discard, "r1-d1")


def _replace_owner(is_planned: bool, is_blocked: bool) -> Callable:
    def prepare(world: World, steering) -> None:
        keys = getattr(steering, "owners", {})
        for key in [*keys][:1]:
            world.engine.call_at(
                EVENT_AT_MS, steering.replace_owner, key, is_planned, is_blocked
            )

    return prepare


def _concentrate_uploads(world: World, steering) -> None:
    """Send one region so many uploads that some have to leave over its links."""
    world.callers.weights_by_data_centre["r1-d1"] = 4.0
    world.callers.weights_by_data_centre["r1-d2"] = 4.0


SCENARIOS = {
    "steady": Scenario(0.7, _change_nothing),
    "flood": Scenario(0.7, _change_nothing, FLOODING_ORGANISATION, 5.0),
    "flood-admitted": Scenario(0.7, _admit_flood, FLOODING_ORGANISATION, 5.0),
    "uneven": Scenario(0.6, _skew_load),
    "region-dies": Scenario(0.7, _fail_region),
    "lying-reports": Scenario(0.7, _report_false_loads),
    "fails-fast": Scenario(0.7, _fail_fast),
    "move": Scenario(0.7, _shift_traffic),
    "rolling": Scenario(0.7, _roll_targets),
    "cut-off": Scenario(0.7, _cut_off_data_centre),
    "uploads": Scenario(0.5, _concentrate_uploads),
    "owner-leaves": Scenario(0.7, _replace_owner(is_planned=True, is_blocked=True)),
    "owner-dies": Scenario(0.7, _replace_owner(is_planned=False, is_blocked=True)),
    "owner-dies-unblocked": Scenario(
        0.7, _replace_owner(is_planned=False, is_blocked=False)
    ),
}
