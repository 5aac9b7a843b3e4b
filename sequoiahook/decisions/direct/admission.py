"""Admission of requests: routes, API keys, regions and rates of organisations."""

from typing import NamedTuple

from sequoiahook.decisions.direct.freshness import Freshness
from sequoiahook.decisions.direct.rates import Rates
from sequoiahook.decisions.direct.requests import (
    Cause,
    Hold,
    IncomingRequest,
    OpenRequest,
    Refuse,
    Status,
)
from sequoiahook.decisions.direct.route_table import RouteTable
from sequoiahook.decisions.direct.splits import Splits
from sequoiahook.decisions.keys import KeyName, KeyState, KeyTable
from sequoiahook.world.contract import Contract
from sequoiahook.world.routing import Route, RoutingConfiguration, TargetService

__all__ = ["Admission", "AdmissionSettings"]


class AdmissionSettings(NamedTuple):
    """Durations of admission.

    Attributes:
        startup_retry_ms: Retry-after time while the instance has no configuration, or
            no share of the rates.
        unreadable_retry_ms: Retry-after time for requests that depend on an entry of
            the configuration that cannot be read.
        stale_retry_ms: Retry-after time while the configuration is too old; the caller
            then finds another instance.
        peer_token_wait_divisor: Divisor of the route's latency goal that gives the
            longest wait for tokens of a peer.
        token_retry_ms: Time after which a waiting request tries again to take a token:
            the instance's own rate may yield one by then, and the message to a leader
            or its answer may have been lost.
        own_token_wait_divisor: Divisor of the route's latency goal that gives the
            longest wait for a token of the instance's own rate.
    """

    startup_retry_ms: int = 200
    stale_retry_ms: int = 50
    unreadable_retry_ms: int = 1_000
    peer_token_wait_divisor: int = 3
    token_retry_ms: int = 50
    own_token_wait_divisor: int = 8


class Admission:
    """Checks a request against the configuration in force.

    Args:
        settings: Durations of admission.
        freshness: Age of the configuration, which limits the admission of keys.
        rates: Rate limits of organisations.
    """

    def __init__(self, settings: AdmissionSettings, freshness: Freshness, rates: Rates):
        self._settings = settings
        self._freshness = freshness
        self._rates = rates
        self._configuration: RoutingConfiguration | None = None
        self._routes = RouteTable(())
        self._keys: KeyTable | None = None
        self._splits = Splits()

    @property
    def configuration(self) -> RoutingConfiguration | None:
        """The configuration in force."""
        return self._configuration

    def service(self, name: str) -> TargetService:
        """Return a service; one without cold targets if it is not configured."""
        services = {}
        if self._configuration is not None:
            services = self._configuration.services_by_name
        return services.get(name) or TargetService(name, "", 0, 0, 0.0)

    def configure(self, configuration: RoutingConfiguration) -> None:
        """Apply a configuration; the caller has checked that it is newer."""
        self._configuration = configuration
        self._routes = RouteTable(configuration.routes_by_name.values())
        self._keys = KeyTable(configuration)
        self._rates.configure(_contracts(configuration))

    def is_repeatable(self, incoming: IncomingRequest) -> bool:
        """Return whether the route of a request allows it to run more than once."""
        route = self._route(incoming)
        return route is not None and route.is_readable and route.is_idempotent

    def admit(self, incoming: IncomingRequest, now: int) -> OpenRequest | Refuse:
        """Return the open request, or a refusal."""
        if self._configuration is None:
            retry_ms = self._settings.startup_retry_ms
            return Refuse(Status.UNAVAILABLE, Cause.NO_CONFIGURATION, retry_ms)
        route = self._route(incoming)
        if route is None and not self._configuration.has_unknown_routes:
            return Refuse(Status.NOT_FOUND, Cause.NO_ROUTE)
        if route is None or not route.is_readable:
            return self._refuse_unreadable()
        key_name = None
        if self._needs_key(route):
            verdict = self.check_key(incoming.key, now)
            if isinstance(verdict, Refuse):
                return verdict
            key_name = verdict
        return self._open(incoming, route, key_name, now)

    def check_key(self, key: str, now: int) -> KeyName | Refuse:
        """Return the name of a valid key, or a refusal."""
        if not self._freshness.allows_keys(now):
            retry_ms = self._settings.stale_retry_ms
            return Refuse(Status.UNAVAILABLE, Cause.STALE, retry_ms)
        if not key:
            return Refuse(Status.UNAUTHORIZED, Cause.NO_KEY)
        verdict = self._keys.verify(key)
        if verdict.state is not KeyState.VALID:
            return self._refuse_key()
        organisations = self._configuration.organisations_by_name
        if not organisations[verdict.name.organisation].is_readable:
            return self._refuse_unreadable()
        return verdict.name

    def _refuse_key(self) -> Refuse:
        """Refuse a key that is not valid; it may be one that could not be read."""
        if self._configuration.has_unknown_keys:
            return self._refuse_unreadable()
        return Refuse(Status.UNAUTHORIZED, Cause.UNKNOWN_KEY)

    def _refuse_unreadable(self) -> Refuse:
        retry_ms = self._settings.unreadable_retry_ms
        return Refuse(Status.UNAVAILABLE, Cause.UNREADABLE, retry_ms)

    def recheck_key(self, request: OpenRequest, now: int) -> Refuse | None:
        """Check the key again before a request is sent; return a refusal if invalid."""
        incoming = request.incoming
        if request.key_name is None:
            return None
        if request.origin is not None:
            return self._recheck_named_key(request, now)
        verdict = self.check_key(incoming.key, now)
        return verdict if isinstance(verdict, Refuse) else None

    def _recheck_named_key(self, request: OpenRequest, now: int) -> Refuse | None:
        """Check the key of a request that was handed over, which only its name tells.

        If the other instance has a newer configuration, its own check counts.
        """
        if self._keys is None or not self._freshness.allows_keys(now):
            retry_ms = self._settings.stale_retry_ms
            return Refuse(Status.UNAVAILABLE, Cause.STALE, retry_ms)
        is_newer = request.origin.configuration_number > self._keys.number
        if is_newer or self._keys.state(request.key_name) is KeyState.VALID:
            return None
        return self._refuse_key()

    def take_token(self, request: OpenRequest, now: int) -> Refuse | Hold | None:
        """Take a token before the first attempt of a request.

        Returns:
            None if there was one, else a wait for tokens or a refusal.
        """
        if request.key_name is None:
            return None
        organisation = request.organisation
        is_first = request.hold_until is None
        if is_first:
            self._rates.count_demand(organisation)
            max_wait_ms = self._max_wait_ms(request, now)
        else:
            max_wait_ms = max(0, request.hold_until - now)
        wait_ms = self._rates.take(
            organisation, now, is_first=is_first, max_wait_ms=max_wait_ms
        )
        if not wait_ms:
            return None
        if is_first:
            request.hold_until = now + self._token_wait_ms(request, wait_ms, now)
        left_ms = request.hold_until - now
        if left_ms > 0 and self._rates.may_receive_token(organisation, wait_ms, now):
            return Hold(organisation, min(left_ms, self._settings.token_retry_ms))
        if left_ms > 0 and wait_ms <= left_ms:
            return Hold(organisation, wait_ms)
        return self._refuse(organisation, now)

    def _refuse(self, organisation: str, now: int) -> Refuse:
        if not self._rates.is_settled:
            retry_ms = self._settings.startup_retry_ms
            return Refuse(Status.UNAVAILABLE, Cause.NO_SHARE, retry_ms)
        retry_after_ms = self._rates.retry_after_ms(organisation, now)
        return Refuse(Status.TOO_MANY, Cause.OVER_RATE, retry_after_ms)

    def _max_wait_ms(self, request: OpenRequest, now: int) -> int:
        """Return the longest time that a request may wait for tokens of peers."""
        left_ms = max(0, request.deadline_at - now) // 2
        return min(
            request.route.latency_goal_ms // self._settings.peer_token_wait_divisor,
            left_ms,
        )

    def _token_wait_ms(self, request: OpenRequest, wait_ms: int, now: int) -> int:
        """Return how long a request waits for tokens; 0 if none are expected soon."""
        if self._rates.may_receive_token(request.organisation, wait_ms, now):
            return self._max_wait_ms(request, now)
        if (
            wait_ms
            <= request.route.latency_goal_ms // self._settings.own_token_wait_divisor
        ):
            return min(wait_ms, max(0, request.deadline_at - now) // 2)
        return 0

    def return_token(self, request: OpenRequest, now: int) -> None:
        """Return the token of a request that no target ran.

        That of a request that was handed over is returned where it was taken.
        """
        if request.key_name is not None and request.origin is None:
            self._rates.refund(request.organisation, now)

    def _route(self, incoming: IncomingRequest) -> Route | None:
        path = incoming.target_path.partition("?")[0]
        return self._routes.find(incoming.host, path)

    def _needs_key(self, route: Route) -> bool:
        return bool(self._configuration.organisations_by_name) and not route.is_open

    def _open(
        self,
        incoming: IncomingRequest,
        route: Route,
        key_name: KeyName | None,
        now: int,
    ) -> OpenRequest | Refuse:
        wait_ms = route.timeout_ms
        if incoming.deadline_ms is not None:
            wait_ms = min(wait_ms, incoming.deadline_ms)
        service = self._splits.service_for(route)
        request = OpenRequest(incoming, route, service, key_name, now, now + wait_ms)
        request.regions = route.regions
        if key_name is not None:
            organisation = self._configuration.organisations_by_name[
                key_name.organisation
            ]
            if organisation.priority is not None:
                request.priority = organisation.priority
            if organisation.regions and route.regions:
                common = tuple(r for r in route.regions if r in organisation.regions)
                if not common:
                    return Refuse(Status.UNAVAILABLE, Cause.NO_COMMON_REGION)
                request.regions = common
            elif organisation.regions:
                request.regions = organisation.regions
        return request


def _contracts(configuration: RoutingConfiguration) -> dict[str, Contract]:
    """Return the contracts with a rate limit; a rate of 0 means no limit."""
    return {
        organisation.name: organisation.contract
        for organisation in configuration.organisations_by_name.values()
        if organisation.contract.rate_per_s > 0
    }
