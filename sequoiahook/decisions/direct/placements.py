"""Values that describe the selection of a target for a request."""

from typing import NamedTuple

from sequoiahook.decisions.direct.region_summary import PlacedBy
from sequoiahook.decisions.direct.requests import OpenRequest
from sequoiahook.decisions.direct.target_backlog import OpenWork
from sequoiahook.decisions.direct.target_state import TargetState
from sequoiahook.world.routing import Route, TargetService

__all__ = ["Placement", "TargetQuery", "may_queue", "target_query"]

PERCENT = 100


class TargetQuery(NamedTuple):
    """The properties of a request that determine its target.

    Attributes:
        service: Service that runs the request.
        route: Route of the request.
        object_key: Key of the object that it concerns; empty if it names none.
        priority: Priority of the request; 0 is the highest.
        regions: Regions that it may run in; empty means all.
        remaining_ms: Time until its deadline.
        tried_ids: Ids of the targets that it was sent to before.
        region_order: Order of the regions, if another instance has determined it.
        organisation: Name of the organisation; empty if no key is required.
        body_bytes: Size of the body.
        queue_percent_max: Most requests that may queue at its target, as a percentage
            of the slots; None if only the limits for all requests apply.
    """

    service: TargetService
    route: Route
    object_key: str
    priority: int
    regions: tuple[str, ...]
    remaining_ms: int
    tried_ids: frozenset[str]
    region_order: tuple[str, ...] = ()
    organisation: str = ""
    body_bytes: int = 0
    queue_percent_max: int | None = None


class Placement(NamedTuple):
    """The target selected for a request, or the reason why there is none.

    Attributes:
        state: The target; None if the request should be refused.
        expected_ms: Expected response time.
        in_flight: Requests known to be queued or running at the target.
        retry_after_ms: Time after which the caller should retry if there is no target.
        cause: Reason why there is no target.
        placed_by: What determined the region; one of `PlacedBy`.
        start_ms: Expected time until the target begins the request.
        work_ms: Expected time for which it runs there.
        open_work: The work to add to the target's backlog; None if the service does
            not state its pace.
    """

    state: TargetState | None
    expected_ms: int = 0
    in_flight: int = 0
    retry_after_ms: int = 0
    cause: str = ""
    placed_by: str = ""
    start_ms: int = 0
    work_ms: int = 0
    open_work: OpenWork | None = None

    @property
    def is_moved(self) -> bool:
        """Whether the target is in another region than the object's owner."""
        return self.placed_by == PlacedBy.OVERFLOW


def target_query(
    request: OpenRequest, service: TargetService, remaining_ms: int
) -> TargetQuery:
    """Return the properties of a request that determine its target.

    Args:
        request: The request.
        service: Service that runs it.
        remaining_ms: Time until its deadline.
    """
    return TargetQuery(
        service,
        request.route,
        request.incoming.object_key,
        request.priority,
        request.regions,
        remaining_ms,
        frozenset(request.tried_ids | request.passed_over_ids),
        () if request.origin is None else request.origin.region_order,
        request.organisation,
        len(request.incoming.body),
    )


def may_queue(placement: Placement, query: TargetQuery, now: int) -> bool:
    """Return whether a request's own limit lets it queue at a target.

    The target's own report of its load is not used: a target that reports too much
    would be left partly idle when only organisations over their share ask for it.
    """
    if query.queue_percent_max is None:
        return True
    state = placement.state
    most = state.record.slots * (PERCENT + query.queue_percent_max) // PERCENT
    return state.instances_open_count(now) < most
