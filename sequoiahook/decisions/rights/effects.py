"""Effects that Rights returns in addition to messages."""

from typing import NamedTuple

__all__ = ["Committed", "Lapsed", "Refused", "Reserved"]


class Reserved(NamedTuple):
    """Tokens are reserved for the request, to be committed or released.

    Attributes:
        request_id: The request.
    """

    request_id: str


class Refused(NamedTuple):
    """The request is finally refused and gets no tokens.

    Attributes:
        request_id: The request.
        retry_after_ms: Time until tokens may be available, in milliseconds.
    """

    request_id: str
    retry_after_ms: int


class Committed(NamedTuple):
    """The tokens are spent; the request may be written to its target now.

    Attributes:
        request_id: The request.
    """

    request_id: str


class Lapsed(NamedTuple):
    """The reservation has lapsed; the request must not be sent under it.

    Attributes:
        request_id: The request.
    """

    request_id: str
