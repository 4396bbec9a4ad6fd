"""Digests that identify requests."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

import xxhash

from dotterelgate_daemon.codec import find_header

if TYPE_CHECKING:
    from dotterelgate_daemon.request_reader import RequestHead

__all__ = ["compute_fingerprint", "compute_identity"]

IDENTITY_BYTES = 8


def compute_fingerprint(head: RequestHead, body: bytes) -> int:
    """Compute a digest of method, target and body, compared under one idempotency key."""
    digest = xxhash.xxh3_64(f"{head.method} {head.target}\n".encode())
    digest.update(body)
    return digest.intdigest()


def compute_identity(head: RequestHead, body: bytes, limit: int, credential: bytes = b"") -> int:
    """Compute a digest that is the same whenever the same request comes again.

    It covers method, host, target, credentials and body; of a body that is streamed, since it has
    more than ``limit`` bytes, its stated length and its first bytes.

    :param credential: digest of the credential that names the caller's organisation
    """
    length = len(body) if len(body) <= limit else head.length or 0
    parts = (
        head.method.encode("latin-1"),
        find_header(head.headers, b"host") or b"",
        head.target.encode("latin-1"),
        find_header(head.headers, b"authorization") or credential,
        b"%d" % length,
        body[:limit],
    )
    # A cryptographic digest: nobody can make a request that shares the identity of another's.
    return int.from_bytes(blake2b(b"\n".join(parts), digest_size=IDENTITY_BYTES).digest(), "big")
