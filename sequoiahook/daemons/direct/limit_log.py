"""Log lines on the limits that targets state, and on the requests sent to them."""

from typing import NamedTuple

import logbook

from sequoiahook.decisions.direct.target_registry import TargetRegistry
from sequoiahook.world.target import StatedLimit

__all__ = ["LimitLog"]

LINES_MAX = 20
"""Most lines of one call; further targets are counted."""

log = logbook.Logger("limits")


class _Logged(NamedTuple):
    stated_limit: StatedLimit
    sent_count: int


_NONE = _Logged(StatedLimit(None), 0)


class LimitLog:
    """Logs each target that states a limit, or has stopped to state one.

    Args:
        targets: The targets.
    """

    def __init__(self, targets: TargetRegistry):
        self._targets = targets
        self._logged_by_id: dict[str, _Logged] = {}

    def write(self) -> None:
        """Log what changed since the last call."""
        seen_by_id = {
            target_id: _Logged(state.stated_limit, state.sent_count)
            for target_id, state in self._targets.states_by_id.items()
        }
        changed_ids = [
            target_id
            for target_id, seen in seen_by_id.items()
            if self._is_reported(seen, self._logged_by_id.get(target_id, _NONE))
        ]
        for target_id in changed_ids[:LINES_MAX]:
            self._write_target(target_id, seen_by_id[target_id])
        if len(changed_ids) > LINES_MAX:
            left_out = len(changed_ids) - LINES_MAX
            log.info("limits of targets left out", extra={"targets": left_out})
        self._logged_by_id = seen_by_id

    def _is_reported(self, seen: _Logged, before: _Logged) -> bool:
        if seen.stated_limit != before.stated_limit:
            return True
        return seen.stated_limit != _NONE.stated_limit and seen != before

    def _write_target(self, target_id: str, seen: _Logged) -> None:
        before = self._logged_by_id.get(target_id, _NONE)
        fields = {
            "target": target_id,
            "per_s": seen.stated_limit.per_s,
            "sent": max(0, seen.sent_count - before.sent_count),
        }
        if seen.stated_limit.invalid:
            fields["value"] = seen.stated_limit.invalid
            log.warning("limit of target invalid", extra=fields)
        else:
            log.info("limit of target", extra=fields)
