"""Effects of membership, beside Send."""

from typing import NamedTuple

from sequoiahook.world.view import DataCentreView

__all__ = [
    "LinksChanged",
    "LiveChanged",
    "Paused",
    "PeerDown",
    "PeerUp",
    "ReadObject",
    "ViewChanged",
    "WriteObject",
]


class ReadObject(NamedTuple):
    """Read an object of the platform and report the outcome back.

    Attributes:
        name: Name of the object.
    """

    name: str


class WriteObject(NamedTuple):
    """Write an object of the platform if it is still at a version.

    Attributes:
        name: Name of the object.
        value: The new value.
        version: The version that it must have; 0 if it must not exist.
    """

    name: str
    value: bytes
    version: int


class ViewChanged(NamedTuple):
    """A view with a higher number is in force on this instance.

    Attributes:
        view: The view of the instance's own data centre.
    """

    view: DataCentreView


class PeerUp(NamedTuple):
    """An instance joined the live list, or came back as another incarnation.

    Attributes:
        name: Name of the instance.
        incarnation: Its incarnation.
    """

    name: str
    incarnation: int


class PeerDown(NamedTuple):
    """An instance left the live list; it may still come back.

    Attributes:
        name: Name of the instance.
        incarnation: Its incarnation.
    """

    name: str
    incarnation: int


class LinksChanged(NamedTuple):
    """The set of instances to hold a link to has changed.

    Attributes:
        names: All of them.
    """

    names: frozenset[str]


class LiveChanged(NamedTuple):
    """The live instances of a data centre have changed, or one of them leaves.

    Attributes:
        data_centre: Name of the data centre.
    """

    data_centre: str


class Paused(NamedTuple):
    """This process did not run for longer than a lease: it holds nothing any more.

    Attributes:
        gap_ms: How long it did not run, in milliseconds.
    """

    gap_ms: int
