"""Effects that the rights return besides messages."""

from typing import NamedTuple

__all__ = ["Committed", "Lapsed", "Refused", "Reserved"]


class Reserved(NamedTuple):
    """The request holds a token; commit or release it.

    Attributes:
        request_id: The request.
    """

    request_id: str


class Refused(NamedTuple):
    """The request gets no token; this is final.

    Attributes:
        request_id: The request.
        retry_after_ms: When a token may be free, in milliseconds.
    """

    request_id: str
    retry_after_ms: int


class Committed(NamedTuple):
    """The token is spent; the request may be written to its target now.

    Attributes:
        request_id: The request.
    """

    request_id: str


class Lapsed(NamedTuple):
    """The reservation is gone; the request must not be sent under it.

    Attributes:
        request_id: The request.
    """

    request_id: str
