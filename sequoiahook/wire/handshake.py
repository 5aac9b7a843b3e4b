"""Mutual authentication of two instances that share the fleet secret.

The accepting side sends nothing but a random challenge before the dialling side has
proved that it knows the secret, and the dialling side sends no message before the
accepting side has proved the same.
"""

import hmac
import secrets
from typing import NamedTuple

from sequoiahook.messages.base import message

__all__ = ["Challenge", "Hello", "Proof", "Welcome", "new_nonce", "proof_of", "proves"]

NONCE_BYTES = 16


@message
class Hello(NamedTuple):
    """First frame of the dialling side; a repeat closes the link."""

    name: str
    incarnation: int
    nonce: bytes


@message
class Challenge(NamedTuple):
    """Answer of the accepting side; a repeat closes the link."""

    nonce: bytes


@message
class Proof(NamedTuple):
    """Proof of the dialling side; a repeat closes the link."""

    digest: bytes


@message
class Welcome(NamedTuple):
    """Proof of the accepting side; a repeat closes the link."""

    name: str
    incarnation: int
    digest: bytes


def new_nonce() -> bytes:
    """Return random bytes for one handshake."""
    return secrets.token_bytes(NONCE_BYTES)


def proof_of(secret: str, role: str, nonces: tuple[bytes, bytes], name: str) -> bytes:
    """Return the digest by which an instance proves that it knows the secret.

    Args:
        secret: The fleet secret.
        role: ``dial`` or ``accept``, so that no side can reflect the other's proof.
        nonces: The dialling side's nonce and the accepting side's nonce.
        name: Name and incarnation of the proving instance.
    """
    parts = [role.encode(), *nonces, name.encode()]
    text = b"".join(len(part).to_bytes(4, "big") + part for part in parts)
    return hmac.digest(secret.encode(), text, "sha256")


def proves(
    digest: bytes, secret: str, role: str, nonces: tuple[bytes, bytes], name: str
) -> bool:
    """Return whether a digest is the proof, compared in constant time."""
    return hmac.compare_digest(digest, proof_of(secret, role, nonces, name))
