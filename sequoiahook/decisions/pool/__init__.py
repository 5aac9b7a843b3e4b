"""Scheduling of one service's requests on its targets in one data centre.

Only the effects are exported here: entry points that need no more do not load the pool
itself, which is in `pool`.
"""

from sequoiahook.decisions.pool.effects import (
    Refuse,
    RefuseReason,
    Start,
    TargetReport,
)

__all__ = ["Refuse", "RefuseReason", "Start", "TargetReport"]
