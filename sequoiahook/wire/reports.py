"""Reports between instances as authenticated datagrams of CBOR."""

import hashlib
import hmac
from typing import Any

import cbor2

from sequoiahook.errors import CodecError
from sequoiahook.messages.reports import Report

__all__ = ["DATAGRAM_BYTES_MAX", "decode_report", "encode_report"]

TAG_BYTES = 16
DATAGRAM_BYTES_MAX = 60_000
_TYPES = (str, int, int, bool, bool, int, dict, dict, dict)
assert len(_TYPES) == len(Report._fields)


def encode_report(report: Report, secret: bytes) -> bytes:
    """Return a report as a datagram."""
    body = cbor2.dumps(tuple(report))
    return _tag(body, secret) + body


def decode_report(datagram: bytes, secret: bytes) -> Report:
    """Return the report of a datagram.

    Raises:
        CodecError: If it is not authentic or no report.
    """
    tag, body = datagram[:TAG_BYTES], datagram[TAG_BYTES:]
    if not hmac.compare_digest(tag, _tag(body, secret)):
        raise CodecError("a datagram is not authentic")
    try:
        values = cbor2.loads(body)
    except (cbor2.CBORDecodeError, ValueError, TypeError) as error:
        raise CodecError(f"a report is not CBOR: {error}") from error
    if not _is_report(values):
        raise CodecError("a report has other fields than it should")
    return Report(*values)


def _is_report(values: Any) -> bool:
    if not isinstance(values, list | tuple) or len(values) != len(_TYPES):
        return False
    pairs = zip(values, _TYPES, strict=True)
    if not all(type(value) is expected for value, expected in pairs):
        return False
    return all(
        type(name) is str and type(count) is int
        for table in values[-3:]
        for name, count in table.items()
    )


def _tag(body: bytes, secret: bytes) -> bytes:
    return hmac.digest(secret, body, hashlib.sha256)[:TAG_BYTES]
