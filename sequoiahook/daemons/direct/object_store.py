"""Interface of the platform's object store, as far as the daemon uses it."""

from enum import Enum
from typing import Any, NamedTuple, Protocol

from sequoiahook.decisions.direct.revisions import Revision

__all__ = [
    "Change",
    "Changes",
    "Kind",
    "Listing",
    "ObjectSource",
    "ObjectStore",
    "StoredObject",
]


class Kind(Enum):
    """Kinds of objects that an instance uses."""

    CONFIGURATION = "configuration"
    EVACUATIONS = "evacuations"
    INSTANCES = "instances"
    SECRETS = "secrets"
    TARGETS = "targets"


class StoredObject(NamedTuple):
    """An object in the store.

    Attributes:
        name: Name, unique in its kind.
        revision: Revision of its last change.
        value: Decoded content; None if it is invalid.
        problem: Why the content is invalid; empty if it is valid.
        document: The undecoded object, as the store sent it.
        era: Era of the store in which it was written; 0 unless this was the answer to
            a write.
    """

    name: str
    revision: int
    value: Any
    problem: str = ""
    document: Any = None
    era: int = 0


class Listing(NamedTuple):
    """All objects of a kind.

    Attributes:
        objects_by_name: The objects.
        revision: Revision of the store that the listing shows.
        age_ms: Time since the listing was certainly current, in milliseconds; None if
            it was current after the call began.
        source: Name of the peer that answered; empty for the store.
    """

    objects_by_name: dict[str, StoredObject]
    revision: Revision
    age_ms: int | None = None
    source: str = ""


class Change(NamedTuple):
    """An object that was changed or deleted."""

    object: StoredObject
    is_deleted: bool


class Changes(NamedTuple):
    """Result of a watch.

    Attributes:
        changes: The changes in order; empty if there was none within the wait.
        revision: Revision from which to continue.
        age_ms: Time since there were certainly no further changes, in milliseconds;
            None if there were none after the call began.
        source: Name of the peer that answered; empty for the store.
    """

    changes: tuple[Change, ...]
    revision: Revision
    age_ms: int | None = None
    source: str = ""


class ObjectSource(Protocol):
    """Source of objects to list and watch.

    Each method raises PlatformUnavailableError if it had no effect, and
    PlatformOutcomeUnknownError if it is unknown whether it had one.
    """

    async def list_objects(self, kind: Kind) -> Listing:
        """Return all objects of a kind."""

    async def watch(self, kind: Kind, revision: Revision, wait_ms: int) -> Changes:
        """Return the changes after a revision, as soon as there is one.

        Args:
            kind: The kind of objects.
            revision: The last revision already known.
            wait_ms: Longest wait for a change, in milliseconds.

        Raises:
            HistoryExpiredError: If the store no longer holds the changes, or has begun
                a new era since that revision.
        """


class ObjectStore(ObjectSource, Protocol):
    """The platform's object store."""

    async def list_objects(self, kind: Kind, *, may_be_stale: bool = False) -> Listing:
        """Return all objects of a kind.

        Args:
            kind: The kind of objects.
            may_be_stale: Whether a list that is seconds old will do, which costs less.
        """

    def decode_object(self, kind: Kind, document: Any) -> StoredObject:
        """Decode an object of the store."""

    async def create(self, kind: Kind, name: str, value: Any) -> StoredObject:
        """Create an object.

        Raises:
            VersionConflictError: If an object with that name exists.
        """

    async def replace(
        self, kind: Kind, name: str, value: Any, revision: int | None = None
    ) -> StoredObject:
        """Replace the content of an object.

        Args:
            kind: The kind of the object.
            name: Its name.
            value: The content.
            revision: Revision that the object must still have; None for any.

        Raises:
            VersionConflictError: If it has another revision, or does not exist.
        """

    async def delete(self, kind: Kind, name: str, revision: int) -> None:
        """Delete an object if it still has the given revision.

        Raises:
            VersionConflictError: If it has another revision.
        """

    def close(self) -> None:
        """Close all connections."""
