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
from sequoiahook.decisions.direct.home_share import HomeShares, HomeShareSettings
from sequoiahook.decisions.direct.object_homes import (
    KnownObjects,
    position,
    region_order,
)
from sequoiahook.decisions.direct.target_book import TargetBook
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
        unknown_factor: How many times longer a target takes for an object that it has
            not handled recently.
        usual_percent: Usual work of a request until answers tell it, in hundredths of
            its route's aim.
        usual_step: Weight of one answer in the usual work of a route.
        failing_share: Part of failures from which on a target is avoided.
        way_ms: Time to another region and back until connections tell it.
        way_step: Weight of one connection in the time to a region and back.
        known_ms: For how long a target is taken to know an object after an answer.
        home: Settings of the share of objects that the own region owns.
    """

    limit_percent: int = 300
    patience_percent: int = 90
    patience_step_percent: int = 25
    bound_percent: int = 100
    ranks: int = 3
    unknown_factor: float = 3.0
    usual_percent: int = 35
    usual_step: float = 0.05
    failing_share: float = 0.2
    way_ms: int = 80
    way_step: float = 0.1
    known_ms: int = 10_000
    home: HomeShareSettings = HomeShareSettings()


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
    """

    state: TargetState | None
    expected_ms: int = 0
    busy: int = 0
    retry_after_ms: int = 0
    cause: str = ""


class Placing:
    """Chooses targets.

    Args:
        settings: The figures.
        region: Region of this instance.
        regions: All regions.
        book: The targets.
    """

    def __init__(
        self,
        settings: PlacingSettings,
        region: str,
        regions: Sequence[str],
        book: TargetBook,
    ):
        self.instances_in_region = 1
        self._settings = settings
        self._region = region
        self._regions = (region, *(name for name in regions if name != region))
        self._book = book
        self.home_shares = HomeShares(settings.home)
        self._usual_ms_by_route: dict[str, float] = {}
        self._way_ms_by_region: dict[str, float] = {}
        self._known = KnownObjects(settings.known_ms, CACHE_MAX)
        self._orders_by_key: dict[tuple[str, str, str], list[TargetState]] = {}
        self._ordered_version = -1

    def choose(self, demand: Demand, now: int) -> Place:
        """Return where a request should go."""
        candidates = self._candidates(demand, now)
        if not candidates:
            return Place(None, retry_after_ms=self._pause_ms(demand), cause="no target")
        fitting = [place for place in candidates if self._has_room(place, demand)]
        if not fitting:
            soonest = min(candidates, key=lambda place: place.expected_ms)
            wait_ms = self._room_in_ms(soonest, demand, now)
            return Place(None, retry_after_ms=wait_ms, cause="targets are full")
        best = min(fitting, key=lambda place: place.expected_ms)
        if best.expected_ms > demand.left_ms:
            return Place(
                None, retry_after_ms=self._pause_ms(demand), cause="no answer in time"
            )
        return best

    def usual_ms(self, route: Route) -> float:
        """Return the usual work of a route's requests at a target that knows them."""
        usual_ms = self._usual_ms_by_route.get(route.name)
        if usual_ms is not None:
            return usual_ms
        return route.aim_ms * self._settings.usual_percent / PERCENT

    def note_way(self, region: str, connect_ms: int) -> None:
        """Learn from how long a connection to a region took to open."""
        last = self._way_ms_by_region.get(region, float(connect_ms))
        step = self._settings.way_step
        self._way_ms_by_region[region] = last + step * (connect_ms - last)

    def slots_by_region(self, service: str) -> dict[str, int]:
        """Return the slots of a service's targets that may have new work."""
        return {
            region: sum(
                state.record.slots for state in self._book.group(service, region)
            )
            for region in self._regions
        }

    def note_answer(
        self,
        route: Route,
        object_key: str,
        state: TargetState,
        busy: int,
        elapsed_ms: int,
        now: int,
    ) -> None:
        """Learn from how long an answer took.

        Args:
            route: Route of the request.
            object_key: The object that it concerned; empty if it named none.
            state: The target.
            busy: What the target had when the request was sent.
            elapsed_ms: Time from the first byte written to the end of the answer.
            now: The time in milliseconds.
        """
        is_known = self._known.is_known(
            _full_key(route, object_key), state.record.id, now
        )
        self._known.note(_full_key(route, object_key), state.record.id, now)
        if object_key and not is_known:
            return
        work_ms = max(1, elapsed_ms - self._way_ms(state))
        usual_ms = self.usual_ms(route)
        queue = self._queue_factor(state, busy)
        ratio = work_ms / (usual_ms * queue)
        state.note_slowness(ratio, now)
        step = self._settings.usual_step
        # A step of fixed size follows the median, which slow targets do not move.
        factor = 1 + step if ratio > 1 else 1 - step
        usual_ms = min(max(usual_ms * factor, 1.0), float(route.timeout_ms))
        self._usual_ms_by_route[route.name] = usual_ms

    def _candidates(self, demand: Demand, now: int) -> list[Place]:
        """Return where the request could go: the owner first, then others."""
        places: list[Place] = []
        for region in self._region_order(demand):
            usable = self._usable(demand, region, now)
            for state in usable[: 1 if places else 2]:
                place = self._place(state, demand, is_owner=not places, now=now)
                if place is not None:
                    places.append(place)
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
        key = _full_key(demand.route, demand.object_key)
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
            _full_key(demand.route, demand.object_key),
        )
        states = self._orders_by_key.get(key)
        if states is None:
            if len(self._orders_by_key) >= CACHE_MAX:
                self._orders_by_key.clear()
            by_id = {state.record.id: state for state in group}
            full_key = _full_key(demand.route, demand.object_key)
            states = [by_id[name] for name in order(full_key, by_id)]
            self._orders_by_key[key] = states
        return states

    def _place(
        self, state: TargetState, demand: Demand, *, is_owner: bool, now: int
    ) -> Place | None:
        """Return what is expected of a target; None if it should not be used."""
        busy = state.busy(now)
        work_ms = self.usual_ms(demand.route) * state.slowness(now)
        key = _full_key(demand.route, demand.object_key)
        is_known = self._known.is_known(key, state.record.id, now)
        if demand.object_key and not is_owner and not is_known:
            if busy >= state.record.slots and not _is_bound(demand):
                return None
            work_ms *= self._settings.unknown_factor
        expected_ms = work_ms * self._queue_factor(state, busy) + self._way_ms(state)
        failures = state.failures(now)
        if failures > self._settings.failing_share:
            expected_ms += failures * 2 * demand.route.aim_ms
        return Place(state, int(expected_ms), busy)

    def _queue_factor(self, state: TargetState, busy: int) -> float:
        slots = state.record.slots
        return 1 + max(0, busy + 1 - slots) / slots

    def _way_ms(self, state: TargetState) -> int:
        region = state.record.region
        if region == self._region:
            return 0
        return int(self._way_ms_by_region.get(region, self._settings.way_ms))

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
        work_ms = self.usual_ms(demand.route) * state.slowness(now)
        return max(int(work_ms / max(1, state.record.slots)), over_ms)

    def _pause_ms(self, demand: Demand) -> int:
        return max(1, int(self.usual_ms(demand.route)))


def _is_bound(demand: Demand) -> bool:
    """Return whether a request may run in one region only."""
    return len(demand.regions) == 1


def _full_key(route: Route, object_key: str) -> str:
    """Return the name of an object; routes number theirs independently."""
    return f"{route.name}/{object_key}" if object_key else ""
