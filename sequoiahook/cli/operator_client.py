"""Client of the operator interface of an instance."""

import asyncio
import json
from pathlib import Path
from typing import Any, NamedTuple

from sequoiahook.daemons.http_client import (
    HttpAnswerLostError,
    HttpClient,
    HttpClientSettings,
    HttpNotSentError,
    HttpResponse,
)
from sequoiahook.errors import CheckError, Finding, SequoiahookError
from sequoiahook.options import Section, parse_json
from sequoiahook.world.instance import Address, read_address

__all__ = [
    "OperatorAnswer",
    "OperatorAnswerLostError",
    "OperatorError",
    "OperatorSettings",
    "call_operator",
    "read_document",
    "read_operator_settings",
]

CALL_TIMEOUT_MS = 15_000
TOKEN_LENGTH_MAX = 512
ANSWER_BYTES_MAX = 64 * 1024 * 1024
HTTP_UNAUTHORIZED = 401


class OperatorError(SequoiahookError):
    """No instance could be reached, or one rejected the operator token."""


class OperatorAnswerLostError(OperatorError):
    """The call was sent, but no complete answer was received."""


class OperatorSettings(NamedTuple):
    """Access of an operator to the instances.

    Attributes:
        addresses: Operator addresses of instances, tried in order.
        token: Operator token.
    """

    addresses: tuple[Address, ...]
    token: str


class OperatorAnswer(NamedTuple):
    """A complete answer of an instance.

    Attributes:
        status: HTTP status.
        document: JSON document of the answer.
    """

    status: int
    document: Any


def read_document(path: str) -> Any:
    """Read a JSON file.

    Raises:
        CheckError: If the file cannot be read or is not JSON; findings name the file.
    """
    try:
        text = Path(path).read_bytes()
    except OSError as error:
        raise CheckError([Finding(path, error.strerror or str(error))]) from error
    try:
        return parse_json(text)
    except CheckError as error:
        findings = [Finding(f"{path} {f.place}", f.problem) for f in error.findings]
        raise CheckError(findings) from error


def read_operator_settings(path: str) -> OperatorSettings:
    """Read the operator's settings file.

    Raises:
        CheckError: With all findings.
    """
    root = Section(read_document(path))
    addresses = root.objects("addresses", read_address)
    if not addresses:
        root.report("addresses", "must name at least one address")
    settings = OperatorSettings(
        addresses, root.string("token", length_max=TOKEN_LENGTH_MAX)
    )
    root.finish()
    return settings


def call_operator(
    settings: OperatorSettings, method: str, target_path: str, body: Any = None
) -> OperatorAnswer:
    """Call the first reachable instance.

    Raises:
        OperatorError: If none could be reached, or the token was rejected.
        OperatorAnswerLostError: If the call was sent, but no complete answer was
            received.
    """
    return asyncio.run(_call(settings, method, target_path, body))


async def _call(
    settings: OperatorSettings, method: str, target_path: str, body: Any
) -> OperatorAnswer:
    failures = []
    for address in settings.addresses:
        try:
            response = await _call_one(
                address, settings.token, method, target_path, body
            )
        except HttpNotSentError as error:
            failures.append(str(error))
            continue
        except HttpAnswerLostError as error:
            raise OperatorAnswerLostError(f"{address}: {error}") from error
        if response.status == HTTP_UNAUTHORIZED:
            raise OperatorError(f"{address}: operator token rejected")
        return OperatorAnswer(response.status, parse_json(response.body))
    raise OperatorError("; ".join(failures))


async def _call_one(
    address: Address, token: str, method: str, target_path: str, body: Any
) -> HttpResponse:
    client = HttpClient(HttpClientSettings(*address, body_bytes_max=ANSWER_BYTES_MAX))
    headers = {"authorization": f"Bearer {token}"}
    data = b"" if body is None else json.dumps(body).encode()
    try:
        return await client.request(
            method, target_path, headers, data, timeout_ms=CALL_TIMEOUT_MS
        )
    finally:
        client.close()
