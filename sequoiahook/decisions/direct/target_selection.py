"""Which target gets a request, or when to come back if none should.

A target that has recently handled an object handles it about three times as fast, so
each object has one owner: a target of the callers' own region for the share of objects
that the region can carry, else one of another region, by rendezvous hashing. A request
goes to the target that is expected to answer first, counting the way, the queue and
whether the target knows the object. A target that does not is used only while it has
slots free, and one that has its limit gets nothing more: a request that is refused at
once with a time to come back to serves more callers than one that waits beyond its aim
or takes three times its work from a target that is busy.

The load that this answers: more requests than the targets can run, and owners that are
slow, full or gone. It trades some refusals of less urgent requests for answers in time
to the others.
"""

from collections.abc import Sequence
from typing import NamedTuple

from sequoiahook.clock import MS_PER_S
from sequoiahook.decisions.direct.disturbance import Disturbance
from sequoiahook.decisions.direct.estimates import (
    Estimates,
    EstimateSettings,
    full_key,
)
from sequoiahook.decisions.direct.home_share import (
    HomeShares,
    HomeShareSettings,
    TargetUse,
)
from sequoiahook.decisions.direct.object_owners import position, region_order
from sequoiahook.decisions.direct.requests import Cause
from sequoiahook.decisions.direct.shift_limit import ShiftLimit, ShiftSettings
from sequoiahook.decisions.direct.target_registry import TargetBook
from sequoiahook.decisions.direct.target_state import TargetState
from sequoiahook.decisions.rendezvous import order
from sequoiahook.world.routing import Route, TargetService

__all__ = ["Demand", "Place", "Placing", "PlacingSettings"]

CACHE_MAX = 20_000
PERCENT = 100


class PlacingSettings(NamedTuple):
    """Figures of the choice of a target.

    Attributes:
        limit_percent: Requests that a target has at most, in hundredths of its slots.
        patience_percent: Expected time to an answer, in hundredths of the route's aim,
            up to which the least urgent requests queue at a target without free slots.
        patience_step_percent: How much more it is for each higher rank.
        bound_percent: How much more it is for a request that may run in one region
            only: others find room elsewhere.
        ranks: How many ranks are told apart.
        failing_share: Part of failures from which on a target is avoided.
        estimates: Figures of the expected times.
        home: Settings of the share of objects that the own region owns.
        shift: How many requests may run elsewhere than in the region of their owner.
        calm_ms: Time after a failure in which requests may leave their region at any
            rate; the platform's own bounds hold from four seconds after one.
        begin_ms: Time after the first request in which they may, since no share of a
            region is known to fit the load before.
        look_ms: Time between two looks at which targets work.
    """

    limit_percent: int = 300
    patience_percent: int = 90
    patience_step_percent: int = 25
    bound_percent: int = 100
    ranks: int = 3
    failing_share: float = 0.2
    estimates: EstimateSettings = EstimateSettings()
    home: HomeShareSettings = HomeShareSettings()
    shift: ShiftSettings = ShiftSettings()
    calm_ms: int = 6_000
    begin_ms: int = 4_000
    look_ms: int = 400


class Demand(NamedTuple):
    """A request that looks for a target.

    Attributes:
        service: Service that runs it.
        route: Its route.
        object_key: The object that it concerns; empty if it names none.
        priority: Its rank; 0 is the highest.
        regions: Regions that it may run in; empty means all.
        left_ms: Time that its caller still waits.
        tried: Ids of targets that it was sent to before.
    """

    service: TargetService
    route: Route
    object_key: str
    priority: int
    regions: tuple[str, ...]
    left_ms: int
    tried: frozenset[str]


class Place(NamedTuple):
    """Where a request goes.

    Attributes:
        state: The target; None if no target should have the request.
        expected_ms: Time until its answer is expected.
        busy: Requests that the target has, as far as is known.
        retry_after_ms: When to come back if there is no target.
        cause: Why there is none.
        is_moved: Whether the target stands in another region than the object's owner.
    """

    state: TargetState | None
    expected_ms: int = 0
    busy: int = 0
    retry_after_ms: int = 0
    cause: str = ""
    is_moved: bool = False


class Placing:
    """Chooses targets.

    Args:
        settings: The figures.
        region: Region of this instance.
        regions: All regions.
        book: The targets.
        now: The time in milliseconds.
    """

    def __init__(
        self,
        settings: PlacingSettings,
        region: str,
        regions: Sequence[str],
        book: TargetBook,
        now: int = 0,
    ):
        self.instances_in_region = 1
        self.estimates = Estimates(settings.estimates, region)
        self._settings = settings
        self._region = region
        self._regions = (region, *(name for name in regions if name != region))
        self._book = book
        self.home_shares = HomeShares(settings.home)
        self._shift = ShiftLimit(settings.shift)
        self.disturbance = Disturbance(settings.calm_ms, now)
        self._loaded_at: int | None = None
        self._looked_at = now - settings.look_ms
        self._orders_by_key: dict[tuple[str, str, str], list[TargetState]] = {}
        self._ordered_version = -1

    def choose(self, demand: Demand, now: int) -> Place:
        """Return where a request should go."""
        candidates = self._candidates(demand, now)
        if not candidates:
            return Place(
                None, retry_after_ms=self._pause_ms(demand), cause=Cause.NO_TARGET
            )
        fitting = [place for place in candidates if self._has_room(place, demand)]
        if not fitting:
            soonest = min(candidates, key=lambda place: place.expected_ms)
            wait_ms = self._room_in_ms(soonest, demand, now)
            return Place(None, retry_after_ms=wait_ms, cause=Cause.FULL)
        best = self._best(candidates, fitting, demand, now)
        if best is None:
            wait_ms = self._room_in_ms(candidates[0], demand, now)
            return Place(None, retry_after_ms=wait_ms, cause=Cause.SHIFT)
        if best.expected_ms > demand.left_ms:
            pause_ms = self._pause_ms(demand)
            return Place(None, retry_after_ms=pause_ms, cause=Cause.TOO_LATE)
        return best

    def is_free(self, now: int) -> bool:
        """Return whether requests may change their region at any rate.

        That is so after a failure, and while the load has just begun.
        """
        return self.is_beginning(now) or self.disturbance.is_near(now)

    def is_beginning(self, now: int) -> bool:
        """Return whether the load has just begun."""
        if self._loaded_at is None:
            return True
        return now - self._loaded_at < self._settings.begin_ms

    def note_sent(self, place: Place, now: int) -> None:
        """Count a request that goes to a place that was chosen for it."""
        if self._loaded_at is None:
            self._loaded_at = now
        self._shift.note(now, is_moved=place.is_moved)

    def tick(self, now: int) -> None:
        """Look at which targets work, several times in the shortest failure."""
        if now - self._looked_at < self._settings.look_ms:
            return
        self._looked_at = now
        working = (
            target_id
            for target_id, state in self._book.states_by_id.items()
            if self._book.is_usable(target_id) and state.may_send(now)
        )
        self.disturbance.update("target", working, now)

    def use(self, service: str, now: int) -> TargetUse:
        """Return how the targets of a service are used."""
        busy_by_region = {
            region: sum(state.busy(now) for state in self._book.group(service, region))
            for region in self._regions
        }
        slots = sum(self.slots_by_region(service).values())
        all_part = sum(busy_by_region.values()) / max(1, slots)
        return TargetUse(busy_by_region[self._region], all_part)

    def slots_by_region(self, service: str) -> dict[str, int]:
        """Return the slots of a service's targets that may have new work."""
        return {region: self._book.slots(service, region) for region in self._regions}

    def _best(
        self,
        candidates: list[Place],
        fitting: list[Place],
        demand: Demand,
        now: int,
    ) -> Place | None:
        """Return the place that answers first, within the limit of the shift.

        Args:
            candidates: All places.
            fitting: Those that have room.
            demand: The request.
            now: The time in milliseconds.
        """
        best = _soonest(fitting)
        is_free = candidates[0].is_moved or self.is_free(now)
        if not best.is_moved or is_free or self._shift.may_move(now):
            return best
        return _soonest([place for place in fitting if not place.is_moved])

    def _candidates(self, demand: Demand, now: int) -> list[Place]:
        """Return where the request could go: the owner first, then others."""
        places: list[Place] = []
        for index, region in enumerate(self._region_order(demand)):
            usable = self._usable(demand, region, now)
            for state in usable[: 1 if places else 2]:
                place = self._place(state, demand, is_owner=not places, now=now)
                if place is not None:
                    places.append(place._replace(is_moved=index > 0))
        return places

    def _region_order(self, demand: Demand) -> list[str]:
        """Return the regions that may run a request; that of the owner first."""
        allowed = [
            r for r in self._regions if not demand.regions or r in demand.regions
        ]
        if not demand.object_key or self._region not in allowed:
            return allowed
        service = demand.service.name
        slots_by_region = self.slots_by_region(service)
        share = self.home_shares.share(
            service,
            slots_by_region[self._region],
            sum(slots_by_region.values()),
            len(self._regions),
        )
        key = full_key(demand.route, demand.object_key)
        if position(key) < share:
            return allowed
        others = {r: slots_by_region[r] for r in allowed if r != self._region}
        return [*region_order(key, others), self._region]

    def _usable(self, demand: Demand, region: str, now: int) -> list[TargetState]:
        """Return the first two targets in order that may have the request.

        Cold ones come last, since an answer of theirs takes long.
        """
        found: list[TargetState] = []
        cold: list[TargetState] = []
        for state in self._ordered(demand, region):
            if state.record.id in demand.tried or not state.may_send(now):
                continue
            if not state.is_cold(now):
                found.append(state)
            elif self._bears(state, demand, region, now):
                cold.append(state)
            if len(found) == 2:
                break
        return (found or cold)[:2]

    def _bears(self, state: TargetState, demand: Demand, region: str, now: int) -> bool:
        """Return whether a cold target bears another request of this instance.

        Only the instances of its region use it, each for an equal part of its rate.
        """
        if region != self._region or demand.service.cold_per_s <= 0:
            return False
        part = demand.service.cold_per_s / max(1, self.instances_in_region)
        if state.sent_cold_at is None:
            return True
        return now - state.sent_cold_at >= MS_PER_S / part

    def _ordered(self, demand: Demand, region: str) -> list[TargetState]:
        group = self._book.group(demand.service.name, region)
        if not demand.route.is_sticky or not demand.object_key:
            return sorted(group, key=lambda state: state.open_count)
        if self._ordered_version != self._book.version:
            self._orders_by_key.clear()
            self._ordered_version = self._book.version
        key = (
            demand.service.name,
            region,
            full_key(demand.route, demand.object_key),
        )
        states = self._orders_by_key.get(key)
        if states is None:
            if len(self._orders_by_key) >= CACHE_MAX:
                self._orders_by_key.clear()
            by_id = {state.record.id: state for state in group}
            states = [by_id[name] for name in order(key[-1], by_id)]
            self._orders_by_key[key] = states
        return states

    def _place(
        self, state: TargetState, demand: Demand, *, is_owner: bool, now: int
    ) -> Place | None:
        """Return what is expected of a target; None if it should not be used."""
        busy = state.busy(now)
        estimates = self.estimates
        work_ms = estimates.work_ms(demand.route, state, now)
        is_known = estimates.is_known(demand.route, demand.object_key, state, now)
        if demand.object_key and not is_owner and not is_known:
            if busy >= state.record.slots and not _is_bound(demand):
                return None
            work_ms = estimates.unknown_work_ms(work_ms)
        expected_ms = estimates.answer_ms(work_ms, state, busy)
        failures = state.failures(now)
        if failures > self._settings.failing_share:
            expected_ms += failures * 2 * demand.route.aim_ms
        return Place(state, int(expected_ms), busy)

    def _patience_ms(self, demand: Demand) -> float:
        """Return up to which expected time a request may queue for a slot."""
        settings = self._settings
        rank = max(0, settings.ranks - 1 - demand.priority)
        percent = settings.patience_percent + rank * settings.patience_step_percent
        if _is_bound(demand):
            percent += settings.bound_percent
        return demand.route.aim_ms * percent / PERCENT

    def _has_room(self, place: Place, demand: Demand) -> bool:
        slots = place.state.record.slots
        if place.busy < slots:
            return True
        if place.busy >= slots * self._settings.limit_percent // PERCENT:
            return False
        return place.expected_ms <= self._patience_ms(demand)

    def _room_in_ms(self, place: Place, demand: Demand, now: int) -> int:
        """Return when the target is expected to have room for one more request."""
        state = place.state
        over_ms = int(place.expected_ms - self._patience_ms(demand))
        work_ms = self.estimates.work_ms(demand.route, state, now)
        return max(int(work_ms / max(1, state.record.slots)), over_ms)

    def _pause_ms(self, demand: Demand) -> int:
        return max(1, int(self.estimates.usual_ms(demand.route)))


def _soonest(places: Sequence[Place]) -> Place | None:
    return min(places, key=lambda place: place.expected_ms, default=None)


def _is_bound(demand: Demand) -> bool:
    """Return whether a request may run in one region only."""
    return len(demand.regions) == 1
