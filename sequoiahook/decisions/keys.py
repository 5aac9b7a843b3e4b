"""Keys: whose a presented key is, which keys were withdrawn, who uses them."""

import hmac
from enum import Enum
from typing import NamedTuple

from sequoiahook.wire.fields import KEY_LENGTH_MAX, KEY_LENGTH_MIN
from sequoiahook.world.configuration import Configuration
from sequoiahook.world.organisation import Organisation, key_digest

__all__ = ["Callers", "KeyName", "KeyState", "KeyTable", "Verdict"]


class KeyState(Enum):
    """Whether a key works."""

    VALID = "valid"
    WITHDRAWN = "withdrawn"
    UNKNOWN = "unknown"


class KeyName(NamedTuple):
    """Names a key without telling it.

    Attributes:
        organisation: Name of the organisation.
        key_name: Name of the key in it.
    """

    organisation: str
    key_name: str


class Verdict(NamedTuple):
    """What a presented key is.

    Attributes:
        state: Whether it works.
        name: Which key it is; None if it is unknown.
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

    def verify(self, key: str) -> Verdict:
        """Tell whose a presented key is.

        The key is hashed first, and the digest is compared with each candidate in
        constant time, so that timing tells nothing about the keys that exist.
        """
        if not KEY_LENGTH_MIN <= len(key) <= KEY_LENGTH_MAX:
            return Verdict(KeyState.UNKNOWN)
        digest = key_digest(key)
        found: _KeyRecord | None = None
        for record in self._records_by_prefix.get(_prefix(digest), ()):
            is_same = hmac.compare_digest(record.digest, digest)
            if is_same and (found is None or record.is_withdrawn):
                found = record
        if found is None:
            return Verdict(KeyState.UNKNOWN)
        return Verdict(self.state(found.name), found.name)

    def state(self, name: KeyName) -> KeyState:
        """Return whether the key with a name works."""
        is_withdrawn = self._withdrawn_by_name.get(name)
        if is_withdrawn is None:
            return KeyState.UNKNOWN
        return KeyState.WITHDRAWN if is_withdrawn else KeyState.VALID

    def may_use(self, name: KeyName, service: str) -> bool:
        """Return whether a working key opens a service."""
        if self.state(name) is not KeyState.VALID:
            return False
        return self._organisations_by_name[name.organisation].may_use(service)

    def withdrawn_since(self, older: "KeyTable") -> set[KeyName]:
        """Return the keys that worked in an older table and no longer do.

        A key whose digest changed counts as withdrawn, like one that is gone.
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


class Callers:
    """Which open caller connections used which keys."""

    def __init__(self):
        self._names_by_connection: dict[int, set[KeyName]] = {}
        self._connections_by_name: dict[KeyName, set[int]] = {}

    def used(self, connection_id: int, name: KeyName) -> None:
        """Note that a request with a key came over a connection."""
        self._names_by_connection.setdefault(connection_id, set()).add(name)
        self._connections_by_name.setdefault(name, set()).add(connection_id)

    def closed(self, connection_id: int) -> None:
        """Forget a connection."""
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
