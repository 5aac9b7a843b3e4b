"""Effects of membership, in addition to Send."""

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
    """Read an object of the platform and report the outcome.

    Attributes:
        name: Name of the object.
    """

    name: str


class WriteObject(NamedTuple):
    """Write an object of the platform on condition of its version.

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
    """An instance became a member, or was replaced by another incarnation.

    Attributes:
        name: Name of the instance.
        incarnation: Its incarnation.
    """

    name: str
    incarnation: int


class PeerDown(NamedTuple):
    """An instance is no longer a member; it may return.

    Attributes:
        name: Name of the instance.
        incarnation: Its incarnation.
    """

    name: str
    incarnation: int


class LinksChanged(NamedTuple):
    """The set of instances to hold a link to has changed.

    Attributes:
        names: Names of all instances in the new set.
    """

    names: frozenset[str]


class LiveChanged(NamedTuple):
    """The live instances of a data centre have changed.

    Attributes:
        data_centre: Name of the data centre.
    """

    data_centre: str


class Paused(NamedTuple):
    """This process did not run for at least the longest lease; its leases have lapsed.

    Attributes:
        gap_ms: Length of the pause, in milliseconds.
    """

    gap_ms: int
