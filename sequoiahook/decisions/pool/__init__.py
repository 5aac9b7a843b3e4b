"""The pool of one service's targets in one data centre, decided by its owner."""

from sequoiahook.decisions.pool.effects import (
    Refuse,
    RefuseReason,
    Start,
    TargetReport,
)
from sequoiahook.decisions.pool.pool import Pool
from sequoiahook.decisions.pool.settings import PoolSettings

__all__ = ["Pool", "PoolSettings", "Refuse", "RefuseReason", "Start", "TargetReport"]
