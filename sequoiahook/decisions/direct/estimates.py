"""Estimates of the response times of targets, learnt from earlier answers."""

from typing import NamedTuple

from sequoiahook.decisions.direct.object_owners import KnownObjects
from sequoiahook.decisions.direct.target_state import TargetState
from sequoiahook.world.routing import Route

__all__ = ["EstimateSettings", "Estimates", "qualified_key"]

PERCENT = 100


class EstimateSettings(NamedTuple):
    """Settings of the response time estimates.

    Attributes:
        unknown_object_factor: Factor by which the work grows at a target that has not
            handled the object recently.
        initial_work_percent: Typical work of a request before the first answers, as a
            percentage of its route's latency goal.
        typical_work_step: Relative change of a route's typical work by one answer.
        round_trip_ms: Round trip time to another region before the first connections.
        round_trip_step: Weight of one connection in the average round trip time.
        known_ms: Time after an answer for which a target is assumed to have the object
            cached.
        objects_max: Most objects whose targets are stored.
    """

    unknown_object_factor: float = 3.0
    initial_work_percent: int = 35
    typical_work_step: float = 0.05
    round_trip_ms: int = 80
    round_trip_step: float = 0.1
    known_ms: int = 10_000
    objects_max: int = 20_000


class Estimates:
    """Response time estimates of one instance.

    Args:
        settings: Settings of the estimates.
        region: Region of this instance.
    """

    def __init__(self, settings: EstimateSettings, region: str):
        self._settings = settings
        self._region = region
        self._typical_work_ms_by_route: dict[str, float] = {}
        self._round_trip_ms_by_region: dict[str, float] = {}
        self._known = KnownObjects(settings.known_ms, settings.objects_max)

    def typical_work_ms(self, route: Route) -> float:
        """Return the typical work of a route's requests if their object is cached."""
        typical_work_ms = self._typical_work_ms_by_route.get(route.name)
        if typical_work_ms is not None:
            return typical_work_ms
        return route.latency_goal_ms * self._settings.initial_work_percent / PERCENT

    def work_ms(self, route: Route, state: TargetState, now: int) -> float:
        """Return the expected work at a target that has the object cached."""
        return self.typical_work_ms(route) * state.slowness(now)

    def answer_ms(self, work_ms: float, state: TargetState, in_flight: int) -> int:
        """Return the expected response time, with the queue and the round trip."""
        return int(
            work_ms * _queue_factor(state, in_flight) + self.round_trip_ms(state)
        )

    def unknown_object_work_ms(self, work_ms: float) -> float:
        """Return the expected work at a target that does not have the object cached."""
        return work_ms * self._settings.unknown_object_factor

    def is_known(
        self, route: Route, object_key: str, state: TargetState, now: int
    ) -> bool:
        """Return whether a target is assumed to have an object cached."""
        return self._known.is_known(
            qualified_key(route, object_key), state.record.id, now
        )

    def record_connect(self, region: str, connect_ms: int) -> None:
        """Update the round trip time of a region from the time to open a connection."""
        average_ms = self._round_trip_ms_by_region.get(region, float(connect_ms))
        step = self._settings.round_trip_step
        self._round_trip_ms_by_region[region] = average_ms + step * (
            connect_ms - average_ms
        )

    def record_answer(
        self,
        route: Route,
        object_key: str,
        state: TargetState,
        in_flight: int,
        elapsed_ms: int,
        now: int,
    ) -> None:
        """Update the estimates from the duration of an answer.

        Args:
            route: Route of the request.
            object_key: Key of the object that it concerned; empty if it named none.
            state: The target.
            in_flight: Requests at the target when the request was sent.
            elapsed_ms: Time from the first byte written to the end of the answer.
            now: The time in milliseconds.
        """
        is_known = self.is_known(route, object_key, state, now)
        self.record_handled(route, object_key, state, now)
        if object_key and not is_known:
            return
        work_ms = max(1, elapsed_ms - self.round_trip_ms(state))
        typical_work_ms = self.typical_work_ms(route)
        ratio = work_ms / (typical_work_ms * _queue_factor(state, in_flight))
        state.record_slowness(ratio, now)
        self.record_work(route, ratio * typical_work_ms)

    def record_handled(
        self, route: Route, object_key: str, state: TargetState, now: int
    ) -> None:
        """Record that a target has handled an object."""
        key = qualified_key(route, object_key)
        self._known.record_handled(key, state.record.id, now)

    def record_work(self, route: Route, work_ms: float) -> None:
        """Update a route's typical work from one request with a cached object."""
        typical_work_ms = self.typical_work_ms(route)
        step = self._settings.typical_work_step
        # A step of fixed size tracks the median, which slow targets do not affect.
        factor = 1 + step if work_ms > typical_work_ms else 1 - step
        typical_work_ms = min(
            max(typical_work_ms * factor, 1.0), float(route.timeout_ms)
        )
        self._typical_work_ms_by_route[route.name] = typical_work_ms

    def round_trip_ms(self, state: TargetState) -> int:
        """Return the round trip time to a target; 0 within the region."""
        region = state.record.region
        if region == self._region:
            return 0
        return int(
            self._round_trip_ms_by_region.get(region, self._settings.round_trip_ms)
        )


def qualified_key(route: Route, object_key: str) -> str:
    """Return the key of an object with its route, within which the key is unique."""
    return f"{route.name}/{object_key}" if object_key else ""


def _queue_factor(state: TargetState, in_flight: int) -> float:
    slots = state.record.slots
    return 1 + max(0, in_flight + 1 - slots) / slots
