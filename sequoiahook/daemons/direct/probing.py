"""Connections that are opened only to see whether a target can be reached."""

import asyncio

from sequoiahook.clock import Clock
from sequoiahook.daemons.target_http import TargetClient
from sequoiahook.decisions.direct.core import DirectCore

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
        for target_id in self._core.connectivity.probes(now):
            task = asyncio.create_task(self._probe(target_id))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def close_idle_connections(self) -> None:
        """Close the connections to targets that carry no exchange."""
        self._targets.close()

    def close(self) -> None:
        """Cancel all probes."""
        for task in self._tasks:
            task.cancel()

    async def _probe(self, target_id: str) -> None:
        state = self._core.targets.states_by_id[target_id]
        is_connected = await self._targets.connect(state.record.address)
        now = self._clock.now()
        if is_connected:
            state.record_connected(now)
        else:
            state.record_connect_failed(now)
        self._core.connectivity.record_probe(target_id, is_connected, now)
