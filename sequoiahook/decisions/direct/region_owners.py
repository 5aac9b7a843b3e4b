"""Selects the region that owns an object, and the order of the others.

The own region owns a share of each route's objects. The others own the rest, in
proportion to their slots.
"""

import copy
from collections.abc import Callable, Iterable, Sequence
from statistics import median
from typing import NamedTuple

from sequoiahook.decisions.direct.estimates import qualified_key
from sequoiahook.decisions.direct.home_share import (
    PERMILLE,
    HomeShares,
    HomeShareSettings,
    TargetUse,
)
from sequoiahook.decisions.direct.object_owners import hash_permille, region_order
from sequoiahook.decisions.direct.share_ramp import RampSettings, ShareRamp
from sequoiahook.decisions.direct.target_registry import TargetRegistry
from sequoiahook.decisions.direct.target_state import TargetState
from sequoiahook.world.routing import Route

__all__ = ["RegionOwnerSettings", "RegionOwners"]

USE_MAX_RATIO = 2
"""Ratio of a target's reported use to the median one up to which it counts. A report of
one target that is wrong must not move the objects of its region."""


class RegionOwnerSettings(NamedTuple):
    """Settings of the owners.

    Attributes:
        home: Settings of the share of objects that the own region owns.
        ramp: Limit on the rate at which that share takes effect.
    """

    home: HomeShareSettings = HomeShareSettings()
    ramp: RampSettings = RampSettings()


class RegionOwners:
    """The regions that own objects of requests received in one region.

    Attributes:
        home_shares: Shares of the own region by service.

    Args:
        settings: Settings of the owners.
        region: The own region.
        regions: All regions.
        targets: Registry of targets.
        states_pace: Returns whether a service is known to state its pace.
    """

    def __init__(
        self,
        settings: RegionOwnerSettings,
        region: str,
        regions: Sequence[str],
        targets: TargetRegistry,
        states_pace: Callable[[str], bool],
    ):
        self.home_shares = HomeShares(settings.home)
        self._ramp = ShareRamp(settings.ramp)
        self._region = region
        self._regions = (region, *(name for name in regions if name != region))
        self._targets = targets
        self._states_pace = states_pace

    @property
    def regions(self) -> Sequence[str]:
        """All regions, the own one first."""
        return self._regions

    def order(
        self,
        route: Route,
        service: str,
        object_key: str,
        required: Sequence[str],
        now: int,
    ) -> list[str]:
        """Return the regions that may run a request, the owner's first.

        Args:
            route: Route of the request.
            service: Name of the service that runs it.
            object_key: Key of the object that it concerns; empty if it names none.
            required: Regions that it may run in; empty means all.
            now: The time in milliseconds.
        """
        allowed = [r for r in self._regions if not required or r in required]
        if not object_key or self._region not in allowed:
            return allowed
        key = qualified_key(route, object_key)
        if hash_permille(key) < self._share_in_use(route, now):
            return allowed
        slots_by_region = self.slots_by_region(service)
        others = {r: slots_by_region[r] for r in allowed if r != self._region}
        return [*region_order(key, others), self._region]

    def trial_copy(self) -> "RegionOwners":
        """Return a copy whose use moves no share of this one."""
        copied = copy.copy(self)
        copied.home_shares = copy.deepcopy(self.home_shares)
        copied._ramp = copy.deepcopy(self._ramp)
        return copied

    def target_use(self, service: str, now: int) -> TargetUse:
        """Return the use of a service's targets, in this region and overall."""
        in_flight_by_region = {
            region: [
                (state, state.in_flight(now))
                for state in self._targets.group(service, region)
            ]
            for region in self._regions
        }
        use_max = _use_max(in_flight_by_region.values())
        used_by_region = {
            region: sum(_used_slots(*target, use_max, now) for target in targets)
            for region, targets in in_flight_by_region.items()
        }
        slots = sum(self.slots_by_region(service).values())
        utilisation = sum(used_by_region.values()) / max(1, slots)
        return TargetUse(used_by_region[self._region], utilisation)

    def slots_by_region(self, service: str) -> dict[str, int]:
        """Return the slots of a service's targets that accept new requests."""
        return {
            region: self._targets.slots(service, region) for region in self._regions
        }

    def _share_in_use(self, route: Route, now: int) -> float:
        """Return the share of a route's objects that the own region owns at present."""
        intended = self._intended_share(route, now)
        if any(self.home_shares.is_provisional(s.service) for s in route.shares):
            return intended
        return self._ramp.follow(route.name, intended, now)

    def _intended_share(self, route: Route, now: int) -> float:
        """Return the share of a route: that of its services, by weight."""
        weighted = weights = 0.0
        for service, weight in route.shares:
            slots_by_region = self.slots_by_region(service)
            all_slots = sum(slots_by_region.values())
            if not all_slots or not weight:
                continue
            own_slots = slots_by_region[self._region]
            regions = len(self._regions)
            share = self.home_shares.share(
                service,
                own_slots,
                all_slots,
                regions,
                now,
                states_pace=self._states_pace(service),
            )
            weighted += weight * share
            weights += weight
        return weighted / weights if weights else float(PERMILLE)


def _use_max(groups: Iterable[Sequence[tuple[TargetState, int]]]) -> float:
    """Return the highest use of a target's slots that its own report can show."""
    uses = [count / state.record.slots for group in groups for state, count in group]
    return max(1.0, USE_MAX_RATIO * median(uses)) if uses else 1.0


def _used_slots(state: TargetState, in_flight: int, use_max: float, now: int) -> float:
    """Return the requests at a target that count as the use of its slots."""
    reported_max = use_max * state.record.slots
    if in_flight <= reported_max:
        return in_flight
    return max(state.instances_open_count(now), reported_max)
