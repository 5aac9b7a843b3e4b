"""Factories of routes, targets and requests for the tests of direct sending."""

from sequoiahook.decisions.direct.core import PROTOCOL
from sequoiahook.decisions.direct.placements import TargetQuery
from sequoiahook.decisions.direct.requests import IncomingRequest
from sequoiahook.world.contract import Contract
from sequoiahook.world.instance import Address, LiveInstance
from sequoiahook.world.organisation import Key, Organisation, key_digest
from sequoiahook.world.routing import (
    CallerLimits,
    Route,
    RoutingConfiguration,
    ServiceShare,
    TargetService,
)
from sequoiahook.world.target import LiveTarget

KEY = "key-of-organisation-one"
LATENCY_GOAL_MS = 400


def a_route(**changes):
    route = Route(
        name="look",
        host="a.example",
        path_prefix="/look/",
        is_idempotent=True,
        timeout_ms=2_500,
        latency_goal_ms=LATENCY_GOAL_MS,
        priority=1,
        shares=(ServiceShare("s", 1),),
        attempts_max=2,
        is_open=False,
        is_sticky=True,
        regions=(),
    )
    return route._replace(**changes)


def a_service(**changes):
    return TargetService("s", "/health", 390, 3_000, 7.0)._replace(**changes)


def a_target(target_id, **changes):
    target = LiveTarget(
        id=target_id,
        started_at=1,
        service="s",
        data_centre="north-a",
        region="north",
        address=Address("127.0.0.1", 9),
        slots=4,
        is_draining=False,
        cold_ms=0,
    )
    return target._replace(**changes)


def an_instance(name, **changes):
    instance = LiveInstance(
        name,
        1,
        "north-a",
        "north",
        Address(name, 80),
        Address(name, 81),
        protocol=PROTOCOL,
    )
    return instance._replace(**changes)


def an_organisation(name="one", key=KEY, rate_per_s=0, burst=0, **changes):
    digest = key_digest(key)
    keys = {digest[:8]: Key(digest[:8], digest, is_withdrawn=False)}
    contract = Contract(rate_per_s, burst)
    return Organisation(name, contract, keys, services=())._replace(**changes)


def a_configuration(number=1, routes=(), organisations=(), services=()):
    routes = routes or (a_route(),)
    organisations = organisations or (an_organisation(),)
    services = services or (a_service(),)
    return RoutingConfiguration(
        number,
        {route.name: route for route in routes},
        {service.name: service for service in services},
        {organisation.name: organisation for organisation in organisations},
        CallerLimits(),
    )


def a_request(**changes):
    request = IncomingRequest(
        id="r1",
        method="GET",
        host="a.example",
        target_path="/look/1",
        key=KEY,
        object_key="17",
        deadline_ms=2_000,
        headers=(),
        body=b"",
    )
    return request._replace(**changes)


def a_query(route=None, **changes):
    query = TargetQuery(
        a_service(), route or a_route(), "17", 1, (), 2_000, tried_ids=frozenset()
    )
    return query._replace(**changes)
