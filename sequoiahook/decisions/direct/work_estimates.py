"""Expected work of requests, learnt from the durations of earlier answers.

The work of a route's requests is the mean of what was observed. Objects, organisations
and sizes of the body each change it by a factor, which is shrunk towards 1 while there
are few observations: one expensive request says little about the next one.
"""

from typing import NamedTuple

from sequoiahook.decisions.direct.estimates import qualified_key
from sequoiahook.decisions.direct.placements import TargetQuery
from sequoiahook.world.routing import Route

__all__ = ["ExpectedWork", "WorkEstimateSettings", "WorkEstimates"]

PERCENT = 100
RATIO_MIN = 0.1
RATIO_MAX = 10.0
"""Bounds of one observation relative to what was expected, so that a single pause of a
target does not determine an estimate."""

UNCACHED_RATIO_MIN = 1.5
UNCACHED_RATIO_MAX = 6.0
TAIL_RATIO_MAX = 20.0


class WorkEstimateSettings(NamedTuple):
    """Settings of the estimates of work.

    Attributes:
        initial_work_percent: Work of a request with a cached object before the first
            answers, as a percentage of its route's latency goal.
        uncached_ratio: Initial ratio of the work without the cached object.
        prior_count: Observations that count as much as the value before them.
        count_max: Number of observations beyond which older ones fade.
        tail_ratio: Initial ratio of the work that few requests exceed to the mean.
        tail_permille: Requests that do not exceed it, in thousandths.
        tail_step: Relative change of that ratio by one observation.
        objects_max: Most objects that are stored.
        organisations_max: Most pairs of route and organisation that are stored.
        routes_max: Most routes that are stored.
    """

    initial_work_percent: int = 35
    uncached_ratio: float = 3.0
    prior_count: int = 8
    count_max: int = 50
    tail_ratio: float = 2.0
    tail_permille: int = 950
    tail_step: float = 0.1
    objects_max: int = 20_000
    organisations_max: int = 2_000
    routes_max: int = 2_000


class ExpectedWork(NamedTuple):
    """The work that a request is expected to need at the usual pace.

    Attributes:
        cached_ms: Mean work at a target that has its object cached.
        uncached_ms: Mean work at another target.
        tail_ratio: Ratio of the work that few requests exceed to the mean.
    """

    cached_ms: float
    uncached_ms: float
    tail_ratio: float

    def mean_ms(self, *, is_cached: bool) -> float:
        """Return the mean work."""
        return self.cached_ms if is_cached else self.uncached_ms


class _Average:
    """A mean of observations that begins at a prior value."""

    __slots__ = ("count", "value")

    def __init__(self, value: float):
        self.value = value
        self.count = 0.0

    def add(
        self, observed: float, weight: float, settings: WorkEstimateSettings
    ) -> None:
        self.count = min(self.count + weight, settings.count_max)
        step = weight / (settings.prior_count + self.count)
        self.value += step * (observed - self.value)


class _Averages:
    """Averages by key; beyond the maximum, the least recently updated is removed."""

    def __init__(self, maximum: int):
        self._maximum = maximum
        self._averages_by_key: dict[object, _Average] = {}

    def __len__(self):
        return len(self._averages_by_key)

    def value(self, key: object, initial: float = 1.0) -> float:
        average = self._averages_by_key.get(key)
        return initial if average is None else average.value

    def add(
        self,
        key: object,
        observed: float,
        weight: float,
        settings: WorkEstimateSettings,
        initial: float = 1.0,
    ) -> None:
        average = self._averages_by_key.pop(key, None) or _Average(initial)
        average.add(observed, weight, settings)
        self._averages_by_key[key] = average
        if len(self._averages_by_key) > self._maximum:
            del self._averages_by_key[next(iter(self._averages_by_key))]


class WorkEstimates:
    """Expected work, as observed by one instance.

    Args:
        settings: Settings of the estimates.
    """

    def __init__(self, settings: WorkEstimateSettings):
        self._settings = settings
        self._work_ms_by_route = _Averages(settings.routes_max)
        self._uncached_ratio_by_route = _Averages(settings.routes_max)
        self._tail_ratio_by_route: dict[str, float] = {}
        self._ratio_by_object = _Averages(settings.objects_max)
        self._ratio_by_organisation = _Averages(settings.organisations_max)
        self._ratio_by_size = _Averages(settings.routes_max)
        self._work_ms_by_service = _Averages(settings.routes_max)

    def expect(self, query: TargetQuery) -> ExpectedWork:
        """Return the work that a request is expected to need."""
        route = query.route
        cached_ms = self._work_ms_by_route.value(route.name, self._initial_ms(route))
        for averages, key in self._factors(query):
            cached_ms *= averages.value(key)
        return ExpectedWork(
            cached_ms,
            cached_ms * self._uncached_ratio(route),
            self._tail_ratio_by_route.get(route.name, self._settings.tail_ratio),
        )

    def typical_ms(self, service: str, route: Route) -> float:
        """Return the work of a request of a service of which nothing else is known.

        Args:
            service: Name of the service.
            route: A route of the service, used before the first answers.
        """
        return self._work_ms_by_service.value(service, self._initial_ms(route))

    def record(
        self, query: TargetQuery, work_ms: float, weight: float, *, is_cached: bool
    ) -> None:
        """Record the work that a request needed.

        Args:
            query: Properties of the request.
            work_ms: Its work at the usual pace.
            weight: Weight of the observation, at most 1; less if part of the duration
                may have been time in a queue.
            is_cached: Whether the target was assumed to have its object cached.
        """
        settings, route = self._settings, query.route
        expected = self.expect(query)
        ratio = work_ms / max(1.0, expected.mean_ms(is_cached=is_cached))
        ratio = min(RATIO_MAX, max(RATIO_MIN, ratio))
        service, initial_ms = query.service.name, self._initial_ms(route)
        self._work_ms_by_service.add(service, work_ms, weight, settings, initial_ms)
        if not is_cached:
            observed = ratio * self._uncached_ratio(route)
            self._uncached_ratio_by_route.add(
                route.name, observed, weight, settings, settings.uncached_ratio
            )
            return
        route_ms = self._work_ms_by_route.value(route.name, initial_ms)
        for averages, key in self._factors(query):
            # The other factors explain their part of the observation.
            averages.add(key, ratio * averages.value(key), weight, settings)
        self._work_ms_by_route.add(
            route.name, ratio * route_ms, weight, settings, initial_ms
        )
        self._record_tail(route.name, ratio)

    def _factors(self, query: TargetQuery) -> list[tuple[_Averages, object]]:
        """Return the averages that change the work of a request, and their keys."""
        route = query.route
        factors: list[tuple[_Averages, object]] = []
        if query.object_key:
            key = qualified_key(route, query.object_key)
            factors.append((self._ratio_by_object, key))
        if query.organisation:
            key = (route.name, query.organisation)
            factors.append((self._ratio_by_organisation, key))
        if query.body_bytes:
            # Sizes are distinguished by powers of two.
            key = (route.name, query.body_bytes.bit_length())
            factors.append((self._ratio_by_size, key))
        return factors

    def _uncached_ratio(self, route: Route) -> float:
        ratio = self._uncached_ratio_by_route.value(
            route.name, self._settings.uncached_ratio
        )
        return min(UNCACHED_RATIO_MAX, max(UNCACHED_RATIO_MIN, ratio))

    def _record_tail(self, route: str, ratio: float) -> None:
        settings = self._settings
        tail = self._tail_ratio_by_route.pop(route, settings.tail_ratio)
        rate = settings.tail_permille / 1_000
        step = rate if ratio > tail else rate - 1
        tail *= 1 + settings.tail_step * step
        self._tail_ratio_by_route[route] = min(TAIL_RATIO_MAX, max(1.0, tail))
        if len(self._tail_ratio_by_route) > settings.routes_max:
            del self._tail_ratio_by_route[next(iter(self._tail_ratio_by_route))]

    def _initial_ms(self, route: Route) -> float:
        percent = self._settings.initial_work_percent
        return max(1.0, route.latency_goal_ms * percent / PERCENT)
