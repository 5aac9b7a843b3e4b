"""Lookup of the route of a request by host and longest matching path prefix."""

from collections.abc import Iterable

from sequoiahook.world.routing import Route

__all__ = ["RouteTable"]


class RouteTable:
    """The routes of one configuration, by host and path prefix.

    Args:
        routes: All routes. Each prefix begins and ends with a slash.
    """

    def __init__(self, routes: Iterable[Route]):
        self._route_by_host_and_prefix = {
            (route.host, route.path_prefix): route for route in routes
        }
        self._prefix_length_max = max(
            (len(prefix) for _, prefix in self._route_by_host_and_prefix), default=0
        )

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest prefix of the path.

        Args:
            host: Host header, with or without a port.
            path: Path without the query.
        """
        name = host.lower().partition(":")[0]
        end = path.rfind("/", 0, self._prefix_length_max)
        while end >= 0:
            route = self._route_by_host_and_prefix.get((name, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None
