"""Log lines on the limits that targets state, and on the requests sent to them."""

from typing import NamedTuple

import logbook

from sequoiahook.decisions.direct.core import DirectCore
from sequoiahook.decisions.direct.target_state import NEVER

__all__ = ["LimitLog"]

LINES_MAX = 20
"""Most lines of one call; further targets are counted."""

log = logbook.Logger("limits")


class _Logged(NamedTuple):
    per_s: float | None
    invalid: str
    sent_count: int


_NONE = _Logged(None, "", 0)


class LimitLog:
    """Logs each target that states a limit, or has stopped stating one.

    Args:
        core: The decisions.
    """

    def __init__(self, core: DirectCore):
        self._core = core
        self._logged_by_id: dict[str, _Logged] = {}

    def write(self, now: int) -> None:
        """Log what changed since the last call."""
        seen_by_id = {
            target_id: _Logged(
                state.limit_per_s, state.stated_limit.invalid, state.sent_count
            )
            for target_id, state in self._core.targets.states_by_id.items()
        }
        changed_ids = [
            target_id
            for target_id, seen in seen_by_id.items()
            if self._is_reported(seen, self._logged_by_id.get(target_id, _NONE))
        ]
        for target_id in changed_ids[:LINES_MAX]:
            self._write_target(target_id, seen_by_id[target_id], now)
        if len(changed_ids) > LINES_MAX:
            left_out = len(changed_ids) - LINES_MAX
            log.info("limits of targets left out", extra={"targets": left_out})
        self._logged_by_id = seen_by_id

    def _is_reported(self, seen: _Logged, before: _Logged) -> bool:
        if seen[:2] != before[:2]:
            return True
        return seen[:2] != _NONE[:2] and seen != before

    def _write_target(self, target_id: str, seen: _Logged, now: int) -> None:
        before = self._logged_by_id.get(target_id, _NONE)
        fields = {
            "target": target_id,
            "per_s": seen.per_s,
            "sent": max(0, seen.sent_count - before.sent_count),
        }
        fields |= self._source(target_id, now)
        if seen.invalid:
            fields["value"] = seen.invalid
            log.warning("limit of target invalid", extra=fields)
        else:
            log.info("limit of target", extra=fields)

    def _source(self, target_id: str, now: int) -> dict:
        """Return the age of the limit, its limiter, and the share granted here."""
        state = self._core.targets.states_by_id[target_id]
        permits, region = self._core.permits, state.record.region
        is_stated = state.limit_stated_at != NEVER
        return {
            "age_ms": now - state.limit_stated_at if is_stated else None,
            "limiter": permits.limiter(region, now),
            "granted_share": round(permits.share(region, now), 3),
        }
