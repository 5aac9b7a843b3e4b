"""Decoding of the operator's configuration document."""

from typing import Any

from sequoiahook.clock import MS_PER_S
from sequoiahook.options import Section
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
SAFE = "safe"
ROUTE_TYPES = (SAFE, "unsafe", "upload")


def read_routing(document: Any) -> RoutingConfiguration:
    """Decode the content of the configuration object.

    Raises:
        CheckError: If the document is invalid; with all findings.
    """
    root = Section(document, "config/main")
    number = _number(root)
    services = root.objects_by_name("services", _read_service)
    routes = root.objects_by_name("routes", _read_route)
    organisations = root.objects_by_name("tenants", _read_organisation)
    limits = _read_limits(root.section("limits", optional=True))
    root.raise_for_findings()
    return RoutingConfiguration(number, routes, services, organisations, limits)


def _number(root: Section) -> int:
    text = root.string("version")
    try:
        return int(text, HEXADECIMAL_BASE)
    except ValueError:
        root.report("version", "must be hexadecimal digits")
        return 0


def _read_route(name: str, section: Section) -> Route:
    return Route(
        name=name,
        host=section.string("hostname").lower(),
        path_prefix=section.string("path_prefix", length_max=INTEGER_MAX),
        # "type" only determines whether requests may be repeated.
        is_idempotent=section.choice("type", ROUTE_TYPES) == SAFE,
        timeout_ms=section.integer("timeout_ms", low=1, high=INTEGER_MAX),
        latency_goal_ms=section.integer("target_latency_ms", low=1, high=INTEGER_MAX),
        priority=section.integer("priority", low=0, high=INTEGER_MAX, default=0),
        shares=_read_shares(section),
        # "max_attempts" counts targets that may run the request, not requests sent.
        attempts_max=section.integer(
            "max_attempts", low=1, high=INTEGER_MAX, default=1
        ),
        is_open=section.boolean("public", default=False),
        is_sticky=section.boolean("sticky_sessions", default=False),
        regions=section.strings("allowed_regions", default=()),
    )


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
        int(section.number("cold_start_s", low=0, default=0) * MS_PER_S),
        section.number("cold_per_s", low=0, default=0),
    )


def _read_organisation(name: str, section: Section) -> Organisation:
    keys = {
        # Keys have no names; the first digits of the digest identify them in logs.
        digest[:8]: Key(digest[:8], digest, is_withdrawn=False)
        for digest in map(key_digest, section.strings("api_keys", default=()))
    }
    return Organisation(
        name,
        Contract(
            int(section.number("rate_per_s", low=0, default=0)),
            int(section.number("burst", low=0, default=0)),
        ),
        keys,
        services=(),
        regions=section.strings("allowed_regions", default=()),
        priority=section.integer("priority", low=0, high=INTEGER_MAX, default=0)
        if section.has("priority")
        else None,
    )


def _read_limits(section: Section) -> CallerLimits:
    defaults = CallerLimits()
    return CallerLimits(
        section.integer(
            "max_header_bytes",
            low=1,
            high=INTEGER_MAX,
            default=defaults.header_bytes_max,
        ),
        section.integer(
            "max_body_bytes", low=1, high=INTEGER_MAX, default=defaults.body_bytes_max
        ),
        section.integer(
            "header_timeout_ms",
            low=1,
            high=INTEGER_MAX,
            default=defaults.header_timeout_ms,
        ),
        section.integer(
            "idle_timeout_ms", low=1, high=INTEGER_MAX, default=defaults.idle_timeout_ms
        ),
    )
