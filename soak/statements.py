"""Checks of what targets state in their answers against the requests they got."""

from collections import defaultdict
from collections.abc import Iterator

from soak.observations import Arrival, Observations

__all__ = ["late_after_leaving", "late_in_rests"]

IN_FLIGHT_S = 0.5
REST_ARRIVALS_MAX = 2
DRAIN_MAX_S = 2.5


def late_in_rests(observations: Observations) -> Iterator[tuple[str, str, int]]:
    """Return the instance, the target and the count of requests in a rest, if too many.

    Seeds with losses of connectivity are left out: a request that was handed over
    reaches its target from another instance than the caller's.
    """
    for (instance, target), arrivals in _arrivals_by_pair(observations).items():
        for asked in arrivals:
            if not asked.rest:
                continue
            begin, end = asked.at + IN_FLIGHT_S, asked.at + float(asked.rest)
            late = sum(begin < arrival.at < end for arrival in arrivals)
            if late > REST_ARRIVALS_MAX and _was_up(observations, instance, asked, end):
                yield instance, target, late
                break


def late_after_leaving(observations: Observations) -> Iterator[tuple[str, str, float]]:
    """Return the instance, the target and the delay of a request that came too late."""
    for (instance, target), arrivals in _arrivals_by_pair(observations).items():
        stated = next((arrival for arrival in arrivals if arrival.is_leaving), None)
        if stated is None:
            continue
        last = arrivals[-1]
        is_late = last.at > stated.at + DRAIN_MAX_S
        if is_late and _was_up(observations, instance, stated, last.at):
            yield instance, target, last.at - stated.at


def _arrivals_by_pair(
    observations: Observations,
) -> dict[tuple[str, str], list[Arrival]]:
    if observations.cuts:
        return {}
    instance_by_id = {r.id: r.instance for r in observations.requests}
    arrivals_by_pair = defaultdict(list)
    for arrival in sorted(observations.arrivals, key=lambda arrival: arrival.at):
        instance = instance_by_id.get(arrival.id)
        if instance is not None:
            arrivals_by_pair[instance, arrival.target].append(arrival)
    return arrivals_by_pair


def _was_up(
    observations: Observations, instance: str, asked: Arrival, until: float
) -> bool:
    """Return whether the instance was neither restarted nor paused meanwhile."""
    return not any(
        fault.instance == instance
        and fault.started_at <= until
        and asked.at <= fault.ended_at
        for fault in observations.fault_intervals
    )
