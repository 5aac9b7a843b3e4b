"""The work that a target still has to do, and when it has a free slot again."""

import heapq
from collections.abc import Sequence
from typing import NamedTuple

__all__ = ["OpenWork", "TargetBacklog"]

REMAINING_MIN_RATIO = 0.1
"""Least remaining work of a request that runs, as a ratio of its mean work: that it has
lasted as long as expected does not mean that it ends at once."""

SIMULATED_SLOTS_MAX = 100
"""Slots with requests of others that are simulated one by one. Beyond them, each stands
for several."""

SIMULATED_REQUESTS_MAX = 100
"""Waiting requests of others that are simulated one by one."""


class OpenWork(NamedTuple):
    """The work that one open request of this instance is expected to need.

    Attributes:
        sent_at: When it was sent, in milliseconds.
        begins_at: When the target is expected to begin it, in milliseconds.
        mean_ms: Mean work at the usual pace.
        tail_ms: Work at the usual pace that few requests exceed.
        start_ms: Expected time until it begins, at the usual pace.
        pace_factor: Pace of the target when it was sent; 1 is as usual.
        is_cached: Whether the target was assumed to have the object cached.
        is_known: Whether it was known to have it cached.
        uncached_ratio: Part of the work that it would not need with a cached object.
    """

    sent_at: int
    begins_at: int
    mean_ms: float
    tail_ms: float
    start_ms: float = 0.0
    pace_factor: float = 1.0
    is_cached: bool = True
    is_known: bool = True
    uncached_ratio: float = 0.0

    def remaining_ms(self, factor: float, now: int) -> float:
        """Return the work that it is still expected to need.

        The longer a request has lasted beyond its mean work, the more likely it is one
        of the few that need much more.

        Args:
            factor: How long work takes at the target, relative to the usual time.
            now: The time in milliseconds.
        """
        mean_ms = self.mean_ms * factor
        elapsed_ms = max(0, now - self.begins_at)
        least_ms = mean_ms * REMAINING_MIN_RATIO
        if elapsed_ms <= mean_ms:
            return max(least_ms, mean_ms - elapsed_ms)
        weight = min(1.0, (elapsed_ms - mean_ms) / max(1.0, mean_ms))
        return max(least_ms, weight * (self.tail_ms * factor - elapsed_ms))


class TargetBacklog:
    """The open requests of this instance at one target, in the order of sending."""

    def __init__(self):
        self._open: list[OpenWork] = []

    def __len__(self):
        return len(self._open)

    def add(self, work: OpenWork) -> None:
        """Add a request that is sent."""
        self._open.append(work)

    def remove(self, work: OpenWork) -> None:
        """Remove a request that has ended; equal ones are interchangeable."""
        if work in self._open:
            self._open.remove(work)

    def start_ms(
        self, slots: int, in_flight: int, typical_ms: float, factor: float, now: int
    ) -> float:
        """Return the expected time until a slot is free for a further request.

        Args:
            slots: Requests that the target runs at a time.
            in_flight: Requests known to be queued or running at it, of all instances.
            typical_ms: Work of a request of another instance, at the usual pace.
            factor: How long work takes at the target, relative to the usual time.
            now: The time in milliseconds.
        """
        if in_flight < slots or slots <= 0:
            return 0.0
        remaining = [work.remaining_ms(factor, now) for work in self._open]
        others = max(0, in_flight - len(remaining))
        return _time_to_free_slot(slots, remaining, others, typical_ms * factor)


def _time_to_free_slot(
    slots: int, remaining: Sequence[float], other_count: int, typical_ms: float
) -> float:
    """Return the time until a slot is free, with first come, first served.

    The requests of others that run have been running for unknown times, so that their
    ends are spread evenly over the typical work. The oldest requests run.
    """
    count = len(remaining) + other_count
    # Those of this instance and those of others run in proportion to their numbers.
    running = min(slots, count)
    other_running = round(running * other_count / count) if count else 0
    own_running = min(len(remaining), running - other_running)
    other_running = min(other_count, running - own_running)
    queued_count = other_count - other_running
    if other_running > SIMULATED_SLOTS_MAX:
        typical_ms *= SIMULATED_SLOTS_MAX / other_running
        other_running = SIMULATED_SLOTS_MAX
    ends = [*remaining[:own_running]]
    ends += [
        typical_ms * (index + 1) / (other_running + 1) for index in range(other_running)
    ]
    heapq.heapify(ends)
    for work_ms in remaining[own_running:]:
        heapq.heapreplace(ends, ends[0] + work_ms)
    if queued_count > max(len(ends), SIMULATED_REQUESTS_MAX):
        queued_count -= _begin_early(ends, queued_count, typical_ms)
    for _ in range(queued_count):
        heapq.heapreplace(ends, ends[0] + typical_ms)
    return ends[0]


def _begin_early(ends: list[float], queued_count: int, work_ms: float) -> int:
    """Begin equal requests up to the time at which all slots would end together.

    Fewer requests than slots remain, so that the time that an estimate takes does not
    depend on the length of the queue.

    Args:
        ends: When each slot is free, as a heap; changed in place.
        queued_count: Requests that wait.
        work_ms: Work of each of them.

    Returns:
        The number of requests that were begun.
    """
    if work_ms <= 0:
        return queued_count
    level_ms = _level_ms(ends, queued_count * work_ms)
    begun_count = 0
    for index, end_ms in enumerate(ends):
        count = max(0, int((level_ms - end_ms) // work_ms))
        ends[index] += count * work_ms
        begun_count += count
    heapq.heapify(ends)
    return begun_count


def _level_ms(ends: Sequence[float], volume_ms: float) -> float:
    """Return when all slots would end together if work could be divided freely."""
    ended_ms = 0.0
    for count, end_ms in enumerate(sorted(ends)):
        if count and count * end_ms - ended_ms >= volume_ms:
            return (volume_ms + ended_ms) / count
        ended_ms += end_ms
    return (volume_ms + ended_ms) / len(ends)
