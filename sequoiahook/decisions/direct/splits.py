"""Dividing the requests of a route over services by their weights."""

from sequoiahook.world.routing import Route, ServiceShare

__all__ = ["Splits"]


class _Turns:
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
    """Which service runs the next request of each route.

    Any run of consecutive requests of a route has the shares of the weights, to within
    one request for each service.
    """

    def __init__(self):
        self._turns_by_route: dict[str, _Turns] = {}

    def service_for(self, route: Route) -> str:
        """Return the service that runs the next request of a route."""
        if len(route.shares) == 1:
            return route.shares[0].service
        turns = self._turns_by_route.get(route.name)
        if turns is None or turns.shares != route.shares:
            turns = self._turns_by_route[route.name] = _Turns(route.shares)
        return turns.next_service()
