"""What the daemon needs of the platform's store of objects."""

from enum import Enum
from typing import Any, NamedTuple, Protocol

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
    """One object.

    Attributes:
        name: Its name, unique in its kind.
        revision: Revision of its last change.
        value: Its content as a type of the product; None if it cannot be used.
        problem: Why it cannot be used; empty if it can.
        document: The whole object as the store wrote it.
    """

    name: str
    revision: int
    value: Any
    problem: str = ""
    document: Any = None


class Listing(NamedTuple):
    """All objects of a kind.

    Attributes:
        objects_by_name: The objects.
        revision: Revision of the store for which this holds.
        age_ms: Time since this held for certain; None if it held after the call began.
    """

    objects_by_name: dict[str, StoredObject]
    revision: int
    age_ms: int | None = None


class Change(NamedTuple):
    """An object that was changed or deleted."""

    object: StoredObject
    is_deleted: bool


class Changes(NamedTuple):
    """What a watch returned, in order.

    Attributes:
        changes: The changes; empty if there was none in time.
        revision: Where to go on.
        age_ms: Time since there were no further changes for certain; None if that was
            so after the call began.
    """

    changes: tuple[Change, ...]
    revision: int
    age_ms: int | None = None


class ObjectSource(Protocol):
    """Where objects are followed.

    Each call raises PlatformUnavailableError if it had no effect, and
    PlatformOutcomeUnknownError if that is not known.
    """

    async def list_objects(self, kind: Kind) -> Listing:
        """Return all objects of a kind."""

    async def watch(self, kind: Kind, revision: int, wait_ms: int) -> Changes:
        """Return what changed after a revision, as soon as there is a change.

        Raises:
            HistoryExpiredError: If the store no longer knows.
        """


class ObjectStore(ObjectSource, Protocol):
    """The platform's store of objects."""

    def read(self, kind: Kind, document: Any) -> StoredObject:
        """Decode an object as the store wrote it."""

    async def create(self, kind: Kind, name: str, value: Any) -> StoredObject:
        """Create an object.

        Raises:
            VersionConflictError: If there is one with that name.
        """

    async def replace(self, kind: Kind, name: str, value: Any) -> StoredObject:
        """Replace the content of an object, whatever its revision."""

    async def delete(self, kind: Kind, name: str, revision: int) -> None:
        """Delete an object if it still has a revision.

        Raises:
            VersionConflictError: If it has another one.
        """

    def close(self) -> None:
        """Close all connections."""
