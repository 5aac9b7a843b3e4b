"""Requests and token requests that wait for tokens."""

from typing import NamedTuple

from sequoiahook.messages.rights import RightsAsk

__all__ = ["PendingReservation", "PendingTokenRequest"]


class PendingReservation(NamedTuple):
    """A request of this instance.

    Attributes:
        request_id: The request.
        tokens: Tokens that it needs, in micro-units.
        deadline_at: When it is refused.
    """

    request_id: str
    tokens: int
    deadline_at: int


class PendingTokenRequest(NamedTuple):
    """A token request of another instance.

    Attributes:
        borrower: Name of that instance.
        token_request: The message.
        tokens: Tokens that are still wanted, in micro-units.
        deadline_at: When it is refused.
        is_remote: Whether the borrower is in another data centre.
    """

    borrower: str
    token_request: RightsAsk
    tokens: int
    deadline_at: int
    is_remote: bool
