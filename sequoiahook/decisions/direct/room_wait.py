"""The wait of a request for a target with room."""

from typing import NamedTuple

__all__ = ["RoomWait"]


class RoomWait(NamedTuple):
    """The wait of a request, as it is decided and logged.

    Attributes:
        since: When it began, in milliseconds.
        until: When it ends at the latest.
        place: Place among the waiting requests of the service when it began, from 1.
        work_ms: Expected work of the request.
        waited_ms: Duration so far.
    """

    since: int
    until: int
    place: int
    work_ms: float
    waited_ms: int = 0
