"""Scheduling of one service's requests on its targets in one data centre."""

from sequoiahook.decisions.pool.effects import (
    Refuse,
    RefuseReason,
    Start,
    TargetReport,
)
from sequoiahook.decisions.pool.pool import Pool
from sequoiahook.decisions.pool.settings import PoolSettings

__all__ = ["Pool", "PoolSettings", "Refuse", "RefuseReason", "Start", "TargetReport"]
