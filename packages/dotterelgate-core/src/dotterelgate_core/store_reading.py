"""Filter that decides when this daemon reads the store."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from dotterelgate_core.backoff import compute_backoff
from dotterelgate_core.control_messages import ControlTicked
from dotterelgate_core.messages import Decision
from dotterelgate_core.readers import (
    LAST_WAITING_RANK,
    find_leading_zone,
    find_rank,
    is_update_overdue,
)
from dotterelgate_core.registry import StoreRecovered

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dotterelgate_core.pipes import Filter, Message
    from dotterelgate_core.registry import RegistryState
    from dotterelgate_core.state import DaemonState

__all__ = [
    "REPEAT_SECONDS",
    "STALE_SECONDS",
    "ReadStore",
    "ReadingState",
    "StoreReadEnded",
    "StoreReadFailed",
    "StoreUpdateReceived",
    "is_unchecked",
    "make_reading_filter",
]

# A change must be in effect 2 s after the store accepted it (the platform's bounds on
# draining and configuration); reading every 0.6 s leaves time for a lost datagram or a dead
# reader.
READ_INTERVAL_SECONDS = 0.6
# A daemon that has just listed the registry waits so long for a reader that has found it; the
# platform's bounds begin to hold for it 3 s after its start.
SETTLING_SECONDS = 2.4
# Backoff after failed reads, since refused calls cost as well.
FIRST_BACKOFF_SECONDS = 0.4
MAX_BACKOFF_SECONDS = 1.0
# A single failed read may be a fault of this daemon; peers that can read send updates
# meanwhile.
OUTAGE_FAILURES = 2
# A read that takes longer counts as failed.
READ_TIMEOUT_SECONDS = 1.5
# Updates repeat the changes of this period, so the next one replaces a lost datagram. A
# daemon that has not followed the registry for as long cannot repeat what its peers may lack.
REPEAT_SECONDS = 3.0
# The platform's bounds on configuration and draining; older knowledge is logged.
STALE_SECONDS = 2.0
# Entries lapse after three silent heartbeats of 1.5 s, so an outage that lets one lapse lasts 3 s
# or more. Where a daemon, or a peer that it hears, has read the store since, it had no such outage.
LAPSING_OUTAGE_SECONDS = 2.5
# Ticks that come later than this show that the daemon was suspended; what it knows may be older
# than updates that it received before or while it was.
SUSPENSION_SECONDS = 3.0
# Time within which a daemon that runs again hears from its peers which configuration is in force.
RESUMPTION_SECONDS = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadStore:
    """Order to read the configuration and the registry's changes."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreReadEnded:
    """This daemon read the configuration and the registry up to their ends."""

    now: float


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreReadFailed:
    """A read of the store failed."""

    now: float
    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreUpdateReceived:
    """A peer read the store, and this daemon has all that the peer read.

    :param read_at: monotonic second at which the peer's read began
    :param recovered_at: monotonic second at which the store answered the peer again
    :param is_remote_zone: whether the peer is a daemon of another zone
    """

    now: float
    read_at: float
    recovered_at: float
    is_remote_zone: bool = False


@dataclass(kw_only=True, slots=True)
class ReadingState:
    """When the store was read.

    :param current_at: monotonic second up to which configuration and registry are current
    :param read_started_at: monotonic second at which this daemon's last read started
    :param is_reading: whether a read is in progress
    :param failures: failed reads in a row
    :param update_received_at: monotonic second of the last update from a peer that reads
    :param remote_update_at: monotonic second of the last update from another zone
    :param started_at: monotonic second of the first tick
    :param rank: number of daemons of the zone that rank before this one as readers
    :param ranked_at: monotonic second at which ``rank`` was computed
    :param ticked_at: monotonic second of the last tick
    :param resumed_at: monotonic second at which a suspension ended
    :param is_stale: whether the log says that they are older than the platform's bounds
    """

    current_at: float = float("-inf")
    read_started_at: float = float("-inf")
    is_reading: bool = False
    failures: int = 0
    update_received_at: float = float("-inf")
    remote_update_at: float = float("-inf")
    started_at: float = float("inf")
    rank: int = 0
    ranked_at: float = float("-inf")
    ticked_at: float = float("inf")
    resumed_at: float = float("-inf")
    is_stale: bool = False


def is_unchecked(reading: ReadingState, now: float) -> bool:
    """Return whether the daemon was suspended and cannot have heard of newer configurations."""
    return (
        now - reading.ticked_at > SUSPENSION_SECONDS
        or now - reading.resumed_at <= RESUMPTION_SECONDS
    )


def make_reading_filter(
    state: DaemonState, registry: RegistryState, reading: ReadingState
) -> Filter:
    """Build the filter that turns ticks, ended reads and peers' updates into read orders."""

    def order_reads(message: Message) -> Iterable[Message]:
        if isinstance(message, ControlTicked):
            reading.started_at = min(reading.started_at, message.now)
            return [
                *_note_suspension(reading, message.now),
                *_order_read(state, registry, reading, message.now),
                *_note_age(registry, reading, message.now),
                message,
            ]
        if isinstance(message, StoreReadEnded):
            return _end_read(registry, reading, message.now)
        if isinstance(message, StoreReadFailed):
            reading.is_reading = False
            reading.failures += 1
            registry.is_unavailable = reading.failures >= OUTAGE_FAILURES
            return ()
        if isinstance(message, StoreUpdateReceived):
            return _apply_update(registry, reading, message)
        return (message,)

    return order_reads


def _order_read(
    state: DaemonState, registry: RegistryState, reading: ReadingState, now: float
) -> list[Message]:
    if not _is_read_due(state, registry, reading, now):
        return []
    reading.read_started_at = now
    reading.is_reading = True
    return [ReadStore()]


def _is_read_due(
    state: DaemonState, registry: RegistryState, reading: ReadingState, now: float
) -> bool:
    since = now - reading.read_started_at
    if now - reading.current_at < READ_INTERVAL_SECONDS:
        return False
    if reading.is_reading and since < READ_TIMEOUT_SECONDS:
        return False
    if since < _compute_backoff(reading.failures):
        return False
    rank = find_rank(state, reading, now)
    if now - reading.started_at < REPEAT_SECONDS or _is_led(state, reading, now):
        # Daemons with a history go first, at a first start nobody has one; a zone that another
        # one reads for reads by itself when that fails.
        rank += 1
    if rank == 0:
        return since >= READ_INTERVAL_SECONDS
    has_settled = now - reading.started_at >= SETTLING_SECONDS
    if has_settled and not registry.is_unavailable:
        rank = min(rank, LAST_WAITING_RANK)
    return is_update_overdue(reading.current_at, rank, now)


def _is_led(state: DaemonState, reading: ReadingState, now: float) -> bool:
    """Return whether another zone reads for this one, which does not lead itself."""
    is_heard = now - reading.remote_update_at < REPEAT_SECONDS
    return is_heard and find_leading_zone(state, now) != state.zone


def _compute_backoff(failures: int) -> float:
    return compute_backoff(failures, first=FIRST_BACKOFF_SECONDS, longest=MAX_BACKOFF_SECONDS)


def _note_suspension(reading: ReadingState, now: float) -> list[Message]:
    pause = now - reading.ticked_at
    reading.ticked_at = now
    if pause <= SUSPENSION_SECONDS:
        return []
    reading.resumed_at = now
    return [Decision(part="store", sentence=f"the daemon did not run for {pause:.1f} s")]


def _note_age(registry: RegistryState, reading: ReadingState, now: float) -> list[Message]:
    age = now - max(reading.current_at, reading.started_at)
    if (age > STALE_SECONDS) == reading.is_stale:
        return []
    reading.is_stale = not reading.is_stale
    sentence = f"what is known of it is {age:.1f} s old" if reading.is_stale else "read again"
    return [Decision(part="store", sentence=sentence, facts={"era": registry.era.current})]


def _end_read(registry: RegistryState, reading: ReadingState, now: float) -> list[Message]:
    may_have_lapsed = registry.is_unavailable and _was_outage(reading, now)
    reading.is_reading = False
    reading.failures = 0
    reading.current_at = reading.read_started_at
    registry.is_unavailable = False
    return [StoreRecovered(now=now)] if may_have_lapsed else []


def _was_outage(reading: ReadingState, now: float) -> bool:
    """Return whether nobody that this daemon hears has read the store for long."""
    return now - reading.current_at > LAPSING_OUTAGE_SECONDS


def _apply_update(
    registry: RegistryState, reading: ReadingState, update: StoreUpdateReceived
) -> list[Message]:
    # A peer that was cut off takes its own return for that of the store.
    may_have_lapsed = _was_outage(reading, update.now)
    # A reader may be slow; what it read is as old as its read.
    reading.current_at = max(reading.current_at, update.read_at)
    reading.update_received_at = update.now
    if update.is_remote_zone:
        reading.remote_update_at = update.now
    registry.is_unavailable = False
    if may_have_lapsed and update.recovered_at > registry.recovered_at:
        return [StoreRecovered(now=update.recovered_at)]
    return []
