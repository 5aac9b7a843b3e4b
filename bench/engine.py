"""Virtual time, and a simulated network with delay, bandwidth and partitions."""

import heapq
from collections.abc import Callable
from itertools import count

from bench.sizes import Size

__all__ = ["Engine", "Network"]

UTILISATION_BIN_MS = 100


class Engine:
    """Runs callbacks in the order of their virtual time.

    ``now`` is that time in whole milliseconds.
    """

    def __init__(self):
        self.now = 0
        self._time_ms = 0.0
        self._calls: list[tuple] = []
        self._call_numbers = count()

    def call_at(self, time_ms: float, callback: Callable, *args: object) -> None:
        """Schedule a callback at a time in ms, or now if the time has passed."""
        due_at = max(self._time_ms, time_ms)
        heapq.heappush(self._calls, (due_at, next(self._call_numbers), callback, args))

    def call_later(self, duration_ms: float, callback: Callable, *args: object) -> None:
        """Schedule a callback after a duration in ms."""
        self.call_at(self._time_ms + duration_ms, callback, *args)

    def run(self, end_at: int) -> None:
        """Run every callback that is due before a time in ms."""
        while self._calls and self._calls[0][0] < end_at:
            self._time_ms, _, callback, args = heapq.heappop(self._calls)
            self.now = int(self._time_ms)
            callback(*args)
        self.now = end_at


class Network:
    """Delivers messages between data centres.

    Each direction between two regions is a FIFO queue with the bandwidth and delay of
    ``size``; within a region there is only delay.
    """

    def __init__(self, engine: Engine, size: Size):
        self._engine = engine
        self._size = size
        self._bytes_per_ms = size.bits_per_second / 8 / 1000
        self._busy_until_by_link: dict[tuple[str, str], float] = {}
        self.bytes_by_bin: dict[tuple[str, str, int], int] = {}
        self.queued_ms_max = 0.0
        self.failed_regions: set[str] = set()
        self.isolated_data_centres: set[str] = set()

    def is_up(self, source: str, destination: str) -> bool:
        """Return whether a message sent now arrives."""
        regions = {self._size.region_of(source), self._size.region_of(destination)}
        if regions & self.failed_regions:
            return False
        is_isolated = {source, destination} & self.isolated_data_centres
        return source == destination or not is_isolated

    def send(
        self,
        source: str,
        destination: str,
        size: int,
        callback: Callable,
        *args: object,
    ) -> None:
        """Run a callback when a message of ``size`` bytes arrives.

        It never runs if the destination cannot be reached when the message is sent.
        """
        if not self.is_up(source, destination):
            return
        key = (self._size.region_of(source), self._size.region_of(destination))
        if key[0] == key[1]:
            self._engine.call_later(self._size.same_region_ms, callback, *args)
            return
        now = self._engine.now
        sent_at = (
            max(now, self._busy_until_by_link.get(key, 0.0)) + size / self._bytes_per_ms
        )
        self._busy_until_by_link[key] = sent_at
        self.queued_ms_max = max(self.queued_ms_max, sent_at - now)
        bin_key = (*key, now // UTILISATION_BIN_MS)
        self.bytes_by_bin[bin_key] = self.bytes_by_bin.get(bin_key, 0) + size
        self._engine.call_at(sent_at + self._size.between_regions_ms, callback, *args)

    def link_utilisation(self) -> float:
        """Return the peak utilisation of any link over 100 ms.

        More than 1 means that more was sent than the link carries in that time.
        """
        max_bytes = max(self.bytes_by_bin.values(), default=0)
        return max_bytes / (self._bytes_per_ms * UTILISATION_BIN_MS)
