"""A unit of credit, as it travels with a request."""

from typing import NamedTuple

__all__ = ["Credit", "GrantKey"]


class GrantKey(NamedTuple):
    """What names one grant on both sides.

    Attributes:
        borrower: Name of the instance that asked.
        incarnation: Its incarnation.
        ask_id: The id of its ask.
    """

    borrower: str
    incarnation: int
    ask_id: int


class Credit(NamedTuple):
    """One unit of a grant: the right to send one request once.

    Attributes:
        service: Name of the service.
        data_centre: Data centre of the pool.
        lender: Instance that granted it, and that the request goes to.
        lender_incarnation: Incarnation of the lender.
        grant: The grant that it belongs to.
        unit: Number of the unit in the grant, from 0.
    """

    service: str
    data_centre: str
    lender: str
    lender_incarnation: int
    grant: GrantKey
    unit: int
