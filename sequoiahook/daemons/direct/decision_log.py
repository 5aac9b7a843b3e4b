"""Log lines on decisions about the regions in which requests run."""

import logbook

from sequoiahook.clock import MS_PER_S
from sequoiahook.daemons.direct.connect_log import ConnectLog
from sequoiahook.daemons.direct.limit_log import LimitLog
from sequoiahook.daemons.direct.rest_log import RestLog
from sequoiahook.daemons.direct.share_log import ShareLog
from sequoiahook.decisions.direct.core import DirectCore

__all__ = ["DecisionLog"]

SUMMARY_INTERVAL_MS = MS_PER_S
"""Shortest time between two summaries, which bounds their number."""

log = logbook.Logger("regions")


class DecisionLog:
    """Logs changes of a region's shares, lost targets, and counts of requests.

    Args:
        core: The decisions.
        now: The time in milliseconds.
    """

    def __init__(self, core: DirectCore, now: int = 0):
        self._core = core
        self._selector = core.selector
        self._lost_event = core.selector.lost_capacity.last_event
        self._limit_log = LimitLog(core)
        self._connect_log = ConnectLog(core, now)
        self._rest_log = RestLog(core)
        self._share_log = ShareLog(core.fleet.shares)
        self._summarised_at = 0

    def write(self, now: int) -> None:
        """Log what changed since the last call."""
        for step in self._selector.home_shares.pop_steps():
            log.info("share of the region changed", extra=step._asdict())
        if now - self._summarised_at >= SUMMARY_INTERVAL_MS:
            self._summarised_at = now
            self._write_lost(now)
            self._write_summary(now)
            self._limit_log.write(now)
            self._connect_log.write(now)
            self._rest_log.write()
            self._share_log.write(now)

    def _write_lost(self, now: int) -> None:
        event = self._selector.lost_capacity.last_event
        if event is None or event == self._lost_event:
            return
        self._lost_event = event
        fields = {
            "lost": event.lost,
            "returned": event.returned,
            "age_ms": now - event.at,
            "lost_ratio": round(self._selector.lost_capacity.ratio(now), 3),
        }
        log.info("targets lost or returned", extra=fields)

    def _write_summary(self, now: int) -> None:
        counts = self._selector.summary.pop()
        if counts is None:
            return
        shares = self._selector.home_shares
        limit = self._selector.shift_limit
        fields = counts._asdict() | {
            "share_by_service": dict(shares.permille_by_service),
            "share_age_ms": shares.age_ms(now),
            "moved_ratio": round(limit.moved_ratio(now), 3),
            "moved_ratio_max": round(limit.moved_ratio_max, 3),
            "configuration": self._core.configuration_number,
        }
        log.info("requests by region", extra=fields)
