"""Requests that hold a slot, counted by the address of their target."""

import heapq
from collections import Counter
from collections.abc import Hashable, Iterator, Sequence
from typing import NamedTuple

from sequoiahook.decisions.pool.fair_queue import QueuedRequest
from sequoiahook.decisions.pool.settings import PoolSettings
from sequoiahook.world.instance import Address

__all__ = ["Run", "Runs"]


class Run(NamedTuple):
    """A request that holds a slot.

    Attributes:
        request_id: As submitted.
        organisation: Whose request it is.
        target_name: Name of the target.
        address: Address of the target; slots are counted by it, since a target may be
            renamed or named twice.
        cost_ms: Slot time that the organisation was charged.
        until: When the slot comes back at the latest.
    """

    request_id: Hashable
    organisation: str
    target_name: str
    address: Address
    cost_ms: float
    until: int


class _InheritedId(NamedTuple):
    number: int


class Runs:
    """The running requests of a pool.

    A slot comes back when the end is reported, or a while after the deadline, by which
    the target has given up. Inherited runs of a previous owner come back in time only.

    Args:
        settings: The pool's settings.
    """

    def __init__(self, settings: PoolSettings):
        self._settings = settings
        self._runs_by_id: dict[Hashable, Run] = {}
        self._count_by_address: Counter[Address] = Counter()
        self._expiry: list[tuple[int, int, Run]] = []
        self._sequence = 0
        self._inherited_ids: list[_InheritedId] = []

    def __contains__(self, request_id: Hashable) -> bool:
        return request_id in self._runs_by_id

    def __iter__(self) -> Iterator[Run]:
        return iter(self._runs_by_id.values())

    def __len__(self) -> int:
        return sum(self._count_by_address.values())

    def count_at(self, address: Address) -> int:
        """Return how many requests run at an address."""
        return self._count_by_address[address]

    def begin(self, request: QueuedRequest, target_name: str, address: Address) -> None:
        """Count a request that starts now."""
        run = Run(
            request.request_id,
            request.organisation,
            target_name,
            address,
            request.cost_ms,
            request.deadline_at + self._settings.overrun_ms,
        )
        self._add(run)

    def set_inherited(self, until_by_run: Sequence[tuple[Address, int]]) -> None:
        """Count work of a previous owner, in place of what was counted of it before.

        Args:
            until_by_run: The address of each run, and when it has ended at the latest.
        """
        for run_id in self._inherited_ids:
            self.end(run_id)
        self._inherited_ids = []
        for address, until in until_by_run:
            self._sequence += 1
            run_id = _InheritedId(self._sequence)
            self._inherited_ids.append(run_id)
            self._add(Run(run_id, "", "", address, 0.0, until))

    def end(self, request_id: Hashable) -> Run | None:
        """Return a request's slot; None if it holds none."""
        run = self._runs_by_id.pop(request_id, None)
        if run is None:
            return None
        self._count_by_address[run.address] -= 1
        if not self._count_by_address[run.address]:
            del self._count_by_address[run.address]
        return run

    def expire(self, now: int) -> None:
        """Return the slots whose time has passed."""
        while self._expiry and self._expiry[0][0] <= now:
            _, _, run = heapq.heappop(self._expiry)
            if self._runs_by_id.get(run.request_id) is run:
                self.end(run.request_id)

    def next_expiry(self) -> int | None:
        """Return when a slot comes back by time next; None if none does."""
        while self._expiry:
            run = self._expiry[0][2]
            if self._runs_by_id.get(run.request_id) is run:
                return self._expiry[0][0]
            heapq.heappop(self._expiry)
        return None

    def _add(self, run: Run) -> None:
        self._runs_by_id[run.request_id] = run
        self._count_by_address[run.address] += 1
        self._sequence += 1
        heapq.heappush(self._expiry, (run.until, self._sequence, run))
