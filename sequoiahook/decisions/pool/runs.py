"""Running requests of a pool, counted by the address of their target."""

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
        request_id: Id that the request was submitted with.
        organisation: Organisation that is charged for the slot time.
        target_name: Name of the target.
        address: Address of the target. Slots are counted by address, since a target may
            be renamed or listed under two names.
        cost_ms: Slot time that the organisation was charged, in milliseconds.
        ends_by: When the slot is released at the latest.
    """

    request_id: Hashable
    organisation: str
    target_name: str
    address: Address
    cost_ms: float
    ends_by: int


class _InheritedId(NamedTuple):
    number: int


class Runs:
    """The running requests of a pool.

    A slot is released when the end of its request is reported, or some time after the
    deadline, when the target must have given up. Requests inherited from a previous
    owner are released by time only.

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
        """Return the number of running requests at an address."""
        return self._count_by_address[address]

    def start(self, request: QueuedRequest, target_name: str, address: Address) -> None:
        """Add a request that starts now."""
        run = Run(
            request.request_id,
            request.organisation,
            target_name,
            address,
            request.cost_ms,
            request.deadline_at + self._settings.overrun_ms,
        )
        self._add(run)

    def set_inherited(self, inherited_runs: Sequence[tuple[Address, int]]) -> None:
        """Replace the requests that are counted for a previous owner.

        Args:
            inherited_runs: Address of each running request, and when it ends at the
                latest.
        """
        for run_id in self._inherited_ids:
            self.release(run_id)
        self._inherited_ids = []
        for address, ends_by in inherited_runs:
            self._sequence += 1
            run_id = _InheritedId(self._sequence)
            self._inherited_ids.append(run_id)
            self._add(Run(run_id, "", "", address, 0.0, ends_by))

    def release(self, request_id: Hashable) -> Run | None:
        """Release the slot of a request and return its run; None if it has no slot."""
        run = self._runs_by_id.pop(request_id, None)
        if run is None:
            return None
        self._count_by_address[run.address] -= 1
        if not self._count_by_address[run.address]:
            del self._count_by_address[run.address]
        return run

    def expire(self, now: int) -> None:
        """Release the slots of requests that must have ended by now."""
        while self._expiry and self._expiry[0][0] <= now:
            _, _, run = heapq.heappop(self._expiry)
            if self._runs_by_id.get(run.request_id) is run:
                self.release(run.request_id)

    def next_expiry(self) -> int | None:
        """Return when the next slot is released by time; None if nothing is running."""
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
        heapq.heappush(self._expiry, (run.ends_by, self._sequence, run))
