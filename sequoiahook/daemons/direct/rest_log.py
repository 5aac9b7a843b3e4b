"""Log lines on targets that ask this instance to stay away for a time."""

from typing import NamedTuple

import logbook

from sequoiahook.decisions.direct.core import DirectCore
from sequoiahook.decisions.direct.target_state import TargetState

__all__ = ["RestLog"]

LINES_MAX = 20
"""Most lines of one call; further targets are counted."""

log = logbook.Logger("rests")


class _Counts(NamedTuple):
    rests: int = 0
    sent: int = 0


class RestLog:
    """Logs each target that has asked for rest.

    Args:
        core: The decisions.
    """

    def __init__(self, core: DirectCore):
        self._core = core
        self._logged_by_id: dict[str, _Counts] = {}

    def write(self, now: int) -> None:
        """Log the targets that asked for rest since the last call."""
        states = self._core.targets.states_by_id
        asking = [
            state
            for target_id, state in states.items()
            if state.rest_count
            and state.rest_count != self._logged_by_id.get(target_id, _Counts()).rests
        ]
        for state in asking[:LINES_MAX]:
            self._write_target(state)
        if len(asking) > LINES_MAX:
            left_out = len(asking) - LINES_MAX
            log.info("rests of targets left out", extra={"targets": left_out})
        self._logged_by_id = {
            target_id: _Counts(state.rest_count, state.sent_count)
            for target_id, state in states.items()
        }

    def _write_target(self, state: TargetState) -> None:
        before = self._logged_by_id.get(state.record.id, _Counts())
        fields = {
            "target": state.record.id,
            "answers": state.rest_count - before.rests,
            "sent": max(0, state.sent_count - before.sent),
        }
        if state.stated_rest.invalid:
            fields["value"] = state.stated_rest.invalid
            log.warning("rest of target invalid", extra=fields)
        else:
            fields["rest_ms"] = state.stated_rest.duration_ms
            log.info("target asks for rest", extra=fields)
