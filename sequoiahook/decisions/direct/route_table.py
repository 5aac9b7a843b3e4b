"""Finding the route of a request by its host and the longest matching prefix."""

from collections.abc import Iterable

from sequoiahook.world.routing import Route

__all__ = ["RouteTable"]


class RouteTable:
    """The routes of one configuration, by host and prefix.

    Args:
        routes: All routes. Each prefix begins and ends with a slash.
    """

    def __init__(self, routes: Iterable[Route]):
        self._route_by_place = {
            (route.host, route.path_prefix): route for route in routes
        }

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins the path.

        Args:
            host: Host that the caller names, with or without a port.
            path: Path without the query.
        """
        name = host.lower().partition(":")[0]
        end = path.rfind("/")
        while end >= 0:
            route = self._route_by_place.get((name, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None
