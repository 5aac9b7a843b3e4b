"""The numbered configuration: patches, and its way to every instance."""

from sequoiahook.decisions.configuration.patch import (
    Accepted,
    Invalid,
    Outcome,
    OutcomeUnknown,
    Patch,
    PatchSettings,
    Report,
    Stale,
    read_patch,
)
from sequoiahook.decisions.configuration.patching import PatchWriter
from sequoiahook.decisions.configuration.rollout import ConfigurationHolder
from sequoiahook.decisions.configuration.rollout_effects import Apply, Reject
from sequoiahook.decisions.configuration.rollout_settings import RolloutSettings

__all__ = [
    "Accepted",
    "Apply",
    "ConfigurationHolder",
    "Invalid",
    "Outcome",
    "OutcomeUnknown",
    "Patch",
    "PatchSettings",
    "PatchWriter",
    "Reject",
    "Report",
    "RolloutSettings",
    "Stale",
    "read_patch",
]
