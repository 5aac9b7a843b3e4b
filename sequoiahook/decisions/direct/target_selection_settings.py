"""Settings of target selection."""

from typing import NamedTuple

from sequoiahook.decisions.direct.estimates import EstimateSettings
from sequoiahook.decisions.direct.lost_capacity import LostCapacitySettings
from sequoiahook.decisions.direct.region_owners import RegionOwnerSettings
from sequoiahook.decisions.direct.shift_limit import ShiftSettings
from sequoiahook.decisions.direct.work_estimates import WorkEstimateSettings

__all__ = ["NearbySettings", "PacedSettings", "TargetSelectionSettings"]


class NearbySettings(NamedTuple):
    """When requests prefer targets of the own data centre.

    Both data centres of a region then cache the object. This pays only if the bytes
    between data centres outweigh the additional uncached work.

    Attributes:
        answer_bytes_min: Least mean size of a route's answers.
        answer_bytes_step: Weight of one answer in that mean.
        routes_max: Most routes whose mean is stored.
        share_permille_min: Least share of objects that the own region owns. A region
            with fewer targets has no room for objects twice.
    """

    answer_bytes_min: int = 16_384
    answer_bytes_step: float = 0.1
    routes_max: int = 2_000
    share_permille_min: int = 500


class PacedSettings(NamedTuple):
    """Settings for services whose targets state their pace.

    Attributes:
        own_region_count: Most candidates in the own region.
        other_region_count: Most candidates in each other region.
        equal_percent: Difference of the expected completion, as a percentage of the
            expected work, up to which an earlier candidate is preferred: other targets
            than the first ones would have to cache the object as well.
        spread_use_percent: Mean use of the slots of the candidates in the owner's
            region at which targets there are used without the cached object only if
            they are idle: in a busy region, such work displaces that of several
            requests.
        uncached_charge_percent: Part of the additional work of an uncached object that
            is added to the expected completion at a target without free slots, in
            proportion to its use: that work is lost for other requests.
        ready_percent: Duration of work at the owner of an object, relative to the usual
            one, up to which no other target is considered while it has a free slot.
        slowness_max: Highest ratio of a measured to an expected duration that counts as
            slowness. The pace shows slow targets; longer durations are mostly those of
            expensive requests.
        work: Settings of the estimates of work.
    """

    own_region_count: int = 6
    other_region_count: int = 2
    equal_percent: int = 15
    spread_use_percent: int = 80
    uncached_charge_percent: int = 100
    ready_percent: int = 110
    slowness_max: float = 4.0
    work: WorkEstimateSettings = WorkEstimateSettings()


class TargetSelectionSettings(NamedTuple):
    """Settings of target selection.

    Attributes:
        limit_percent: Most requests at a target, as a percentage of its slots.
        max_wait_percent: Longest expected response time, as a percentage of the
            route's latency goal, at which requests of the lowest priority queue at a
            target without free slots.
        max_wait_step_percent: Addition to it for each step of priority.
        single_region_percent: Addition to it for requests that may run in one region
            only, since other requests can run elsewhere.
        priority_count: Number of priorities that are distinguished.
        failure_ratio_max: Ratio of failed results above which a target is penalised.
        estimates: Settings of the response time estimates.
        owners: Settings of the regions that own objects.
        shift: Limit on requests that run outside the region of their object's owner.
        lost_capacity: Settings of the lost capacity, which extends that limit.
        check_interval_ms: Time between two checks of which targets are usable.
        paced: Settings for services whose targets state their pace.
        nearby: When requests prefer targets of the own data centre.
    """

    limit_percent: int = 300
    max_wait_percent: int = 90
    max_wait_step_percent: int = 25
    single_region_percent: int = 100
    priority_count: int = 3
    failure_ratio_max: float = 0.2
    estimates: EstimateSettings = EstimateSettings()
    owners: RegionOwnerSettings = RegionOwnerSettings()
    shift: ShiftSettings = ShiftSettings()
    lost_capacity: LostCapacitySettings = LostCapacitySettings()
    check_interval_ms: int = 400
    paced: PacedSettings = PacedSettings()
    nearby: NearbySettings = NearbySettings()
