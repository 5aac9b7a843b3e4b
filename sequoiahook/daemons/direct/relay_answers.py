"""Answers to the instances that read the platform's store through this one."""

import asyncio
from collections.abc import Iterable

from sequoiahook.clock import MS_PER_S, Clock
from sequoiahook.daemons.direct.object_store import Kind
from sequoiahook.daemons.direct.relay_cache import CacheObserver
from sequoiahook.daemons.direct.relay_content import encode_objects, encode_together
from sequoiahook.decisions.direct.revisions import Revision
from sequoiahook.decisions.direct.store_cache import CachedObject, StoreCache
from sequoiahook.messages.relay import (
    StoreAnswer,
    StoreAsk,
    StoreRead,
    StoreReadAnswer,
)

__all__ = ["HISTORY_GONE", "LIST_NUMBER", "RelayAnswers"]

LIST_NUMBER = -1
"""Number of the revision in requests for all objects."""

# Values of the field "problem" of answers.
HISTORY_GONE = "history gone"
NOT_FOLLOWED = "not followed here"


class RelayAnswers:
    """Answers requests of peers from what this instance has read.

    Args:
        clock: The clock.
    """

    def __init__(self, clock: Clock):
        self._is_relayed = False
        self._clock = clock
        self._caches_by_kind = {kind: StoreCache() for kind in Kind}
        self._changed_by_kind = {kind: asyncio.Event() for kind in Kind}
        self._lost_kinds: set[Kind] = set()

    @property
    def is_relayed(self) -> bool:
        """Whether this instance itself reads through a peer."""
        return self._is_relayed

    @is_relayed.setter
    def is_relayed(self, is_relayed: bool) -> None:
        has_begun = is_relayed and not self._is_relayed
        self._is_relayed = is_relayed
        if has_begun:
            # Peers that wait here would miss what this instance learns late.
            self._notify(Kind)

    @property
    def newest_era(self) -> int:
        """Newest era of the store in which this instance knows any objects."""
        revisions = [cache.revision for cache in self._caches_by_kind.values()]
        return max((r.era for r in revisions if r is not None), default=0)

    def cache_observer(self, kind: Kind) -> CacheObserver:
        """Return the observer with which a follower updates the cache of a kind."""
        cache = self._caches_by_kind[kind]
        return CacheObserver(kind, cache, self._lost_kinds, self._notify)

    async def answer(
        self, request: StoreRead | StoreAsk
    ) -> StoreReadAnswer | StoreAnswer:
        """Return the answer to a request, after the wait that it asks for."""
        received_at = self._clock.now()
        is_earlier_version = isinstance(request, StoreAsk)
        kind = _kind(request.kind)
        problem, found = NOT_FOLLOWED, None
        if kind is not None:
            cache = self._caches_by_kind[kind]
            revision = _requested_revision(request, cache)
            is_empty = cache.confirmed_at is None
            is_watch = not is_empty and cache.changes_after(revision) == ()
            if is_empty or (is_watch and not self.is_relayed):
                await self._wait_for_change(kind, request.wait_ms)
            problem, found = self._find(request, revision, cache)
        held_ms = self._clock.now() - received_at
        answer = StoreReadAnswer(request.ticket, problem, 0, 0, b"", 0, held_ms)
        if found is not None:
            encode = encode_together if is_earlier_version else encode_objects
            content = encode(found)
            answer = answer._replace(
                era=cache.revision.era,
                revision=max(cache.revision.number, request.revision),
                content=content,
                age_ms=self._clock.now() - cache.confirmed_at,
            )
        return _without_era(answer) if is_earlier_version else answer

    def _find(
        self, request: StoreRead | StoreAsk, revision: Revision, cache: StoreCache
    ) -> tuple[str, tuple[CachedObject, ...] | None]:
        """Return the problem of a request, and the objects if there is none."""
        # Two instances that read through each other would both miss all changes. A list
        # is of use at any age to an instance that has none.
        is_followed = not self._lost_kinds and not self.is_relayed
        is_list = request.revision == LIST_NUMBER
        if cache.confirmed_at is None or not (is_followed or is_list):
            return NOT_FOLLOWED, None
        if revision.era > cache.revision.era:
            return NOT_FOLLOWED, None
        if isinstance(request, StoreAsk) and cache.has_changed_era:
            return NOT_FOLLOWED, None
        if is_list:
            return "", cache.all_objects()
        changes = cache.changes_after(revision)
        return ("", changes) if changes is not None else (HISTORY_GONE, None)

    def _notify(self, kinds: Iterable[Kind]) -> None:
        for kind in kinds:
            self._changed_by_kind[kind].set()

    async def _wait_for_change(self, kind: Kind, wait_ms: int) -> None:
        if self._lost_kinds:
            return
        event = self._changed_by_kind[kind]
        event.clear()
        try:
            async with asyncio.timeout(wait_ms / MS_PER_S):
                await event.wait()
        except TimeoutError:
            return


def _kind(text: str) -> Kind | None:
    """Return the kind with a value; None if a peer's version has others."""
    return next((kind for kind in Kind if kind.value == text), None)


def _requested_revision(request: StoreRead | StoreAsk, cache: StoreCache) -> Revision:
    """Return the revision of a request; that of an earlier version states no era."""
    if isinstance(request, StoreRead):
        return Revision(request.era, request.revision)
    era = 0 if cache.revision is None else cache.revision.era
    return Revision(era, request.revision)


def _without_era(answer: StoreReadAnswer) -> StoreAnswer:
    return StoreAnswer(*answer[:2], *answer[3:])
