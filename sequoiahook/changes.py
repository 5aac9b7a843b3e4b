"""Changes of the configuration that operators make often, as merge patches."""

import secrets
from typing import Any, NamedTuple

from sequoiahook.world.contract import Contract
from sequoiahook.world.organisation import key_digest
from sequoiahook.world.shift import Shift

__all__ = [
    "Changes",
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

Changes = dict[str, Any]
"""A JSON merge patch for a configuration document."""


class NewKey(NamedTuple):
    """A key that was just made.

    Attributes:
        key: The key itself; it is shown once and not kept.
        changes: The merge patch that adds its digest.
    """

    key: str
    changes: Changes


def create_service(
    name: str, path_prefix: str, *, is_open: bool, deadline_ms: int
) -> Changes:
    """Add a service."""
    service = {
        "path_prefix": path_prefix,
        "open": is_open,
        "deadline_ms": deadline_ms,
    }
    return {"services_by_name": {name: service}}


def create_target(
    name: str, service: str, data_centre: str, host: str, port: int, slots: int
) -> Changes:
    """Add a target of a service."""
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
) -> Changes:
    """Add an organisation without keys, or set the contract of one that exists.

    Without services those of an organisation that exists stay as they are.
    """
    organisation: Changes = {**contract._asdict()}
    if services:
        organisation["services"] = list(services)
    return {"organisations_by_name": {name: organisation}}


def grant_key(organisation: str, key_name: str) -> NewKey:
    """Make a new key of an organisation."""
    key = secrets.token_urlsafe(KEY_BYTES)
    entry = {"digest": key_digest(key), "withdrawn": False}
    return NewKey(key, _key_changes(organisation, key_name, entry))


def withdraw_key(organisation: str, key_name: str) -> Changes:
    """Stop a key from working."""
    return _key_changes(organisation, key_name, {"withdrawn": True})


def drain_target(name: str) -> Changes:
    """Give a target no new work."""
    return {"targets_by_name": {name: {"state": "draining"}}}


def plan_shift(shift: Shift) -> Changes:
    """Add a shift of traffic under a cap, or change one that exists."""
    entry = {
        "service": shift.service,
        "source": shift.source,
        "destination": shift.destination,
        "share_percent": shift.share_percent,
        "cap": shift.cap._asdict(),
    }
    return {"shifts_by_name": {shift.name: entry}}


def _key_changes(organisation: str, key_name: str, entry: dict[str, Any]) -> Changes:
    keys = {"keys_by_name": {key_name: entry}}
    return {"organisations_by_name": {organisation: keys}}
