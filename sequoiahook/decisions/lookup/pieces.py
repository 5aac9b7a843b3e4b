"""Pieces of the table of client blocks: sorted arrays of less than a megabyte.

A piece holds the blocks of one part of the address space. Parts are halved until each
has at most ENTRIES_MAX entries. The boundaries therefore do not depend on the order of
changes, and a changed block changes a single piece.
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
"""Only the upper 64 bits of an IPv6 address are significant."""

ENTRIES_MAX = 65_536
NO_VALUE = 0xFFFF
OPEN_LENGTH = 0xFF
"""Length of an entry that extends to the start of the next one."""

_HEADER = struct.Struct("<4sBBBxIQ")
_MAGIC = b"SQB1"
_TYPE_CODE_BY_SIZE = {array(code).itemsize: code for code in "BHILQ"}
_IS_LITTLE_ENDIAN = sys.byteorder == "little"


class Piece(NamedTuple):
    """Entries of one part of the address space.

    An entry extends to the start of the next one or to the end of its prefix,
    whichever comes first. Offsets are relative to the base, in units of
    ``1 << shift`` addresses.

    Attributes:
        bits: Bits of an address, IPV4_BITS or IPV6_BITS.
        base: First address of the part.
        shift: Number of trailing zero bits removed from all offsets.
        offsets: Start of each entry; sorted.
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
        """Return the value at an address not below the base; NO_VALUE if none."""
        offset = address - self.base
        index = bisect_right(self.offsets, offset >> self.shift) - 1
        if index < 0:
            return NO_VALUE
        length = self.lengths[index]
        if length != OPEN_LENGTH:
            distance = offset - (self.offsets[index] << self.shift)
            if distance >> (self.bits - length):
                return NO_VALUE
        return self.values[index]


def make_piece(
    bits: int, base: int, starts: array, lengths: array, values: array
) -> Piece:
    """Create a piece with the smallest offset type that fits its entries."""
    combined_offsets = 0
    for start in starts:
        combined_offsets |= start - base
    shift = (
        (combined_offsets & -combined_offsets).bit_length() - 1
        if combined_offsets
        else 0
    )
    code = (
        _TYPE_CODE_BY_SIZE[8]
        if combined_offsets >> shift >> 32
        else _TYPE_CODE_BY_SIZE[4]
    )
    offsets = array(code, ((start - base) >> shift for start in starts))
    return Piece(bits, base, shift, offsets, lengths, values)


def encode_piece(piece: Piece) -> bytes:
    """Encode a piece; equal entries give equal bytes on every machine."""
    header = _HEADER.pack(
        _MAGIC,
        piece.bits,
        piece.shift,
        piece.offsets.itemsize,
        len(piece.offsets),
        piece.base,
    )
    columns = (piece.offsets, piece.lengths, piece.values)
    return header + b"".join(_to_little_endian(column).tobytes() for column in columns)


def decode_piece(data: bytes) -> Piece:
    """Decode the bytes of a piece.

    Raises:
        CheckError: If the bytes are malformed.
    """
    if len(data) < _HEADER.size:
        raise _malformed_piece("is too short")
    magic, bits, shift, size, count, base = _HEADER.unpack_from(data)
    if magic != _MAGIC or bits not in (IPV4_BITS, IPV6_BITS) or size not in (4, 8):
        raise _malformed_piece("has an unknown format")
    if shift > bits:
        raise _malformed_piece("has a shift larger than an address")
    if len(data) != _HEADER.size + count * (size + 3):
        raise _malformed_piece("has the wrong length")
    position = _HEADER.size
    columns = []
    for item_size in (size, 1, 2):
        column = array(_TYPE_CODE_BY_SIZE[item_size])
        column.frombytes(data[position : position + count * item_size])
        columns.append(_to_little_endian(column))
        position += count * item_size
    return Piece(bits, base, shift, *columns)


def piece_name(data: bytes) -> str:
    """Return the name of a piece: the SHA-256 digest of its bytes."""
    return hashlib.sha256(data).hexdigest()


def _to_little_endian(column: array) -> array:
    if _IS_LITTLE_ENDIAN:
        return column
    column = column[:]
    column.byteswap()
    return column


def _malformed_piece(problem: str) -> CheckError:
    return CheckError([Finding("block piece", problem)])
