"""Which target gets a request, or when to come back if none should.

A target that has recently handled an object handles it about three times as fast, so
each object has one owner in each region: the winner by rendezvous hashing over the
targets there. A request goes to the owner that is expected to answer first, counting
the way to other regions and what each owner has in its queue. An owner that already
has its limit gets nothing more: a request that is refused at once with a time to come
back to, or that another region's owner takes, serves more callers than one that waits
beyond its aim or runs where nothing of its object is known.

The load that this answers: more requests than a region can run, with the traffic
unevenly divided over regions. It trades a longer way for a shorter queue, and some
refusals of less urgent requests for answers in time to the others.
"""

from collections.abc import Sequence
from typing import NamedTuple

from sequoiahook.clock import MS_PER_S
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
        limit_percent: Requests that a target has at most, in hundredths of its slots,
            for the least urgent requests.
        limit_step_percent: How much more the target may have for each higher rank.
        ranks: How many ranks are told apart.
        unknown_factor: How many times longer a target takes for an object that it has
            not handled recently.
        usual_percent: Usual work of a request until answers tell it, in hundredths of
            its route's aim.
        usual_step: Weight of one answer in the usual work of a route.
        failing_share: Part of failures from which on a target is avoided.
        way_ms_by_region: Time to another region and back.
    """

    limit_percent: int = 150
    limit_step_percent: int = 50
    ranks: int = 3
    unknown_factor: float = 3.0
    usual_percent: int = 35
    usual_step: float = 0.05
    failing_share: float = 0.2
    way_ms_by_region: int = 80


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
        self._usual_ms_by_route: dict[str, float] = {}
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

    def note_answer(
        self, route: Route, state: TargetState, busy: int, elapsed_ms: int, now: int
    ) -> None:
        """Learn from how long an answer took.

        Args:
            route: Route of the request.
            state: The target.
            busy: What the target had when the request was sent.
            elapsed_ms: Time from the first byte written to the end of the answer.
            now: The time in milliseconds.
        """
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
        places = []
        for region in self._regions:
            if demand.regions and region not in demand.regions:
                continue
            usable = self._usable(demand, region, now)
            if not usable:
                continue
            places.append(self._place(usable[0], demand, 1.0, now))
            is_only_region = len(demand.regions) == 1
            if len(usable) > 1 and (is_only_region or not demand.object_key):
                factor = self._settings.unknown_factor if demand.object_key else 1.0
                places.append(self._place(usable[1], demand, factor, now))
        return places

    def _usable(self, demand: Demand, region: str, now: int) -> list[TargetState]:
        """Return the first two targets in order that may have the request."""
        found: list[TargetState] = []
        for state in self._ordered(demand, region):
            if state.record.id in demand.tried or not state.may_send(now):
                continue
            if state.is_cold(now) and not self._bears(state, demand, region, now):
                continue
            found.append(state)
            if len(found) == 2:
                break
        return found

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
        key = (demand.service.name, region, demand.object_key)
        states = self._orders_by_key.get(key)
        if states is None:
            if len(self._orders_by_key) >= CACHE_MAX:
                self._orders_by_key.clear()
            by_id = {state.record.id: state for state in group}
            states = [by_id[name] for name in order(demand.object_key, by_id)]
            self._orders_by_key[key] = states
        return states

    def _place(
        self, state: TargetState, demand: Demand, factor: float, now: int
    ) -> Place:
        busy = state.busy(now)
        work_ms = self.usual_ms(demand.route) * factor * state.slowness(now)
        expected_ms = work_ms * self._queue_factor(state, busy) + self._way_ms(state)
        failures = state.failures(now)
        if failures > self._settings.failing_share:
            expected_ms += failures * 2 * demand.route.aim_ms
        return Place(state, int(expected_ms), busy)

    def _queue_factor(self, state: TargetState, busy: int) -> float:
        slots = state.record.slots
        return 1 + max(0, busy + 1 - slots) / slots

    def _way_ms(self, state: TargetState) -> int:
        is_near = state.record.region == self._region
        return 0 if is_near else self._settings.way_ms_by_region

    def _limit(self, state: TargetState, priority: int) -> float:
        settings = self._settings
        rank = max(0, settings.ranks - 1 - priority)
        percent = settings.limit_percent + rank * settings.limit_step_percent
        return state.record.slots * percent / PERCENT

    def _has_room(self, place: Place, demand: Demand) -> bool:
        return place.busy < self._limit(place.state, demand.priority)

    def _room_in_ms(self, place: Place, demand: Demand, now: int) -> int:
        """Return when the target is expected to have room for one more request."""
        state = place.state
        over = place.busy + 1 - self._limit(state, demand.priority)
        work_ms = self.usual_ms(demand.route) * state.slowness(now)
        return max(
            self._pause_ms(demand), int(over * work_ms / max(1, state.record.slots))
        )

    def _pause_ms(self, demand: Demand) -> int:
        return max(1, int(self.usual_ms(demand.route)))
