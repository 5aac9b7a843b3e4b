"""Conserved rights: counted things that hold over all instances together."""

from sequoiahook.decisions.rights.effects import (
    Committed,
    Lapsed,
    Refused,
    Reserved,
)
from sequoiahook.decisions.rights.rights import Rights
from sequoiahook.decisions.rights.settings import RightsSettings

__all__ = ["Committed", "Lapsed", "Refused", "Reserved", "Rights", "RightsSettings"]
