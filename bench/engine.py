"""Virtual time and a network of links with delay, bytes a second and cuts."""

import heapq
from collections.abc import Callable
from itertools import count

from bench.sizes import Size

__all__ = ["Engine", "Network"]

BIN_MS = 100


class Engine:
    """Runs calls in order of their virtual time, which is shown in whole ms."""

    def __init__(self):
        self.now = 0
        self._time_ms = 0.0
        self._calls: list[tuple] = []
        self._numbers = count()

    def call_at(self, time_ms: float, call: Callable, *args: object) -> None:
        """Run a call at a time, or now if that has passed."""
        due = max(self._time_ms, time_ms)
        heapq.heappush(self._calls, (due, next(self._numbers), call, args))

    def call_later(self, duration_ms: float, call: Callable, *args: object) -> None:
        """Run a call after a duration."""
        self.call_at(self._time_ms + duration_ms, call, *args)

    def run(self, until: int) -> None:
        """Run everything that is due before a time."""
        while self._calls and self._calls[0][0] < until:
            self._time_ms, _, call, args = heapq.heappop(self._calls)
            self.now = int(self._time_ms)
            call(*args)
        self.now = until


class Network:
    """Delivers calls between data centres; a link between regions is a FIFO queue."""

    def __init__(self, engine: Engine, size: Size):
        self._engine = engine
        self._size = size
        self._bytes_per_ms = size.bits_per_second / 8 / 1000
        self._busy_until: dict[tuple[str, str], float] = {}
        self.bytes_by_bin: dict[tuple[str, str, int], int] = {}
        self.queued_ms_max = 0.0
        self.failed_regions: set[str] = set()
        self.isolated_data_centres: set[str] = set()

    def is_up(self, source: str, destination: str) -> bool:
        """Return whether anything sent now arrives."""
        regions = {self._size.region_of(source), self._size.region_of(destination)}
        if regions & self.failed_regions:
            return False
        is_isolated = {source, destination} & self.isolated_data_centres
        return source == destination or not is_isolated

    def send(
        self, source: str, destination: str, size: int, call: Callable, *args: object
    ) -> None:
        """Run a call at the other end after the way; never if the way is cut."""
        if not self.is_up(source, destination):
            return
        key = (self._size.region_of(source), self._size.region_of(destination))
        if key[0] == key[1]:
            self._engine.call_later(self._size.same_region_ms, call, *args)
            return
        now = self._engine.now
        sent_at = max(now, self._busy_until.get(key, 0.0)) + size / self._bytes_per_ms
        self._busy_until[key] = sent_at
        self.queued_ms_max = max(self.queued_ms_max, sent_at - now)
        bin_key = (*key, now // BIN_MS)
        self.bytes_by_bin[bin_key] = self.bytes_by_bin.get(bin_key, 0) + size
        self._engine.call_at(sent_at + self._size.between_regions_ms, call, *args)

    def link_utilisation(self) -> float:
        """Return the greatest part of a link that was asked for in any 100 ms."""
        most = max(self.bytes_by_bin.values(), default=0)
        return most / (self._bytes_per_ms * BIN_MS)
