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
    """Targets, one for each address; other names of the address are aliases.

    Args:
        settings: The pool's settings.
        rng: Source of randomness for ties.
    """

    def __init__(self, settings: PoolSettings, rng: random.Random):
        self._settings = settings
        self._rng = rng
        self._targets_by_name: dict[str, TargetSlots] = {}
        self._address_by_name: dict[str, Address] = {}
        self._listed_leaving: set[str] = set()
        self._said_leaving_at_by_name: dict[str, int] = {}
        self._is_configured = False

    def configure(self, targets: Sequence[Target], warm_up_ms: int, now: int) -> None:
        """Take all targets; a name or an address that comes twice counts once."""
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
            warm_from = now if self._is_configured else None
            self._targets_by_name[target.name] = TargetSlots(
                self._settings, target, warm_from, warm_up_ms
            )
        self._is_configured = self._is_configured or bool(targets)
        self._set_addresses({n: _address(target) for n, target in by_name.items()})

    def set_leaving(self, target_names: set[str]) -> None:
        """Take the list of leaving targets.

        A target that was listed and is so no more has come back, which also ends its
        own word.
        """
        for name in self._listed_leaving - target_names:
            self._said_leaving_at_by_name.pop(name, None)
        self._listed_leaving = target_names
        self._mark_leaving()

    def says_leaving(self, target_name: str, now: int) -> None:
        """Take a target's own word that it leaves."""
        if target_name in self._address_by_name:
            self._said_leaving_at_by_name[target_name] = now
            self._mark_leaving()

    def says_serving(self, target_name: str, now: int) -> None:
        """Take a target's own word that it serves."""
        said_at = self._said_leaving_at_by_name.get(target_name)
        if said_at is None or now - said_at < self._settings.leaving_word_ms:
            return
        del self._said_leaving_at_by_name[target_name]
        self._mark_leaving()

    def report_load(self, target_name: str, load_percent: int, now: int) -> None:
        """Take a target's report of its load."""
        slots = self._targets_by_name.get(target_name)
        if slots is not None:
            slots.set_load(load_percent, now)

    def learn(
        self, target_name: str, address: Address, result: TargetReport, now: int
    ) -> None:
        """Take the result of a run; one of an address that was left says nothing."""
        if self._address_by_name.get(target_name) != address:
            return
        if result.is_leaving:
            self.says_leaving(target_name, now)
        slots = self._targets_by_name.get(target_name)
        if slots is None:
            return
        if result.is_success:
            slots.health.succeeded()
            slots.duration.add(result.duration_ms)
        elif result.is_target_fault:
            slots.health.failed(now)

    def address_of(self, target_name: str) -> Address | None:
        """Return a target's address; None if it is not known."""
        return self._address_by_name.get(target_name)

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
            rank = (slots.health.is_faulty(now), load)
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

    def _set_addresses(self, address_by_name: dict[str, Address]) -> None:
        for name in [*self._said_leaving_at_by_name]:
            if address_by_name.get(name) != self._address_by_name.get(name):
                del self._said_leaving_at_by_name[name]
        self._address_by_name = address_by_name
        self._mark_leaving()

    def _mark_leaving(self) -> None:
        names = self._listed_leaving | self._said_leaving_at_by_name.keys()
        leaving = {self._address_by_name.get(name) for name in names}
        for slots in self._targets_by_name.values():
            slots.is_leaving = _address(slots.target) in leaving

    def next_change(self, now: int) -> int | None:
        """Return when time alone opens a slot next; None if it never does."""
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
