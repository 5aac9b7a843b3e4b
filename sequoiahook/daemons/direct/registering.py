"""The entry of this instance in the platform's store, and the secret of the fleet."""

import asyncio
import secrets

import logbook

from sequoiahook.clock import MS_PER_S
from sequoiahook.daemons.direct.object_store import Kind, ObjectStore
from sequoiahook.daemons.direct.settings import Durations
from sequoiahook.errors import PlatformError, VersionConflictError
from sequoiahook.world.instance import LiveInstance

__all__ = ["Registration"]

SECRET_NAME = "fleet"
SECRET_BYTES = 32

log = logbook.Logger("store")


class Registration:
    """Keeps the entry of this instance, so that the others find it.

    Args:
        store: The store.
        me: This instance.
        durations: Times of the daemon's tasks.
    """

    def __init__(self, store: ObjectStore, me: LiveInstance, durations: Durations):
        self._store = store
        self._me = me
        self._retry_s = durations.store_retry_ms / MS_PER_S
        self._revision = 0
        self._asked = asyncio.Event()
        self._asked.set()

    def ask(self) -> None:
        """Ask for the entry to be written, since it is missing or another one's."""
        self._asked.set()

    async def run(self) -> None:
        """Write the entry whenever it is asked for."""
        while True:
            await self._asked.wait()
            self._asked.clear()
            self._revision = await self._put()
            log.info("entry written", extra={"revision": self._revision})

    async def withdraw(self) -> None:
        """Delete the entry, as the instance has ended its work; try once.

        The others then no longer count with it; otherwise they would for a while.
        """
        try:
            await self._store.delete(Kind.INSTANCES, self._me.name, self._revision)
        except PlatformError as error:
            log.info("entry not deleted", extra={"error": str(error)})

    async def secret(self) -> str:
        """Return the secret of the fleet; the first instance makes it."""
        while True:
            try:
                listing = await self._store.list_objects(Kind.SECRETS)
                found = listing.objects_by_name.get(SECRET_NAME)
                if found is None:
                    value = secrets.token_hex(SECRET_BYTES)
                    found = await self._store.create(Kind.SECRETS, SECRET_NAME, value)
                return str(found.value)
            except PlatformError as error:
                log.debug("secret not read", extra={"error": str(error)})
                await asyncio.sleep(self._retry_s)

    async def _put(self) -> int:
        kind, name, me = Kind.INSTANCES, self._me.name, self._me
        while True:
            try:
                try:
                    return (await self._store.create(kind, name, me)).revision
                except VersionConflictError:
                    return (await self._store.replace(kind, name, me)).revision
            except PlatformError as error:
                log.debug("entry not written", extra={"error": str(error)})
                await asyncio.sleep(self._retry_s)
