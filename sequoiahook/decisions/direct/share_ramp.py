"""Limits the rate at which the share of objects that a region owns takes effect.

The share of a route's requests follows from the shares of the services that run it. It
jumps if a configuration changes these services or their weights, or if another instance
begins to decide the shares. Whatever the reason, the share in use moves at a limited
rate.
"""

from typing import NamedTuple

from sequoiahook.clock import MS_PER_S

__all__ = ["RampSettings", "ShareRamp"]


class RampSettings(NamedTuple):
    """Settings of the ramp.

    Attributes:
        permille_per_s: Highest rate of change, in thousandths a second.
        routes_max: Most routes whose share in use is stored.
    """

    permille_per_s: int = 50
    routes_max: int = 10_000


class _Position(NamedTuple):
    permille: float
    at: int


class ShareRamp:
    """The shares in use, by route.

    Args:
        settings: Settings of the ramp.
    """

    def __init__(self, settings: RampSettings):
        self._settings = settings
        self._positions_by_route: dict[str, _Position] = {}

    def follow(self, route: str, intended: float, now: int) -> float:
        """Move the share of a route towards its intended value, and return it.

        A route without requests so far starts at the intended value.

        Args:
            route: Name of the route.
            intended: Intended share in thousandths.
            now: The time in milliseconds.
        """
        positions = self._positions_by_route
        # Moved to the end, so that the route used least recently comes first.
        last = positions.pop(route, _Position(intended, now))
        change_max = self._settings.permille_per_s * (now - last.at) / MS_PER_S
        change = max(-change_max, min(change_max, intended - last.permille))
        positions[route] = _Position(last.permille + change, now)
        if len(positions) > self._settings.routes_max:
            del positions[next(iter(positions))]
        return last.permille + change
