"""Decoding of the operator's configuration document."""

from collections.abc import Mapping
from typing import Any

from sequoiahook.clock import MS_PER_S
from sequoiahook.options import Section
from sequoiahook.wire.fields import KEY_LENGTH_MAX, KEY_LENGTH_MIN
from sequoiahook.world.contract import Contract
from sequoiahook.world.organisation import Key, Organisation, key_digest
from sequoiahook.world.routing import (
    CallerLimits,
    Route,
    RoutingConfiguration,
    ServiceShare,
    TargetService,
)

__all__ = ["read_routing"]

INTEGER_MAX = 1 << 40
HEXADECIMAL_BASE = 16
TABLES = ("services", "routes", "tenants", "limits")
IDEMPOTENT_TYPES = ("safe", "download")
OTHER_TYPES = ("unsafe", "upload")

TIMEOUT_DEFAULT_MS = 30_000
"""Time-out of a route whose own one cannot be read."""


def read_routing(document: Any) -> RoutingConfiguration:
    """Decode the content of the configuration object.

    A field that cannot be read affects only its own entry. If it determines where or
    for whom requests run, they are refused; otherwise a default applies. Requests of a
    route with an unknown type are not repeated.

    Raises:
        CheckError: If its number or one of its tables as a whole cannot be read.
    """
    root = Section(document, "config/main")
    number = _number(root)
    is_readable = number is not None and all(
        isinstance(document.get(key, {}), Mapping) for key in TABLES
    )
    services = root.objects_by_name("services", _read_service)
    routes = root.objects_by_name("routes", _read_route)
    organisations = root.objects_by_name("tenants", _read_organisation)
    limits = _read_limits(root.section("limits", optional=True))
    if not is_readable:
        root.raise_for_findings()
    return RoutingConfiguration(
        number,
        {n: route for n, route in routes.items() if route.host and route.path_prefix},
        services,
        organisations,
        limits,
        findings=tuple(root.findings),
        has_unknown_routes=not all(
            route.host and route.path_prefix for route in routes.values()
        ),
        has_unknown_keys=not all(o.are_keys_known for o in organisations.values()),
    )


def _number(root: Section) -> int | None:
    text = root.string("version")
    try:
        return int(text, HEXADECIMAL_BASE)
    except ValueError:
        root.report("version", "must be hexadecimal digits")
        return None


def _read_route(name: str, section: Section) -> Route:
    finding_count = len(section.findings)
    host = section.string("hostname").lower()
    path_prefix = section.string("path_prefix", length_max=INTEGER_MAX)
    shares = _read_shares(section)
    regions = section.strings("allowed_regions", default=())
    is_readable = len(section.findings) == finding_count
    return Route(
        name=name,
        host=host,
        path_prefix=path_prefix,
        is_idempotent=_read_is_idempotent(section),
        timeout_ms=_positive_or(section, "timeout_ms", TIMEOUT_DEFAULT_MS),
        latency_goal_ms=_positive_or(section, "target_latency_ms", TIMEOUT_DEFAULT_MS),
        priority=section.integer("priority", low=0, high=INTEGER_MAX, default=0),
        shares=shares,
        # "max_attempts" counts targets that may run the request, not requests sent.
        attempts_max=section.integer(
            "max_attempts", low=1, high=INTEGER_MAX, default=1
        ),
        is_open=section.boolean("public", default=False),
        is_sticky=section.boolean("sticky_sessions", default=False),
        regions=regions,
        is_readable=is_readable,
    )


def _read_is_idempotent(section: Section) -> bool:
    """Return whether requests may be repeated, which is all that "type" determines."""
    # The choice returned for an unknown type is the first one, which is not idempotent.
    return section.choice("type", OTHER_TYPES + IDEMPOTENT_TYPES) in IDEMPOTENT_TYPES


def _positive_or(section: Section, key: str, fallback: int) -> int:
    """Read a required integer above 0; an unreadable one is reported and replaced."""
    finding_count = len(section.findings)
    value = section.integer(key, low=1, high=INTEGER_MAX)
    return value if len(section.findings) == finding_count else fallback


def _read_shares(section: Section) -> tuple[ServiceShare, ...]:
    if section.has("traffic_split"):
        shares = section.objects("traffic_split", _read_share)
        shares = tuple(share for share in shares if share.weight > 0)
        if not shares:
            section.report("traffic_split", "must give a service a weight above 0")
        return shares
    return (ServiceShare(section.string("service"), 1),)


def _read_share(section: Section) -> ServiceShare:
    return ServiceShare(
        section.string("service"), section.integer("weight", low=0, high=INTEGER_MAX)
    )


def _read_service(name: str, section: Section) -> TargetService:
    return TargetService(
        name,
        section.string("health_path", default="/health"),
        section.integer("max_connections", low=0, high=INTEGER_MAX, default=0),
        int(
            section.number("cold_start_s", low=0, high=INTEGER_MAX, default=0)
            * MS_PER_S
        ),
        section.number("cold_per_s", low=0, high=INTEGER_MAX, default=0),
    )


def _read_organisation(name: str, section: Section) -> Organisation:
    finding_count = len(section.findings)
    presented_keys = section.strings("api_keys", default=())
    are_keys_known = len(section.findings) == finding_count
    _check_key_lengths(section, presented_keys)
    keys = {
        # Keys have no names; the first digits of the digest identify them in logs.
        digest[:8]: Key(digest[:8], digest, is_withdrawn=False)
        for digest in map(key_digest, presented_keys)
    }
    finding_count = len(section.findings)
    contract = Contract(
        int(section.number("rate_per_s", low=0, high=INTEGER_MAX, default=0)),
        int(section.number("burst", low=0, high=INTEGER_MAX, default=0)),
    )
    regions = section.strings("allowed_regions", default=())
    return Organisation(
        name,
        contract,
        keys,
        services=(),
        regions=regions,
        priority=_read_priority(section),
        is_readable=len(section.findings) == finding_count,
        are_keys_known=are_keys_known,
    )


def _read_priority(section: Section) -> int | None:
    if not section.has("priority"):
        return None
    return section.integer("priority", low=0, high=INTEGER_MAX)


def _check_key_lengths(section: Section, keys: tuple[str, ...]) -> None:
    for index, key in enumerate(keys):
        if not KEY_LENGTH_MIN <= len(key) <= KEY_LENGTH_MAX:
            section.report(
                f"api_keys[{index}]",
                f"must have {KEY_LENGTH_MIN} to {KEY_LENGTH_MAX} characters; "
                "no request is accepted with it",
            )


def _read_limits(section: Section) -> CallerLimits:
    defaults = CallerLimits()
    value_by_key = {
        "max_header_bytes": defaults.header_bytes_max,
        "max_body_bytes": defaults.body_bytes_max,
        "header_timeout_ms": defaults.header_timeout_ms,
        "idle_timeout_ms": defaults.idle_timeout_ms,
    }
    return CallerLimits(
        *(
            _positive_or(section, key, default) if section.has(key) else default
            for key, default in value_by_key.items()
        )
    )
