"""Puts the parts of a configuration that a peer sends together."""

from __future__ import annotations

from dotterelgate_border.compression import CompressionError, decompress

__all__ = ["CONFIGURATION_LIMIT_BYTES", "ConfigurationParts", "InvalidPartsError"]

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
        self._parts: dict[str, tuple[tuple[int, int], dict[int, bytes]]] = {}

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
        kind = (revision, count)
        held_kind, parts = self._parts.pop(sender, (kind, {}))
        if held_kind != kind:
            parts = {}
        parts[part] = body
        if len(parts) < count:
            self._parts[sender] = (kind, parts)
            if len(self._parts) > MAX_SENDERS:
                del self._parts[next(iter(self._parts))]
            return None
        self._parts.clear()
        document = b"".join(parts[number] for number in range(count))
        try:
            return decompress(document, limit=CONFIGURATION_LIMIT_BYTES)
        except CompressionError as error:
            raise InvalidPartsError(str(error)) from error
