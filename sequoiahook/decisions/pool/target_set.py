"""The targets of a pool, and the choice among them."""

import random
from collections.abc import Callable, Hashable, Iterable, Sequence

from sequoiahook.decisions.pool.effects import TargetReport
from sequoiahook.decisions.pool.runs import Runs
from sequoiahook.decisions.pool.settings import PoolSettings
from sequoiahook.decisions.pool.target_slots import TargetSlots
from sequoiahook.world.instance import Address
from sequoiahook.world.target import Target

__all__ = ["TargetSet"]


class TargetSet:
    """Targets of a pool, one per address; other names of an address are aliases.

    Args:
        settings: The pool's settings.
        rng: Source of randomness, used to break ties.
    """

    def __init__(self, settings: PoolSettings, rng: random.Random):
        self._settings = settings
        self._rng = rng
        self._targets_by_name: dict[str, TargetSlots] = {}
        self._address_by_name: dict[str, Address] = {}
        self._listed_leaving: set[str] = set()
        self._reported_leaving_at_by_name: dict[str, int] = {}
        self._is_configured = False

    def configure(self, targets: Sequence[Target], warm_up_ms: int, now: int) -> None:
        """Replace the targets; duplicate names and addresses are merged."""
        by_name = _merged_by(targets, lambda target: target.name)
        by_address = _merged_by(by_name.values(), _address)
        old_by_name = self._targets_by_name
        self._targets_by_name = {}
        for target in by_address.values():
            old = old_by_name.get(target.name)
            if old is not None and _address(old.target) == _address(target):
                old.set_target(target, warm_up_ms)
                self._targets_by_name[target.name] = old
                continue
            warm_up_started_at = now if self._is_configured else None
            self._targets_by_name[target.name] = TargetSlots(
                self._settings, target, warm_up_started_at, warm_up_ms
            )
        self._is_configured = self._is_configured or bool(targets)
        self._set_addresses(
            {name: _address(target) for name, target in by_name.items()}
        )

    def set_leaving(self, target_names: set[str]) -> None:
        """Replace the platform's list of leaving targets.

        A target that disappears from the list serves again, which also cancels its own
        report that it is leaving.
        """
        for name in self._listed_leaving - target_names:
            self._reported_leaving_at_by_name.pop(name, None)
        self._listed_leaving = target_names
        self._update_leaving()

    def mark_leaving(self, target_name: str, now: int) -> None:
        """Record a target's own report that it is leaving."""
        if target_name in self._address_by_name:
            self._reported_leaving_at_by_name[target_name] = now
            self._update_leaving()

    def mark_serving(self, target_name: str, now: int) -> None:
        """Record a target's own report that it is serving.

        Ignored while its last report that it is leaving stays in force.
        """
        reported_at = self._reported_leaving_at_by_name.get(target_name)
        if (
            reported_at is None
            or now - reported_at < self._settings.leaving_report_hold_ms
        ):
            return
        del self._reported_leaving_at_by_name[target_name]
        self._update_leaving()

    def report_load(self, target_name: str, load_percent: int, now: int) -> None:
        """Record a target's own load report."""
        slots = self._targets_by_name.get(target_name)
        if slots is not None:
            slots.set_load(load_percent, now)

    def record_result(
        self, target_name: str, address: Address, result: TargetReport, now: int
    ) -> None:
        """Record a request's result; ignored if the target has changed its address."""
        if self._address_by_name.get(target_name) != address:
            return
        if result.is_leaving:
            self.mark_leaving(target_name, now)
        slots = self._targets_by_name.get(target_name)
        if slots is None:
            return
        if result.is_success:
            slots.health.record_success()
            slots.duration.add(result.duration_ms)
        elif result.is_target_fault:
            slots.health.record_fault(now)

    def address_of(self, target_name: str) -> Address | None:
        """Return a target's address; None if the target is unknown."""
        return self._address_by_name.get(target_name)

    def choose(self, runs: Runs, now: int) -> str | None:
        """Return the name of the least loaded target; None if no slot is free."""
        best_names: list[str] = []
        best_rank = None
        for name, slots in self._targets_by_name.items():
            running = runs.count_at(_address(slots.target))
            allowed_slots = slots.allowed_slots(now)
            if running >= allowed_slots:
                continue
            load = max(running / slots.target.slots, slots.load_percent(now) / 100)
            rank = (slots.health.is_faulty(now), load)
            if best_rank is None or rank < best_rank:
                best_names, best_rank = [name], rank
            elif rank == best_rank:
                best_names.append(name)
        return self._rng.choice(best_names) if best_names else None

    def free_slots(self, runs: Runs, now: int) -> int:
        """Return the number of requests that could start now."""
        return sum(
            max(0, slots.allowed_slots(now) - runs.count_at(_address(slots.target)))
            for slots in self._targets_by_name.values()
        )

    def capacity(self, now: int) -> int:
        """Return the number of requests that may run at once."""
        return sum(slots.allowed_slots(now) for slots in self._targets_by_name.values())

    def open_count(self) -> int:
        """Return the number of targets that accept new requests."""
        return sum(not slots.is_closed for slots in self._targets_by_name.values())

    def _set_addresses(self, address_by_name: dict[str, Address]) -> None:
        for name in [*self._reported_leaving_at_by_name]:
            if address_by_name.get(name) != self._address_by_name.get(name):
                del self._reported_leaving_at_by_name[name]
        self._address_by_name = address_by_name
        self._update_leaving()

    def _update_leaving(self) -> None:
        names = self._listed_leaving | self._reported_leaving_at_by_name.keys()
        leaving = {self._address_by_name.get(name) for name in names}
        for slots in self._targets_by_name.values():
            slots.is_leaving = _address(slots.target) in leaving

    def next_change(self, now: int) -> int | None:
        """Return when the next slot opens by time alone; None if none will."""
        changes = [slots.next_change(now) for slots in self._targets_by_name.values()]
        return min((at for at in changes if at is not None), default=None)


def _address(target: Target) -> Address:
    return Address(target.host, target.port)


def _merged_by(
    targets: Iterable[Target], key: Callable[[Target], Hashable]
) -> dict[Hashable, Target]:
    merged: dict[Hashable, Target] = {}
    for target in sorted(targets):
        other = merged.setdefault(key(target), target)
        merged[key(target)] = _stricter(other, target)
    return merged


def _stricter(target: Target, other: Target) -> Target:
    is_draining = "draining" in (target.state, other.state)
    return target._replace(
        slots=min(target.slots, other.slots),
        state="draining" if is_draining else "active",
    )
