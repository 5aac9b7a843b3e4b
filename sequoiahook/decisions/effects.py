"""Effects that all decision components may return."""

from typing import NamedTuple

__all__ = ["Send"]


class Send(NamedTuple):
    """Send a message to an instance; it may be lost, repeated or delayed.

    Attributes:
        destination: Name of the receiving instance.
        body: The message; its type is registered with the codec.
    """

    destination: str
    body: tuple
