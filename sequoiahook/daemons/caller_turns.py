"""Turns of connections with much to do, by which they share the event loop."""

import asyncio
from collections import deque

from sequoiahook.clock import MS_PER_S

__all__ = ["Turns"]

TURNS_PER_ROUND = 4
"""A refused request takes about 0.5 ms, so that other work waits for some milliseconds
in each round of the event loop."""

ROUND_MS_MAX = 5
"""Duration of a round of the event loop after which only one turn is given."""


class Turns:
    """Lets few waiting connections continue in each round of the event loop.

    A connection whose next request has already arrived, or whose bytes take long to
    parse, would otherwise continue without a pause. With many of them, other
    connections and the tasks of the instance would wait for seconds in each round.
    """

    def __init__(self):
        self._waiting: deque[asyncio.Future] = deque()
        self._given_at = 0.0

    async def wait(self) -> None:
        """Wait for the turn of the calling task."""
        loop = asyncio.get_running_loop()
        if not self._waiting:
            self._given_at = loop.time()
            loop.call_soon(self._give_turns)
        turn = loop.create_future()
        self._waiting.append(turn)
        await turn

    def _give_turns(self) -> None:
        loop = asyncio.get_running_loop()
        round_ms = (loop.time() - self._given_at) * MS_PER_S
        self._given_at = loop.time()
        left = 1 if round_ms > ROUND_MS_MAX else TURNS_PER_ROUND
        while self._waiting and left:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                left -= 1
        if self._waiting:
            loop.call_soon(self._give_turns)
