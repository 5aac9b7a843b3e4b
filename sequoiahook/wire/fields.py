"""HTTP fields on their way through an instance: keys out, organisation in.

Every function is pure. A caller's key may stand in the ``Authorization`` field, in
``X-Api-Key`` or in the query parameter ``key``; it leaves the request here, wherever
else it stands as well.
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
    "Presented",
    "clean_request",
    "connection_fields",
    "loggable_path",
    "presented_keys",
    "response_fields",
    "target_fields",
]

DEADLINE_FIELD = b"sequoiahook-deadline-ms"
ORGANISATION_FIELD = b"sequoiahook-organisation"
OWN_PREFIX = b"sequoiahook-"
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


class Presented(NamedTuple):
    """The keys of a request.

    Attributes:
        key: The key; empty if there is none, or if there are several different ones.
        all: All different keys, wherever they stand; all are removed.
    """

    key: str
    all: tuple[str, ...]


class CleanRequest(NamedTuple):
    """A request without its keys.

    Attributes:
        target_path: Path and query.
        headers: Fields that may go on.
        problem: Why the request cannot go on; empty if it can.
    """

    target_path: bytes
    headers: Fields
    problem: str


def presented_keys(target_path: bytes, headers: Iterable[tuple]) -> Presented:
    """Return the keys that a request carries.

    A request with two different keys has none: it is not clear for whom it runs. Keys
    are ASCII; a plus sign in the query stands for itself, because no key has a space.
    """
    found = [key for name, value in headers for key in _keys_of_field(name, value)]
    for part in _query(target_path).split(b"&"):
        name, _, value = part.partition(b"=")
        if _parameter_name(name) == KEY_PARAMETER:
            found.append(unquote_to_bytes(value).strip())
    keys = tuple(dict.fromkeys(key.decode("latin-1") for key in found if key))
    return Presented(keys[0] if len(keys) == 1 else "", keys)


def clean_request(
    target_path: bytes,
    headers: Sequence[tuple[bytes, bytes]],
    body: bytes,
    keys: Iterable[str],
) -> CleanRequest:
    """Remove the keys, and all that ends at this hop, from a request.

    Trailers are not among the arguments: they never go on. A field or a parameter with
    a key in its name or value is dropped as a whole. A key in the path or in the body
    cannot be taken out without changing what the request means; such a request is
    refused.

    Args:
        target_path: Path and query as the caller sent them.
        headers: Fields as the caller sent them.
        body: Whole body.
        keys: Each key that the request carries. One that is too short to be a key is
            dropped where keys stand, and not looked for elsewhere.
    """
    secrets = _secrets(keys)
    path, has_query, query = target_path.partition(b"?")
    nominated = _nominated(headers)
    kept: list[tuple[bytes, bytes]] = []
    for name, value in headers:
        clean_value = _clean_field(name.lower(), value, nominated, secrets)
        if clean_value is not None:
            kept.append((name.lower(), clean_value))
    parameters = [p for p in query.split(b"&") if not _is_secret_parameter(p, secrets)]
    if has_query and parameters:
        path_and_query = path + b"?" + b"&".join(parameters)
    else:
        path_and_query = path
    problem = ""
    if _holds(path_and_query, secrets):
        problem = "the path contains the key"
    elif _body_holds(body, headers, secrets):
        problem = "the body contains the key"
    return CleanRequest(path_and_query, tuple(kept), problem)


def target_fields(
    headers: Fields, organisation: str, deadline_ms: int, traceparent: str
) -> Fields:
    """Add the fields that the system itself tells a target."""
    own = [(DEADLINE_FIELD, b"%d" % deadline_ms)]
    if organisation:
        own.append((ORGANISATION_FIELD, organisation.encode("utf-8")))
    if traceparent:
        own.append((TRACE_FIELD, traceparent.encode("ascii")))
    return (*headers, *own)


def connection_fields(headers: Iterable[tuple]) -> frozenset[bytes]:
    """Return the names of the fields that concern this connection only."""
    return _HOP_BY_HOP | _nominated(headers)


def response_fields(headers: Sequence[tuple[bytes, bytes]]) -> Fields:
    """Return the fields of a target's answer that go on to the caller."""
    nominated = _nominated(headers)
    return tuple(
        (name.lower(), value)
        for name, value in headers
        if not _ends_here(name.lower(), nominated)
    )


def loggable_path(target_path: bytes, keys: Iterable[str]) -> str:
    """Return the path without the query, for logs and spans; no key is in it."""
    path = target_path.partition(b"?")[0]
    secrets = _secrets(keys)
    if _holds(path, secrets):
        return "(removed)"
    return path.decode("ascii", "backslashreplace")


def _secrets(keys: Iterable[str]) -> tuple[bytes, ...]:
    return tuple(key.encode("latin-1") for key in keys if len(key) >= KEY_LENGTH_MIN)


def _ends_here(name: bytes, nominated: frozenset[bytes]) -> bool:
    if name in _HOP_BY_HOP or name in nominated:
        return True
    return name == b"content-length" or name.startswith(OWN_PREFIX)


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


def _nominated(headers: Iterable[tuple]) -> frozenset[bytes]:
    return frozenset(
        token.strip().lower()
        for name, value in headers
        if name.lower() in (b"connection", b"proxy-connection")
        for token in value.split(b",")
    )


def _clean_field(
    name: bytes,
    value: bytes,
    nominated: frozenset[bytes],
    secrets: tuple[bytes, ...],
) -> bytes | None:
    """Return what remains of a field's value; None if the field is dropped."""
    if name in _DROPPED or name in nominated or name.startswith(OWN_PREFIX):
        return None
    if name == b"cookie":
        value = _clean_cookie(value, secrets)
        if not value:
            return None
    if name == b"referer" and _has_key_parameter(value):
        return None
    return None if _holds(name, secrets) or _holds(value, secrets) else value


def _clean_cookie(value: bytes, secrets: tuple[bytes, ...]) -> bytes:
    pairs = [pair.strip() for pair in value.split(b";")]
    kept = [
        pair
        for pair in pairs
        if pair
        and _parameter_name(pair.partition(b"=")[0]) != KEY_PARAMETER
        and not _holds(pair, secrets)
    ]
    return b"; ".join(kept)


def _query(target_path: bytes) -> bytes:
    return target_path.partition(b"?")[2]


def _parameter_name(name: bytes) -> bytes:
    return _decoded(name.replace(b"+", b" "))[-1].strip().lower()


def _has_key_parameter(url: bytes) -> bool:
    query = url.replace(b"#", b"&").replace(b"?", b"&").replace(b";", b"&")
    parts = query.split(b"&")[1:]
    return any(_parameter_name(p.partition(b"=")[0]) == KEY_PARAMETER for p in parts)


def _is_secret_parameter(parameter: bytes, secrets: tuple[bytes, ...]) -> bool:
    for part in parameter.split(b";"):
        if _parameter_name(part.partition(b"=")[0]) == KEY_PARAMETER:
            return True
    return _holds(parameter, secrets)


def _body_holds(body: bytes, headers: Iterable[tuple], secrets: tuple) -> bool:
    if any(secret in body for secret in secrets):
        return True
    is_form = any(
        name.lower() == b"content-type" and _FORM in value.lower()
        for name, value in headers
    )
    return is_form and _holds(body, secrets)


def _holds(data: bytes, secrets: tuple[bytes, ...]) -> bool:
    """Return whether a secret stands in the data, plain or encoded."""
    if not secrets:
        return False
    forms = _decoded(data)
    forms += [form.replace(b"+", b" ") for form in forms]
    forms += [plain for word in data.split() for plain in _from_base64(word)]
    return any(secret in form for secret in secrets for form in forms)


def _decoded(data: bytes) -> list[bytes]:
    """Return the data, and what repeated percent-decoding makes of it."""
    forms = [data]
    while b"%" in forms[-1] and len(forms) <= _DECODINGS_MAX:
        plain = unquote_to_bytes(forms[-1])
        if plain == forms[-1]:
            break
        forms.append(plain)
    return forms


def _from_base64(word: bytes) -> list[bytes]:
    try:
        return [base64.b64decode(word + b"=" * (-len(word) % 4), validate=True)]
    except (binascii.Error, ValueError):
        return []
