"""Messages between instances as authenticated datagrams of CBOR."""

import hashlib
import hmac
from typing import Any

import cbor2

from sequoiahook.errors import CodecError
from sequoiahook.messages.reports import (
    Datagram,
    QuotaTable,
    Report,
    TokenAsk,
    TokenGrant,
)

__all__ = ["DATAGRAM_BYTES_MAX", "decode_datagram", "encode_datagram"]

TAG_BYTES = 16
DATAGRAM_BYTES_MAX = 60_000
_KINDS = (Report, TokenAsk, TokenGrant)


def encode_datagram(datagram: Datagram, secret: bytes) -> bytes:
    """Return a message as the bytes of a datagram."""
    body = datagram.body
    head = datagram[:3]
    encoded = cbor2.dumps((*head, _KINDS.index(type(body)), *body))
    return _tag(encoded, secret) + encoded


def decode_datagram(data: bytes, secret: bytes) -> Datagram:
    """Return the message of a datagram.

    Raises:
        CodecError: If it is not authentic or no message.
    """
    tag, encoded = data[:TAG_BYTES], data[TAG_BYTES:]
    if not hmac.compare_digest(tag, _tag(encoded, secret)):
        raise CodecError("a datagram is not authentic")
    try:
        sender, incarnation, sequence, kind, *fields = cbor2.loads(encoded)
        body = _body(_KINDS[kind], fields)
    except (cbor2.CBORDecodeError, ValueError, TypeError, IndexError) as error:
        raise CodecError(f"a datagram has no message: {error}") from error
    _require(type(sender) is str and _are_ints((incarnation, sequence)))
    return Datagram(sender, incarnation, sequence, body)


def _body(kind: type, fields: list) -> Any:
    body = kind(*fields)
    if kind is not Report:
        _require(type(body.organisation) is str and type(body.tokens) is int)
        _require(body.tokens > 0)
        return body
    quota = QuotaTable(*body.quota)
    _require(type(body.is_leaving) is bool and type(body.is_serving) is bool)
    numbers = (body.configuration_number, body.configuration_age_ms, quota.digest)
    _require(_are_ints(numbers))
    for table in (body.open_by_target, body.load_by_service, body.home_by_service):
        _require(isinstance(table, dict))
        _require(all(type(name) is str for name in table))
        _require(_are_ints(table.values()))
    _require(all(_are_ints(values) for values in quota[1:]))
    return body._replace(quota=quota)


def _are_ints(values: Any) -> bool:
    return all(type(value) is int for value in values)


def _require(is_right: bool) -> None:
    if not is_right:
        raise ValueError("a field has the wrong type")


def _tag(encoded: bytes, secret: bytes) -> bytes:
    return hmac.digest(secret, encoded, hashlib.sha256)[:TAG_BYTES]
