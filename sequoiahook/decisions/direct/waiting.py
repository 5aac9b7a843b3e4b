"""Requests that wait at this instance until a target has room for them.

A request that finds no target with room waits for a part of its latency goal, if room
is expected within that time, instead of being refused at once. Each attempt that ends
wakes the first of those that wait for the service; without that, a request is decided
again after a short time. It holds neither a target nor a token of its organisation, and
whatever is checked before an attempt is checked again when its wait ends.

This covers services whose targets state their pace.
"""

from collections.abc import Callable
from typing import NamedTuple

from sequoiahook.decisions.direct.organisation_shares import OrganisationShares
from sequoiahook.decisions.direct.requests import HoldRoom, OpenRequest
from sequoiahook.decisions.direct.room_wait import RoomWait

__all__ = ["Waiting", "WaitingSettings"]


class WaitingSettings(NamedTuple):
    """Limits of the waits.

    Attributes:
        goal_divisor: Divisor of the route's latency goal that gives the longest wait.
        waiting_max: Most requests that wait for a service at an instance.
        decide_again_ms: Longest time until a waiting request is decided again.
        wake_max: Requests that one signal of capacity wakes. More than one, since the
            first may not be able to use the target that became free; few, since each
            costs a selection.
        remaining_min_ms: Least time before its deadline at which a request is sent.
    """

    goal_divisor: int = 8
    waiting_max: int = 64
    decide_again_ms: int = 25
    wake_max: int = 3
    remaining_min_ms: int = 20


class Waiting:
    """The requests that wait, by service.

    Args:
        settings: Limits of the waits.
        states_pace: Returns whether the targets of a service state their pace.
        shares: Counts the recent work of organisations.
    """

    def __init__(
        self,
        settings: WaitingSettings,
        states_pace: Callable[[str], bool],
        shares: OrganisationShares,
    ):
        self._settings = settings
        self._states_pace = states_pace
        self._shares = shares
        self._requests_by_service: dict[str, dict[int, OpenRequest]] = {}

    @property
    def counts_by_service(self) -> dict[str, int]:
        """Number of waiting requests of each service that has any."""
        requests_by_service = self._requests_by_service.items()
        return {service: len(requests) for service, requests in requests_by_service}

    def hold(
        self, request: OpenRequest, room_after_ms: int, work_ms: float, now: int
    ) -> HoldRoom | None:
        """Let a request wait; return None if it must be decided now.

        Args:
            request: A request that no target has received.
            room_after_ms: Time after which a target is expected to have room.
            work_ms: Expected work of the request.
            now: The time in milliseconds.
        """
        service = request.service
        if not self._states_pace(service):
            return None
        waiting = self._requests_by_service.get(service, {})
        if len(waiting) >= self._settings.waiting_max:
            return None
        if request.room_wait is None:
            longest_ms = self._longest_ms(request, work_ms, now)
            if longest_ms <= 0 or room_after_ms > longest_ms:
                return None
            request.room_wait = RoomWait(
                now, now + longest_ms, len(waiting) + 1, work_ms
            )
        left_ms = request.room_wait.until - now
        if left_ms <= 0:
            return None
        self._requests_by_service.setdefault(service, {})[id(request)] = request
        return HoldRoom(service, min(left_ms, self._settings.decide_again_ms))

    def leave(self, request: OpenRequest, now: int) -> None:
        """Free the place of a request whose wait has ended or whose caller left."""
        waiting = self._requests_by_service.get(request.service, {})
        waiting.pop(id(request), None)
        if not waiting:
            self._requests_by_service.pop(request.service, None)
        wait = request.room_wait
        request.room_wait = wait._replace(waited_ms=now - wait.since)

    def next_requests(self, service: str, now: int) -> list[OpenRequest]:
        """Return the requests to decide when a service has capacity, first ones first.

        Those whose goal can still be met come first; among these, those of a higher
        priority, then of organisations with less recent work, then the earlier ones.
        """
        waiting = self._requests_by_service.get(service)
        if waiting is None:
            return []
        totals = self._shares.totals(service, now)
        started_ms = totals.started_ms_by_organisation

        def rank(request: OpenRequest) -> tuple:
            goal_at = request.arrived_at + request.route.latency_goal_ms
            return (
                goal_at - request.room_wait.work_ms < now,
                request.priority,
                started_ms[request.organisation],
                request.arrived_at,
            )

        return sorted(waiting.values(), key=rank)[: self._settings.wake_max]

    def _longest_ms(self, request: OpenRequest, work_ms: float, now: int) -> int:
        """Return the longest wait after which the goal and the deadline can be met.

        A goal that cannot be met even without a wait does not limit it.
        """
        goal_ms = request.route.latency_goal_ms
        longest_ms = goal_ms // self._settings.goal_divisor
        to_goal_ms = request.arrived_at + goal_ms - now - work_ms
        if to_goal_ms >= 0:
            longest_ms = min(longest_ms, to_goal_ms)
        to_deadline_ms = request.deadline_at - now - work_ms
        to_deadline_ms -= self._settings.remaining_min_ms
        return int(min(longest_ms, to_deadline_ms))
