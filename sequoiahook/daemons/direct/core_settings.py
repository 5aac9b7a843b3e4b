"""Settings of the decisions, derived from the settings of an instance."""

from sequoiahook.daemons.direct.settings import Bounds, DirectSettings
from sequoiahook.decisions.direct.attempts import AttemptsSettings
from sequoiahook.decisions.direct.core import DirectCoreSettings
from sequoiahook.decisions.direct.entry_expiry import ExpirySettings
from sequoiahook.decisions.direct.estimates import EstimateSettings
from sequoiahook.decisions.direct.fleet_settings import FleetSettings
from sequoiahook.decisions.direct.freshness import FreshnessSettings
from sequoiahook.decisions.direct.home_share import HomeShareSettings
from sequoiahook.decisions.direct.peers import PeerSettings
from sequoiahook.decisions.direct.region_owners import RegionOwnerSettings
from sequoiahook.decisions.direct.share_ramp import RampSettings
from sequoiahook.decisions.direct.shift_limit import ShiftSettings
from sequoiahook.decisions.direct.target_selection import TargetSelectionSettings
from sequoiahook.decisions.direct.target_selection_settings import PacedSettings
from sequoiahook.decisions.direct.work_estimates import WorkEstimateSettings
from sequoiahook.decisions.stopping import StoppingSettings

__all__ = [
    "LOOKUP_LIFETIME_FACTOR",
    "core_settings",
    "freshness_settings",
    "stopping_settings",
]

LOOKUP_LIFETIME_FACTOR = 3
"""Some callers keep a look-up answer for three times its lifetime."""

RETRY_FRACTION = 0.75
"""Fraction of the allowed retries that is used.

The bound holds for windows, and a window may end between a request and its retry.
"""

PERCENT = 100
PERMILLE = 1000

MOVED_FRACTION = 0.2
"""Fraction of the allowed shift for requests that run outside their owner's region.

All of them may return at once, while the regions' shares move for two seconds. The rest
of the allowed shift covers requests that arrive unevenly.
"""

OBJECTS_MAX = 20_000
OBJECTS_PER_MB = 64
"""Objects that are stored for each MB of memory. An object with the longest name takes
about 2 KB in all tables together."""

ANSWER_FRACTION = 2 / 3
"""Fraction of the time until the entry of a silent instance is deleted in which it may
show that it lives."""

EXTENSION_END_FRACTION = 0.1
"""Fraction of the allowed shift by which an extension of that part ends each second."""

HOME_STEP_FRACTION = 0.18
"""Fraction of the allowed shift by which a region's share may move each second."""


def freshness_settings(bounds: Bounds) -> FreshnessSettings:
    """Return the bounds on the age of the configuration."""
    return FreshnessSettings(withdrawal_ms=bounds.withdrawal_ms)


def core_settings(settings: DirectSettings) -> DirectCoreSettings:
    """Return the settings of all decisions."""
    bounds, durations = settings.bounds, settings.durations
    return DirectCoreSettings(
        regions=settings.regions,
        retry_slack=int(bounds.retry_slack * RETRY_FRACTION),
        attempts=AttemptsSettings(
            retry_percent=int(bounds.retry_ratio * RETRY_FRACTION * PERCENT)
        ),
        freshness=freshness_settings(bounds),
        fleet=FleetSettings(
            PeerSettings(durations.unresponsive_after_ms),
            expiry=_expiry_settings(durations.expire_after_ms),
        ),
        selection=_selection_settings(settings),
    )


def _expiry_settings(expire_after_ms: int) -> ExpirySettings:
    answer_ms = int(expire_after_ms * ANSWER_FRACTION)
    return ExpirySettings(
        doubt_after_ms=expire_after_ms - answer_ms,
        answer_ms=answer_ms,
        pause_ms=expire_after_ms,
    )


def _selection_settings(settings: DirectSettings) -> TargetSelectionSettings:
    bounds = settings.bounds
    objects_max = min(OBJECTS_MAX, settings.machine.memory_mb * OBJECTS_PER_MB)
    step_permille = max(1, int(bounds.shift_share * HOME_STEP_FRACTION * PERMILLE))
    return TargetSelectionSettings(
        owners=RegionOwnerSettings(
            HomeShareSettings(step_permille=step_permille),
            RampSettings(permille_per_s=step_permille),
        ),
        estimates=EstimateSettings(objects_max=objects_max),
        paced=PacedSettings(work=WorkEstimateSettings(objects_max=objects_max)),
        shift=ShiftSettings(
            moved_ratio_max=bounds.shift_share * MOVED_FRACTION,
            end_ratio_per_s=bounds.shift_share * EXTENSION_END_FRACTION,
        ),
    )


def stopping_settings(settings: DirectSettings) -> StoppingSettings:
    """Return the settings of a graceful stop."""
    durations = settings.durations
    return StoppingSettings(
        handover_ms=0,
        lookup_lifetime_ms=LOOKUP_LIFETIME_FACTOR * durations.lookup_lifetime_ms,
        lookup_margin_ms=0,
        deadline_longest_ms=settings.bounds.stop_ms,
    )
