"""The command that asks an instance where a request would go."""

import asyncio
from typing import Any
from urllib.parse import urlencode

from sequoiahook.cli.exit_codes import ExitCode
from sequoiahook.cli.operator_client import OperatorError
from sequoiahook.cli.output import Result, findings_result, table
from sequoiahook.daemons.http_client import (
    HttpAnswerLostError,
    HttpClient,
    HttpClientSettings,
    HttpNotSentError,
    HttpResponse,
)
from sequoiahook.errors import CheckError, Finding, SequoiahookError
from sequoiahook.options import parse_json
from sequoiahook.world.instance import Address

__all__ = ["explain"]

CALL_TIMEOUT_MS = 5_000
HTTP_OK = 200
HTTP_BAD_REQUEST = 400
PORT_MAX = 65_535
UNSET = -1
"""Default of the deadline: the limit of the route applies."""

_COLUMNS = (
    "target", "region", "expected_ms", "start_ms", "work_ms", "pace_percent",
    "round_trip_ms", "in_flight", "slots", "obstacle",
)  # fmt: skip


def explain(
    address: str,
    host: str,
    path: str,
    *,
    organisation: str = "",
    object_key: str = "",
    deadline_ms: int = UNSET,
    body_bytes: int = 0,
) -> Result:
    """Show where an instance would send a request now, and why, without sending it.

    Exits with 4 if an argument is invalid.

    Args:
        address: Metrics address of the instance, as ``IP:PORT``.
        host: Host of the request.
        path: Path of the request.
        organisation: Name of the organisation, never a key; none by default.
        object_key: Key of the object that the request concerns; none by default.
        deadline_ms: Time that the caller allows, in milliseconds; the limit of the
            route by default.
        body_bytes: Size of the body.
    """
    parameters: dict[str, Any] = {"host": host, "path": path}
    if organisation:
        parameters["organisation"] = organisation
    if object_key:
        parameters["object"] = object_key
    if deadline_ms != UNSET:
        parameters["deadline_ms"] = deadline_ms
    if body_bytes:
        parameters["body_bytes"] = body_bytes
    target_path = f"/explain?{urlencode(parameters)}"
    response = asyncio.run(_get(_read_address(address), target_path))
    if response.status not in (HTTP_OK, HTTP_BAD_REQUEST):
        raise SequoiahookError(f"{address}: status {response.status}")
    document = parse_json(response.body)
    if response.status == HTTP_BAD_REQUEST:
        return findings_result([Finding(**entry) for entry in document["findings"]])
    return Result(ExitCode.OK, document, _text(document))


def _read_address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    is_port = port.isascii() and port.isdigit() and len(port) <= len(str(PORT_MAX))
    if not host or not is_port or not 0 < int(port) <= PORT_MAX:
        raise CheckError([Finding("address", "must be IP:PORT")])
    return Address(host.strip("[]"), int(port))


async def _get(address: Address, target_path: str) -> HttpResponse:
    client = HttpClient(HttpClientSettings(*address))
    try:
        return await client.request("GET", target_path, {}, timeout_ms=CALL_TIMEOUT_MS)
    except (HttpNotSentError, HttpAnswerLostError) as error:
        raise OperatorError(f"{address}: {error}") from error
    finally:
        client.close()


def _text(document: dict[str, Any]) -> str:
    request, route = document["request"], document["route"]
    lines = [
        f"instance {document['instance']} in {document['region']},"
        f" configuration {document['configuration']}",
        f"request {request['host']}{request['path']},"
        f" organisation {request['organisation'] or '(none)'},"
        f" object {request['object_key'] or '(none)'}",
    ]
    if route is not None:
        lines.append(
            f"route {route['name']}, priority {route['priority']},"
            f" goal {route['latency_goal_ms']} ms,"
            f" regions {', '.join(route['regions']) or '(all)'}"
        )
    if document["is_connectivity_lost"]:
        lines.append("connectivity to targets is lost: handed over to a peer")
    if document["refusal"] is not None:
        refusal = document["refusal"]
        lines.append(f"refused with {refusal['status']}: {refusal['cause']}")
    for service in document["services"]:
        lines += ["", *_service_lines(service)]
    return "\n".join(lines)


def _service_lines(service: dict[str, Any]) -> list[str]:
    decision = service["decision"]
    if decision["target"] is None:
        outcome = (
            f"refused with 503: {decision['cause']},"
            f" retry after {decision['retry_after_ms']} ms"
        )
    else:
        outcome = (
            f"sent to {decision['target']} in {decision['region']}"
            f" ({decision['placed_by']}), expected after {decision['expected_ms']} ms"
        )
    rows = [
        [target.get(column, "") for column in _COLUMNS] for target in service["targets"]
    ]
    return [
        f"service {service['service']}, weight {service['weight']}: {outcome}",
        f"regions by preference: {', '.join(service['region_order'])}",
        table(_COLUMNS, rows),
    ]
