"""The routing configuration: routes by host and path, services and organisations."""

from typing import NamedTuple

from sequoiahook.world.organisation import Organisation

__all__ = [
    "CallerLimits",
    "Route",
    "RoutingConfiguration",
    "ServiceShare",
    "TargetService",
]


class ServiceShare(NamedTuple):
    """A service that gets part of a route's requests.

    Attributes:
        service: Name of the service.
        weight: Its part, relative to the weights of the others.
    """

    service: str
    weight: int


class Route(NamedTuple):
    """How requests of one host with one path prefix are handled.

    Attributes:
        name: Unique name.
        host: Host that callers name, in lower case.
        path_prefix: Paths that start with it belong to the route.
        is_idempotent: Whether its requests may run more than once.
        timeout_ms: Longest time that a caller is kept waiting.
        aim_ms: Time within which an answer has its full use for the caller.
        priority: Rank of its requests; 0 is the highest.
        shares: The services that run its requests.
        attempts_max: Most targets that one request may run on.
        is_open: Whether its requests need no key.
        is_sticky: Whether a target that knows an object handles it faster.
        regions: Regions that its requests may run in; empty means all.
    """

    name: str
    host: str
    path_prefix: str
    is_idempotent: bool
    timeout_ms: int
    aim_ms: int
    priority: int
    shares: tuple[ServiceShare, ...]
    attempts_max: int
    is_open: bool
    is_sticky: bool
    regions: tuple[str, ...]


class TargetService(NamedTuple):
    """What all targets of a service have in common.

    Attributes:
        name: Unique name.
        health_path: Path of the health check.
        connections_max: Most connections that a target accepts from all instances.
        cold_ms: How long a target stays cold after its start.
        cold_per_s: Requests a second that a cold target bears.
    """

    name: str
    health_path: str
    connections_max: int
    cold_ms: int
    cold_per_s: float


class CallerLimits(NamedTuple):
    """What a caller may send, and how long it may take.

    Attributes:
        header_bytes_max: Most bytes of a request's line and fields.
        body_bytes_max: Most bytes of a request's body.
        header_timeout_ms: Longest time for a request's line and fields.
        idle_timeout_ms: Longest time between two requests of a connection.
    """

    header_bytes_max: int = 32 * 1024
    body_bytes_max: int = 64 * 1024 * 1024
    header_timeout_ms: int = 5_000
    idle_timeout_ms: int = 60_000


class RoutingConfiguration(NamedTuple):
    """One numbered routing configuration.

    Attributes:
        number: Number; a higher one replaces a lower one.
        routes_by_name: The routes.
        services_by_name: The services.
        organisations_by_name: The organisations; without any, requests need no key.
        limits: Limits of callers.
    """

    number: int
    routes_by_name: dict[str, Route]
    services_by_name: dict[str, TargetService]
    organisations_by_name: dict[str, Organisation]
    limits: CallerLimits
