"""Model of the routing configuration: routes, services and organisations."""

from typing import NamedTuple

from sequoiahook.errors import Finding
from sequoiahook.world.organisation import Organisation

__all__ = [
    "CallerLimits",
    "Route",
    "RoutingConfiguration",
    "ServiceShare",
    "TargetService",
]


class ServiceShare(NamedTuple):
    """The share of a service in the requests of a route.

    Attributes:
        service: Name of the service.
        weight: Size of the share, relative to the weights of the other services.
    """

    service: str
    weight: int


class Route(NamedTuple):
    """Rules for the requests to one host with one path prefix.

    Attributes:
        name: Unique name.
        host: Host of the requests, in lower case.
        path_prefix: Prefix of the paths of the requests.
        is_idempotent: Whether a request may run more than once.
        timeout_ms: Longest time until the caller receives an answer, in milliseconds.
        latency_goal_ms: Latency up to which an answer is of full use to the caller, in
            milliseconds.
        priority: Priority of the requests; 0 is the highest.
        shares: Services that run the requests, with their shares.
        attempts_max: Most targets on which one request may be tried.
        is_open: Whether requests are accepted without a key.
        is_sticky: Whether a target handles an object faster once it has seen it.
        regions: Names of the regions in which requests may run; empty for all.
        is_readable: Whether it is known where its requests may run; if not, they are
            refused.
    """

    name: str
    host: str
    path_prefix: str
    is_idempotent: bool
    timeout_ms: int
    latency_goal_ms: int
    priority: int
    shares: tuple[ServiceShare, ...]
    attempts_max: int
    is_open: bool
    is_sticky: bool
    regions: tuple[str, ...]
    is_readable: bool = True


class TargetService(NamedTuple):
    """Settings that all targets of a service share.

    Attributes:
        name: Unique name.
        health_path: Path of the health check.
        connections_max: Most connections that a target accepts from all instances.
        cold_ms: Time for which a target is cold after its start, in milliseconds.
        cold_per_s: Requests per second that a cold target can handle.
    """

    name: str
    health_path: str
    connections_max: int
    cold_ms: int
    cold_per_s: float


class CallerLimits(NamedTuple):
    """Limits on the size and the timing of requests from callers.

    Attributes:
        header_bytes_max: Most bytes of the request line and the header fields.
        body_bytes_max: Most bytes of the body.
        header_timeout_ms: Longest time to receive the request line and header fields,
            in milliseconds.
        idle_timeout_ms: Longest time between two requests on a connection, in
            milliseconds.
    """

    header_bytes_max: int = 32 * 1024
    body_bytes_max: int = 64 * 1024 * 1024
    header_timeout_ms: int = 5_000
    idle_timeout_ms: int = 60_000


class RoutingConfiguration(NamedTuple):
    """One numbered routing configuration.

    Attributes:
        number: Version number; a higher one replaces a lower one.
        routes_by_name: Routes.
        services_by_name: Services.
        organisations_by_name: Organisations; if empty, requests need no key.
        limits: Limits on requests from callers.
        findings: Fields that could not be read.
        has_unknown_routes: Whether it has routes whose host or path is unknown, so that
            a request without a known route may belong to one of them.
        has_unknown_keys: Whether it has keys that could not be read.
    """

    number: int
    routes_by_name: dict[str, Route]
    services_by_name: dict[str, TargetService]
    organisations_by_name: dict[str, Organisation]
    limits: CallerLimits
    findings: tuple[Finding, ...] = ()
    has_unknown_routes: bool = False
    has_unknown_keys: bool = False
