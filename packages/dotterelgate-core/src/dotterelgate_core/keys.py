"""Idempotency keys that this daemon holds, with their outcomes."""

from __future__ import annotations

import uuid
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from dotterelgate_core.codes import Refusal

__all__ = ["KeyEntry", "KeyRange", "KeyState", "KeyTable", "find_range", "read_key_time"]

TIME_ORDERED_UUID_VERSION = 7
TIMESTAMP_SHIFT_BITS = 80
MILLISECONDS = 1000.0


class KeyState(Enum):
    """State of the request under a key."""

    RUNNING = auto()
    RAN = auto()
    UNKNOWN = auto()


@dataclass(kw_only=True, slots=True)
class KeyEntry:
    """One idempotency key.

    :param fingerprint: digest of its first request
    :param seen_at: monotonic second of its last change
    :param call_id: the call that runs it
    :param joined: calls that wait for the same answer
    :param stored_answer: the answer, if small enough to store
    :param refusal: refusal of later calls when the outcome is unknown
    """

    state: KeyState
    fingerprint: int
    seen_at: float
    call_id: int
    joined: list[int] = field(default_factory=list)
    stored_answer: object | None = None
    refusal: Refusal | None = None


@dataclass(kw_only=True, slots=True)
class KeyRange:
    """The keys of one leased range.

    :param tenure: id of the grant that began the tenure under which they were collected
    :param history_from: wall-clock second before which keys may have run at an earlier holder
    :param history_until: monotonic second after which such keys are past the retention
    """

    tenure: str = ""
    history_from: float | None = None
    history_until: float = 0.0
    entries: dict[int, KeyEntry] = field(default_factory=dict)


@dataclass(kw_only=True, slots=True)
class KeyTable:
    """All ranges of keys.

    :param ranges: by resource name
    :param retention: seconds for which an outcome is remembered
    :param limit: maximum number of entries
    """

    ranges: dict[str, KeyRange] = field(default_factory=dict)
    retention: float
    limit: int
    size: int = 0

    def forget_old(self, now: float) -> None:
        """Remove settled entries older than the retention."""
        for each in self.ranges.values():
            old = [
                digest
                for digest, entry in each.entries.items()
                if entry.state is not KeyState.RUNNING and now - entry.seen_at > self.retention
            ]
            for digest in old:
                del each.entries[digest]
        self.size = sum(len(each.entries) for each in self.ranges.values())


def digest_key(service: str, key: str) -> int:
    """Digest a key within its service to 128 bits."""
    return xxhash.xxh3_128_intdigest(f"{service}\0{key}".encode())


def find_range(digest: int, ranges: int) -> str:
    """Return the leased resource of a digest."""
    return f"keys/{digest % ranges}"


def read_key_time(key: str) -> float | None:
    """Read the creation time of a time-ordered UUID (RFC 9562, version 7).

    :returns: wall-clock second, or ``None`` for any other key
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != TIME_ORDERED_UUID_VERSION:
        return None
    return (parsed.int >> TIMESTAMP_SHIFT_BITS) / MILLISECONDS
