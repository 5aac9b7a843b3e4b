"""The platform's list of live and leaving instances, which lags."""

import asyncio
import time

__all__ = ["InstanceList"]

HISTORY_MAX = 10_000
POLL_MS = 20


class InstanceList:
    """What the platform knows of instances, answered as it was some time ago.

    Attributes:
        lag_ms: How far the answered list lies in the past, in milliseconds.
    """

    def __init__(self):
        self.lag_ms = 0
        self._entries_by_name: dict[str, dict] = {}
        self._history: list[tuple[float, list[dict]]] = [(0.0, [])]

    def change(self, entry: dict) -> int:
        """Add or replace an entry by name; the state ``gone`` removes it."""
        name = entry["name"]
        if entry.get("state") == "gone":
            self._entries_by_name.pop(name, None)
        else:
            known = self._entries_by_name.get(name, {"state": "live"})
            self._entries_by_name[name] = {**known, **entry}
        entries = [
            self._entries_by_name[known] for known in sorted(self._entries_by_name)
        ]
        self._history.append((time.monotonic(), entries))
        if len(self._history) > HISTORY_MAX:
            raise RuntimeError("too many changes of the instance list")
        return len(self._history) - 1

    def read(self) -> tuple[int, list[dict]]:
        """Return the version and entries of the list as it was ``lag_ms`` ago."""
        before = time.monotonic() - self.lag_ms / 1000
        version = len(self._history) - 1
        while version and self._history[version][0] > before:
            version -= 1
        return version, self._history[version][1]

    async def wait_beyond(self, after: int, wait_ms: int) -> tuple[int, list] | None:
        """Wait until the answered list is beyond a version; None if not in time."""
        end = time.monotonic() + wait_ms / 1000
        while True:
            version, entries = self.read()
            if version > after:
                return version, entries
            if time.monotonic() >= end:
                return None
            await asyncio.sleep(POLL_MS / 1000)
