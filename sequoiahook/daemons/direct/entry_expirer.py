"""Marks and deletes the entries of silent instances in the platform's store."""

import asyncio

import logbook

from sequoiahook.clock import MS_PER_S, Clock
from sequoiahook.daemons.direct.object_store import Kind, ObjectStore
from sequoiahook.daemons.direct.observers import InstanceObserver
from sequoiahook.decisions.direct.core import DirectCore
from sequoiahook.decisions.direct.entry_expiry import EntryStep
from sequoiahook.errors import PlatformError, VersionConflictError

__all__ = ["EntryExpirer"]

CHECK_MS = 1_000
RETRY_MS = 5_000

log = logbook.Logger("store")


class EntryExpirer:
    """Carries out the decisions on entries of silent instances.

    Args:
        core: The decisions.
        store: The store.
        clock: The clock.
        observer: Holds the revisions of the listed entries.
    """

    def __init__(
        self,
        core: DirectCore,
        store: ObjectStore,
        clock: Clock,
        observer: InstanceObserver,
    ):
        self._core = core
        self._store = store
        self._clock = clock
        self._observer = observer

    async def run(self) -> None:
        """Doubt, then delete entries, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_MS / MS_PER_S)
            for step in self._core.entry_steps(self._clock.now()):
                if not await self._take(step):
                    await asyncio.sleep(RETRY_MS / MS_PER_S)
                    break

    async def _take(self, step: EntryStep) -> bool:
        """Change an entry, unless it has been written since it was read.

        Returns:
            Whether the store answered.
        """
        name = step.instance.name
        revision = self._observer.revision_by_name.get(name)
        if revision is None:
            return True
        event = "entry deleted" if step.is_deletion else "entry doubted"
        try:
            if step.is_deletion:
                await self._store.delete(Kind.INSTANCES, name, revision)
            else:
                doubted = step.instance._replace(is_doubted=True)
                await self._store.replace(Kind.INSTANCES, name, doubted, revision)
            log.info(event, extra={"name": name})
        except PlatformError as error:
            fields = {"name": name, "step": event, "error": str(error)}
            log.info("entry not changed", extra=fields)
            return isinstance(error, VersionConflictError)
        return True
