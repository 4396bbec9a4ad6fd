"""Decompression of what peers send, within a bound."""

from __future__ import annotations

import zlib

__all__ = ["CompressionError", "decompress"]


class CompressionError(ValueError):
    """Compressed bytes are corrupt, cut off or too long; the message says which."""


def decompress(body: bytes, *, limit: int) -> bytes:
    """Decompress a body.

    :param limit: largest size of the result, in bytes
    :raises CompressionError: when the body is corrupt or cut off, or its content is larger
    """
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(body, limit)
    except zlib.error as error:
        raise CompressionError(f"corrupt: {error}") from error
    if not decompressor.eof:
        raise CompressionError(f"cut off, or longer than {limit} bytes")
    return data
