"""The table of client blocks."""

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
_IPV4_MAPPED = bytes(10) + b"\xff\xff"


def parse_address(text: str) -> tuple[int, int]:
    """Return the address bits that count and the address as a number.

    An IPv4 address in IPv6 form counts as IPv4.

    Raises:
        ValueError: If the text is not an IP number.
    """
    try:
        return IPV4_BITS, int.from_bytes(inet_pton(AF_INET, text))
    except OSError:
        pass
    try:
        address = inet_pton(AF_INET6, text)
    except OSError:
        raise ValueError(f"{text!r} is not an IP number") from None
    if address.startswith(_IPV4_MAPPED):
        return IPV4_BITS, int.from_bytes(address[len(_IPV4_MAPPED) :])
    return IPV6_BITS, int.from_bytes(address[:_IPV6_UPPER_BYTES])


class BlockTable:
    """Values by client address, from pieces of both address families.

    Args:
        pieces: Pieces that do not overlap, in any order.
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
        """All pieces, by family and first address."""
        return [piece for family in self._pieces_by_bits.values() for piece in family]

    def find(self, bits: int, address: int) -> int | None:
        """Return the value of the longest prefix that holds an address.

        Args:
            bits: IPV4_BITS or IPV6_BITS.
            address: The address as parse_address returns it.

        Returns:
            The value; None if no block holds the address.
        """
        index = bisect_right(self._bases_by_bits[bits], address) - 1
        if index < 0:
            return None
        value = self._pieces_by_bits[bits][index].find(address)
        return None if value == NO_VALUE else value


def _base(piece: Piece) -> int:
    return piece.base
