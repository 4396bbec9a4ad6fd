"""Bounds on the heads, trailers and chunk framing of requests."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["HeadLimits", "HeadMeter"]

# A field is held as a tuple of two byte strings in a list: 64 + 8 bytes, and 33 bytes with
# rounding to 16 for each string.
FIELD_BYTES = 168
# Colon and line end of a field; spaces need not follow the colon.
PUNCTUATION_BYTES = 3
# Method, version and line ends of a request line, and the empty line after the fields.
REQUEST_LINE_BYTES = 64
# Parser, head and call of a request.
REQUEST_BYTES = 4096


@dataclass(frozen=True, kw_only=True, slots=True)
class HeadLimits:
    """Limits on one head.

    :param size: bytes of all fields, and as many of the target, of trailers and of chunk framing
    :param lines: number of fields
    :param empty_lines: empty lines before the request line
    """

    size: int
    lines: int
    empty_lines: int


@dataclass(kw_only=True, slots=True)
class HeadMeter:
    """Counts one head as it arrives, and what it costs in memory.

    :param arrived: bytes that have arrived while the head is incomplete
    :param target: bytes of the target
    :param fields: bytes of complete fields
    :param lines: number of complete fields
    :param empty_lines: empty lines before the request line
    :param framing: bytes that have arrived since the last part of the body
    """

    arrived: int = 0
    target: int = 0
    fields: int = 0
    lines: int = 0
    empty_lines: int = 0
    framing: int = 0

    @property
    def cost(self) -> int:
        """Bytes of memory that the head takes."""
        return max(self.arrived, self.fields) + self.lines * FIELD_BYTES + REQUEST_BYTES

    def begin(self, arrived: int) -> None:
        """Start with a further head, of which some bytes have arrived."""
        self.arrived = arrived
        self.target = self.fields = self.lines = self.empty_lines = self.framing = 0

    def add_field(self, name: bytes, value: bytes) -> None:
        """Count a complete field."""
        self.lines += 1
        self.fields += len(name) + len(value) + PUNCTUATION_BYTES

    def find_problem(self, limits: HeadLimits) -> str | None:
        """Return which limit is exceeded."""
        arrived = self.arrived - self.target - REQUEST_LINE_BYTES
        if max(arrived, self.fields, self.target) > limits.size:
            return f"the head exceeds {limits.size} bytes"
        if self.lines > limits.lines:
            return f"the head exceeds {limits.lines} lines"
        if self.empty_lines > limits.empty_lines:
            return f"more than {limits.empty_lines} empty lines before a request"
        if self.framing > limits.size:
            return f"trailers or chunk framing exceed {limits.size} bytes"
        return None
