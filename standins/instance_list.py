"""The platform's list of live and leaving instances, with a configurable lag."""

import asyncio
import time

__all__ = ["InstanceList"]

HISTORY_MAX = 10_000
POLL_INTERVAL_MS = 20


class InstanceList:
    """Versions of the instance list; reads return an earlier version.

    Attributes:
        lag_ms: Age of the state that reads return, in milliseconds.
    """

    def __init__(self):
        self.lag_ms = 0
        self._entries_by_name: dict[str, dict] = {}
        self._history: list[tuple[float, list[dict]]] = [(0.0, [])]

    def change(self, entry: dict) -> int:
        """Add, update or (with the state ``gone``) remove an entry.

        Args:
            entry: Fields of the entry to set; ``name`` selects the entry.

        Returns:
            The new version of the list.
        """
        name = entry["name"]
        if entry.get("state") == "gone":
            self._entries_by_name.pop(name, None)
        else:
            current = self._entries_by_name.get(name, {"state": "live"})
            self._entries_by_name[name] = {**current, **entry}
        entries = [self._entries_by_name[key] for key in sorted(self._entries_by_name)]
        self._history.append((time.monotonic(), entries))
        if len(self._history) > HISTORY_MAX:
            raise RuntimeError("too many changes of the instance list")
        return len(self._history) - 1

    def read(self) -> tuple[int, list[dict]]:
        """Return the version and the entries of the list as of ``lag_ms`` ago."""
        as_of = time.monotonic() - self.lag_ms / 1000
        version = len(self._history) - 1
        while version and self._history[version][0] > as_of:
            version -= 1
        return version, self._history[version][1]

    async def wait_newer(self, after: int, wait_ms: int) -> tuple[int, list] | None:
        """Wait for a readable version later than ``after``.

        Returns:
            The version and its entries, or None if there is none within ``wait_ms``.
        """
        deadline_at = time.monotonic() + wait_ms / 1000
        while True:
            version, entries = self.read()
            if version > after:
                return version, entries
            if time.monotonic() >= deadline_at:
                return None
            await asyncio.sleep(POLL_INTERVAL_MS / 1000)
