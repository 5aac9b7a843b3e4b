"""A unit of credit, which is sent along with a request."""

from typing import NamedTuple

__all__ = ["Credit"]


class Credit(NamedTuple):
    """One unit of a grant: the right to send one request once to a pool's owner.

    Attributes:
        service: Name of the service.
        data_centre: Data centre of the pool.
        lender: Instance that granted the unit and receives the request.
        lender_incarnation: Incarnation of the lender.
        grant_id: Id of the grant that the unit belongs to.
        unit: Number of the unit in the grant, from 0.
    """

    service: str
    data_centre: str
    lender: str
    lender_incarnation: int
    grant_id: int
    unit: int
