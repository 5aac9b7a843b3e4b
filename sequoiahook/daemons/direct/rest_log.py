"""Log lines on targets that ask this instance for rest, or that leave."""

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
    """Logs each target that has asked for rest or stated that it leaves.

    Args:
        core: The decisions.
    """

    def __init__(self, core: DirectCore):
        self._core = core
        self._logged_by_id: dict[str, _Counts] = {}
        self._leaving: set[tuple[str, int]] = set()

    def write(self) -> None:
        """Log what targets have stated since the last call."""
        self._write_leaving()
        self._write_rests()

    def _write_leaving(self) -> None:
        leaving = {
            (target_id, state.record.started_at)
            for target_id, state in self._core.targets.states_by_id.items()
            if state.is_leaving
        }
        for target_id, _ in sorted(leaving - self._leaving)[:LINES_MAX]:
            log.info("target states that it leaves", extra={"target": target_id})
        self._leaving = leaving

    def _write_rests(self) -> None:
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
