"""Puts the parts of a configuration that a peer sends together."""

from __future__ import annotations

import zlib

__all__ = ["CONFIGURATION_LIMIT_BYTES", "ConfigurationParts", "InvalidPartsError", "decompress"]

# Largest configuration, uncompressed. Platforms bound the records of their stores to less.
CONFIGURATION_LIMIT_BYTES = 4_194_304
# A part is 32,000 bytes, and a compressed document is no larger than a plain one.
MAX_PARTS = 132
MAX_SENDERS = 4


class InvalidPartsError(ValueError):
    """What a peer sent is no configuration; the message says why."""


class ConfigurationParts:
    """The parts that have arrived, of the newest configuration of each of a few peers."""

    def __init__(self) -> None:
        self._parts: dict[str, tuple[int, dict[int, bytes]]] = {}

    def add(
        self, *, sender: str, revision: int, part: int, count: int, body: bytes
    ) -> bytes | None:
        """Add a part.

        :param part: its number, from 0
        :param count: number of the configuration's parts
        :returns: the document, once all parts are there
        :raises InvalidPartsError: when the parts are no configuration within the limits
        """
        if not 0 <= part < count <= MAX_PARTS:
            raise InvalidPartsError(f"part {part} of {count}, at most {MAX_PARTS} are taken")
        held_revision, parts = self._parts.pop(sender, (revision, {}))
        if held_revision != revision:
            parts = {}
        parts[part] = body
        if len(parts) < count:
            self._parts[sender] = (revision, parts)
            if len(self._parts) > MAX_SENDERS:
                del self._parts[next(iter(self._parts))]
            return None
        self._parts.clear()
        try:
            return decompress(b"".join(parts[number] for number in range(count)))
        except KeyError as error:
            raise InvalidPartsError(f"part {error} is missing") from error


def decompress(body: bytes) -> bytes:
    """Decompress a configuration.

    :raises InvalidPartsError: when it is corrupt, or exceeds ``CONFIGURATION_LIMIT_BYTES``
    """
    decompressor = zlib.decompressobj()
    try:
        document = decompressor.decompress(body, CONFIGURATION_LIMIT_BYTES)
    except zlib.error as error:
        raise InvalidPartsError(str(error)) from error
    if not decompressor.eof:
        raise InvalidPartsError(f"cut off, or more than {CONFIGURATION_LIMIT_BYTES} bytes")
    return document
