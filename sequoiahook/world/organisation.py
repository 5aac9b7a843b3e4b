"""Organisations, their keys and their contracts."""

import hashlib
import re
from typing import NamedTuple

from sequoiahook.options import Section
from sequoiahook.world.contract import Contract, read_contract

__all__ = ["Key", "Organisation", "key_digest", "read_organisation"]

_DIGEST = re.compile(r"[0-9a-f]{64}")


class Key(NamedTuple):
    """A key of an organisation, without the secret itself.

    Attributes:
        name: Name of the key, which is not secret; unique in its organisation.
        digest: SHA-256 digest of the key, in hexadecimal digits.
        is_withdrawn: Whether the key is revoked.
    """

    name: str
    digest: str
    is_withdrawn: bool


class Organisation(NamedTuple):
    """A group of callers that share keys and a contract.

    Attributes:
        name: Unique name.
        contract: Rate and burst over all instances together.
        keys_by_name: Keys of its callers.
        services: Names of the services that it may use; empty for all.
        regions: Names of the regions in which its requests may run; empty for all.
        priority: Priority of its requests, which overrides that of the route; None to
            use that of the route.
        is_readable: Whether its rate and its regions are known; if not, its requests
            are refused.
        are_keys_known: Whether all of its keys are known.
    """

    name: str
    contract: Contract
    keys_by_name: dict[str, Key]
    services: tuple[str, ...]
    regions: tuple[str, ...] = ()
    priority: int | None = None
    is_readable: bool = True
    are_keys_known: bool = True

    def may_use(self, service: str) -> bool:
        """Return whether the organisation may use the service."""
        return not self.services or service in self.services


def key_digest(key: str) -> str:
    """Return the digest by which a key is stored, in hexadecimal digits."""
    return hashlib.sha256(key.encode()).hexdigest()


def read_organisation(name: str, section: Section) -> Organisation:
    """Read one organisation of a configuration document."""
    return Organisation(
        name,
        read_contract(section),
        section.objects_by_name("keys_by_name", _read_key),
        section.strings("services", default=()),
    )


def _read_key(name: str, section: Section) -> Key:
    digest = section.string("digest")
    if digest and not _DIGEST.fullmatch(digest):
        section.report("digest", "must be 64 lower-case hexadecimal digits")
    return Key(name, digest, section.boolean("withdrawn", default=False))
