"""Rights to run requests: rate limits that hold across all instances together."""

from sequoiahook.decisions.rights.effects import (
    Committed,
    Lapsed,
    Refused,
    Reserved,
)
from sequoiahook.decisions.rights.rights import Rights
from sequoiahook.decisions.rights.settings import RightsSettings

__all__ = ["Committed", "Lapsed", "Refused", "Reserved", "Rights", "RightsSettings"]
