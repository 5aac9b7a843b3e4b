"""Building the pieces of a table from blocks, for operators' tools."""

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
        start: First address; of an IPv6 address the upper 64 bits.
        length: Length of the prefix in bits.
        value: What the table returns, below NO_VALUE.
    """

    start: int
    length: int
    value: int


class _Entries:
    """Disjoint entries made from blocks that may contain one another."""

    def __init__(self, bits: int):
        self.starts = array("Q")
        self.lengths = array("B")
        self.values = array("H")
        self._bits = bits
        self._open: list[tuple[int, Block]] = []

    def add(self, block: Block) -> None:
        """Add a block; blocks come sorted by start, longer ones after shorter."""
        self._check(block)
        self._close_until(block.start)
        end = block.start + (1 << (self._bits - block.length))
        if self.starts and self.starts[-1] == block.start:
            self._pop()
        self._append(block.start, block.length, block.value)
        self._open.append((end, block))

    def close(self) -> None:
        """Close all blocks that are still open."""
        self._close_until(1 << self._bits)

    def _check(self, block: Block) -> None:
        bits = self._bits
        is_known = 0 <= block.length <= bits and 0 <= block.value < NO_VALUE
        if not is_known or not 0 <= block.start < 1 << bits:
            raise CheckError([Finding(f"block {block}", "is out of range")])
        if block.start & ((1 << (bits - block.length)) - 1):
            raise CheckError(
                [Finding(f"block {block}", "does not start at its prefix")]
            )
        if self._open and self._open[-1][1][:2] == block[:2]:
            raise CheckError([Finding(f"block {block}", "is there twice")])
        if self._open and block.start < self._open[-1][1].start:
            raise CheckError([Finding(f"block {block}", "is not in order")])

    def _close_until(self, start: int) -> None:
        while self._open and self._open[-1][0] <= start:
            end, _ = self._open.pop()
            if self._open and self._open[-1][0] > end:
                self._append(end, OPEN_LENGTH, self._open[-1][1].value)
            elif not self._open and self._is_last_open(end):
                self._append(end, OPEN_LENGTH, NO_VALUE)

    def _is_last_open(self, end: int) -> bool:
        is_inside = end < 1 << self._bits
        return is_inside and self.lengths[-1] == OPEN_LENGTH

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

    The longest prefix that holds an address decides.

    Args:
        blocks: The blocks, sorted by start and then by length.
        bits: Bits of an address, IPV4_BITS or IPV6_BITS.
        entries_max: Most entries of a piece.

    Raises:
        CheckError: If a block is out of range, out of order or there twice.
    """
    if bits not in (IPV4_BITS, IPV6_BITS):
        raise ValueError(f"no address has {bits} bits")
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
    reaching = _value_reaching(entries, bits, base, low)
    if reaching != NO_VALUE:
        starts.insert(0, base)
        lengths.insert(0, OPEN_LENGTH)
        values.insert(0, reaching)
    if starts:
        yield make_piece(bits, base, starts, lengths, values)


def _value_reaching(entries: _Entries, bits: int, base: int, low: int) -> int:
    """Return the value of an entry that starts before a part and reaches into it."""
    if low == 0 or (low < len(entries.starts) and entries.starts[low] == base):
        return NO_VALUE
    length = entries.lengths[low - 1]
    if length == OPEN_LENGTH:
        return entries.values[low - 1]
    end = entries.starts[low - 1] + (1 << (bits - length))
    return entries.values[low - 1] if end > base else NO_VALUE
