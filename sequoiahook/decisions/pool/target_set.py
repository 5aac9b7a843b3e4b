"""The targets of a pool, and the choice among them."""

import random
from collections.abc import Sequence

from sequoiahook.decisions.pool.effects import TargetReport
from sequoiahook.decisions.pool.runs import Runs
from sequoiahook.decisions.pool.settings import PoolSettings
from sequoiahook.decisions.pool.target_slots import TargetSlots
from sequoiahook.world.instance import Address
from sequoiahook.world.target import Target

__all__ = ["TargetSet"]


class TargetSet:
    """Targets by name, one for each address.

    Args:
        settings: The pool's settings.
        rng: Source of randomness for ties.
    """

    def __init__(self, settings: PoolSettings, rng: random.Random):
        self._settings = settings
        self._rng = rng
        self._targets_by_name: dict[str, TargetSlots] = {}
        self._listed_leaving: set[str] = set()
        self._is_configured = False

    def configure(self, targets: Sequence[Target], warm_up_ms: int, now: int) -> None:
        """Take all targets; a name or an address that comes twice counts once."""
        old_by_name = self._targets_by_name
        self._targets_by_name = {}
        for target in _merged(targets):
            old = old_by_name.get(target.name)
            if old is not None and _address(old.target) == _address(target):
                old.set_target(target, warm_up_ms)
                self._targets_by_name[target.name] = old
                continue
            warm_from = now if self._is_configured else None
            slots = TargetSlots(self._settings, target, warm_from, warm_up_ms)
            slots.is_listed_leaving = target.name in self._listed_leaving
            self._targets_by_name[target.name] = slots
        self._is_configured = self._is_configured or bool(targets)

    def set_leaving(self, target_names: set[str]) -> None:
        """Take the list of leaving targets.

        A target that was listed and is so no more has come back, which also ends its
        own word.
        """
        self._listed_leaving = target_names
        for name, slots in self._targets_by_name.items():
            is_listed = name in target_names
            if slots.is_listed_leaving and not is_listed:
                slots.said_leaving_at = None
            slots.is_listed_leaving = is_listed

    def says_leaving(self, target_name: str, now: int) -> None:
        """Take a target's own word that it leaves."""
        slots = self._targets_by_name.get(target_name)
        if slots is not None:
            slots.said_leaving_at = now

    def says_serving(self, target_name: str, now: int) -> None:
        """Take a target's own word that it serves."""
        slots = self._targets_by_name.get(target_name)
        if slots is None or slots.said_leaving_at is None:
            return
        if now - slots.said_leaving_at >= self._settings.leaving_word_ms:
            slots.said_leaving_at = None

    def report_load(self, target_name: str, load_percent: int, now: int) -> None:
        """Take a target's report of its load."""
        slots = self._targets_by_name.get(target_name)
        if slots is not None:
            slots.set_load(load_percent, now)

    def learn(self, target_name: str, result: TargetReport, now: int) -> None:
        """Take the result of a run."""
        slots = self._targets_by_name.get(target_name)
        if slots is None:
            return
        if result.is_leaving:
            slots.said_leaving_at = now
        if result.is_success:
            slots.health.succeeded()
            slots.duration.add(result.duration_ms)
        elif result.is_target_fault:
            slots.health.failed(now)

    def address_of(self, target_name: str) -> Address | None:
        """Return a target's address; None if it is not known."""
        slots = self._targets_by_name.get(target_name)
        return _address(slots.target) if slots is not None else None

    def choose(self, runs: Runs, now: int) -> str | None:
        """Return the target that is used least; None if none has a free slot."""
        best: list[str] = []
        best_rank = None
        for name, slots in self._targets_by_name.items():
            running = runs.count_at(_address(slots.target))
            allowed = slots.allowed(now)
            if running >= allowed:
                continue
            load = max(running / slots.target.slots, slots.load_percent(now) / 100)
            rank = (slots.health.is_faulty, load)
            if best_rank is None or rank < best_rank:
                best, best_rank = [name], rank
            elif rank == best_rank:
                best.append(name)
        return self._rng.choice(best) if best else None

    def free_slots(self, runs: Runs, now: int) -> int:
        """Return how many requests could start now."""
        return sum(
            max(0, slots.allowed(now) - runs.count_at(_address(slots.target)))
            for slots in self._targets_by_name.values()
        )

    def capacity(self, now: int) -> int:
        """Return how many requests may run together."""
        return sum(slots.allowed(now) for slots in self._targets_by_name.values())

    def open_count(self) -> int:
        """Return how many targets take new work."""
        return sum(not slots.is_closed for slots in self._targets_by_name.values())

    def next_change(self, now: int) -> int | None:
        """Return when time alone opens a slot next; None if it never does."""
        changes = [slots.next_change(now) for slots in self._targets_by_name.values()]
        return min((at for at in changes if at is not None), default=None)


def _address(target: Target) -> Address:
    return Address(target.host, target.port)


def _merged(targets: Sequence[Target]) -> list[Target]:
    by_name: dict[str, Target] = {}
    for target in targets:
        other = by_name.get(target.name)
        by_name[target.name] = _stricter(target, other) if other else target
    by_address: dict[Address, Target] = {}
    for _, target in sorted(by_name.items()):
        other = by_address.get(_address(target))
        by_address[_address(target)] = _stricter(other, target) if other else target
    return list(by_address.values())


def _stricter(target: Target, other: Target) -> Target:
    is_draining = "draining" in (target.state, other.state)
    return target._replace(
        slots=min(target.slots, other.slots),
        state="draining" if is_draining else "active",
    )
