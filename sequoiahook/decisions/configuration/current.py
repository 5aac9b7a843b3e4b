"""The configuration in force at an instance, with its pieces."""

from collections.abc import Iterable
from typing import Any

from sequoiahook.decisions.configuration.pieces import (
    assemble,
    digest_of,
    reachable_pieces,
    walk_pieces,
)
from sequoiahook.decisions.configuration.root import EMPTY_ROOT, Root
from sequoiahook.world.configuration import Configuration, read_configuration

__all__ = ["CurrentConfiguration"]


class CurrentConfiguration:
    """The configuration in force, and pieces gathered for the next one.

    Attributes:
        root: Root of the configuration in force; its number never falls.
        document: The document; None before the first one.
        configuration: The parsed document; None before the first one.
        pieces_by_digest: Pieces of the document, and those gathered for the next one.
        previous_number: Number that was in force before this one; 0 for none.
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
        """Number of the configuration in force; 0 if there is none."""
        return self.root.number

    def add_pieces(self, pieces: Iterable[tuple[str, bytes]]) -> list[str]:
        """Add the pieces that match their digests; return the digests of the others."""
        mismatched = []
        for digest, piece in pieces:
            if digest_of(piece) == digest:
                self.pieces_by_digest[digest] = piece
            else:
                mismatched.append(digest)
        return mismatched

    def apply(self, root: Root) -> None:
        """Put a configuration into force if its number is higher.

        Raises:
            CheckError: If the document is malformed; the state is unchanged then.
        """
        if root.number <= self.number:
            return
        document = assemble(root.pieces_by_name, self.pieces_by_digest)
        configuration = read_configuration(root.number, document)
        reachable = reachable_pieces(root.pieces_by_name, self.pieces_by_digest)
        previous = reachable_pieces(self.root.pieces_by_name, self.pieces_by_digest)
        self._new_digests = reachable - previous
        self.previous_number = self.number
        self.root = root
        self.document = document
        self.configuration = configuration
        self.drop_unused()

    def drop_unused(self) -> None:
        """Drop the pieces that the configuration in force does not need."""
        pieces = self.pieces_by_digest
        used = reachable_pieces(self.root.pieces_by_name, pieces)
        self.pieces_by_digest = {digest: pieces[digest] for digest in used}

    def pieces_since(self, number: int, bytes_max: int) -> tuple:
        """Return the pieces added since the previous number; none for other numbers."""
        if number != self.previous_number or not number:
            return ()
        return self.available_pieces(sorted(self._new_digests), bytes_max)

    def with_descendants(self, digests: tuple[str, ...]) -> list[str]:
        """Return digests and those of all pieces below them, level by level."""
        return list(dict.fromkeys(walk_pieces(digests, self.pieces_by_digest)))

    def available_pieces(self, digests: Iterable[str], bytes_max: int) -> tuple:
        """Return the pieces held here, up to a size, but at least the first one."""
        found = []
        byte_count = 0
        for digest in digests:
            piece = self.pieces_by_digest.get(digest)
            if piece is None or (found and byte_count + len(piece) > bytes_max):
                continue
            found.append((digest, piece))
            byte_count += len(piece)
        return tuple(found)
