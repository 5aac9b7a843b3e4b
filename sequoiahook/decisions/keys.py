"""API keys: verification, withdrawal, and the connections that use them."""

import hmac
from enum import Enum
from typing import NamedTuple

from sequoiahook.wire.fields import KEY_LENGTH_MAX, KEY_LENGTH_MIN
from sequoiahook.world.configuration import Configuration
from sequoiahook.world.organisation import Organisation, key_digest

__all__ = ["KeyName", "KeyState", "KeyTable", "KeyUsage", "KeyVerdict"]


class KeyState(Enum):
    """State of a key."""

    VALID = "valid"
    WITHDRAWN = "withdrawn"
    UNKNOWN = "unknown"


class KeyName(NamedTuple):
    """Identifies a key without revealing it.

    Attributes:
        organisation: Name of the organisation.
        key_name: Name of the key within the organisation.
    """

    organisation: str
    key_name: str


class KeyVerdict(NamedTuple):
    """Result of the verification of a key.

    Attributes:
        state: State of the key.
        name: Name of the key; None if it is unknown.
    """

    state: KeyState
    name: KeyName | None = None


class _KeyRecord(NamedTuple):
    digest: str
    name: KeyName
    is_withdrawn: bool


class KeyTable:
    """The keys of one configuration.

    Args:
        configuration: The configuration.
    """

    def __init__(self, configuration: Configuration):
        self.number = configuration.number
        self._organisations_by_name = configuration.organisations_by_name
        self._records_by_prefix: dict[str, list[_KeyRecord]] = {}
        self._withdrawn_by_name: dict[KeyName, bool] = {}
        for organisation in configuration.organisations_by_name.values():
            self._add(organisation)

    def verify(self, key: str) -> KeyVerdict:
        """Return the state and the name of a presented key.

        The key is hashed, and its digest is compared in constant time, so that the
        duration reveals nothing about the keys that exist.
        """
        if not KEY_LENGTH_MIN <= len(key) <= KEY_LENGTH_MAX:
            return KeyVerdict(KeyState.UNKNOWN)
        digest = key_digest(key)
        found: _KeyRecord | None = None
        for record in self._records_by_prefix.get(_prefix(digest), ()):
            is_same = hmac.compare_digest(record.digest, digest)
            if is_same and (found is None or record.is_withdrawn):
                found = record
        if found is None:
            return KeyVerdict(KeyState.UNKNOWN)
        return KeyVerdict(self.state(found.name), found.name)

    def state(self, name: KeyName) -> KeyState:
        """Return the state of the key with a name."""
        is_withdrawn = self._withdrawn_by_name.get(name)
        if is_withdrawn is None:
            return KeyState.UNKNOWN
        return KeyState.WITHDRAWN if is_withdrawn else KeyState.VALID

    def may_use(self, name: KeyName, service: str) -> bool:
        """Return whether a key is valid and grants access to a service."""
        if self.state(name) is not KeyState.VALID:
            return False
        return self._organisations_by_name[name.organisation].may_use(service)

    def withdrawn_since(self, older: "KeyTable") -> set[KeyName]:
        """Return the keys that were valid in an older table and no longer are.

        Keys that were removed or have a new digest count as withdrawn.
        """
        return {
            name
            for name in older._withdrawn_by_name
            if older.state(name) is KeyState.VALID
            and (
                self.state(name) is not KeyState.VALID
                or self._digest(name) != older._digest(name)
            )
        }

    def _add(self, organisation: Organisation) -> None:
        for key in organisation.keys_by_name.values():
            name = KeyName(organisation.name, key.name)
            record = _KeyRecord(key.digest, name, key.is_withdrawn)
            records = self._records_by_prefix.setdefault(_prefix(key.digest), [])
            records.append(record)
            self._withdrawn_by_name[name] = key.is_withdrawn

    def _digest(self, name: KeyName) -> str:
        keys_by_name = self._organisations_by_name[name.organisation].keys_by_name
        return keys_by_name[name.key_name].digest


class KeyUsage:
    """The keys that were used over each open caller connection."""

    def __init__(self):
        self._names_by_connection: dict[int, set[KeyName]] = {}
        self._connections_by_name: dict[KeyName, set[int]] = {}

    def record(self, connection_id: int, name: KeyName) -> None:
        """Record that a request with a key came over a connection."""
        self._names_by_connection.setdefault(connection_id, set()).add(name)
        self._connections_by_name.setdefault(name, set()).add(connection_id)

    def remove_connection(self, connection_id: int) -> None:
        """Remove a closed connection."""
        for name in self._names_by_connection.pop(connection_id, ()):
            connections = self._connections_by_name[name]
            connections.discard(connection_id)
            if not connections:
                del self._connections_by_name[name]

    def connections(self, name: KeyName) -> set[int]:
        """Return the open connections that used a key."""
        return set(self._connections_by_name.get(name, ()))


def _prefix(digest: str) -> str:
    return digest[:4]
