"""Merge patches for frequent changes of the configuration."""

import secrets
from typing import Any, NamedTuple

from sequoiahook.world.contract import Contract
from sequoiahook.world.organisation import key_digest
from sequoiahook.world.shift import Shift

__all__ = [
    "MergePatch",
    "NewKey",
    "create_organisation",
    "create_service",
    "create_target",
    "drain_target",
    "grant_key",
    "plan_shift",
    "withdraw_key",
]

KEY_BYTES = 24

MergePatch = dict[str, Any]
"""JSON merge patch (RFC 7396) for a configuration document."""


class NewKey(NamedTuple):
    """A newly created key.

    Attributes:
        key: The secret key; it is shown once and not stored.
        patch: Merge patch that adds the digest of the key.
    """

    key: str
    patch: MergePatch


def create_service(
    name: str, path_prefix: str, *, is_open: bool, deadline_ms: int
) -> MergePatch:
    """Return a patch that adds a service."""
    service = {
        "path_prefix": path_prefix,
        "open": is_open,
        "deadline_ms": deadline_ms,
    }
    return {"services_by_name": {name: service}}


def create_target(
    name: str, service: str, data_centre: str, host: str, port: int, slots: int
) -> MergePatch:
    """Return a patch that adds a target of a service."""
    target = {
        "service": service,
        "data_centre": data_centre,
        "host": host,
        "port": port,
        "slots": slots,
    }
    return {"targets_by_name": {name: target}}


def create_organisation(
    name: str, contract: Contract, services: tuple[str, ...]
) -> MergePatch:
    """Return a patch that adds an organisation or changes an existing one.

    It sets the contract and adds no keys. If services is empty, the services of an
    existing organisation are unchanged.
    """
    organisation: MergePatch = {**contract._asdict()}
    if services:
        organisation["services"] = list(services)
    return {"organisations_by_name": {name: organisation}}


def grant_key(organisation: str, key_name: str) -> NewKey:
    """Create a key for an organisation."""
    key = secrets.token_urlsafe(KEY_BYTES)
    entry = {"digest": key_digest(key), "withdrawn": False}
    return NewKey(key, _key_patch(organisation, key_name, entry))


def withdraw_key(organisation: str, key_name: str) -> MergePatch:
    """Return a patch that revokes a key."""
    return _key_patch(organisation, key_name, {"withdrawn": True})


def drain_target(name: str) -> MergePatch:
    """Return a patch that stops new requests to a target."""
    return {"targets_by_name": {name: {"state": "draining"}}}


def plan_shift(shift: Shift) -> MergePatch:
    """Return a patch that adds or changes a planned shift of traffic."""
    entry = {
        "service": shift.service,
        "source": shift.source,
        "destination": shift.destination,
        "share_percent": shift.share_percent,
        "cap": shift.cap._asdict(),
    }
    return {"shifts_by_name": {shift.name: entry}}


def _key_patch(organisation: str, key_name: str, entry: dict[str, Any]) -> MergePatch:
    keys = {"keys_by_name": {key_name: entry}}
    return {"organisations_by_name": {organisation: keys}}
