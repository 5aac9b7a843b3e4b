"""Messages that carry the configuration between instances.

Each may be lost, repeated, reordered or delayed without harm: a receiver acts only on
a number above its own and accepts a piece only if it matches its digest. Lost data is
requested again after a comparison of numbers or a time-out.
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
    """Reports the configuration number that the sender has in force.

    A receiver with a higher number pushes its configuration; one with a lower number
    sends a comparison back. Lost: the next comparison follows within about a second.
    Repeated or delayed: causes an unnecessary answer; a lower number has no effect.

    Attributes:
        number: Configuration number in force at the sender; 0 for none.
        is_watcher: Whether the sender watches the platform for its data centre.
        wants_reply: Whether to answer even if the numbers are equal.
    """

    number: int
    is_watcher: bool
    wants_reply: bool


@message
class ConfigurationPush(NamedTuple):
    """Carries a root and the pieces that the receiver probably lacks.

    Lost: the next comparison leads to another push. Repeated, reordered or delayed:
    ignored unless the number is above the receiver's.

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
    """Requests pieces.

    Lost: sent again to another instance after a time-out.

    Attributes:
        digests: Digests of the pieces.
        wants_below: Whether to add the pieces below them as far as they fit; set by
            an instance that holds no pieces yet.
    """

    digests: tuple[str, ...]
    wants_below: bool


@message
class ConfigurationPieces(NamedTuple):
    """Answers a PieceRequest with the available pieces that fit into one message.

    Lost: requested again. Repeated or delayed: pieces that were not requested are
    dropped.

    Attributes:
        pieces: Digest and bytes of each piece.
    """

    pieces: tuple[tuple[str, bytes], ...]
