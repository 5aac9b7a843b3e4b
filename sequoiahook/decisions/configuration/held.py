"""The configuration that an instance has in force, with its pieces."""

from collections.abc import Iterable
from typing import Any

from sequoiahook.decisions.configuration.root import EMPTY_ROOT, Root
from sequoiahook.decisions.configuration.store import (
    assemble,
    digest_of,
    reachable_pieces,
    walk_pieces,
)
from sequoiahook.world.configuration import Configuration, read_configuration

__all__ = ["HeldConfiguration"]


class HeldConfiguration:
    """The configuration in force, and pieces on their way to the next one.

    Attributes:
        root: Root of the configuration in force; its number only grows.
        document: The document; None before the first one.
        configuration: The document, read; None before the first one.
        pieces_by_digest: Pieces in force, and those gathered for the next one.
        previous_number: The number that was in force before this one.
    """

    def __init__(self):
        self.root: Root = EMPTY_ROOT
        self.document: dict[str, Any] | None = None
        self.configuration: Configuration | None = None
        self.pieces_by_digest: dict[str, bytes] = {}
        self.previous_number = 0
        self._new_digests: set[str] = set()

    @property
    def number(self) -> int:
        """The number in force; 0 for none."""
        return self.root.number

    def add_pieces(self, pieces: Iterable[tuple[str, bytes]]) -> list[str]:
        """Keep pieces that match their digests; return the digests that do not."""
        wrong = []
        for digest, piece in pieces:
            if digest_of(piece) == digest:
                self.pieces_by_digest[digest] = piece
            else:
                wrong.append(digest)
        return wrong

    def take(self, root: Root) -> None:
        """Put a configuration into force, if its number is higher.

        Raises:
            CheckError: If the document is malformed; nothing is changed then.
        """
        if root.number <= self.number:
            return
        document = assemble(root.pieces_by_name, self.pieces_by_digest)
        configuration = read_configuration(root.number, document)
        reachable = reachable_pieces(root.pieces_by_name, self.pieces_by_digest)
        old = reachable_pieces(self.root.pieces_by_name, self.pieces_by_digest)
        self._new_digests = reachable - old
        self.previous_number = self.number
        self.root = root
        self.document = document
        self.configuration = configuration
        self.drop_unused()

    def drop_unused(self) -> None:
        """Drop the pieces that the configuration in force does not need."""
        pieces = self.pieces_by_digest
        kept = reachable_pieces(self.root.pieces_by_name, pieces)
        self.pieces_by_digest = {digest: pieces[digest] for digest in kept}

    def pieces_since(self, number: int, bytes_max: int) -> tuple:
        """Return the pieces that are new since a number, if that is known to be few."""
        if number != self.previous_number or not number:
            return ()
        return self.some_pieces(sorted(self._new_digests), bytes_max)

    def with_those_below(self, digests: tuple[str, ...]) -> list[str]:
        """Return digests and those of all pieces below them, branches first."""
        return list(dict.fromkeys(walk_pieces(digests, self.pieces_by_digest)))

    def some_pieces(self, digests: Iterable[str], bytes_max: int) -> tuple:
        """Return those of the pieces that are there and fit; at least one if any."""
        found = []
        size = 0
        for digest in digests:
            piece = self.pieces_by_digest.get(digest)
            if piece is None or (found and size + len(piece) > bytes_max):
                continue
            found.append((digest, piece))
            size += len(piece)
        return tuple(found)
