"""Construction of the pieces of a block table, for operators' tools."""

from array import array
from bisect import bisect_left
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from sequoiahook.decisions.lookup.pieces import (
    ENTRIES_MAX,
    IPV4_BITS,
    IPV6_BITS,
    NO_VALUE,
    OPEN_LENGTH,
    Piece,
    make_piece,
)
from sequoiahook.errors import CheckError, Finding

__all__ = ["Block", "build_pieces"]


class Block(NamedTuple):
    """A prefix of client addresses.

    Attributes:
        start: First address; for IPv6 its upper 64 bits.
        length: Length of the prefix in bits.
        value: Value of the addresses in the block; below NO_VALUE.
    """

    start: int
    length: int
    value: int


class _Entries:
    """Converts nested blocks to disjoint entries."""

    def __init__(self, bits: int):
        self.starts = array("Q")
        self.lengths = array("B")
        self.values = array("H")
        self._bits = bits
        self._open_blocks: list[tuple[int, Block]] = []

    def add(self, block: Block) -> None:
        """Add a block; blocks must be sorted by start and then by length."""
        self._check(block)
        self._close_until(block.start)
        end = block.start + (1 << (self._bits - block.length))
        if self.starts and self.starts[-1] == block.start:
            self._pop()
        self._append(block.start, block.length, block.value)
        self._open_blocks.append((end, block))

    def close(self) -> None:
        """Close all open blocks."""
        self._close_until(1 << self._bits)

    def _check(self, block: Block) -> None:
        bits = self._bits
        is_valid = 0 <= block.length <= bits and 0 <= block.value < NO_VALUE
        if not is_valid or not 0 <= block.start < 1 << bits:
            raise CheckError([Finding(f"block {block}", "is out of range")])
        if block.start & ((1 << (bits - block.length)) - 1):
            raise CheckError(
                [Finding(f"block {block}", "has address bits set beyond its prefix")]
            )
        if self._open_blocks and self._open_blocks[-1][1][:2] == block[:2]:
            raise CheckError([Finding(f"block {block}", "is a duplicate")])
        if self._open_blocks and block.start < self._open_blocks[-1][1].start:
            raise CheckError([Finding(f"block {block}", "is out of order")])

    def _close_until(self, start: int) -> None:
        while self._open_blocks and self._open_blocks[-1][0] <= start:
            end, _ = self._open_blocks.pop()
            if self._open_blocks and self._open_blocks[-1][0] > end:
                self._append(end, OPEN_LENGTH, self._open_blocks[-1][1].value)
            elif not self._open_blocks and self._is_last_entry_open(end):
                self._append(end, OPEN_LENGTH, NO_VALUE)

    def _is_last_entry_open(self, end: int) -> bool:
        is_in_address_space = end < 1 << self._bits
        return is_in_address_space and self.lengths[-1] == OPEN_LENGTH

    def _append(self, start: int, length: int, value: int) -> None:
        self.starts.append(start)
        self.lengths.append(length)
        self.values.append(value)

    def _pop(self) -> None:
        self.starts.pop()
        self.lengths.pop()
        self.values.pop()


def build_pieces(
    blocks: Iterable[Block], bits: int, entries_max: int = ENTRIES_MAX
) -> Iterator[Piece]:
    """Build the pieces of one address family.

    An address has the value of the longest prefix that contains it.

    Args:
        blocks: The blocks, sorted by start and then by length.
        bits: Bits of an address, IPV4_BITS or IPV6_BITS.
        entries_max: Most entries of a part before it is halved.

    Raises:
        CheckError: If a block is out of range, out of order or a duplicate.
        ValueError: If the number of bits is not that of an address family.
    """
    if bits not in (IPV4_BITS, IPV6_BITS):
        raise ValueError(f"no address family has {bits} bits")
    entries = _Entries(bits)
    for block in blocks:
        entries.add(block)
    entries.close()
    yield from _split(entries, bits, 0, 0, entries_max)


def _split(
    entries: _Entries, bits: int, base: int, length: int, entries_max: int
) -> Iterator[Piece]:
    size = 1 << (bits - length)
    low = bisect_left(entries.starts, base)
    high = bisect_left(entries.starts, base + size)
    if high - low > entries_max and length < bits:
        yield from _split(entries, bits, base, length + 1, entries_max)
        yield from _split(entries, bits, base + size // 2, length + 1, entries_max)
        return
    starts = entries.starts[low:high]
    lengths = entries.lengths[low:high]
    values = entries.values[low:high]
    preceding_value = _value_extending_into(entries, bits, base, low)
    if preceding_value != NO_VALUE:
        starts.insert(0, base)
        lengths.insert(0, OPEN_LENGTH)
        values.insert(0, preceding_value)
    if starts:
        yield make_piece(bits, base, starts, lengths, values)


def _value_extending_into(entries: _Entries, bits: int, base: int, low: int) -> int:
    """Return the value of an entry that starts before a part and extends into it."""
    if low == 0 or (low < len(entries.starts) and entries.starts[low] == base):
        return NO_VALUE
    length = entries.lengths[low - 1]
    if length == OPEN_LENGTH:
        return entries.values[low - 1]
    end = entries.starts[low - 1] + (1 << (bits - length))
    return entries.values[low - 1] if end > base else NO_VALUE
