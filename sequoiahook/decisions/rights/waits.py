"""Requests and asks that wait for tokens, in order of arrival."""

from typing import NamedTuple

from sequoiahook.messages.rights import RightsAsk

__all__ = ["AskWait", "LocalWait"]


class LocalWait(NamedTuple):
    """A request of this instance.

    Attributes:
        request_id: The request.
        tokens: What it needs, in micro-units.
        deadline_ms: When it is refused.
    """

    request_id: str
    tokens: int
    deadline_ms: int


class AskWait(NamedTuple):
    """An ask of another instance.

    Attributes:
        borrower: Name of that instance.
        ask: The ask.
        tokens: What is still wanted, in micro-units.
        deadline_ms: When it is refused.
        is_remote: Whether the borrower stands in another data centre.
    """

    borrower: str
    ask: RightsAsk
    tokens: int
    deadline_ms: int
    is_remote: bool
