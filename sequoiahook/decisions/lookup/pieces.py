"""Pieces of the table of client blocks: sorted arrays under a megabyte.

A piece holds the blocks of one part of the address space. Parts are halved until
each has few enough entries, so where a piece starts does not depend on the order of
changes, and a changed block changes one piece.
"""

import hashlib
import struct
import sys
from array import array
from bisect import bisect_right
from typing import NamedTuple

from sequoiahook.errors import CheckError, Finding

__all__ = [
    "ENTRIES_MAX",
    "IPV4_BITS",
    "IPV6_BITS",
    "NO_VALUE",
    "OPEN_LENGTH",
    "Piece",
    "decode_piece",
    "encode_piece",
    "make_piece",
    "piece_name",
]

IPV4_BITS = 32
IPV6_BITS = 64
"""Of an IPv6 address the upper 64 bits count."""

ENTRIES_MAX = 65_536
NO_VALUE = 0xFFFF
OPEN_LENGTH = 0xFF
"""Length of an entry that reaches to the next one."""

_HEADER = struct.Struct("<4sBBBxIQ")
_MAGIC = b"SQB1"
_CODE_BY_SIZE = {array(code).itemsize: code for code in "BHILQ"}
_BYTE_ORDER_IS_LITTLE = sys.byteorder == "little"


class Piece(NamedTuple):
    """Entries of one part of the address space.

    An entry reaches to the next one or to the end of its prefix, whichever comes
    first. Offsets are counted from the base in units of ``1 << shift`` addresses.

    Attributes:
        bits: Bits of an address, IPV4_BITS or IPV6_BITS.
        base: First address of the part.
        shift: Trailing zero bits that all offsets share.
        offsets: Where each entry starts; sorted.
        lengths: Prefix length of each entry, or OPEN_LENGTH.
        values: Value of each entry, or NO_VALUE.
    """

    bits: int
    base: int
    shift: int
    offsets: array
    lengths: array
    values: array

    def find(self, address: int) -> int:
        """Return the value at an address from the base on; NO_VALUE for none."""
        offset = address - self.base
        index = bisect_right(self.offsets, offset >> self.shift) - 1
        if index < 0:
            return NO_VALUE
        length = self.lengths[index]
        if length != OPEN_LENGTH:
            past = offset - (self.offsets[index] << self.shift)
            if past >> (self.bits - length):
                return NO_VALUE
        return self.values[index]


def make_piece(
    bits: int, base: int, starts: array, lengths: array, values: array
) -> Piece:
    """Make a piece with the smallest offsets that hold its entries."""
    union = 0
    for start in starts:
        union |= start - base
    shift = (union & -union).bit_length() - 1 if union else 0
    code = _CODE_BY_SIZE[8] if union >> shift >> 32 else _CODE_BY_SIZE[4]
    offsets = array(code, ((start - base) >> shift for start in starts))
    return Piece(bits, base, shift, offsets, lengths, values)


def encode_piece(piece: Piece) -> bytes:
    """Return the bytes of a piece, the same for the same entries everywhere."""
    header = _HEADER.pack(
        _MAGIC,
        piece.bits,
        piece.shift,
        piece.offsets.itemsize,
        len(piece.offsets),
        piece.base,
    )
    columns = (piece.offsets, piece.lengths, piece.values)
    return header + b"".join(_little(column).tobytes() for column in columns)


def decode_piece(data: bytes) -> Piece:
    """Read the bytes of a piece.

    Raises:
        CheckError: If they are malformed.
    """
    if len(data) < _HEADER.size:
        raise _malformed("is too short")
    magic, bits, shift, size, count, base = _HEADER.unpack_from(data)
    if magic != _MAGIC or bits not in (IPV4_BITS, IPV6_BITS) or size not in (4, 8):
        raise _malformed("has an unknown format")
    if shift > bits:
        raise _malformed("has an impossible shift")
    if len(data) != _HEADER.size + count * (size + 3):
        raise _malformed("has a wrong length")
    at = _HEADER.size
    columns = []
    for item_size in (size, 1, 2):
        column = array(_CODE_BY_SIZE[item_size])
        column.frombytes(data[at : at + count * item_size])
        columns.append(_little(column))
        at += count * item_size
    return Piece(bits, base, shift, *columns)


def piece_name(data: bytes) -> str:
    """Return the name of a piece, made from its content."""
    return hashlib.sha256(data).hexdigest()


def _little(column: array) -> array:
    if _BYTE_ORDER_IS_LITTLE:
        return column
    column = column[:]
    column.byteswap()
    return column


def _malformed(problem: str) -> CheckError:
    return CheckError([Finding("block piece", problem)])
