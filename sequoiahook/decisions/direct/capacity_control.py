"""Division of the capacity of services between the requests that ask for it."""

from sequoiahook.decisions.direct.admission import Admission
from sequoiahook.decisions.direct.organisation_shares import OrganisationShares
from sequoiahook.decisions.direct.placements import Placement, TargetQuery
from sequoiahook.decisions.direct.requests import Cause, OpenRequest
from sequoiahook.decisions.direct.target_selection import TargetSelector

__all__ = ["CapacityControl"]

NO_CAPACITY_CAUSES = frozenset({Cause.TARGETS_FULL, Cause.SHIFT_LIMIT, Cause.TOO_LATE})
"""Causes of refusals for lack of capacity."""


class CapacityControl:
    """Counts requests by organisation and limits those over their share.

    Only a request that no target has received, whose caller is connected to this
    instance, is limited: one that may have run is never refused because of a share.

    Args:
        admission: Holds the services of the configuration in force.
        selector: Holds the typical work of routes.
        shares: Shares of capacity between organisations.
    """

    def __init__(
        self,
        admission: Admission,
        selector: TargetSelector,
        shares: OrganisationShares,
    ):
        self._admission = admission
        self._estimates = selector.estimates
        self._shares = shares

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

    def query(self, request: OpenRequest, remaining_ms: int) -> TargetQuery:
        """Return the properties of a request that determine its target."""
        is_limited = request.verdict is not None and not request.records
        return TargetQuery(
            self._admission.service(request.service),
            request.route,
            request.incoming.object_key,
            request.priority,
            request.regions,
            remaining_ms,
            frozenset(request.tried_ids | request.passed_over_ids),
            () if request.origin is None else request.origin.region_order,
            request.verdict.queue_percent if is_limited else None,
        )

    def record_sent(self, request: OpenRequest, now: int) -> None:
        """Count the first attempt of a request, just before it is recorded."""
        if request.is_offered and not request.records:
            work_ms = self._estimates.typical_work_ms(request.route)
            self._shares.record_started(
                request.service, request.organisation, work_ms, now
            )

    def refused(
        self, request: OpenRequest, placement: Placement, now: int
    ) -> Placement:
        """Return the final cause and retry-after time of a request without a target."""
        is_first = request.is_offered and not request.records
        if not is_first or placement.cause not in NO_CAPACITY_CAUSES:
            return placement
        self._shares.record_refused(request.service, now)
        if request.verdict is None or placement.cause == Cause.TOO_LATE:
            return placement
        if request.verdict.is_credit_spent:
            work_ms = self._estimates.typical_work_ms(request.route)
            self._shares.return_credit(request.service, request.organisation, work_ms)
        return placement._replace(cause=Cause.OVER_SHARE)
