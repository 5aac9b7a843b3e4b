"""Values that describe the selection of a target for a request."""

from typing import NamedTuple

from sequoiahook.decisions.direct.region_summary import PlacedBy
from sequoiahook.decisions.direct.target_state import TargetState
from sequoiahook.world.routing import Route, TargetService

__all__ = ["Placement", "TargetQuery"]


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
    """

    service: TargetService
    route: Route
    object_key: str
    priority: int
    regions: tuple[str, ...]
    remaining_ms: int
    tried_ids: frozenset[str]
    region_order: tuple[str, ...] = ()


class Placement(NamedTuple):
    """The target selected for a request, or the reason why there is none.

    Attributes:
        state: The target; None if the request should be refused.
        expected_ms: Expected response time.
        in_flight: Requests known to be queued or running at the target.
        retry_after_ms: Time after which the caller should retry if there is no target.
        cause: Reason why there is no target.
        placed_by: What determined the region; one of `PlacedBy`.
        owner_region: Region of the object's owner.
    """

    state: TargetState | None
    expected_ms: int = 0
    in_flight: int = 0
    retry_after_ms: int = 0
    cause: str = ""
    placed_by: str = ""
    owner_region: str = ""

    @property
    def is_moved(self) -> bool:
        """Whether the target is in another region than the object's owner."""
        return self.placed_by == PlacedBy.OVERFLOW
