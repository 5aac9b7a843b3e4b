"""The limits that targets state, as known from their answers and from other instances.

A statement holds until a newer one replaces it, whether it states a limit or that there
is none: an old one neither lapses while nobody sends to the target, nor binds for ever,
since the requests that the limit still allows confirm or end it.
"""

from collections.abc import Mapping
from typing import NamedTuple

from sequoiahook.decisions.direct.quota import PERMILLE
from sequoiahook.decisions.direct.target_registry import TargetRegistry
from sequoiahook.decisions.direct.target_state import TargetState
from sequoiahook.decisions.exchange.target_result import Stage, TargetResult
from sequoiahook.messages.limits import LimitStatement

__all__ = ["LimitSettings", "StatedLimits"]

NO_LIMIT = -1
"""Value of a statement without a limit."""


class LimitSettings(NamedTuple):
    """Settings of the statements of targets.

    Attributes:
        relay_margin_ms: Time by which a relayed statement has to be newer than the
            known one; the time that it travels makes it look newer than it is.
        ended_report_ms: Time for which the end of a limit is reported.
        unconfirmed_ms: Age from which a statement counts as unconfirmed.
        unconfirmed_per_s_min: Least requests a second to a target whose statement is
            unconfirmed, so that it can be confirmed or ended.
    """

    relay_margin_ms: int = 200
    ended_report_ms: int = 10_000
    unconfirmed_ms: int = 4_000
    unconfirmed_per_s_min: float = 0.25


class StatedLimits:
    """Newest known statement of each target about the requests that it accepts.

    Attributes:
        has_changed: Whether a limit began, changed or ended since this was last reset.

    Args:
        settings: The settings.
        targets: The targets, which hold the statements.
    """

    def __init__(self, settings: LimitSettings, targets: TargetRegistry):
        self.has_changed = False
        self._settings = settings
        self._targets = targets
        self._states_by_id: dict[str, TargetState] = {}

    def record_answer(
        self, state: TargetState, result: TargetResult, sent_at: int, now: int
    ) -> None:
        """Record what an answer to this instance states.

        Args:
            state: The target.
            result: The answer.
            sent_at: When the request was sent.
            now: The time in milliseconds.
        """
        stated = result.stated_limit
        if stated is None or stated.invalid:
            return
        if stated.per_s is not None:
            self._set(state, stated.per_s, now)
            return
        # Answers may overtake each other, and an older one ends no newer limit.
        is_newer = sent_at >= state.limit_stated_at
        if (
            state.limit_per_s is not None
            and result.stage is Stage.ANSWERED
            and is_newer
        ):
            self._set(state, None, now)

    def merge(self, statements: Mapping[str, LimitStatement], now: int) -> None:
        """Apply the statements that another instance knows, as far as newer."""
        for target_id, statement in statements.items():
            state = self._targets.states_by_id.get(target_id)
            if state is None or state.record.started_at != statement.started_at:
                continue
            stated_at = now - statement.age_ms
            if stated_at <= state.limit_stated_at + self._settings.relay_margin_ms:
                continue
            is_limit = statement.milli_per_s >= 0
            if is_limit or state.limit_per_s is not None:
                per_s = statement.milli_per_s / PERMILLE if is_limit else None
                self._set(state, per_s, stated_at)

    def statement(self, state: TargetState, now: int) -> LimitStatement:
        """Return the newest known statement of a target."""
        milli = (
            NO_LIMIT
            if state.limit_per_s is None
            else round(state.limit_per_s * PERMILLE)
        )
        age_ms = max(0, now - state.limit_stated_at)
        return LimitStatement(state.record.started_at, milli, age_ms)

    def statements_by_region(self, now: int) -> dict[str, dict[str, LimitStatement]]:
        """Return the limits, and those that ended recently, by region and target id."""
        self._forget_removed()
        statements: dict[str, dict[str, LimitStatement]] = {}
        oldest = now - self._settings.ended_report_ms
        for target_id, state in self._states_by_id.items():
            if state.limit_per_s is not None or state.limit_stated_at >= oldest:
                by_id = statements.setdefault(state.record.region, {})
                by_id[target_id] = self.statement(state, now)
        return statements

    def allowed_per_s(self, state: TargetState, now: int) -> float:
        """Return the requests a second that all instances may send to a target."""
        is_confirmed = now - state.limit_stated_at <= self._settings.unconfirmed_ms
        per_s = state.limit_per_s or 0.0
        if is_confirmed:
            return per_s
        return max(per_s, self._settings.unconfirmed_per_s_min)

    def _set(self, state: TargetState, per_s: float | None, stated_at: int) -> None:
        self.has_changed = self.has_changed or per_s != state.limit_per_s
        state.limit_per_s = per_s
        state.limit_stated_at = stated_at
        if per_s is None:
            state.blocked_until = stated_at
        self._states_by_id[state.record.id] = state

    def _forget_removed(self) -> None:
        listed = self._targets.states_by_id
        self._states_by_id = {
            target_id: state
            for target_id, state in self._states_by_id.items()
            if listed.get(target_id) is state
        }
