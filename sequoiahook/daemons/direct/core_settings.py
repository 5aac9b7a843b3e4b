"""The settings of the decisions, made from those of an instance."""

from sequoiahook.daemons.direct.settings import Bounds, DirectSettings
from sequoiahook.decisions.direct.attempts import AttemptsSettings
from sequoiahook.decisions.direct.core import DirectCoreSettings
from sequoiahook.decisions.direct.fleet import FleetSettings
from sequoiahook.decisions.direct.freshness import FreshnessSettings
from sequoiahook.decisions.direct.home_share import HomeShareSettings
from sequoiahook.decisions.direct.peers import PeerSettings
from sequoiahook.decisions.direct.shift_limit import ShiftSettings
from sequoiahook.decisions.direct.target_selection import TargetSelectionSettings
from sequoiahook.decisions.stopping import StoppingSettings

__all__ = ["LOOKUP_COPIES", "core_settings", "freshness_settings", "stopping_settings"]

LOOKUP_COPIES = 3
"""Some callers keep a look-up answer for three times its lifetime."""

RETRY_SHARE = 0.75
"""Part of the allowed repeats that is used: windows do not end with requests."""

PERCENT = 100
PERMILLE = 1000

MOVED_PART = 0.1
"""Part of the allowed shift for requests that run elsewhere than their owner stands.

All of them may return at once, while shares of regions move for two seconds. What both
leave covers requests that arrive unevenly.
"""

HOME_STEP_PART = 0.28
"""Part of the allowed shift by which the share of a region moves each second."""


def freshness_settings(bounds: Bounds) -> FreshnessSettings:
    """Return the bounds on the age of the configuration."""
    return FreshnessSettings(withdrawal_ms=bounds.withdrawal_ms)


def core_settings(settings: DirectSettings) -> DirectCoreSettings:
    """Return the settings of all decisions."""
    bounds, durations = settings.bounds, settings.durations
    return DirectCoreSettings(
        regions=settings.regions,
        retry_slack=int(bounds.retry_slack * RETRY_SHARE),
        attempts=AttemptsSettings(
            retry_percent=int(bounds.retry_ratio * RETRY_SHARE * PERCENT)
        ),
        freshness=freshness_settings(bounds),
        fleet=FleetSettings(PeerSettings(durations.silent_ms, durations.forget_ms)),
        selection=_selection_settings(bounds),
    )


def _selection_settings(bounds: Bounds) -> TargetSelectionSettings:
    step_permille = max(1, int(bounds.shift_share * HOME_STEP_PART * PERMILLE))
    return TargetSelectionSettings(
        home=HomeShareSettings(step_permille=step_permille),
        shift=ShiftSettings(moved_ratio_max=bounds.shift_share * MOVED_PART),
    )


def stopping_settings(settings: DirectSettings) -> StoppingSettings:
    """Return the bounds of the stages of a planned stop."""
    durations = settings.durations
    return StoppingSettings(
        handover_ms=0,
        lookup_lifetime_ms=LOOKUP_COPIES * durations.lookup_lifetime_ms,
        lookup_margin_ms=0,
        deadline_longest_ms=settings.bounds.stop_ms,
    )
