"""Versioned objects in memory, with conditional writes and blocking reads."""

import asyncio
from typing import Any, NamedTuple

__all__ = ["ObjectStore", "StoredObject"]

RETAINED_VERSIONS_MAX = 4


class StoredObject(NamedTuple):
    """An object at one version.

    Attributes:
        version: Incremented with each write; 0 if the object does not exist.
        value: Any JSON value.
    """

    version: int
    value: Any


ABSENT = StoredObject(0, None)


class ObjectStore:
    """Objects by name, each with a few old versions for stale reads."""

    def __init__(self):
        self._versions_by_name: dict[str, list[StoredObject]] = {}
        self._changed = asyncio.Event()

    def get(self, name: str) -> StoredObject:
        """Return the current version of an object."""
        return self._versions_by_name.get(name, [ABSENT])[-1]

    def get_stale(self, name: str) -> StoredObject:
        """Return the oldest retained version of an object."""
        return self._versions_by_name.get(name, [ABSENT])[0]

    def put(self, name: str, value: Any, if_version: int) -> StoredObject | None:
        """Write an object if its version is ``if_version``; otherwise return None."""
        current = self.get(name)
        if current.version != if_version:
            return None
        written = StoredObject(current.version + 1, value)
        versions = self._versions_by_name.setdefault(name, [ABSENT])
        versions.append(written)
        del versions[:-RETAINED_VERSIONS_MAX]
        self._changed.set()
        self._changed = asyncio.Event()
        return written

    async def wait_newer(
        self, name: str, after: int, wait_ms: int
    ) -> StoredObject | None:
        """Wait for a version of an object later than ``after``.

        Returns:
            The object, or None if there is no such version within ``wait_ms``.
        """
        try:
            async with asyncio.timeout(wait_ms / 1000):
                while self.get(name).version <= after:
                    await self._changed.wait()
        except TimeoutError:
            return None
        return self.get(name)
