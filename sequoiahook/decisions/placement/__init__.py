"""Choice of a data centre for each request, and credit between data centres."""

from sequoiahook.decisions.placement.credit import Credit
from sequoiahook.decisions.placement.holder import CreditHolder
from sequoiahook.decisions.placement.lender import CreditLender
from sequoiahook.decisions.placement.placement import Candidate, Placement
from sequoiahook.decisions.placement.settings import PlacementSettings

__all__ = [
    "Candidate",
    "Credit",
    "CreditHolder",
    "CreditLender",
    "Placement",
    "PlacementSettings",
]
