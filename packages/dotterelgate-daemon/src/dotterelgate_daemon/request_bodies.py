"""Bodies of requests, from their arrival until they are sent."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["RequestBody"]


def _ignore() -> None:
    pass


class RequestBody:
    """A request's body as it arrives; the only holder of bytes that no attempt has sent.

    Each attempt reads it from an offset of its own. A body that is kept can be read by several
    attempts. One that is streamed releases what was sent, and can't be sent whole from then on.

    :param data: bytes that have arrived
    :param is_complete: whether they are the whole body
    """

    def __init__(self, data: bytes = b"", *, is_complete: bool = False) -> None:
        self.is_complete = is_complete
        self.on_change: Callable[[], None] = _ignore
        self._held = bytearray(data)
        self._released = 0
        self._keeps_sent = True
        self._is_discarded = False

    @property
    def held_bytes(self) -> int:
        """Bytes in memory."""
        return len(self._held)

    @property
    def is_whole(self) -> bool:
        """Whether no byte that arrived was released, so that an attempt can send all of them."""
        return not self._released and not self._is_discarded

    def add(self, part: bytes) -> None:
        """Add bytes that have arrived, and notify the attempt that sends them."""
        if not self._is_discarded:
            self._held += part
            self.on_change()

    def end(self) -> None:
        """Note that the body is complete, and notify the attempt that sends it."""
        self.is_complete = True
        if not self._is_discarded:
            self.on_change()

    def read_from(self, offset: int) -> bytes:
        """Return the bytes that have arrived from an offset of the body on.

        :param offset: bytes before it may have been released, but none after it
        """
        return bytes(self._held[max(0, offset - self._released) :])

    def stream(self) -> None:
        """Release bytes as they are sent, since the body is too large to be kept."""
        self._keeps_sent = False

    def note_sent(self, offset: int) -> None:
        """Note that an attempt has sent the bytes before an offset."""
        if not self._keeps_sent and offset > self._released:
            del self._held[: offset - self._released]
            self._released = offset

    def discard(self) -> None:
        """Release all bytes, and drop those that still arrive; no attempt needs them."""
        self._is_discarded = True
        self._held = bytearray()
        self.on_change = _ignore
