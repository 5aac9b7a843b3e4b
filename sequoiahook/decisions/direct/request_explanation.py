"""Where a request would go now, and why, as a document for operators.

Nothing is taken or recorded: the document is built from what the decisions know, and
:meth:`TargetExplainer.explain` changes nothing.
"""

from collections.abc import Sequence
from typing import Any, NamedTuple, Protocol
from urllib.parse import parse_qsl

from sequoiahook.decisions.direct.core import DirectCore
from sequoiahook.decisions.direct.placements import Placement, TargetQuery
from sequoiahook.decisions.direct.requests import Cause, Status
from sequoiahook.decisions.direct.route_table import RouteTable
from sequoiahook.errors import CheckError, Finding
from sequoiahook.world.organisation import Organisation
from sequoiahook.world.routing import Route, RoutingConfiguration

__all__ = [
    "ExplainQuery",
    "ExplainedTarget",
    "TargetExplainer",
    "TargetExplanation",
    "explain_request",
    "read_explain_query",
]

TEXT_LENGTH_MAX = 4_096
DEADLINE_MS_MAX = 3_600_000
BODY_BYTES_MAX = 1 << 40

Document = dict[str, Any]


class ExplainedTarget(Protocol):
    """A candidate: a ``NamedTuple`` that tells its estimates and what ruled it out."""

    def _asdict(self) -> Document:
        """Return the fields by name."""


class TargetExplanation(Protocol):
    """Where a request of one service would go.

    Attributes:
        states_pace: Whether targets of the service state their pace.
        region_order: Regions in which it may run, by preference.
        targets: The candidates, by preference within each region.
        decision: The target that would be used, or the cause of a refusal.
    """

    states_pace: bool
    region_order: Sequence[str]
    targets: Sequence[ExplainedTarget]
    decision: Placement


class TargetExplainer(Protocol):
    """Explains the selection of targets; a target selector."""

    def explain(self, query: TargetQuery, now: int) -> TargetExplanation:
        """Return where a request would go now, and why; this changes nothing."""


class ExplainQuery(NamedTuple):
    """The properties of the request to explain.

    Attributes:
        host: Host of the request.
        path: Path of the request, perhaps with a query.
        organisation: Name of the organisation; empty for a request without a key.
        object_key: Key of the object that it concerns; empty if it names none.
        deadline_ms: Time that its caller allows; None for the limit of the route.
        body_bytes: Size of its body.
    """

    host: str
    path: str
    organisation: str = ""
    object_key: str = ""
    deadline_ms: int | None = None
    body_bytes: int = 0


class _Refusal(NamedTuple):
    status: int
    cause: str


def read_explain_query(text: str) -> ExplainQuery:
    """Read the query of an address.

    Raises:
        CheckError: With all findings; the place of each is the name of a parameter.
            Values are not repeated in findings, since one may be a key.
    """
    findings: list[Finding] = []
    value_by_name = _parameters(text, findings)
    for name in ("host", "path"):
        if not value_by_name.get(name):
            findings.append(Finding(name, "is required"))
    path = value_by_name.get("path", "")
    if path and not path.startswith("/"):
        findings.append(Finding("path", "must begin with a slash"))
    query = ExplainQuery(
        value_by_name.get("host", ""),
        path,
        value_by_name.get("organisation", ""),
        value_by_name.get("object", ""),
        _integer(value_by_name, "deadline_ms", 1, DEADLINE_MS_MAX, findings),
        _integer(value_by_name, "body_bytes", 0, BODY_BYTES_MAX, findings) or 0,
    )
    if findings:
        raise CheckError(findings)
    return query


def explain_request(
    core: DirectCore, explainer: TargetExplainer, query: ExplainQuery, now: int
) -> Document:
    """Return where a request would go now, and why; this changes nothing.

    A route with several services would use them in turn, so each is explained.

    Args:
        core: The decisions.
        explainer: Explains the selection of targets.
        query: Properties of the request.
        now: The time in milliseconds.

    Raises:
        CheckError: If the organisation is not in the configuration.
    """
    configuration = core.admission.configuration
    organisation = _organisation(configuration, query.organisation)
    route = None
    if configuration is not None:
        table = RouteTable(configuration.routes_by_name.values())
        route = table.find(query.host, query.path.partition("?")[0])
    document = {
        "instance": core.me.name,
        "region": core.me.region,
        "configuration": core.configuration_number,
        "request": query._asdict(),
        "route": None,
        "refusal": None,
        "is_connectivity_lost": core.connectivity.is_lost,
        "services": [],
    }
    if route is not None:
        document["route"] = _route_document(route, organisation)
    refusal = _refusal(core, route, organisation, query, now)
    if refusal is not None:
        document["refusal"] = refusal._asdict()
        return document
    for share in route.shares:
        target_query = _target_query(
            configuration, route, organisation, share.service, query
        )
        explanation = explainer.explain(target_query, now)
        entry = {"service": share.service, "weight": share.weight}
        document["services"].append(entry | _explanation_document(explanation))
    return document


def _parameters(text: str, findings: list[Finding]) -> dict[str, str]:
    value_by_name: dict[str, str] = {}
    for name, value in parse_qsl(text, keep_blank_values=True):
        if name not in _PARAMETERS:
            allowed = ", ".join(_PARAMETERS)
            findings.append(Finding(name, f"is not a parameter; use {allowed}"))
        elif name in value_by_name:
            findings.append(Finding(name, "must be given once"))
        elif len(value) > TEXT_LENGTH_MAX:
            problem = f"must have at most {TEXT_LENGTH_MAX} characters"
            findings.append(Finding(name, problem))
        value_by_name[name] = value
    return value_by_name


def _integer(
    value_by_name: dict[str, str],
    name: str,
    low: int,
    high: int,
    findings: list[Finding],
) -> int | None:
    text = value_by_name.get(name)
    if text is None:
        return None
    is_decimal = text.isascii() and text.isdigit() and len(text) <= len(str(high))
    if not is_decimal or not low <= int(text) <= high:
        findings.append(Finding(name, f"must be a whole number from {low} to {high}"))
        return None
    return int(text)


def _organisation(
    configuration: RoutingConfiguration | None, name: str
) -> Organisation | None:
    if not name or configuration is None:
        return None
    organisation = configuration.organisations_by_name.get(name)
    if organisation is None:
        problem = f"is not in configuration {configuration.number}"
        raise CheckError([Finding("organisation", problem)])
    return organisation


def _refusal(
    core: DirectCore,
    route: Route | None,
    organisation: Organisation | None,
    query: ExplainQuery,
    now: int,
) -> _Refusal | None:
    """Return the refusal before a target is selected; None if there is none."""
    configuration = core.admission.configuration
    if configuration is None:
        return _Refusal(Status.UNAVAILABLE, Cause.NO_CONFIGURATION)
    if route is None and not configuration.has_unknown_routes:
        return _Refusal(Status.NOT_FOUND, Cause.NO_ROUTE)
    if route is None or not route.is_readable:
        return _Refusal(Status.UNAVAILABLE, Cause.UNREADABLE)
    if configuration.organisations_by_name and not route.is_open:
        refusal = _key_refusal(core, organisation, now)
        if refusal is not None:
            return refusal
    if _regions(route, organisation) is None:
        return _Refusal(Status.UNAVAILABLE, Cause.NO_COMMON_REGION)
    if not core.exit_limit.allows(now + _remaining_ms(route, query)):
        return _Refusal(Status.UNAVAILABLE, Cause.STOPPING)
    return None


def _key_refusal(
    core: DirectCore, organisation: Organisation | None, now: int
) -> _Refusal | None:
    """Return the refusal of a request to a route that requires a key."""
    if not core.freshness.allows_keys(now):
        return _Refusal(Status.UNAVAILABLE, Cause.STALE)
    if organisation is None:
        return _Refusal(Status.UNAUTHORIZED, Cause.NO_KEY)
    if not organisation.is_readable:
        return _Refusal(Status.UNAVAILABLE, Cause.UNREADABLE)
    return None


def _regions(route: Route, organisation: Organisation | None) -> tuple[str, ...] | None:
    """Return where a request may run, empty for everywhere; None if nowhere."""
    if organisation is None or route.is_open or not organisation.regions:
        return route.regions
    if not route.regions:
        return organisation.regions
    return tuple(r for r in route.regions if r in organisation.regions) or None


def _priority(route: Route, organisation: Organisation | None) -> int:
    if organisation is None or route.is_open or organisation.priority is None:
        return route.priority
    return organisation.priority


def _remaining_ms(route: Route, query: ExplainQuery) -> int:
    if query.deadline_ms is None:
        return route.timeout_ms
    return min(route.timeout_ms, query.deadline_ms)


def _target_query(
    configuration: RoutingConfiguration,
    route: Route,
    organisation: Organisation | None,
    service: str,
    query: ExplainQuery,
) -> TargetQuery:
    has_organisation = organisation is not None and not route.is_open
    return TargetQuery(
        configuration.services_by_name[service],
        route,
        query.object_key,
        _priority(route, organisation),
        _regions(route, organisation),
        _remaining_ms(route, query),
        tried_ids=frozenset(),
        organisation=organisation.name if has_organisation else "",
        body_bytes=query.body_bytes,
    )


def _route_document(route: Route, organisation: Organisation | None) -> Document:
    return {
        "name": route.name,
        "host": route.host,
        "path_prefix": route.path_prefix,
        "is_idempotent": route.is_idempotent,
        "timeout_ms": route.timeout_ms,
        "latency_goal_ms": route.latency_goal_ms,
        "priority": _priority(route, organisation),
        "regions": _regions(route, organisation),
    }


def _explanation_document(explanation: TargetExplanation) -> Document:
    decision = explanation.decision
    record = None if decision.state is None else decision.state.record
    return {
        "states_pace": explanation.states_pace,
        "region_order": list(explanation.region_order),
        "targets": [target._asdict() for target in explanation.targets],
        "decision": {
            "target": None if record is None else record.id,
            "region": None if record is None else record.region,
            "placed_by": decision.placed_by,
            "expected_ms": decision.expected_ms,
            "cause": decision.cause,
            "retry_after_ms": decision.retry_after_ms,
        },
    }


_PARAMETERS = ("host", "path", "organisation", "object", "deadline_ms", "body_bytes")
