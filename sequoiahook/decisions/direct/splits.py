"""Distribution of a route's requests over services by weight."""

from sequoiahook.world.routing import Route, ServiceShare

__all__ = ["Splits"]


class _WeightedRoundRobin:
    """Smooth weighted round robin over the services of one route."""

    def __init__(self, shares: tuple[ServiceShare, ...]):
        self.shares = shares
        self._credit_by_service = {share.service: 0 for share in shares}

    def next_service(self) -> str:
        credits = self._credit_by_service
        for share in self.shares:
            credits[share.service] += share.weight
        chosen = max(credits, key=credits.__getitem__)
        credits[chosen] -= sum(share.weight for share in self.shares)
        return chosen


class Splits:
    """Selects the service for each request of a route.

    In any sequence of consecutive requests of a route, the number of requests for each
    service differs from its weighted share by at most one per service.
    """

    def __init__(self):
        self._round_robin_by_route: dict[str, _WeightedRoundRobin] = {}

    def service_for(self, route: Route) -> str:
        """Return the service that runs the next request of a route."""
        if len(route.shares) == 1:
            return route.shares[0].service
        round_robin = self._round_robin_by_route.get(route.name)
        if round_robin is None or round_robin.shares != route.shares:
            round_robin = self._round_robin_by_route[route.name] = _WeightedRoundRobin(
                route.shares
            )
        return round_robin.next_service()
