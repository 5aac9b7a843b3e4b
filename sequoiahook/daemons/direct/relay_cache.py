"""Update of the caches from which a relay answers its peers."""

from collections.abc import Callable, Iterable

from sequoiahook.daemons.direct.object_store import (
    Changes,
    Kind,
    Listing,
    StoredObject,
)
from sequoiahook.decisions.direct.store_cache import CachedObject, StoreCache
from sequoiahook.world.routing import RoutingConfiguration

__all__ = ["CacheObserver"]


class CacheObserver:
    """Applies a follower's listings and changes to a cache.

    Args:
        kind: Kind of the objects.
        cache: The cache.
        lost_kinds: Kinds for which the store does not answer, which is updated.
        notify: Called with the kinds whose waiting peers are to be answered.
    """

    def __init__(
        self,
        kind: Kind,
        cache: StoreCache,
        lost_kinds: set[Kind],
        notify: Callable[[Iterable[Kind]], None],
    ):
        self._kind = kind
        self._cache = cache
        self._lost_kinds = lost_kinds
        self._notify = notify
        self._newest: StoredObject | None = None

    def on_listed(self, listing: Listing, as_of: int) -> None:
        """Replace all objects."""
        objects = tuple(
            CachedObject(stored.name, stored.document)
            for stored in map(self._newest_of, listing.objects_by_name.values())
        )
        self._cache.replace(objects, listing.revision, as_of)
        self._notify((self._kind,))

    def on_changed(self, changes: Changes, as_of: int) -> None:
        """Apply changes."""
        newest = [(self._newest_of(c.object), c.is_deleted) for c in changes.changes]
        objects = tuple(
            CachedObject(stored.name, stored.document, is_deleted)
            for stored, is_deleted in newest
        )
        self._cache.apply_changes(objects, changes.revision, as_of)
        if objects:
            self._notify((self._kind,))

    def _newest_of(self, stored: StoredObject) -> StoredObject:
        """Return the newest configuration known; any other object as it is.

        A store that returns from a copy holds an older configuration, whose withdrawn
        keys an instance that starts must not accept.
        """
        if not isinstance(stored.value, RoutingConfiguration):
            return stored
        newest = self._newest
        if newest is None or stored.value.number >= newest.value.number:
            self._newest = newest = stored
        return newest

    def on_store_lost(self) -> None:
        """Answer all waiting peers, so that they look elsewhere at once.

        A store that does not answer for one kind may not answer for the others either.
        """
        self._lost_kinds.add(self._kind)
        self._notify(Kind)

    def on_store_regained(self) -> None:
        """Answer peers from the cache again."""
        self._lost_kinds.discard(self._kind)
