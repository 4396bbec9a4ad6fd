"""Filter that decides when this daemon reads the store."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from dotterelgate_core.backoff import compute_backoff
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
    "ConfigurationReadEnded",
    "ConfigurationReadFailed",
    "ReadConfiguration",
    "ReadRegistry",
    "ReadingState",
    "RegistryReadEnded",
    "RegistryReadFailed",
    "RegistryUpdateReceived",
    "make_reading_filter",
]

READER_SUBJECT = "registry"
# A change must be in effect 2 s after the store accepted it (the platform's bound on
# draining); reading every 0.6 s leaves time for a lost datagram or a dead reader.
READ_SECONDS = 0.6
# The next daemon in rank reads after this long without an update of the reader; each
# further one waits longer.
SILENCE_SECONDS = 0.8
RANK_SECONDS = 0.2
# Backoff after failed reads, since refused calls cost as well.
FIRST_PAUSE_SECONDS = 0.4
LONGEST_PAUSE_SECONDS = 1.0
# A single failed read may be a fault of this daemon; peers that can read send updates
# meanwhile.
FAILURES_OF_AN_OUTAGE = 2
# A read that takes longer counts as failed.
PATIENCE_SECONDS = 1.5
# A starting daemon has its peers after the first exchange of heartbeats; until then
# it cannot rank itself among the readers.
ACQUAINTANCE_SECONDS = 0.5
# Interval at which the rank among the readers is recomputed.
PLACE_SECONDS = 0.2
# Daemons of an availability zone that long-poll the store for a new configuration; the
# others receive its revision in heartbeats. Two, because one answer may be lost.
CONFIGURATION_READERS = 2


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadRegistry:
    """Order to read the registry's changes."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RegistryReadEnded:
    """This daemon read the registry up to its end."""

    now: float


@dataclass(frozen=True, kw_only=True, slots=True)
class RegistryReadFailed:
    """A read of the registry failed."""

    now: float
    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadConfiguration:
    """Order to read the configuration, waiting for a newer one if one was read."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationReadEnded:
    """This daemon read the configuration's topic up to its end."""

    now: float


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationReadFailed:
    """A read of the configuration's topic failed."""

    now: float
    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class RegistryUpdateReceived:
    """A peer read the registry, and this daemon has all entries that the peer read.

    :param returned_at: monotonic second at which the store answered the peer again
    """

    now: float
    returned_at: float


@dataclass(kw_only=True, slots=True)
class ReadingState:
    """When the store was read.

    :param current_at: monotonic second up to which the registry is current
    :param asked_at: monotonic second at which this daemon's last read started
    :param is_asking: whether a read is in progress
    :param failures: failed reads in a row
    :param heard_at: monotonic second of the last update from a peer that reads
    :param started_at: monotonic second of the first tick
    :param place: number of daemons of the zone that rank before this one as readers
    :param placed_at: monotonic second at which ``place`` was computed
    :param configuration: reads of the configuration's topic
    """

    current_at: float = float("-inf")
    asked_at: float = float("-inf")
    is_asking: bool = False
    failures: int = 0
    heard_at: float = float("-inf")
    started_at: float = float("inf")
    place: int = 0
    placed_at: float = float("-inf")
    configuration: ConfigurationReading = field(default_factory=lambda: ConfigurationReading())


@dataclass(kw_only=True, slots=True)
class ConfigurationReading:
    """When the configuration's topic was read.

    :param has_read: whether it was read up to its end at least once
    :param is_asking: whether a read is in progress
    :param failures: failed reads in a row
    :param failed_at: monotonic second of the last failed read
    """

    has_read: bool = False
    is_asking: bool = False
    failures: int = 0
    failed_at: float = float("-inf")


def make_reading_filter(
    state: DaemonState, registry: RegistryState, reading: ReadingState
) -> Filter:
    """Build the filter that turns ticks, ended reads and peers' updates into read orders."""

    def read(message: Message) -> Iterable[Message]:
        if isinstance(message, ControlTicked):
            return [
                *_order_read(state, reading, message.now),
                *_order_configuration(state, reading, message.now),
                message,
            ]
        if isinstance(message, RegistryReadEnded):
            return _end_read(registry, reading, message.now)
        if isinstance(message, RegistryReadFailed):
            reading.is_asking = False
            reading.failures += 1
            registry.is_away = reading.failures >= FAILURES_OF_AN_OUTAGE
            return ()
        if isinstance(message, RegistryUpdateReceived):
            return _take_news(registry, reading, message)
        if isinstance(message, (ConfigurationReadEnded, ConfigurationReadFailed)):
            _end_configuration(reading.configuration, message)
            return ()
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
    if now - reading.current_at < READ_SECONDS:
        return False
    if reading.is_asking and since < PATIENCE_SECONDS:
        return False
    if since < _compute_backoff(reading.failures):
        return False
    place = _find_place(state, reading, now)
    if place == 0:
        return since >= READ_SECONDS
    return _is_missed(reading.current_at, place, now)


def _compute_backoff(failures: int) -> float:
    return compute_backoff(failures, first=FIRST_PAUSE_SECONDS, longest=LONGEST_PAUSE_SECONDS)


def _find_place(state: DaemonState, reading: ReadingState, now: float) -> int:
    if now - reading.placed_at >= PLACE_SECONDS:
        rank = rank_by_rendezvous(READER_SUBJECT, select_alive(state, now, state.zone))
        reading.place = rank.index(state.name) if state.name in rank else len(rank)
        reading.placed_at = now
    return reading.place


def _is_missed(heard_at: float, place: int, now: float) -> bool:
    return now - heard_at >= SILENCE_SECONDS + RANK_SECONDS * place


def _order_configuration(state: DaemonState, reading: ReadingState, now: float) -> list[Message]:
    reading.started_at = min(reading.started_at, now)
    configuration = reading.configuration
    if configuration.is_asking:
        return []
    if now - configuration.failed_at < _compute_backoff(configuration.failures):
        return []
    if configuration.has_read:
        if now - reading.started_at < ACQUAINTANCE_SECONDS:
            return []
        place = _find_place(state, reading, now)
        is_reader = place < CONFIGURATION_READERS
        if not is_reader and not _is_missed(reading.heard_at, place, now):
            return []
    configuration.is_asking = True
    return [ReadConfiguration()]


def _end_configuration(
    configuration: ConfigurationReading, message: ConfigurationReadEnded | ConfigurationReadFailed
) -> None:
    configuration.is_asking = False
    if isinstance(message, ConfigurationReadEnded):
        configuration.has_read = True
        configuration.failures = 0
        return
    configuration.failures += 1
    configuration.failed_at = message.now


def _end_read(registry: RegistryState, reading: ReadingState, now: float) -> list[Message]:
    reading.is_asking = False
    reading.failures = 0
    reading.current_at = reading.asked_at
    return [StoreReturned(now=now)] if registry.is_away else []


def _take_news(
    registry: RegistryState, reading: ReadingState, news: RegistryUpdateReceived
) -> list[Message]:
    reading.current_at = max(reading.current_at, news.now)
    reading.heard_at = news.now
    registry.is_away = False
    if news.returned_at > registry.returned_at:
        return [StoreReturned(now=news.returned_at)]
    return []
