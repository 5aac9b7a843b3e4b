"""Messages that carry the configuration between instances.

Every one of them may be lost, repeated, reordered or delayed without harm: a
receiver acts only on a number above its own, a piece is taken only if it has the
digest that names it, and what was lost is asked for again after a comparison of
numbers or a timeout.
"""

from typing import NamedTuple

from sequoiahook.messages.base import message

__all__ = [
    "ConfigurationCompare",
    "ConfigurationPieces",
    "ConfigurationPush",
    "PieceRequest",
]


@message
class ConfigurationCompare(NamedTuple):
    """Tells the number that the sender has in force.

    A receiver with a higher number pushes its own; one with a lower number compares
    back. Lost: the next comparison follows within about a second. Repeated or late:
    costs a needless answer; a late lower number never lowers anything.

    Attributes:
        number: Number in force at the sender; 0 for none.
        is_watcher: Whether the sender watches the platform for its data centre.
        wants_reply: Whether to answer also if the numbers are equal.
    """

    number: int
    is_watcher: bool
    wants_reply: bool


@message
class ConfigurationPush(NamedTuple):
    """Hands over a root, and pieces that the receiver probably lacks.

    Lost: healed by the next comparison. Repeated, late or reordered: ignored if the
    number is not above the receiver's.

    Attributes:
        number: Number of the configuration.
        root: The root as JSON, without the recent patches.
        pieces: Digest and bytes of each piece.
    """

    number: int
    root: bytes
    pieces: tuple[tuple[str, bytes], ...]


@message
class PieceRequest(NamedTuple):
    """Asks for pieces; lost: asked again, of another instance, after a timeout.

    Attributes:
        digests: Digests of the pieces.
        wants_below: Whether to add the pieces below them, as far as they fit; asked
            by an instance that holds nothing yet.
    """

    digests: tuple[str, ...]
    wants_below: bool


@message
class ConfigurationPieces(NamedTuple):
    """Answers a PieceRequest with those pieces that are there and fit in.

    Lost: asked again. Repeated or late: pieces that are not wanted are dropped.

    Attributes:
        pieces: Digest and bytes of each piece.
    """

    pieces: tuple[tuple[str, bytes], ...]
