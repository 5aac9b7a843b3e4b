"""Memory of answers that are held whole while they arrive, or wait for callers."""

__all__ = ["HELD_BYTES_MIN", "AnswerMemory", "HeldAnswers"]

HELD_BYTES_MIN = 4_096
"""Up to this size an answer is held whatever else the process holds."""


class AnswerMemory:
    """Counts the bytes of answers that the process holds.

    Attributes:
        held_bytes: Bytes of answers that are held while they arrive.
        unread_bytes: Size of the answers that wait for their callers to read.
        outcome_bytes: Size of the answers to requests of other instances that these
            have not acknowledged.
    """

    def __init__(self):
        self.held_bytes = 0
        self.unread_bytes = 0
        self.outcome_bytes = 0

    @property
    def byte_count(self) -> int:
        """All bytes that are counted."""
        return self.held_bytes + self.unread_bytes + self.outcome_bytes


class HeldAnswers:
    """Counts the answers to one request, until the last one is delivered.

    Args:
        memory: What the process holds.
        bytes_max: Largest size of all that the process holds, in bytes. The answers to
            a single request may always be held.
    """

    def __init__(self, memory: AnswerMemory, bytes_max: int):
        self._memory = memory
        self._bytes_max = bytes_max
        self._byte_count = 0

    @property
    def is_over_limit(self) -> bool:
        """Whether no more of an answer may be held."""
        byte_count = self._memory.byte_count
        return byte_count > max(self._bytes_max, self._byte_count)

    def add(self, byte_count: int) -> None:
        """Count bytes that are held."""
        self._byte_count += byte_count
        self._memory.held_bytes += byte_count

    def release(self) -> None:
        """Count the answers no longer, since they were delivered or given up."""
        self._memory.held_bytes -= self._byte_count
        self._byte_count = 0
