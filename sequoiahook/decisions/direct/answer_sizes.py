"""Mean sizes of the answers of routes, as seen by one instance."""

from sequoiahook.decisions.direct.target_selection_settings import NearbySettings
from sequoiahook.world.routing import Route

__all__ = ["AnswerSizes"]


class AnswerSizes:
    """Mean answer sizes by route; beyond the maximum, the oldest is removed.

    Args:
        settings: The settings.
    """

    def __init__(self, settings: NearbySettings):
        self._settings = settings
        self._mean_bytes_by_route: dict[str, float] = {}

    def are_large(self, route: Route) -> bool:
        """Return whether the mean answer of a route is large."""
        mean_bytes = self._mean_bytes_by_route.get(route.name, 0.0)
        return mean_bytes >= self._settings.answer_bytes_min

    def record(self, route: Route, answer_bytes: int) -> None:
        """Update the mean size of a route's answers."""
        sizes = self._mean_bytes_by_route
        mean_bytes = sizes.pop(route.name, float(answer_bytes))
        step = self._settings.answer_bytes_step
        sizes[route.name] = mean_bytes + step * (answer_bytes - mean_bytes)
        if len(sizes) > self._settings.routes_max:
            del sizes[next(iter(sizes))]
