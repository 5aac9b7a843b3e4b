"""Organisations, their keys and their contracts."""

import hashlib
import re
from typing import NamedTuple

from sequoiahook.options import Section
from sequoiahook.world.contract import Contract, read_contract

__all__ = ["Key", "Organisation", "key_digest", "read_organisation"]

_DIGEST = re.compile(r"[0-9a-f]{64}")


class Key(NamedTuple):
    """A key of an organisation; the key itself is not kept.

    Attributes:
        name: Name of the key, unique in its organisation; it is not secret.
        digest: SHA-256 digest of the key, in hexadecimal digits.
        is_withdrawn: Whether the key has stopped working.
    """

    name: str
    digest: str
    is_withdrawn: bool


class Organisation(NamedTuple):
    """Callers that share keys and a contract.

    Attributes:
        name: Unique name.
        contract: Rate and burst over all instances together.
        keys_by_name: The keys.
        services: Names of the services that it may use; empty means all.
        regions: Regions that its requests may run in; empty means all.
        priority: Rank of its requests, which goes before that of a route; None if it
            has none.
    """

    name: str
    contract: Contract
    keys_by_name: dict[str, Key]
    services: tuple[str, ...]
    regions: tuple[str, ...] = ()
    priority: int | None = None

    def may_use(self, service: str) -> bool:
        """Return whether the organisation may use the service."""
        return not self.services or service in self.services


def key_digest(key: str) -> str:
    """Return the digest under which a key is kept."""
    return hashlib.sha256(key.encode()).hexdigest()


def read_organisation(name: str, section: Section) -> Organisation:
    """Read one organisation of a configuration document."""
    return Organisation(
        name,
        read_contract(section),
        section.by_key("keys_by_name", _read_key),
        section.strings("services", default=()),
    )


def _read_key(name: str, section: Section) -> Key:
    digest = section.string("digest")
    if digest and not _DIGEST.fullmatch(digest):
        section.report("digest", "must be 64 lower-case hexadecimal digits")
    return Key(name, digest, section.boolean("withdrawn", default=False))
