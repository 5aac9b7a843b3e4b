"""Division of the capacity of services between the requests that ask for it."""

from collections.abc import Hashable
from typing import NamedTuple

from sequoiahook.decisions.direct.organisation_shares import OrganisationShares
from sequoiahook.decisions.direct.placements import Placement, TargetQuery
from sequoiahook.decisions.direct.requests import Cause, HoldRoom, OpenRequest
from sequoiahook.decisions.direct.target_selection import TargetSelector
from sequoiahook.decisions.direct.turns import TurnRequest, Turns, TurnSettings
from sequoiahook.decisions.direct.waiting import Waiting, WaitingSettings

__all__ = ["NO_CAPACITY_CAUSES", "CapacityControl", "CapacitySettings"]

NO_CAPACITY_CAUSES = frozenset({Cause.TARGETS_FULL, Cause.SHIFT_LIMIT, Cause.TOO_LATE})
"""Causes of refusals for lack of capacity."""


class CapacitySettings(NamedTuple):
    """Settings of what happens to requests that find no capacity.

    Attributes:
        waiting: Limits of the waits.
        turns: Limits of the retry times.
    """

    waiting: WaitingSettings = WaitingSettings()
    turns: TurnSettings = TurnSettings()


class CapacityControl:
    """Counts requests by organisation and limits those over their share.

    Only a request that no target has received, whose caller is connected to this
    instance, is limited: one that may have run is never refused because of a share.

    Attributes:
        waiting: Requests that wait for a target with room.

    Args:
        settings: Settings of waits and retry times.
        selector: Holds the typical work of routes.
        shares: Shares of capacity between organisations.
    """

    def __init__(
        self,
        settings: CapacitySettings,
        selector: TargetSelector,
        shares: OrganisationShares,
    ):
        self._selector = selector
        self._estimates = selector.estimates
        self._shares = shares
        self._turns = Turns(settings.turns)
        self.waiting = Waiting(
            settings.waiting, lambda service: selector.states_pace(service), shares
        )

    def offer(self, request: OpenRequest, now: int) -> None:
        """Count a request that is about to be selected a target, once."""
        if request.key_name is None or request.is_offered:
            return
        if request.origin is not None or request.records:
            return
        request.is_offered = True
        work_ms = self._estimates.typical_work_ms(request.route)
        share = (request.service, request.organisation, work_ms, now)
        self._shares.record_offered(*share)
        request.verdict = self._shares.admit(*share)

    def limited(self, request: OpenRequest, query: TargetQuery) -> TargetQuery:
        """Return a request's query with the limit of its organisation's share."""
        if request.verdict is None or request.records:
            return query
        return query._replace(queue_percent_max=request.verdict.queue_percent)

    def record_sent(self, request: OpenRequest, now: int) -> None:
        """Count the first attempt of a request, just before it is recorded."""
        if request.records:
            return
        if request.is_offered or self._selector.states_pace(request.service):
            self._turns.record_start(_line(request, is_over_share=False), now)
        if request.verdict is not None:
            self._turns.record_start(_line(request, is_over_share=True), now)
        if request.is_offered:
            work_ms = self._estimates.typical_work_ms(request.route)
            self._shares.record_started(
                request.service, request.organisation, work_ms, now
            )

    def hold(
        self, request: OpenRequest, placement: Placement, now: int
    ) -> HoldRoom | None:
        """Return the wait of a request that found no room; None if it is refused.

        A request without credit of its organisation is refused at once.
        """
        if request.origin is not None or request.records:
            return None
        if placement.cause not in NO_CAPACITY_CAUSES:
            return None
        if request.verdict is not None and not request.verdict.is_credit_spent:
            return None
        work_ms = self._estimates.typical_work_ms(request.route)
        return self.waiting.hold(request, placement.retry_after_ms, work_ms, now)

    def refused(
        self, request: OpenRequest, placement: Placement, now: int
    ) -> Placement:
        """Return the final cause and retry-after time of a request without a target."""
        if request.origin is not None or placement.cause not in NO_CAPACITY_CAUSES:
            return placement
        if request.is_offered and not request.records:
            placement = self._refused_first(request, placement, now)
        return self._with_turn(request, placement, now)

    def _refused_first(
        self, request: OpenRequest, placement: Placement, now: int
    ) -> Placement:
        """Count a refusal and return it with its final cause."""
        self._shares.record_refused(request.service, now)
        if request.verdict is None or placement.cause == Cause.TOO_LATE:
            return placement
        if request.verdict.is_credit_spent:
            work_ms = self._estimates.typical_work_ms(request.route)
            self._shares.return_credit(request.service, request.organisation, work_ms)
        return placement._replace(cause=Cause.OVER_SHARE)

    def _with_turn(
        self, request: OpenRequest, placement: Placement, now: int
    ) -> Placement:
        """Return a refusal with the retry-after time of its turn."""
        service = request.service
        is_short = request.is_offered and self._shares.is_in_force(service, now)
        if not is_short and not self._selector.states_pace(service):
            return placement
        is_over_share = placement.cause == Cause.OVER_SHARE
        wanted = TurnRequest(
            _line(request, is_over_share=is_over_share),
            placement.retry_after_ms,
            request.deadline_at - now,
        )
        wait_ms = self._turns.retry_after_ms(wanted, now)
        return placement._replace(retry_after_ms=wait_ms)


def _line(request: OpenRequest, *, is_over_share: bool) -> Hashable:
    """Return the line of turns of a request.

    Organisations over their share have turns of their own, since their refusals would
    take all turns of the service.
    """
    if is_over_share:
        return request.service, request.organisation
    return request.service
