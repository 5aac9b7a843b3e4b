"""The choice of a data centre for each request, and credit between data centres."""

from sequoiahook.decisions.placement.credit import Credit
from sequoiahook.decisions.placement.holder import CreditHolder
from sequoiahook.decisions.placement.lender import CreditLender
from sequoiahook.decisions.placement.placement import Place, Placement
from sequoiahook.decisions.placement.settings import PlacementSettings

__all__ = [
    "Credit",
    "CreditHolder",
    "CreditLender",
    "Place",
    "Placement",
    "PlacementSettings",
]
