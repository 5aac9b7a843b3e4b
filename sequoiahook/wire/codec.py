"""CBOR encoding of envelopes, with type checks during decoding."""

import cbor2
from cattrs import Converter
from cattrs.errors import BaseValidationError

from sequoiahook.errors import CodecError, UnreadableMessageError
from sequoiahook.messages.base import Envelope, message_type

__all__ = ["ENVELOPE_BYTES_MAX", "decode_envelope", "encode_envelope"]

ENVELOPE_BYTES_MAX = 8 * 1024 * 1024
_FIELD_COUNT = 6


def _require_type(value: object, expected: type) -> object:
    if type(value) is not expected:
        raise TypeError(f"expected {expected.__name__}, not {type(value).__name__}")
    return value


_converter = Converter(detailed_validation=False)
for _primitive in (int, str, bool, bytes, float):
    _converter.register_structure_hook(_primitive, _require_type)


def encode_envelope(envelope: Envelope) -> bytes:
    """Encode an envelope.

    Raises:
        CodecError: If the encoded envelope is larger than ENVELOPE_BYTES_MAX.
    """
    body = envelope.body
    header = [*envelope[:4], type(body).__name__]
    data = cbor2.dumps([*header, _converter.unstructure(body)])
    if len(data) > ENVELOPE_BYTES_MAX:
        raise CodecError(f"envelope of {len(data)} bytes exceeds the size limit")
    return data


def decode_envelope(data: bytes) -> Envelope:
    """Decode an envelope and check the type of each field.

    Raises:
        UnreadableMessageError: If the message is unknown, or has other fields.
        CodecError: If the bytes are not a valid envelope.
    """
    try:
        fields = cbor2.loads(data)
    except (cbor2.CBORError, ValueError, RecursionError, MemoryError) as error:
        raise CodecError(f"envelope is not valid CBOR: {error}") from error
    if not isinstance(fields, list) or len(fields) != _FIELD_COUNT:
        raise CodecError("CBOR value is not an envelope")
    source, incarnation, sequence, destination, name, body = fields
    try:
        header = (
            _require_type(source, str),
            _require_type(incarnation, int),
            _require_type(sequence, int),
            _require_type(destination, str),
        )
        _require_type(name, str)
    except TypeError as error:
        raise CodecError(f"malformed envelope: {error}") from error
    try:
        return Envelope(*header, _converter.structure(body, message_type(name)))
    except KeyError as error:
        raise UnreadableMessageError(f"unknown message type {name!r}") from error
    except (TypeError, ValueError, BaseValidationError) as error:
        raise UnreadableMessageError(f"malformed {name}: {error}") from error
