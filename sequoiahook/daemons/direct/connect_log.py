"""Log lines on connections to targets that could not be opened."""

import logbook

from sequoiahook.decisions.direct.core import DirectCore
from sequoiahook.decisions.direct.first_names import first_names

__all__ = ["ConnectLog"]

log = logbook.Logger("connections")


class ConnectLog:
    """Logs how many targets could not be connected to, and how many could.

    Args:
        core: The decisions.
        now: The time in milliseconds.
    """

    def __init__(self, core: DirectCore, now: int):
        self._core = core
        self._written_at = now

    def write(self, now: int) -> None:
        """Log the failures since the last call, if there were any."""
        since, self._written_at = self._written_at, now
        states = self._core.targets.states_by_id.values()
        failed = [state for state in states if state.connect_failed_at >= since]
        if not failed:
            return
        fields = {
            "failed": len(failed),
            "names": list(first_names(state.record.id for state in failed)),
            "data_centres": sorted({state.record.data_centre for state in failed}),
            "connected": sum(state.connected_at >= since for state in states),
            "answered": sum(state.reached_at >= since for state in states),
            "suspended": sum(not state.may_send(now) for state in states),
            "targets": len(states),
            "period_ms": now - since,
        }
        log.info("connections to targets failed", extra=fields)
