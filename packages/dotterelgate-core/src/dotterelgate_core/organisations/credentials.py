"""Digests of callers' credentials; the credentials themselves are not kept."""

from __future__ import annotations

from hashlib import blake2b

__all__ = ["DIGEST_BYTES", "digest_credential"]

DIGEST_BYTES = 16
# Separates these digests from those of other uses; all daemons compute the same ones.
PERSON = b"dotterel-caller"


def digest_credential(credential: bytes) -> bytes:
    """Compute the digest by which a credential is looked up.

    A look-up by digest takes the same time however much of a credential is right.
    """
    return blake2b(credential, digest_size=DIGEST_BYTES, person=PERSON).digest()
