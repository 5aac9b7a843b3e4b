"""The entry of this instance in the platform's store, and the fleet's secret."""

import asyncio
import secrets

import logbook

from sequoiahook.clock import MS_PER_S
from sequoiahook.daemons.direct.object_store import Kind, ObjectStore
from sequoiahook.daemons.direct.settings import Durations
from sequoiahook.decisions.direct.revisions import Revision
from sequoiahook.errors import PlatformError, VersionConflictError
from sequoiahook.world.instance import LiveInstance

__all__ = ["Registration"]

SECRET_NAME = "fleet"
SECRET_BYTES = 32
STALE_MAX_S = 1.5
"""Time after which the changes since a list that may be stale are known."""


log = logbook.Logger("store")


class Registration:
    """Maintains the entry of this instance, by which the others find it.

    Args:
        store: The store.
        me: This instance.
        durations: Durations of the daemon's tasks.
        is_first_start: Whether the whole fleet starts; otherwise there probably are an
            entry of this instance and a secret.
    """

    def __init__(
        self,
        store: ObjectStore,
        me: LiveInstance,
        durations: Durations,
        *,
        is_first_start: bool = False,
    ):
        self._is_first_start = is_first_start
        self._store = store
        self._me = me
        self._retry_s = durations.store_retry_ms / MS_PER_S
        self._written = Revision(0, 0)
        self._write_requested = asyncio.Event()
        self._write_requested.set()
        self._check: asyncio.TimerHandle | None = None

    def check_entry(self, is_present: bool, revision: Revision) -> None:
        """Write the entry again if it is missing or doubted.

        Args:
            is_present: Whether the store has the entry, of this incarnation and without
                a doubt.
            revision: Revision of the store at which that is so. A list from before the
                last write does not show the entry; only if it stays missing, the store
                has lost it.
        """
        if self._check is not None:
            self._check.cancel()
            self._check = None
        if is_present:
            return
        if revision >= self._written:
            self._write_requested.set()
            return
        loop = asyncio.get_running_loop()
        self._check = loop.call_later(STALE_MAX_S, self._write_requested.set)

    async def run(self) -> None:
        """Write the entry whenever a write is requested, until cancelled."""
        while True:
            await self._write_requested.wait()
            self._write_requested.clear()
            self._written = await self._write_entry()
            fields = {"era": self._written.era, "revision": self._written.number}
            log.info("entry written", extra=fields)

    async def withdraw(self) -> None:
        """Delete the entry after the instance has stopped; try once.

        If that fails, the other instances count this one until its entry expires.
        """
        try:
            await self._store.delete(
                Kind.INSTANCES, self._me.name, self._written.number
            )
        except PlatformError as error:
            log.info("entry not deleted", extra={"error": str(error)})

    async def secret(self) -> str:
        """Return the fleet's secret; the first instance creates it."""
        may_be_stale = not self._is_first_start
        while True:
            try:
                listing = await self._store.list_objects(
                    Kind.SECRETS, may_be_stale=may_be_stale
                )
                stored = listing.objects_by_name.get(SECRET_NAME)
                if stored is None and may_be_stale:
                    may_be_stale = False
                    continue
                if stored is None:
                    value = secrets.token_hex(SECRET_BYTES)
                    stored = await self._store.create(Kind.SECRETS, SECRET_NAME, value)
                return str(stored.value)
            except PlatformError as error:
                log.debug("secret not read", extra={"error": str(error)})
                await asyncio.sleep(self._retry_s)

    async def _write_entry(self) -> Revision:
        kind, name, me = Kind.INSTANCES, self._me.name, self._me
        writes = [self._store.create, self._store.replace]
        if not self._is_first_start:
            writes.reverse()
        first, second = writes
        while True:
            try:
                try:
                    stored = await first(kind, name, me)
                except VersionConflictError:
                    stored = await second(kind, name, me)
                return Revision(stored.era, stored.revision)
            except PlatformError as error:
                log.debug("entry not written", extra={"error": str(error)})
                await asyncio.sleep(self._retry_s)
