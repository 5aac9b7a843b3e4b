"""Encoding of the store's objects in messages between instances.

Each document is encoded by itself, so that one that cannot be encoded or decoded, which
another writer may leave in the store, harms no other.
"""

import zlib
from collections.abc import Iterable

import cbor2
import logbook

from sequoiahook.decisions.direct.store_cache import CachedObject
from sequoiahook.errors import CodecError

__all__ = ["decode_objects", "encode_objects", "encode_together"]

COMPRESSION_LEVEL = 1
"""The fastest level: documents repeat their field names, and links may be slow."""

CONTENT_BYTES_MAX = 64_000_000
"""Largest content accepted; all objects of a kind take less."""

NAME_ERRORS = "surrogatepass"

_ENCODING_ERRORS = (cbor2.CBORError, RecursionError, TypeError, ValueError)

log = logbook.Logger("relay")


def encode_objects(objects: Iterable[CachedObject]) -> bytes:
    """Return the content of an answer."""
    return _compress([_encode_object(cached) for cached in objects])


def encode_together(objects: Iterable[CachedObject]) -> bytes:
    """Return the content of an answer to an instance of an earlier version."""
    return _compress([tuple(_encodable(cached)) for cached in objects])


def decode_objects(content: bytes) -> list[CachedObject]:
    """Return the objects of an answer.

    Raises:
        CodecError: If the content as a whole cannot be read.
    """
    decompressor = zlib.decompressobj()
    try:
        decompressed = decompressor.decompress(content, CONTENT_BYTES_MAX)
        if not decompressor.eof:
            raise CodecError("content truncated or too large")
        entries = cbor2.loads(decompressed)
        return [_decode_object(*entry) for entry in entries]
    except (zlib.error, *_ENCODING_ERRORS) as error:
        raise CodecError(str(error)) from error


def _compress(entries: list) -> bytes:
    return zlib.compress(cbor2.dumps(entries), COMPRESSION_LEVEL)


def _encode_object(cached: CachedObject) -> tuple[bytes, bytes, bool]:
    name = cached.name.encode("utf-8", NAME_ERRORS)
    try:
        document = cbor2.dumps(cached.document)
    except _ENCODING_ERRORS as error:
        document = cbor2.dumps(_unreadable(cached.name, error))
    return name, document, cached.is_deleted


def _decode_object(name: bytes, document: bytes, is_deleted: bool) -> CachedObject:
    text = name.decode("utf-8", NAME_ERRORS)
    try:
        decoded = cbor2.loads(document)
    except _ENCODING_ERRORS as error:
        decoded = _unreadable(text, error)
    return CachedObject(text, decoded, bool(is_deleted))


def _encodable(cached: CachedObject) -> CachedObject:
    """Return an object with a replacement for a document that a peer cannot decode."""
    decoded = _decode_object(*_encode_object(cached))
    return decoded._replace(name=_printable(cached.name))


def _unreadable(name: str, error: Exception) -> dict[str, dict[str, str]]:
    """Return a document with nothing but a name, in place of one that is unreadable."""
    log.warning("document not relayed", extra={"name": name, "error": str(error)})
    return {"metadata": {"name": _printable(name)}}


def _printable(name: str) -> str:
    return name.encode("utf-8", "replace").decode()
