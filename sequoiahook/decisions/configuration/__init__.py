"""The numbered configuration: its patches and its distribution to all instances."""

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
from sequoiahook.decisions.configuration.patch_writer import PatchWriter
from sequoiahook.decisions.configuration.rollout import ConfigurationReplica
from sequoiahook.decisions.configuration.rollout_effects import Apply, Reject
from sequoiahook.decisions.configuration.rollout_settings import RolloutSettings

__all__ = [
    "Accepted",
    "Apply",
    "ConfigurationReplica",
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
