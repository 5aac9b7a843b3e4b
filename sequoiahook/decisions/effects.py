"""Effects that every decision part may return."""

from typing import NamedTuple

__all__ = ["Send"]


class Send(NamedTuple):
    """Send a message to an instance; it may be lost, repeated or delayed.

    Attributes:
        destination: Name of the receiving instance.
        body: A registered message.
    """

    destination: str
    body: tuple
