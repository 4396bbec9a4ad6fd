"""What each client makes the daemon hold, and the account of all."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dotterelgate_daemon.pending_calls import PendingCall

__all__ = [
    "Awaited",
    "Holding",
    "MemoryAccount",
    "compute_account_limit",
    "decide_read_size",
    "find_awaited",
    "measure_call",
]

# The process without callers has 39 MB, and more with the state of a large zone.
PROCESS_BYTES = 64_000_000
# The rest is for copies while bytes are passed on, and for what the allocator can't reuse.
ACCOUNT_SHARE = 0.5
# Above this share of the account, only clients that hold little are read from.
SHORT_SHARE = 0.75
SMALL_BYTES = 16_384
READ_BYTES = 65_536


class Awaited(Enum):
    """What the daemon waits for on a client's connection."""

    REQUEST = "request"
    HEAD = "head"
    BODY = "body"
    # The client has to read an answer.
    READING = "reading"
    # The end of the connection, after its last answer.
    CLOSE = "close"
    # A backend server, or an earlier request.
    NOTHING = "nothing"


@dataclass(kw_only=True)
class Holding:
    """What one client makes the daemon hold.

    :param address: IP address of the client
    :param opened_at: monotonic second of the connection's start
    :param held: bytes in memory
    :param awaited: what the daemon waits for
    :param awaited_since: monotonic second since which it does
    :param received: bytes received from the client
    :param acknowledged: bytes sent that it has acknowledged
    :param progressed_at: monotonic second since which there were no more of both
    :param moved_before: ``moved`` at the start of the window in which the rate is judged
    :param window_at: monotonic second of that start
    :param waits_for_memory: whether bytes have arrived that are not read for lack of memory
    :param has_body: whether the body of its newest request is incomplete
    """

    address: str
    opened_at: float
    held: int = 0
    awaited: Awaited = Awaited.REQUEST
    awaited_since: float = 0.0
    received: int = 0
    acknowledged: int = 0
    progressed_at: float = 0.0
    moved_before: int = 0
    window_at: float = 0.0
    waits_for_memory: bool = False
    has_body: bool = False

    @property
    def moved(self) -> int:
        """Bytes received and acknowledged."""
        return self.received + self.acknowledged

    def note_received(self, count: int, now: float) -> None:
        """Note that bytes were received."""
        self.received += count
        self.progressed_at = now

    def note_acknowledged(self, acknowledged: int, now: float) -> None:
        """Note how many bytes the client has acknowledged in all."""
        if acknowledged != self.acknowledged:
            self.acknowledged = acknowledged
            self.progressed_at = now

    def start_window(self, now: float) -> None:
        """Judge the client by what it does from now on."""
        self.moved_before, self.window_at = self.moved, now

    def note_awaited(self, awaited: Awaited, now: float) -> None:
        """Note what the daemon waits for."""
        if awaited is not self.awaited:
            self.awaited = awaited
            self.awaited_since = self.progressed_at = now
            self.start_window(now)


@dataclass(kw_only=True)
class MemoryAccount:
    """Memory that all clients together make the daemon hold.

    :param limit: bytes that it may be
    :param unfinished: connections with an incomplete body, by address
    """

    limit: int
    used: int = 0
    unfinished: dict[str, int] = field(default_factory=dict)

    @property
    def is_short(self) -> bool:
        """Whether clients that hold much are not read from."""
        return self.used >= self.limit * SHORT_SHARE

    @property
    def excess(self) -> int:
        """Bytes to free until memory is not short."""
        return max(0, self.used - int(self.limit * SHORT_SHARE))

    def update(self, holding: Holding, held: int) -> None:
        """Note how many bytes a client makes the daemon hold now."""
        self.used += held - holding.held
        holding.held = held

    def note_body(self, holding: Holding, *, has_body: bool) -> None:
        """Note whether a client's newest request has an incomplete body."""
        if has_body is holding.has_body:
            return
        holding.has_body = has_body
        count = self.unfinished.get(holding.address, 0) + (1 if has_body else -1)
        if count:
            self.unfinished[holding.address] = count
        else:
            del self.unfinished[holding.address]


def compute_account_limit(memory_limit: float) -> int:
    """Compute the bytes that clients may make the daemon hold.

    :param memory_limit: bytes of memory that the VM has
    """
    return int((memory_limit - PROCESS_BYTES) * ACCOUNT_SHARE)


def decide_read_size(*, used: int, limit: int, held: int) -> int:
    """Decide how many bytes are read from a client now; 0 while it has to wait.

    :param used: bytes that all clients make the daemon hold
    :param held: bytes that this one does
    """
    if used >= limit:
        return 0
    if used < limit * SHORT_SHARE:
        return READ_BYTES
    return SMALL_BYTES if held <= SMALL_BYTES else 0


def find_awaited(
    *,
    has_unsent: bool,
    is_closing: bool,
    has_body: bool,
    is_paused: bool,
    is_in_head: bool,
    has_request: bool,
) -> Awaited:
    """Find what the daemon waits for on a connection.

    :param has_unsent: whether bytes of an answer wait until the client reads
    :param is_closing: whether the last answer was written
    :param has_body: whether a body is incomplete
    :param is_paused: whether reading has stopped until a server or an earlier request goes on
    :param is_in_head: whether a head is incomplete
    :param has_request: whether a request is in progress
    """
    if has_unsent:
        return Awaited.READING
    if is_closing:
        return Awaited.CLOSE
    if has_body:
        return Awaited.NOTHING if is_paused else Awaited.BODY
    if is_in_head:
        return Awaited.HEAD
    return Awaited.NOTHING if has_request else Awaited.REQUEST


def measure_call(pending: PendingCall | None) -> int:
    """Measure what a call holds beside its request: answers of its attempts, and unsent bytes."""
    if pending is None:
        return 0
    held = 0
    for attempt in pending.attempts.values():
        stream = attempt.exchange.stream if attempt.exchange is not None else None
        held += len(attempt.body) + (stream.held_bytes if stream is not None else 0)
    return held
