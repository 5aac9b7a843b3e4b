"""The registry of message types that instances exchange."""

from typing import NamedTuple, TypeVar

__all__ = ["Envelope", "message", "message_type", "message_types_by_name"]

M = TypeVar("M", bound=type)

message_types_by_name: dict[str, type] = {}


def message(cls: M) -> M:
    """Register a NamedTuple class as a message type under its class name.

    Raises:
        ValueError: If another class is registered under the name.
    """
    other = message_types_by_name.setdefault(cls.__name__, cls)
    if other is not cls:
        raise ValueError(f"two message types are named {cls.__name__}")
    return cls


def message_type(name: str) -> type:
    """Return the message type that is registered under a name.

    Raises:
        KeyError: If there is none.
    """
    return message_types_by_name[name]


class Envelope(NamedTuple):
    """A message with its sender and receiver.

    Attributes:
        source: Name of the sending instance.
        incarnation: Incarnation of the sending instance.
        sequence: Number of the envelope, unique within the incarnation.
        destination: Name of the receiving instance.
        body: A registered message.
    """

    source: str
    incarnation: int
    sequence: int
    destination: str
    body: tuple
