"""HTTP fields: removal of callers' keys, the fields added for targets, and integers.

A caller may send its key in the ``Authorization`` field, in ``X-Api-Key`` or in the
query parameter ``key``. Other occurrences of the key in a request are removed as well.
All functions are pure.
"""

import base64
import binascii
from collections.abc import Iterable, Sequence
from typing import NamedTuple
from urllib.parse import unquote_to_bytes

from sequoiahook.messages.requests import Fields

__all__ = [
    "KEY_LENGTH_MAX",
    "KEY_LENGTH_MIN",
    "CleanRequest",
    "PresentedKeys",
    "bounded_integer",
    "clean_request",
    "connection_fields",
    "loggable_path",
    "presented_keys",
    "response_fields",
    "target_fields",
]

DEADLINE_FIELD = b"sequoiahook-deadline-ms"
ORGANISATION_FIELD = b"sequoiahook-organisation"
RESERVED_PREFIX = b"sequoiahook-"
RAN_FIELD = b"sequoiahook-ran"
TRACE_FIELD = b"traceparent"

KEY_LENGTH_MIN = 8
KEY_LENGTH_MAX = 512
KEY_FIELD = b"x-api-key"
KEY_PARAMETER = b"key"
_BEARER = b"bearer"
_FORM = b"application/x-www-form-urlencoded"
_DECODINGS_MAX = 4

_HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
_FRAMING = frozenset({b"content-length", b"expect", b"host"})
_CREDENTIALS = frozenset({b"authorization", KEY_FIELD, KEY_PARAMETER})
_DROPPED = _HOP_BY_HOP | _FRAMING | _CREDENTIALS | {TRACE_FIELD}


class PresentedKeys(NamedTuple):
    """Keys found in a request.

    Attributes:
        key: The only key; empty if there is none, or if there are several.
        all_keys: All distinct keys; all are removed from the request.
    """

    key: str
    all_keys: tuple[str, ...]


class CleanRequest(NamedTuple):
    """A request without its keys.

    Attributes:
        target_path: Path and query.
        headers: Fields that may be forwarded.
        problem: Reason why the request cannot be forwarded; empty if it can.
    """

    target_path: bytes
    headers: Fields
    problem: str


def presented_keys(target_path: bytes, headers: Iterable[tuple]) -> PresentedKeys:
    """Return the keys in the fields and the query of a request.

    A request with different keys is treated as one without a key, since its caller is
    ambiguous. Keys are ASCII without spaces, so a plus sign in the query is literal.
    """
    found_keys = [key for name, value in headers for key in _keys_of_field(name, value)]
    for part in _query_of(target_path).split(b"&"):
        name, _, value = part.partition(b"=")
        if _parameter_name(name) == KEY_PARAMETER:
            found_keys.append(unquote_to_bytes(value).strip())
    keys = tuple(dict.fromkeys(key.decode("latin-1") for key in found_keys if key))
    return PresentedKeys(keys[0] if len(keys) == 1 else "", keys)


def clean_request(
    target_path: bytes,
    headers: Sequence[tuple[bytes, bytes]],
    body: bytes,
    keys: Iterable[str],
) -> CleanRequest:
    """Remove keys and fields of the connection with the caller from a request.

    Trailers are never forwarded and therefore not passed in. A field or parameter with
    a key in its name or value is dropped as a whole. A key in the path or in the body
    cannot be removed without changing the meaning of the request; it is reported as a
    problem.

    Args:
        target_path: Path and query as received from the caller.
        headers: Fields as received from the caller.
        body: Complete body.
        keys: All keys in the request. Keys shorter than KEY_LENGTH_MIN are invalid and
            removed only from the fields and parameters for keys.
    """
    secrets = _secrets(keys)
    path, has_query, query = target_path.partition(b"?")
    connection_options = _connection_options(headers)
    kept: list[tuple[bytes, bytes]] = []
    for name, value in headers:
        clean_value = _clean_field(name.lower(), value, connection_options, secrets)
        if clean_value is not None:
            kept.append((name.lower(), clean_value))
    parameters = [p for p in query.split(b"&") if not _is_secret_parameter(p, secrets)]
    if has_query and parameters:
        path_and_query = path + b"?" + b"&".join(parameters)
    else:
        path_and_query = path
    problem = ""
    if _has_secret(path_and_query, secrets):
        problem = "the path contains the key"
    elif _body_has_secret(body, headers, secrets):
        problem = "the body contains the key"
    return CleanRequest(path_and_query, tuple(kept), problem)


def target_fields(
    headers: Fields, organisation: str, deadline_ms: int, traceparent: str
) -> Fields:
    """Add the fields that an instance sends to a target.

    Args:
        headers: Fields of the request, from clean_request.
        organisation: Organisation of the caller; empty for none.
        deadline_ms: Time left for the request, in milliseconds.
        traceparent: Trace context; empty for none.
    """
    added = [(DEADLINE_FIELD, b"%d" % deadline_ms)]
    if organisation:
        added.append((ORGANISATION_FIELD, organisation.encode("utf-8")))
    if traceparent:
        added.append((TRACE_FIELD, traceparent.encode("ascii")))
    return (*headers, *added)


def bounded_integer(digits: bytes, maximum: int) -> int:
    """Return a decimal integer, or the maximum if it is larger.

    `int` rejects texts of thousands of digits.
    """
    digits = digits.lstrip(b"0")
    if len(digits) > len(str(maximum)):
        return maximum
    return min(int(digits or b"0"), maximum)


def connection_fields(headers: Iterable[tuple]) -> frozenset[bytes]:
    """Return the names of the hop-by-hop fields of a message, in lower case."""
    return _HOP_BY_HOP | _connection_options(headers)


def response_fields(headers: Sequence[tuple[bytes, bytes]]) -> Fields:
    """Return the fields of a target's answer that are forwarded to the caller."""
    connection_options = _connection_options(headers)
    return tuple(
        (name.lower(), value)
        for name, value in headers
        if not _is_dropped_from_response(name.lower(), connection_options)
    )


def loggable_path(target_path: bytes, keys: Iterable[str]) -> str:
    """Return the path without its query for logs and spans.

    A path that contains a key is replaced as a whole.
    """
    path = target_path.partition(b"?")[0]
    secrets = _secrets(keys)
    if _has_secret(path, secrets):
        return "(removed)"
    return path.decode("ascii", "backslashreplace")


def _secrets(keys: Iterable[str]) -> tuple[bytes, ...]:
    return tuple(key.encode("latin-1") for key in keys if len(key) >= KEY_LENGTH_MIN)


def _is_dropped_from_response(
    name: bytes, connection_options: frozenset[bytes]
) -> bool:
    if name in _HOP_BY_HOP or name in connection_options:
        return True
    return name == b"content-length" or name.startswith(RESERVED_PREFIX)


def _keys_of_field(name: bytes, value: bytes) -> list[bytes]:
    name = name.lower()
    value = value.strip()
    if name == KEY_FIELD:
        return [value]
    if name not in (b"authorization", b"proxy-authorization"):
        return []
    scheme, _, credentials = value.partition(b" ")
    if scheme.lower() == _BEARER:
        return [credentials.strip()]
    return []


def _connection_options(headers: Iterable[tuple]) -> frozenset[bytes]:
    return frozenset(
        token.strip().lower()
        for name, value in headers
        if name.lower() in (b"connection", b"proxy-connection")
        for token in value.split(b",")
    )


def _clean_field(
    name: bytes,
    value: bytes,
    connection_options: frozenset[bytes],
    secrets: tuple[bytes, ...],
) -> bytes | None:
    """Return the value of a field without secrets; None if the field is dropped."""
    if (
        name in _DROPPED
        or name in connection_options
        or name.startswith(RESERVED_PREFIX)
    ):
        return None
    if name == b"cookie":
        value = _clean_cookie(value, secrets)
        if not value:
            return None
    if name == b"referer" and _has_key_parameter(value):
        return None
    return None if _has_secret(name, secrets) or _has_secret(value, secrets) else value


def _clean_cookie(value: bytes, secrets: tuple[bytes, ...]) -> bytes:
    pairs = [pair.strip() for pair in value.split(b";")]
    kept = [
        pair
        for pair in pairs
        if pair
        and _parameter_name(pair.partition(b"=")[0]) != KEY_PARAMETER
        and not _has_secret(pair, secrets)
    ]
    return b"; ".join(kept)


def _query_of(target_path: bytes) -> bytes:
    return target_path.partition(b"?")[2]


def _parameter_name(name: bytes) -> bytes:
    return _percent_decodings(name.replace(b"+", b" "))[-1].strip().lower()


def _has_key_parameter(url: bytes) -> bool:
    query = url.replace(b"#", b"&").replace(b"?", b"&").replace(b";", b"&")
    parts = query.split(b"&")[1:]
    return any(_parameter_name(p.partition(b"=")[0]) == KEY_PARAMETER for p in parts)


def _is_secret_parameter(parameter: bytes, secrets: tuple[bytes, ...]) -> bool:
    for part in parameter.split(b";"):
        if _parameter_name(part.partition(b"=")[0]) == KEY_PARAMETER:
            return True
    return _has_secret(parameter, secrets)


def _body_has_secret(body: bytes, headers: Iterable[tuple], secrets: tuple) -> bool:
    if any(secret in body for secret in secrets):
        return True
    is_form = any(
        name.lower() == b"content-type" and _FORM in value.lower()
        for name, value in headers
    )
    return is_form and _has_secret(body, secrets)


def _has_secret(data: bytes, secrets: tuple[bytes, ...]) -> bool:
    """Return whether data contains a secret, in plain or encoded form."""
    if not secrets:
        return False
    forms = _percent_decodings(data)
    forms += [form.replace(b"+", b" ") for form in forms]
    forms += [decoded for word in data.split() for decoded in _base64_decodings(word)]
    return any(secret in form for secret in secrets for form in forms)


def _percent_decodings(data: bytes) -> list[bytes]:
    """Return the data and the results of repeated percent-decoding."""
    forms = [data]
    while b"%" in forms[-1] and len(forms) <= _DECODINGS_MAX:
        decoded = unquote_to_bytes(forms[-1])
        if decoded == forms[-1]:
            break
        forms.append(decoded)
    return forms


def _base64_decodings(word: bytes) -> list[bytes]:
    try:
        return [base64.b64decode(word + b"=" * (-len(word) % 4), validate=True)]
    except (binascii.Error, ValueError):
        return []
