"""Mutual authentication of two instances that share the fleet secret.

The accepting side sends only a random challenge until the dialling side has proved that
it knows the secret. The dialling side sends no other message until the accepting side
has proved the same.
"""

import hmac
import secrets
from typing import NamedTuple

from sequoiahook.messages.base import message

__all__ = [
    "Challenge",
    "Hello",
    "Proof",
    "Welcome",
    "compute_proof",
    "is_valid_proof",
    "new_nonce",
]

NONCE_BYTES = 16


@message
class Hello(NamedTuple):
    """First message of the dialling side; a repeat closes the link."""

    name: str
    incarnation: int
    nonce: bytes


@message
class Challenge(NamedTuple):
    """Reply of the accepting side to Hello; a repeat closes the link."""

    nonce: bytes


@message
class Proof(NamedTuple):
    """Proof by the dialling side; a repeat closes the link."""

    digest: bytes


@message
class Welcome(NamedTuple):
    """Proof by the accepting side; a repeat closes the link."""

    name: str
    incarnation: int
    digest: bytes


def new_nonce() -> bytes:
    """Return a random nonce for one handshake."""
    return secrets.token_bytes(NONCE_BYTES)


def compute_proof(
    secret: str, role: str, nonces: tuple[bytes, bytes], name: str
) -> bytes:
    """Return the digest that proves knowledge of the fleet secret.

    Args:
        secret: The fleet secret.
        role: ``dial`` or ``accept``; prevents reflection of the peer's proof.
        nonces: Nonces of the dialling side and of the accepting side.
        name: Name and incarnation of the instance that sends the proof.
    """
    parts = [role.encode(), *nonces, name.encode()]
    payload = b"".join(len(part).to_bytes(4, "big") + part for part in parts)
    return hmac.digest(secret.encode(), payload, "sha256")


def is_valid_proof(
    digest: bytes, secret: str, role: str, nonces: tuple[bytes, bytes], name: str
) -> bool:
    """Return whether a digest is the expected proof; compares in constant time."""
    return hmac.compare_digest(digest, compute_proof(secret, role, nonces, name))
