"""Fingerprints of requests, which recognise a request that is sent again."""

import hashlib

from sequoiahook.decisions.direct.requests import OpenRequest

__all__ = ["FINGERPRINT_BYTES", "fingerprint"]

FINGERPRINT_BYTES = 12


def fingerprint(request: OpenRequest) -> bytes:
    """Return the fingerprint of a request, which is computed once.

    It covers the organisation, method, host, path, query and body, but neither the
    request id nor the framing of the body.
    """
    if not request.fingerprint:
        request.fingerprint = _compute(request)
    return request.fingerprint


def _compute(request: OpenRequest) -> bytes:
    incoming = request.incoming
    parts = (
        request.organisation,
        incoming.method,
        incoming.host.lower(),
        incoming.target_path,
    )
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in parts:
        data = part.encode("utf-8")
        digest.update(b"%d:" % len(data) + data)
    digest.update(incoming.body)
    return digest.digest()
