"""Why a request would go to a target now: every candidate, and what ruled it out."""

from typing import NamedTuple

from sequoiahook.decisions.direct.placements import Placement
from sequoiahook.decisions.direct.target_state import TargetState

__all__ = ["ExplainedTarget", "Explanation", "Obstacle", "explained"]

PERCENT = 100


class Obstacle:
    """Why a target is not used for a request."""

    TRIED = "was tried before"
    SUSPENDED = "suspended after failures"
    LIMITED = "no permit below the limit that it states"
    RESTING = "has asked this instance for rest"
    COLD = "cold"
    FULL = "no room for the request"
    SHIFT_LIMIT = "shift is at its limit"
    TOO_LATE = "no answer before the deadline"
    LATER = "another target is preferred"


class ExplainedTarget(NamedTuple):
    """One candidate.

    Attributes:
        target: Id of the target.
        region: Its region.
        data_centre: Its data centre.
        placed_by: What determined the region; empty if it cannot be used.
        start_ms: Expected time until it begins the request.
        work_ms: Expected time for which it runs the request.
        expected_ms: Expected response time.
        round_trip_ms: Round trip time.
        pace_percent: How long work takes there at present; 100 is as usual.
        slowness_percent: Measured relative to expected durations, in percent.
        in_flight: Requests known to be queued or running there.
        slots: Requests that it runs at a time.
        report_age_ms: Age of the last report of its load; -1 without one.
        is_cached: Whether it is assumed to have the object cached; None if the service
            does not state its pace.
        obstacle: What ruled it out; empty for the target that would be used.
    """

    target: str
    region: str
    data_centre: str
    placed_by: str
    start_ms: int
    work_ms: int
    expected_ms: int
    round_trip_ms: int
    pace_percent: int
    slowness_percent: int
    in_flight: int
    slots: int
    report_age_ms: int
    is_cached: bool | None
    obstacle: str


class Explanation(NamedTuple):
    """Where a request would go now.

    Attributes:
        states_pace: Whether targets of the service state their pace.
        region_order: Regions in which it may run, by preference.
        targets: The candidates, by preference within each region, and the targets that
            were passed over for them.
        decision: The target that would be used, or the cause of a refusal.
    """

    states_pace: bool
    region_order: tuple[str, ...]
    targets: tuple[ExplainedTarget, ...]
    decision: Placement


def explained(
    state: TargetState,
    placement: Placement | None,
    obstacle: str,
    round_trip_ms: int,
    now: int,
) -> ExplainedTarget:
    """Return a target with what is known about it.

    Args:
        state: The target.
        placement: Its evaluation; None if it was not evaluated.
        obstacle: What ruled it out.
        round_trip_ms: Round trip time.
        now: The time in milliseconds.
    """
    record = state.record
    placement = placement or Placement(state)
    work = placement.open_work
    return ExplainedTarget(
        record.id,
        record.region,
        record.data_centre,
        placement.placed_by,
        placement.start_ms,
        placement.work_ms,
        placement.expected_ms,
        round_trip_ms,
        round(state.pace_factor(now) * PERCENT),
        round(state.slowness(now) * PERCENT),
        state.in_flight(now),
        record.slots,
        state.report_age_ms(now),
        None if work is None else work.is_cached,
        obstacle,
    )
