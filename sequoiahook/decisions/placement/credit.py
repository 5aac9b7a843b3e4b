"""A unit of credit, as it travels with a request."""

from typing import NamedTuple

__all__ = ["Credit"]


class Credit(NamedTuple):
    """One unit of a grant: the right to send one request once.

    Attributes:
        service: Name of the service.
        data_centre: Data centre of the pool.
        lender: Instance that granted it, and that the request goes to.
        lender_incarnation: Incarnation of the lender.
        grant_id: The grant that it belongs to.
        unit: Number of the unit in the grant, from 0.
    """

    service: str
    data_centre: str
    lender: str
    lender_incarnation: int
    grant_id: int
    unit: int
