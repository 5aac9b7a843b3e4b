"""Connections that are opened only to see whether a target can be reached."""

import asyncio

from sequoiahook.clock import Clock
from sequoiahook.daemons.target_http import TargetClient
from sequoiahook.decisions.direct.core import DirectCore
from sequoiahook.decisions.direct.target_state import TargetState

__all__ = ["Prober"]


class Prober:
    """Opens connections to the targets that are to be probed.

    Args:
        core: The decisions.
        targets: The HTTP client for targets, which keeps the connections.
        clock: The clock.
    """

    def __init__(self, core: DirectCore, targets: TargetClient, clock: Clock):
        self._core = core
        self._targets = targets
        self._clock = clock
        self._tasks: set[asyncio.Task] = set()

    def start(self, now: int) -> None:
        """Start the probes that are due."""
        for state in self._core.connectivity.probes(now):
            task = asyncio.create_task(self._probe(state))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def close_idle_connections(self) -> None:
        """Close the connections to targets that carry no exchange."""
        self._targets.close()

    def close(self) -> None:
        """Cancel all probes."""
        for task in self._tasks:
            task.cancel()

    async def _probe(self, state: TargetState) -> None:
        is_connected = await self._targets.connect(state.record.address)
        now = self._clock.now()
        self._core.connectivity.record_probe(state, is_connected, now)
