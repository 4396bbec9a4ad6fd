"""Filter that decides when this daemon reads the registry from the store."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from dotterelgate_core.control_messages import ControlTicked
from dotterelgate_core.peers import rank_by_rendezvous
from dotterelgate_core.registry import StoreReturned
from dotterelgate_core.sharing import select_alive

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dotterelgate_core.pipes import Filter, Message
    from dotterelgate_core.registry import RegistryState
    from dotterelgate_core.state import DaemonState

__all__ = [
    "NewsHeard",
    "ReadRegistry",
    "ReadingState",
    "RegistryReadEnded",
    "RegistryReadFailed",
    "make_reading_filter",
]

READER_SUBJECT = "registry"
# A change must be heeded 2 s after the store took it (the platform's bound on
# draining); reading every 0.6 s leaves time for a lost datagram or a dead reader.
READ_SECONDS = 0.6
# The reader's news are missed after this long; daemons further down wait longer.
SILENCE_SECONDS = 0.8
RANK_SECONDS = 0.2
# A store that fails is asked less and less often, since refused calls cost as well.
FIRST_PAUSE_SECONDS = 0.4
LONGEST_PAUSE_SECONDS = 1.0
# One failed read may be this daemon's own; peers that can read say so meanwhile.
FAILURES_OF_AN_OUTAGE = 2
# A read that is not over by then counts as failed.
PATIENCE_SECONDS = 1.5


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadRegistry:
    """Order to read what is new in the registry."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RegistryReadEnded:
    """The registry was read up to its end by this daemon."""

    now: float


@dataclass(frozen=True, kw_only=True, slots=True)
class RegistryReadFailed:
    """A read of the registry failed."""

    now: float
    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class NewsHeard:
    """A peer read the registry, and this daemon lacks nothing of what it read.

    :param returned_at: monotonic second at which the peer saw the store return
    """

    now: float
    returned_at: float


@dataclass(kw_only=True, slots=True)
class ReadingState:
    """When the registry was read.

    :param current_at: monotonic second as of which it is known
    :param asked_at: monotonic second of the last read of this daemon
    :param is_asking: whether a read is on its way
    :param failures: failed reads in a row
    """

    current_at: float = float("-inf")
    asked_at: float = float("-inf")
    is_asking: bool = False
    failures: int = 0


def make_reading_filter(
    state: DaemonState, registry: RegistryState, reading: ReadingState
) -> Filter:
    """Make the filter from ticks, reads and news to orders to read."""

    def read(message: Message) -> Iterable[Message]:
        if isinstance(message, ControlTicked):
            return [*_order_read(state, reading, message.now), message]
        if isinstance(message, RegistryReadEnded):
            return _end_read(registry, reading, message.now)
        if isinstance(message, RegistryReadFailed):
            reading.is_asking = False
            reading.failures += 1
            registry.is_away = reading.failures >= FAILURES_OF_AN_OUTAGE
            return ()
        if isinstance(message, NewsHeard):
            return _take_news(registry, reading, message)
        return (message,)

    return read


def _order_read(state: DaemonState, reading: ReadingState, now: float) -> list[Message]:
    if not _is_due(state, reading, now):
        return []
    reading.asked_at = now
    reading.is_asking = True
    return [ReadRegistry()]


def _is_due(state: DaemonState, reading: ReadingState, now: float) -> bool:
    since = now - reading.asked_at
    if reading.is_asking and since < PATIENCE_SECONDS:
        return False
    if reading.failures:
        pause = FIRST_PAUSE_SECONDS * 2 ** (reading.failures - 1)
        if since < min(pause, LONGEST_PAUSE_SECONDS):
            return False
    rank = rank_by_rendezvous(READER_SUBJECT, select_alive(state, now, state.zone))
    place = rank.index(state.name) if state.name in rank else len(rank)
    if place == 0:
        return since >= READ_SECONDS
    return now - reading.current_at >= SILENCE_SECONDS + RANK_SECONDS * place


def _end_read(registry: RegistryState, reading: ReadingState, now: float) -> list[Message]:
    reading.is_asking = False
    reading.failures = 0
    reading.current_at = reading.asked_at
    return [StoreReturned(now=now)] if registry.is_away else []


def _take_news(registry: RegistryState, reading: ReadingState, news: NewsHeard) -> list[Message]:
    reading.current_at = max(reading.current_at, news.now)
    registry.is_away = False
    if news.returned_at > registry.returned_at:
        return [StoreReturned(now=news.returned_at)]
    return []
