"""Turns of connections whose callers send requests ahead of the answers."""

import asyncio
from collections import deque

__all__ = ["Turns"]

TURNS_PER_ROUND = 4
"""A refused request takes about 0.5 ms, so that other work waits for some milliseconds
in each round of the event loop."""


class Turns:
    """Lets few waiting connections continue in each round of the event loop.

    A connection whose next request has already arrived would otherwise continue without
    a pause. With many of them, other connections and the tasks of the instance would
    wait for seconds in each round.
    """

    def __init__(self):
        self._waiting: deque[asyncio.Future] = deque()

    async def wait(self) -> None:
        """Wait for the turn of the calling task."""
        loop = asyncio.get_running_loop()
        if not self._waiting:
            loop.call_soon(self._give_turns)
        turn = loop.create_future()
        self._waiting.append(turn)
        await turn

    def _give_turns(self) -> None:
        given = 0
        while self._waiting and given < TURNS_PER_ROUND:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                given += 1
        if self._waiting:
            asyncio.get_running_loop().call_soon(self._give_turns)
