"""Table of client blocks, searched by address."""

from bisect import bisect_right
from collections.abc import Iterable
from socket import AF_INET, AF_INET6, inet_pton

from sequoiahook.decisions.lookup.pieces import (
    IPV4_BITS,
    IPV6_BITS,
    NO_VALUE,
    Piece,
)

__all__ = ["BlockTable", "parse_address"]

_IPV6_UPPER_BYTES = 8
_IPV4_MAPPED_PREFIX = bytes(10) + b"\xff\xff"


def parse_address(text: str) -> tuple[int, int]:
    """Return the number of significant bits of an address, and those bits.

    An IPv4-mapped IPv6 address counts as IPv4.

    Raises:
        ValueError: If the text is not an IP address.
    """
    try:
        return IPV4_BITS, int.from_bytes(inet_pton(AF_INET, text))
    except OSError:
        pass
    try:
        address = inet_pton(AF_INET6, text)
    except OSError:
        raise ValueError(f"{text!r} is not an IP address") from None
    if address.startswith(_IPV4_MAPPED_PREFIX):
        return IPV4_BITS, int.from_bytes(address[len(_IPV4_MAPPED_PREFIX) :])
    return IPV6_BITS, int.from_bytes(address[:_IPV6_UPPER_BYTES])


class BlockTable:
    """Values of client blocks, by longest matching prefix.

    Args:
        pieces: Pieces of both address families, without overlap, in any order.
    """

    def __init__(self, pieces: Iterable[Piece] = ()):
        self._pieces_by_bits: dict[int, list[Piece]] = {IPV4_BITS: [], IPV6_BITS: []}
        for piece in pieces:
            self._pieces_by_bits[piece.bits].append(piece)
        for family in self._pieces_by_bits.values():
            family.sort(key=_base)
        self._bases_by_bits = {
            bits: [piece.base for piece in family]
            for bits, family in self._pieces_by_bits.items()
        }

    @property
    def pieces(self) -> list[Piece]:
        """All pieces, sorted by address family and first address."""
        return [piece for family in self._pieces_by_bits.values() for piece in family]

    def find(self, bits: int, address: int) -> int | None:
        """Return the value of the longest prefix that contains an address.

        Args:
            bits: IPV4_BITS or IPV6_BITS.
            address: Significant bits of the address, from parse_address.

        Returns:
            The value; None if no block contains the address.
        """
        index = bisect_right(self._bases_by_bits[bits], address) - 1
        if index < 0:
            return None
        value = self._pieces_by_bits[bits][index].find(address)
        return None if value == NO_VALUE else value


def _base(piece: Piece) -> int:
    return piece.base
