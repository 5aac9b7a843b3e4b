"""How long answers of targets are expected to take, learnt from those that came."""

from typing import NamedTuple

from sequoiahook.decisions.direct.object_owners import KnownObjects
from sequoiahook.decisions.direct.target_state import TargetState
from sequoiahook.world.routing import Route

__all__ = ["EstimateSettings", "Estimates", "full_key"]

CACHE_MAX = 20_000
PERCENT = 100


class EstimateSettings(NamedTuple):
    """Figures of the expected times.

    Attributes:
        unknown_factor: How many times longer a target takes for an object that it has
            not handled recently.
        usual_percent: Usual work of a request until answers tell it, in hundredths of
            its route's aim.
        usual_step: Weight of one answer in the usual work of a route.
        way_ms: Time to another region and back until connections tell it.
        way_step: Weight of one connection in the time to a region and back.
        known_ms: For how long a target is taken to know an object after an answer.
    """

    unknown_factor: float = 3.0
    usual_percent: int = 35
    usual_step: float = 0.05
    way_ms: int = 80
    way_step: float = 0.1
    known_ms: int = 10_000


class Estimates:
    """Expected times of one instance.

    Args:
        settings: The figures.
        region: Region of this instance.
    """

    def __init__(self, settings: EstimateSettings, region: str):
        self._settings = settings
        self._region = region
        self._usual_ms_by_route: dict[str, float] = {}
        self._way_ms_by_region: dict[str, float] = {}
        self._known = KnownObjects(settings.known_ms, CACHE_MAX)

    def usual_ms(self, route: Route) -> float:
        """Return the usual work of a route's requests at a target that knows them."""
        usual_ms = self._usual_ms_by_route.get(route.name)
        if usual_ms is not None:
            return usual_ms
        return route.aim_ms * self._settings.usual_percent / PERCENT

    def work_ms(self, route: Route, state: TargetState, now: int) -> float:
        """Return the work of a request at a target that knows its object."""
        return self.usual_ms(route) * state.slowness(now)

    def answer_ms(self, work_ms: float, state: TargetState, in_flight: int) -> int:
        """Return when an answer is expected, with the queue and the way."""
        return int(work_ms * _queue_factor(state, in_flight) + self._way_ms(state))

    def unknown_work_ms(self, work_ms: float) -> float:
        """Return the work at a target that does not know the object."""
        return work_ms * self._settings.unknown_factor

    def is_known(
        self, route: Route, object_key: str, state: TargetState, now: int
    ) -> bool:
        """Return whether a target is taken to know an object."""
        return self._known.is_known(full_key(route, object_key), state.record.id, now)

    def note_way(self, region: str, connect_ms: int) -> None:
        """Learn from how long a connection to a region took to open."""
        last = self._way_ms_by_region.get(region, float(connect_ms))
        step = self._settings.way_step
        self._way_ms_by_region[region] = last + step * (connect_ms - last)

    def note_answer(
        self,
        route: Route,
        object_key: str,
        state: TargetState,
        in_flight: int,
        elapsed_ms: int,
        now: int,
    ) -> None:
        """Learn from how long an answer took.

        Args:
            route: Route of the request.
            object_key: The object that it concerned; empty if it named none.
            state: The target.
            in_flight: What the target had when the request was sent.
            elapsed_ms: Time from the first byte written to the end of the answer.
            now: The time in milliseconds.
        """
        is_known = self.is_known(route, object_key, state, now)
        self._known.note(full_key(route, object_key), state.record.id, now)
        if object_key and not is_known:
            return
        work_ms = max(1, elapsed_ms - self._way_ms(state))
        usual_ms = self.usual_ms(route)
        ratio = work_ms / (usual_ms * _queue_factor(state, in_flight))
        state.note_slowness(ratio, now)
        step = self._settings.usual_step
        # A step of fixed size follows the median, which slow targets do not move.
        factor = 1 + step if ratio > 1 else 1 - step
        usual_ms = min(max(usual_ms * factor, 1.0), float(route.timeout_ms))
        self._usual_ms_by_route[route.name] = usual_ms

    def _way_ms(self, state: TargetState) -> int:
        region = state.record.region
        if region == self._region:
            return 0
        return int(self._way_ms_by_region.get(region, self._settings.way_ms))


def full_key(route: Route, object_key: str) -> str:
    """Return the name of an object; routes number theirs independently."""
    return f"{route.name}/{object_key}" if object_key else ""


def _queue_factor(state: TargetState, in_flight: int) -> float:
    slots = state.record.slots
    return 1 + max(0, in_flight + 1 - slots) / slots
